package fleetgateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleetguard"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

const (
	// endCheckTimeout bounds the check whether a server has ended. A server's host that does not answer within it may be cut off.
	endCheckTimeout = 400 * time.Millisecond
	// unframedTime is how long it is remembered that a response without a length and chunks ended. Its server may have ended then,
	// which looks the same.
	unframedTime = 3 * time.Second
	// maxUnframed bounds the servers for which that is remembered.
	maxUnframed = 1024
	// maxLoggedPrompt bounds the bytes of a prompt's parts in a log line.
	maxLoggedPrompt = 256
)

var errNoEvent = errors.New("the stream ended without an event")

// brokenRequest is a request whose response its server may have broken off by ending.
type brokenRequest struct {
	exposure fleetguard.Exposure
	begun    time.Duration // when the response began
	at       time.Duration // when it broke off
}

// serverEnds finds out which servers have ended. It is safe for concurrent use.
type serverEnds struct {
	mu       sync.Mutex
	checks   map[serversigns.Server][]brokenRequest // of servers that are being checked
	unframed map[serversigns.Server][]brokenRequest // responses without a length and chunks that ended
}

func newServerEnds() *serverEnds {
	return &serverEnds{checks: make(map[serversigns.Server][]brokenRequest), unframed: make(map[serversigns.Server][]brokenRequest)}
}

// startCheck adds a request to the check of a server, and reports whether one should begin: none is in progress.
func (e *serverEnds) startCheck(server serversigns.Server, b brokenRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests, running := e.checks[server]
	e.checks[server] = append(requests, b)
	return !running
}

// finishCheck returns the requests of a check.
func (e *serverEnds) finishCheck(server serversigns.Server) []brokenRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := e.checks[server]
	delete(e.checks, server)
	return requests
}

func (e *serverEnds) addUnframed(server serversigns.Server, b brokenRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.unframed) >= maxUnframed {
		for other := range e.unframed {
			e.prune(other, b.at)
		}
	}
	if len(e.unframed) < maxUnframed {
		e.unframed[server] = append(e.unframed[server], b)
	}
	e.prune(server, b.at)
}

// prune forgets responses that ended long ago. The caller holds e.mu.
func (e *serverEnds) prune(server serversigns.Server, now time.Duration) {
	list := slices.DeleteFunc(e.unframed[server], func(b brokenRequest) bool { return now-b.at > unframedTime })
	e.unframed[server] = list
	if len(list) == 0 {
		delete(e.unframed, server)
	}
}

// takeUnframed returns the requests whose responses ended recently, and before a time.
func (e *serverEnds) takeUnframed(server serversigns.Server, before, now time.Duration) []brokenRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(server, now)
	var taken, left []brokenRequest
	for _, b := range e.unframed[server] {
		if b.at < before {
			taken = append(taken, b)
		} else {
			left = append(left, b)
		}
	}
	e.unframed[server] = left
	e.prune(server, now)
	return taken
}

// brokeOff reports whether an attempt that ended with an error was ended by its server, or by the connection to it.
func brokeOff(kind errkind.Kind, notRun bool, err error) bool {
	if errors.Is(err, errNoEvent) {
		return true
	}
	return kind == errkind.OutcomeUnknown && !notRun && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// observeBreak checks whether the server of an attempt whose response broke off has ended: a connection that was cut looks the same.
func (s *Server) observeBreak(a *attempt, e fleetguard.Exposure) {
	if a.goesOn.Load() {
		e.Parts = nil // the request has not made the server end
	}
	if !s.ends.startCheck(a.server, brokenRequest{exposure: e, at: s.opts.Clock()}) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()
		ended, err := s.opts.Pool.Ended(ctx, a.replica.Address)
		requests := s.ends.finishCheck(a.server)
		s.opts.Log.Info("server checked after it broke off a response", "server", a.server.ID, "born", a.server.Born, "ended", ended,
			"responses", len(requests), "error", err)
		if ended {
			s.serverEnded(a.server, requests)
		}
	}()
}

// observeRefusedConnection records that the server of an attempt refused a connection. If responses of it ended shortly before that
// say neither their length nor come in chunks, these were broken off.
func (s *Server) observeRefusedConnection(a *attempt, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if requests := s.ends.takeUnframed(a.server, a.begunAt, s.opts.Clock()); len(requests) > 0 {
		s.serverEnded(a.server, requests)
	}
}

// serverEnded records that a server has ended and which requests it broke off, beside those whose responses looked whole.
func (s *Server) serverEnded(server serversigns.Server, broken []brokenRequest) {
	s.opts.Metrics.serversEnded.Add(1)
	now := s.opts.Clock()
	s.prompts.ended(server, append(broken, s.ends.takeUnframed(server, now, now)...))
}

// observeHead records that a server responds. Its earlier responses with neither a length nor chunks were whole then.
func (s *Server) observeHead(a *attempt) {
	for _, b := range s.ends.takeUnframed(a.server, a.begunAt, s.opts.Clock()) {
		s.prompts.answered(a.server, b.exposure, b.begun)
	}
}

// observeAnswer records a response that ended whole as far as can be told.
func (s *Server) observeAnswer(a *attempt, e fleetguard.Exposure, framed bool, begun time.Duration) {
	switch {
	case len(e.Parts) == 0 || a.goesOn.Load():
	case framed:
		s.prompts.answered(a.server, e, begun)
	default:
		s.ends.addUnframed(a.server, brokenRequest{e, begun, s.opts.Clock()})
	}
}

// observeProgress records that a response which began at the given time goes on.
func (s *Server) observeProgress(a *attempt, e fleetguard.Exposure, begun time.Duration) {
	if s.opts.Clock()-begun >= fleetguard.BeginTime && a.goesOn.CompareAndSwap(false, true) {
		s.prompts.answered(a.server, e, begun)
	}
}

// promptAttrs describes the prompt of a request in a log line.
func (q *request) promptAttrs() []any {
	var parts strings.Builder
	for i, p := range q.caller.Prompt {
		if i > 0 {
			parts.WriteByte(',')
		}
		parts.WriteString(p.ID)
	}
	text := parts.String()
	return []any{slog.String("model", q.modelKey), slog.String("prompt", text[:min(len(text), maxLoggedPrompt)])}
}
