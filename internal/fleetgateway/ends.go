package fleetgateway

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

const (
	// endCheckTimeout bounds the check whether a server has ended. A server's host that does not answer within it may be cut off.
	endCheckTimeout = 400 * time.Millisecond
	// maxLoggedPrompt bounds the bytes of a prompt's parts in a log line.
	maxLoggedPrompt = 256
)

// endChecks are the checks of servers whose responses broke off. It is safe for concurrent use.
type endChecks struct {
	mu      sync.Mutex
	running map[serversigns.Server]bool
}

func newEndChecks() *endChecks { return &endChecks{running: make(map[serversigns.Server]bool)} }

// start reports whether a check of the server should begin: none is in progress.
func (e *endChecks) start(server serversigns.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[server] {
		return false
	}
	e.running[server] = true
	return true
}

func (e *endChecks) finish(server serversigns.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, server)
}

// brokeOff reports whether an attempt that ended with an error was ended by its server, or by the connection to it.
func brokeOff(kind errkind.Kind, notRun bool, err error) bool {
	return kind == errkind.OutcomeUnknown && !notRun && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// observeBreak records that the response of an attempt broke off, and checks whether the server has ended: a connection that was
// cut looks the same.
func (s *Server) observeBreak(a *attempt) {
	if !s.ends.start(a.server) {
		return
	}
	go func() {
		defer s.ends.finish(a.server)
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()
		ended, err := s.opts.Pool.Ended(ctx, a.replica.Address)
		s.opts.Log.Info("server checked after it broke off a response", "server", a.server.ID, "born", a.server.Born, "ended", ended, "error", err)
	}()
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
