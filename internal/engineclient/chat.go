package engineclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

const (
	// endTimeout bounds the wait for the end of a response after its last event, and maxTrailingBytes what is read of it.
	endTimeout       = 200 * time.Millisecond
	maxTrailingBytes = 64 << 10
)

// ChatRequest is a request for one chat completion.
type ChatRequest struct {
	RequestID    string
	Model        string
	Body         []byte // the caller's chat-completions request as JSON
	Priority     int    // of the profile; higher runs earlier; sent negated, because the engine runs lower ones earlier
	ResumeText   string // text that earlier attempts delivered
	ResumeTokens int64  // tokens of ResumeText
	MaxTokens    int64  // bound on the whole answer, including ResumeTokens; if zero, the caller's bound applies
}

// Chunk is a part of the generated text, with its number of tokens.
type Chunk struct {
	Text   string
	Tokens int64
}

// ChatResult describes a complete answer.
type ChatResult struct {
	FinishReason string
	PromptTokens int64
	OutputTokens int64 // of this attempt
}

type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// Chat runs a chat completion and calls emit with each part of the answer; an error of emit ends the call. The kind of
// the error tells whether the request ran: BackendUnreachable, ModelNotResident, Overloaded and BadRequest mean that it
// did not.
func (c *Client) Chat(ctx context.Context, r ChatRequest, emit func(Chunk) error) (ChatResult, error) {
	body, err := chatBody(r)
	if err != nil {
		return ChatResult{}, errkind.Wrap(errkind.BadRequest, err, "chat-completions body")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		c.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return ChatResult{}, errkind.Wrap(errkind.BadRequest, err, "build request")
	}
	// GetBody stays set: net/http resends this POST only if the engine had closed the connection before a byte of it
	// was written. A resend after a write could make the engine hold the memory of two runs.
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("X-Request-Id", r.RequestID)
	response, err := c.chat.Do(request)
	switch {
	case err != nil && !connected.Load():
		return ChatResult{}, errkind.Wrap(errkind.BackendUnreachable, err, "connect to the engine")
	case err != nil:
		return ChatResult{}, errkind.Wrap(errkind.OutcomeUnknown, err, "no response from the engine")
	}
	defer func() { _ = response.Body.Close() }()
	if echo := response.Header.Get("X-Request-Id"); echo != r.RequestID {
		return ChatResult{}, errkind.New(errkind.ProtocolError, "the response is for request %q", echo)
	}
	if response.StatusCode != http.StatusOK {
		return ChatResult{}, statusError(response)
	}
	result, err := readEvents(response.Body, emit)
	if err == nil {
		awaitEnd(response.Body)
	}
	return result, err
}

// awaitEnd waits for the end of a response whose answer is complete, because the engine frees the request's memory before
// it ends the response. The bytes of an engine that sends more than that are not waited for.
func awaitEnd(body io.ReadCloser) {
	timer := time.AfterFunc(endTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxTrailingBytes))
}

func statusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	kind := errkind.BackendFailed
	switch response.StatusCode {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		kind = errkind.BadRequest
	case http.StatusNotFound:
		kind = errkind.ModelNotResident
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = errkind.Overloaded
	}
	return errkind.New(kind, "the engine answered status %d: %.200s", response.StatusCode, text)
}

// chatBody returns the caller's body with the fields replaced that the sidecar determines. The others are kept,
// except max_completion_tokens if r.MaxTokens is set.
func chatBody(r ChatRequest) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	set := map[string]any{
		"model":          r.Model,
		"stream":         true,
		"stream_options": map[string]bool{"include_usage": true},
		"priority":       -r.Priority,
	}
	if r.MaxTokens > 0 {
		delete(fields, "max_completion_tokens")
		set["max_tokens"] = max(r.MaxTokens-r.ResumeTokens, 1)
	}
	if r.ResumeText != "" {
		var messages []any
		if err := json.Unmarshal(fields["messages"], &messages); err != nil {
			return nil, fmt.Errorf("decode messages: %w", err)
		}
		set["messages"] = append(messages, map[string]string{"role": "assistant", "content": r.ResumeText})
		set["continue_final_message"] = true
	}
	for name, value := range set {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", name, err)
		}
		fields[name] = encoded
	}
	return json.Marshal(fields)
}

// readEvents parses an event stream. The stream is complete only with a finish reason and the [DONE] event.
func readEvents(r io.Reader, emit func(Chunk) error) (ChatResult, error) {
	var result ChatResult
	var streamedTokens int64
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			if result.FinishReason == "" {
				return result, errkind.New(errkind.OutcomeUnknown, "the stream ended without a finish reason")
			}
			if result.OutputTokens == 0 {
				result.OutputTokens = streamedTokens
			}
			return result, nil
		}
		chunk, err := result.add(data)
		if err != nil {
			return result, err
		}
		streamedTokens += chunk.Tokens
		if chunk.Tokens == 0 {
			continue
		}
		if err := emit(chunk); err != nil {
			return result, errkind.Wrap(errkind.CallerCancelled, err, "send the answer to the gateway")
		}
	}
	err := scanner.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return result, errkind.New(errkind.ProtocolError, "an event exceeds %d bytes", maxEventBytes)
	}
	return result, errkind.Wrap(errkind.OutcomeUnknown, err, "the stream was cut after %d tokens", streamedTokens)
}

// add decodes one event and updates r. An event with text counts as one token, as the engine streams token by token.
func (r *ChatResult) add(data []byte) (Chunk, error) {
	var e streamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return Chunk{}, errkind.Wrap(errkind.ProtocolError, err, "decode event")
	}
	if len(e.Error) > 0 && string(e.Error) != "null" {
		return Chunk{}, errkind.New(errkind.BackendFailed, "the engine reported an error: %.200s", e.Error)
	}
	if e.Usage != nil {
		r.PromptTokens, r.OutputTokens = e.Usage.PromptTokens, e.Usage.CompletionTokens
	}
	var chunk Chunk
	for _, choice := range e.Choices {
		if choice.Delta.Content != "" {
			chunk.Text += choice.Delta.Content
			chunk.Tokens++
		}
		if choice.FinishReason != "" {
			r.FinishReason = choice.FinishReason
		}
	}
	return chunk, nil
}
