package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// chatRequest is the part of a chat-completions request that the engine uses. Priority and
// ContinueFinalMessage are extension fields.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Priority            int           `json:"priority"` // lower first
	// ContinueFinalMessage marks the last message as text generated so far, to be continued.
	ContinueFinalMessage bool `json:"continue_final_message"`
	StreamOptions        struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message, decoded from a string or from a list of text parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(raw []byte) error {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return fmt.Errorf("content is neither a string nor a list of parts: %w", err)
	}
	for _, p := range parts {
		text += p.Text
	}
	*c = chatContent(text)
	return nil
}

// generation describes the output of one request: the tokens [from, to) of text.
type generation struct {
	prompt       string
	promptTokens int
	text         Text
	from, to     int
	badResume    bool
}

func (r *chatRequest) generation() (generation, error) {
	if len(r.Messages) == 0 {
		return generation{}, errors.New("messages is empty")
	}
	messages, generated := r.Messages, ""
	if last := messages[len(messages)-1]; r.ContinueFinalMessage {
		if last.Role != "assistant" {
			return generation{}, errors.New("continue_final_message requires a last message with the role assistant")
		}
		generated, messages = string(last.Content), messages[:len(messages)-1]
	}
	var prompt strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&prompt, "%s: %s\n", m.Role, m.Content)
	}
	g := generation{prompt: prompt.String(), promptTokens: len(strings.Fields(prompt.String()))}
	g.text = NewText(r.Model, g.prompt)
	from, ok := g.text.Offset(generated)
	g.badResume = !ok
	g.from = from
	g.promptTokens += from
	g.to = max(from, g.text.Length)
	if limit := r.maxTokens(); limit >= 0 {
		g.to = min(g.to, from+limit)
	}
	return g, nil
}

// maxTokens returns the maximum number of tokens to generate; negative for no limit.
func (r *chatRequest) maxTokens() int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return -1
}

func (g generation) finishReason() string {
	if g.to < g.text.Length {
		return "length"
	}
	return "stop"
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (g generation) usage() *usage {
	n := g.to - g.from
	return &usage{PromptTokens: g.promptTokens, CompletionTokens: n, TotalTokens: g.promptTokens + n}
}
