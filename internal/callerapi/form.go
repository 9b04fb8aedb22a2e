package callerapi

import "github.com/pomelowheel/pomelowheel/internal/gateway"

// The types below are the JSON objects of the chat-completions API.

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type completionChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// chatResponse builds the JSON objects of the response to one request.
type chatResponse struct {
	x       *exchange
	model   string
	created int64 // Unix time, seconds
}

func (a *chatResponse) id() string { return "chatcmpl-" + a.x.id }

func usageOf(r gateway.Result) usage {
	return usage{
		PromptTokens: r.PromptTokens, CompletionTokens: r.OutputTokens,
		TotalTokens: r.PromptTokens + r.OutputTokens,
	}
}

func (a *chatResponse) chunk(d delta, finish *string) completionChunk {
	return completionChunk{
		ID: a.id(), Object: "chat.completion.chunk", Created: a.created, Model: a.model,
		Choices: []chunkChoice{{Delta: d, FinishReason: finish}},
	}
}

func (a *chatResponse) usageChunk(r gateway.Result) completionChunk {
	u := usageOf(r)
	return completionChunk{
		ID: a.id(), Object: "chat.completion.chunk", Created: a.created, Model: a.model,
		Choices: []chunkChoice{}, Usage: &u,
	}
}

func (a *chatResponse) completion(text string, r gateway.Result) completion {
	return completion{
		ID: a.id(), Object: "chat.completion", Created: a.created, Model: a.model,
		Choices: []choice{{Message: message{Role: "assistant", Content: text}, FinishReason: r.FinishReason}},
		Usage:   usageOf(r),
	}
}
