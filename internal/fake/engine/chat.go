package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

const (
	maxChatBytes    = 8 << 20
	requestIDHeader = "X-Request-Id"
)

// call is one chat-completions request and its state in the engine.
type call struct {
	request        chatRequest
	gen            generation
	id             string // request ID in the response
	cutAfter       int    // tokens generated before the connection is closed; negative for never
	truncate       bool   // the stream ends without a finish reason and [DONE]
	ctx            context.Context
	cancel         context.CancelCauseFunc
	job            *job
	entry          *modelEntry
	mem            *memory
	kvKB           int64
	firstTokenTime time.Duration // time to the first token, before the slowdown factor is applied
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	c, err := readCall(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	c.ctx, c.cancel = context.WithCancelCause(r.Context())
	defer c.cancel(nil)
	status, message := s.admit(c)
	w.Header().Set(requestIDHeader, c.id)
	if status != http.StatusOK {
		writeError(w, status, message)
		return
	}
	defer s.finish(c)
	if c.request.Stream {
		err = s.writeStream(w, c)
	} else {
		err = s.writeCompletion(w, c)
	}
	if err != nil {
		s.opts.Logger.Info("request aborted, connection closed", "request_id", c.id, "cause", err)
		panic(http.ErrAbortHandler)
	}
}

func readCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{cutAfter: -1, id: r.Header.Get(requestIDHeader)}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	raw, err := readBody(w, r, maxChatBytes)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, &c.request); err != nil {
		return nil, fmt.Errorf("invalid body: %w", err)
	}
	c.gen, err = c.request.generation()
	return c, err
}

// admit adds the call to the batch, with the faults that apply to it. A status other than 200 rejects the call.
func (s *Server) admit(c *call) (status int, message string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return http.StatusServiceUnavailable, "the engine is unavailable after a crash"
	}
	entry, ok := s.mem.serving(c.request.Model)
	if !ok {
		return http.StatusNotFound, fmt.Sprintf("The model `%s` does not exist.", c.request.Model)
	}
	if overloadLimit := s.overloadLimitLocked(); overloadLimit > 0 && s.batch.size() >= overloadLimit {
		s.crashLocked()
		return http.StatusServiceUnavailable, errCrashed.Error()
	}
	if c.gen.badResume {
		s.badResumes++
	}
	if consumeFault(&s.faults.CutStreams) {
		c.cutAfter = s.faults.CutAfterTokens
	}
	c.truncate = c.request.Stream && consumeFault(&s.faults.TruncateStreams)
	if consumeFault(&s.faults.CrossAnswers) {
		c.id = uuid.NewString()
		c.gen.text = NewText(c.request.Model, c.id)
	}
	cached := s.cache.lookupAndStore(c.request.Model, c.gen.prompt)
	c.firstTokenTime = scale(s.opts.FirstToken, 1-s.opts.CacheSaving*cached)
	c.kvKB = s.opts.KVTokenKB * int64(c.gen.promptTokens+c.gen.to-c.gen.from)
	c.entry, c.mem = entry, s.mem
	s.mem.acquire(entry, c.kvKB)
	s.batch.limit = s.opts.Concurrency
	c.job = s.batch.add(c.request.Priority, c.cancel)
	return http.StatusOK, ""
}

func (s *Server) finish(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.remove(c.job)
	c.mem.release(c.request.Model, c.entry, c.kvKB)
	s.signalLocked()
}

// waitTurn waits until the batch runs the call. It returns the cause if the call is cancelled first.
func (s *Server) waitTurn(c *call) error {
	for {
		s.mu.Lock()
		running, changed := c.job.running, s.changed
		s.mu.Unlock()
		if running {
			return nil
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return context.Cause(c.ctx)
		}
	}
}

var errCut = errors.New("connection closed by an injected fault")

// generate calls emit for each token after the token's delay.
func (s *Server) generate(c *call, emit func(i int, token string) error) error {
	if err := s.waitTurn(c); err != nil {
		return err
	}
	wait := c.firstTokenTime
	for i := c.gen.from; i < c.gen.to; i++ {
		if c.cutAfter == i-c.gen.from {
			return errCut
		}
		s.mu.Lock()
		slowdown := s.slowdownLocked()
		s.mu.Unlock()
		if err := pause(c.ctx, scale(wait, slowdown)); err != nil {
			return err
		}
		if err := emit(i, c.gen.text.Token(i)); err != nil {
			return err
		}
		wait = s.opts.BetweenTokens
	}
	if c.cutAfter >= c.gen.to-c.gen.from {
		return errCut
	}
	return nil
}

// writeCompletion sends all generated tokens in one JSON response.
func (s *Server) writeCompletion(w http.ResponseWriter, c *call) error {
	err := s.generate(c, func(int, string) error { return nil })
	if err != nil {
		return err
	}
	message := &delta{Role: "assistant", Content: c.gen.text.Slice(c.gen.from, c.gen.to)}
	reason := c.gen.finishReason()
	standin.WriteJSON(w, http.StatusOK, completion{
		ID: "chatcmpl-" + c.id, Object: "chat.completion", Created: time.Now().Unix(), Model: c.request.Model,
		Choices: []choice{{Message: message, FinishReason: &reason}}, Usage: c.gen.usage(),
	})
	return nil
}
