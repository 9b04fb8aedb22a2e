package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// completion is a complete response, or one chunk of a streamed response.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// writeStream sends the generated tokens as server-sent events, one token per event.
func (s *Server) writeStream(w http.ResponseWriter, c *call) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	created := time.Now().Unix()
	send := func(choices []choice, u *usage) error {
		return sendEvent(w, completion{
			ID: "chatcmpl-" + c.id, Object: "chat.completion.chunk", Created: created,
			Model: c.request.Model, Choices: choices, Usage: u,
		})
	}
	err := s.generate(c, func(i int, token string) error {
		d := &delta{Content: token}
		if i == c.gen.from {
			d.Role = "assistant"
		}
		return send([]choice{{Delta: d}}, nil)
	})
	if err != nil || c.truncate {
		return err
	}
	reason := c.gen.finishReason()
	if err := send([]choice{{Delta: &delta{}, FinishReason: &reason}}, nil); err != nil {
		return err
	}
	if c.request.StreamOptions.IncludeUsage {
		if err := send([]choice{}, c.gen.usage()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(w, "data: [DONE]\n\n")
	return err
}

func sendEvent(w http.ResponseWriter, event completion) error {
	raw, err := json.Marshal(event)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return http.NewResponseController(w).Flush()
}
