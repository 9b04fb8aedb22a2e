// Package operatorserver serves HTTP to operators and the platform: readiness checks and metrics. Its limits are small, because
// such requests are, and whatever arrives at these ports must not take from the callers of the process.
package operatorserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/listener"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
)

const (
	// DefaultHeaderBytes and DefaultRequestTime are the usual values of Options.
	DefaultHeaderBytes = 8 << 10
	DefaultRequestTime = 5 * time.Second

	// shutdownTimeout limits the shutdown of a server.
	shutdownTimeout = 200 * time.Millisecond
	// headerTimeout limits reading the header of a request.
	headerTimeout = 2 * time.Second
	// answerTimeout limits writing an answer, in addition to Options.RequestTime.
	answerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
	// stallTime is the time without progress after which a connection may be ended when all are in use. A readiness check waits a
	// second for its answer.
	stallTime = 300 * time.Millisecond
)

// Options are the limits of a server.
type Options struct {
	Name           string        // of the listener, in the log and in metrics
	MaxConnections int           // zero for no limit
	HeaderBytes    int           // of a request's head; net/http adds 4096
	RequestTime    time.Duration // in which a request has to arrive
	MaxFields      int           // of a request's head
	Heads          *memorybudget.Budget
	Refusals       *refusals.Set          // may be nil
	Reclaim        *descriptors.Reclaimer // may be nil
	Log            *slog.Logger
}

// Serve serves handler on l until ctx ends, and returns the error of ctx then. It returns another error if the listening socket
// becomes unusable.
func Serve(ctx context.Context, l net.Listener, handler http.Handler, opts Options) error {
	server := &http.Server{
		Handler: closeAfterBody(handler), ReadHeaderTimeout: min(headerTimeout, opts.RequestTime), IdleTimeout: idleTimeout,
		ReadTimeout: opts.RequestTime, WriteTimeout: opts.RequestTime + answerTimeout, MaxHeaderBytes: opts.HeaderBytes,
		ErrorLog: slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug),
	}
	tracker := arrivals.New(arrivals.Options{MaxConnections: opts.MaxConnections, Log: opts.Log, Limits: arrivals.Limits{
		Refusals: opts.Refusals.Recorder(opts.Name, opts.Log), MaxFields: opts.MaxFields, Heads: opts.Heads,
		BodyStall: opts.RequestTime, Unread: answerTimeout, StallTime: stallTime,
	}})
	tracker.Attach(server)
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(end) // connections that remain end with the process
	})
	defer stop()
	l = tracker.Listener(listener.Persistent(l, listener.Options{Name: opts.Name, Reclaim: opts.Reclaim, Log: opts.Log}))
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", opts.Name, err)
	}
	return ctx.Err()
}

// closeAfterBody returns a handler that closes the connection after a request with a body. The server would otherwise wait for
// the body, which no operator's request has, before it answers.
func closeAfterBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
