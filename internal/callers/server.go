// Package callers is the HTTP edge towards callers: model calls in the chat-completions form, calls of
// plain services, and the health and metrics routes.
package callers

import (
	"context"
	"crypto/tls"
	"expvar"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
)

// writeTimeout bounds one write to a caller. A caller that reads nothing for so long loses the request.
const writeTimeout = 30 * time.Second

// idleTimeout bounds an idle keep-alive connection.
const idleTimeout = 2 * time.Minute

// Options configures a Server.
type Options struct {
	Gateway        *gateway.Gateway
	DefaultService string // model service behind /v1
	MaxBody        int64  // bytes
	MaxHeader      int64  // bytes
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	MaxConcurrency int // requests at once
	TLS            *tls.Config
	Log            *slog.Logger
}

// Server serves callers.
type Server struct {
	opts    Options
	slots   chan struct{}
	leaving atomic.Bool
	http    *http.Server
}

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	s := &Server{opts: opts, slots: make(chan struct{}, opts.MaxConcurrency)}
	s.http = &http.Server{
		Handler:           s.routes(),
		TLSConfig:         opts.TLS,
		MaxHeaderBytes:    int(opts.MaxHeader),
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		// The library logs request lines of broken requests, which may hold a key in the query.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// Handler returns the HTTP handler, for tests.
func (s *Server) Handler() http.Handler { return s.http.Handler }

func (s *Server) routes() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet, http.MethodHead)
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	r.Handle("/v1/chat/completions", s.bounded(s.chat)).Methods(http.MethodPost)
	r.Handle("/v1/models", s.bounded(s.models)).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}/").Handler(s.bounded(s.service))
	r.Handle("/services/{service}", s.bounded(s.service))
	r.NotFoundHandler = s.refusal(errkind.RouteNotFound)
	refuse := s.refusal(errkind.MethodNotAllowed)
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Allow", allowed(r, q))
		refuse.ServeHTTP(w, q)
	})
	return r
}

// allowed returns the methods of the routes that match the path of q, for the Allow field.
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

// exchange is one request with what the answer needs.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	secret  string // the caller's key; never leaves this package but for the key check
	control *http.ResponseController
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{
		w: w, r: r, id: newRequestID(r), arrived: time.Now(),
		secret: bearer(r.Header), control: http.NewResponseController(w),
	}
	w.Header().Set("X-Request-Id", x.id)
	if s.leaving.Load() {
		// Callers move to other gateways by their own next connection, not by a connection that is cut.
		w.Header().Set("Connection", "close")
	}
	// The bound also holds for a body that is never asked for: after a refusal the server reads the rest of
	// it to reuse the connection.
	_ = x.control.SetReadDeadline(x.arrived.Add(s.opts.BodyTimeout))
	return x
}

// bounded runs h within the concurrency bound.
func (s *Server) bounded(h func(x *exchange)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := s.newExchange(w, r)
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			h(x)
		default:
			s.refuse(x, gateway.Result{Ran: errkind.RanNo}, errkind.New(errkind.Overloaded, "the gateway is at its concurrency bound"))
		}
	})
}

func (s *Server) refusal(k errkind.Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.refuse(s.newExchange(w, r), gateway.Result{Ran: errkind.RanNo}, errkind.New(k, "%s", k.Answer().Text))
	})
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.leaving.Load() || !s.opts.Gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Serve accepts callers until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
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

// Leave makes /readyz answer that the gateway is not ready. Requests are still served, and each answer
// closes its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown stops accepting, closes idle connections and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes every connection at once.
func (s *Server) Close() error { return s.http.Close() }
