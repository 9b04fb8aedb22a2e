// Package callerapi implements the HTTP server for callers of a gateway: model calls with the chat-completions API, calls
// of plain services, and the health and metrics routes. A gateway process runs one Server in front of its
// gateway.Gateway.
package callerapi

import (
	"context"
	"crypto/tls"
	"expvar"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/listener"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
)

// writeTimeout limits one write to a caller. The request of a caller that reads nothing for this time fails.
const writeTimeout = 30 * time.Second

// idleTimeout is the time after which an idle keep-alive connection is closed.
const idleTimeout = 2 * time.Minute

// noProgressTimeout ends a request whose body or whose reading makes no progress on the routes that set no deadlines. It is
// longer than writeTimeout and the usual body_timeout.
const noProgressTimeout = time.Minute

// stallTime is the time without progress after which a connection may be ended when all are in use. A sound caller sends a head
// in one piece or a few.
const stallTime = time.Second

// maxShutdownTime bounds a shutdown whose context has no deadline.
const maxShutdownTime = time.Hour

// Options configures a Server.
type Options struct {
	Gateway        *gateway.Gateway
	DefaultService string // model service that serves /v1
	MaxBody        int64  // bytes
	MaxHeader      int64  // bytes
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration        // measured from the arrival of the request
	MaxConcurrency int                  // requests at once
	MaxConnections int                  // of callers; zero for no limit
	MaxFields      int                  // of the head of a request; zero for no limit
	Heads          *memorybudget.Budget // of parsed heads; nil for no limit
	Bodies         *memorybudget.Budget // of bodies; nil for no limit
	Refusals       *refusals.Set        // may be nil
	Reclaim        *descriptors.Reclaimer
	TLS            *tls.Config // nil for plain HTTP
	Log            *slog.Logger
}

// Server serves the HTTP requests of callers.
type Server struct {
	opts         Options
	slots        chan struct{}
	shuttingDown atomic.Bool
	http         *http.Server
	arrivals     *arrivals.Tracker
}

// New returns a server. It accepts connections once Serve is called.
func New(opts Options) *Server {
	s := &Server{opts: opts, slots: make(chan struct{}, opts.MaxConcurrency), arrivals: arrivals.New(arrivals.Options{
		MaxConnections: opts.MaxConnections, Log: opts.Log, Limits: arrivals.Limits{
			Refusals: opts.Refusals.Recorder("callers", opts.Log), Header: map[string]string{"Pomelo-Ran": string(errkind.RanNo)}, MaxFields: opts.MaxFields, Heads: opts.Heads,
			BodyStall: noProgressTimeout, Unread: noProgressTimeout, StallTime: stallTime,
		},
	})}
	s.http = &http.Server{
		Handler:           s.recovering(s.routes()),
		TLSConfig:         opts.TLS,
		MaxHeaderBytes:    int(opts.MaxHeader),
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		// net/http logs the request lines of malformed requests, whose query may contain a key.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	s.arrivals.Attach(s.http)
	return s
}

// Handler returns the HTTP handler, for tests.
func (s *Server) Handler() http.Handler { return s.http.Handler }

func (s *Server) routes() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet, http.MethodHead)
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	r.Handle("/v1/chat/completions", s.limitConcurrency(s.chat)).Methods(http.MethodPost)
	r.Handle("/v1/models", s.limitConcurrency(s.models)).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}/").Handler(s.limitConcurrency(s.service))
	r.Handle("/services/{service}", s.limitConcurrency(s.service))
	r.NotFoundHandler = s.errorHandler(errkind.RouteNotFound)
	methodNotAllowed := s.errorHandler(errkind.MethodNotAllowed)
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Allow", allowed(r, q))
		methodNotAllowed.ServeHTTP(w, q)
	})
	return r
}

// recovering returns a handler that answers a request with an error if next panics, or aborts the response if it has begun.
// net/http would close the connection without an answer, and its log is discarded.
func (s *Server) recovering(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &trackedWriter{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			s.opts.Log.Error("panic in a request", "path", r.URL.Path, "panic", cause, "stack", string(debug.Stack()))
			if tracked.begun {
				panic(http.ErrAbortHandler)
			}
			s.errorHandler(errkind.Internal).ServeHTTP(w, r)
		}()
		next.ServeHTTP(tracked, r)
	})
}

// trackedWriter records whether a response has begun.
type trackedWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (t *trackedWriter) WriteHeader(status int) {
	t.begun = t.begun || status >= http.StatusOK
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *trackedWriter) Write(b []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(b)
}

// Unwrap is used by http.ResponseController.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// allowed returns the methods of the routes that match the path of q, for the Allow header field.
func allowed(routes *mux.Router, q *http.Request) string {
	var methods []string
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
		probe := q.Clone(q.Context())
		probe.Method = method
		var match mux.RouteMatch
		if routes.Match(probe, &match) && match.MatchErr == nil {
			methods = append(methods, method)
		}
	}
	return strings.Join(methods, ", ")
}

// exchange is one HTTP request with the state that its response needs.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	secret  string // the caller's key; outside this package only Gateway.Admit receives it
	control *http.ResponseController

	bodyLease *memorybudget.Lease // nil if the body is not accounted for
}

// releaseBody gives the memory of the body back. The body is not used after it.
func (x *exchange) releaseBody() {
	if x.bodyLease != nil {
		x.bodyLease.Release()
	}
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{
		w: w, r: r, id: newRequestID(r), arrived: time.Now(),
		secret: bearerKey(r.Header), control: http.NewResponseController(w),
	}
	w.Header().Set("X-Request-Id", x.id)
	if s.shuttingDown.Load() {
		// Callers send their next request to another gateway, and no connection is cut off during a request.
		w.Header().Set("Connection", "close")
	}
	// The deadline also applies to a body that no handler reads: after a refusal, the server reads the rest of the
	// body to reuse the connection.
	_ = x.control.SetReadDeadline(x.arrived.Add(s.opts.BodyTimeout))
	return x
}

// limitConcurrency returns a handler that runs h, and refuses requests above MaxConcurrency as Overloaded.
func (s *Server) limitConcurrency(h func(x *exchange)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := s.newExchange(w, r)
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			defer x.releaseBody()
			h(x)
		default:
			s.sendError(x, gateway.Result{Ran: errkind.RanNo},
				errkind.New(errkind.Overloaded, "the gateway has reached its concurrency limit"))
		}
	})
}

// errorHandler returns a handler that answers every request with an error of kind k.
func (s *Server) errorHandler(k errkind.Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.sendError(s.newExchange(w, r), gateway.Result{Ran: errkind.RanNo}, errkind.New(k, "%s", k.Answer().Text))
	})
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.shuttingDown.Load() || !s.opts.Gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Serve accepts connections on l until Shutdown or Close, after which it returns nil.
func (s *Server) Serve(l net.Listener) error {
	l = s.arrivals.Listener(listener.Persistent(l, listener.Options{Name: "callers", Reclaim: s.opts.Reclaim, Log: s.opts.Log}))
	var err error
	if s.opts.TLS != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// AnnounceShutdown makes /readyz answer that the gateway is not ready. Requests are still served, but each response
// closes its connection.
func (s *Server) AnnounceShutdown() { s.shuttingDown.Store(true) }

// Shutdown ends idle connections, waits for running requests and for those that have arrived in part, and closes the server. It
// returns an error if some are left when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	limit := maxShutdownTime
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	return s.arrivals.End(ctx, s.http, limit)
}

// EndLongestIdle ends up to n idle connections of callers and returns their number.
func (s *Server) EndLongestIdle(n int) int { return s.arrivals.EndLongestIdle(n) }

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
