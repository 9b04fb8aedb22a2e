// Package ingress serves callers on the fleet's platform: it matches the route, checks the key and the limit, chooses
// a backend server and forwards the request and its answer.
package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/agents"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/coldshare"
	"github.com/pomelowheel/pomelowheel/internal/dispatch"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/retrybudget"
	"github.com/pomelowheel/pomelowheel/internal/upstream"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// defaultWait is how long a caller is taken to wait that does not say.
	defaultWait = 10 * time.Second
	// answerMargin is kept from the caller's deadline, so that the final answer arrives before it: the way to the caller
	// and a late timer.
	answerMargin = 25 * time.Millisecond
	// defaultBodyBytes bounds a body if the configuration names no limit.
	defaultBodyBytes = 4 << 20
	// drainServes is how long a draining server takes requests. The balancer sends no new connections after two seconds;
	// what comes later on kept connections is refused as not run, because the process may end before it is done.
	drainServes = 2500 * time.Millisecond
	// ownHolders is the number of servers of the own data centre that hold a model from which on its prompts are kept there:
	// two, so that the loss of one does not send them all away.
	ownHolders = 2
	// writeGrace is the time after a request's end for which its answer may still be written to a slow caller.
	writeGrace = 2 * time.Second
)

// Options configure a Server.
type Options struct {
	DataCentre string
	View       *fleet.View
	Table      *dispatch.Table
	Agents     *agents.Agents
	Pool       *upstream.Pool
	Limits     *Limits
	Demand     *Demand
	Retry      retrybudget.Options
	Clock      bootclock.Clock
	Gateways   func() (heard, known int)
	Rank       func(key string) int // of this gateway, in an order for the key that all gateways agree on
	Metrics    *Metrics
	Log        *slog.Logger
}

// Server serves callers. It is an http.Handler.
type Server struct {
	opts     Options
	draining atomic.Pointer[time.Duration] // the clock's reading when it began, or nil
	active   atomic.Int64
	absent   *absences

	mu      sync.Mutex
	retries map[string]*retrybudget.Budget // by service
	changed chan struct{}                  // closed when the fleet may have changed

	coldMu    sync.Mutex
	cold      *coldshare.Shares
	coldFree  map[string]time.Duration // when the agent of a cold server has a free turn, as it said last
	coldAlone map[string]time.Duration // until when an agent that did not answer is not asked
}

// New returns a server.
func New(opts Options) *Server {
	return &Server{
		opts: opts, absent: newAbsences(),
		cold: coldshare.New(), coldFree: make(map[string]time.Duration), coldAlone: make(map[string]time.Duration),
		retries: make(map[string]*retrybudget.Budget), changed: make(chan struct{}),
	}
}

// Drain makes the server unready. Requests are still served for a while, each as the last one of its connection.
func (s *Server) Drain() {
	now := s.opts.Clock()
	s.draining.Store(&now)
}

// Active returns the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// Ready reports whether new connections should come here: a configuration and servers are known, and the process is
// not stopping.
func (s *Server) Ready() bool {
	snapshot := s.opts.View.Snapshot()
	return snapshot.Config != nil && len(snapshot.Replicas) > 0 && s.draining.Load() == nil
}

// FleetChanged wakes requests that wait for a model to be loaded.
func (s *Server) FleetChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) fleetChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// request is one request of a caller on its way through the server.
type request struct {
	server   *Server
	writer   http.ResponseWriter
	http     *http.Request
	caller   platform.CallerRequest
	config   *fleet.Configuration
	route    *fleet.Route
	org      *fleet.Organisation // nil on public routes
	service  string
	body     []byte
	arrived  time.Time
	end      time.Time // when the final answer is due
	charged  float64   // units taken from the organisation's limit
	left     float64   // what the limit held before
	model    string    // base model, empty for plain services
	modelKey string    // model and adapter
	prompt   dispatch.Prompt
	output   float64 // expected output tokens

	tried     map[string]bool // servers that this request was sent to
	runs      int             // attempts that may have run
	unsent    int             // attempts that ended before anything was sent
	counted   bool            // the demand of the model is counted
	started   bool            // the head of the answer was sent
	lastEvent string          // last event that was sent to the caller
	first     time.Duration   // from the arrival to the first event or the answer
	gap       time.Duration   // longest pause between two events of a server

	mu       sync.Mutex
	reserved bool // the next attempt is in the retry budget
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	q := &request{
		server: s, writer: w, http: r, caller: platform.ReadCaller(r.Header), arrived: time.Now(),
		tried: make(map[string]bool),
	}
	if s.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	kind := q.serve()
	s.opts.Metrics.record(q, kind)
	if kind == errkind.CallerCancelled || (q.started && kind != errkind.None) {
		panic(http.ErrAbortHandler) // an answer that broke off must not look whole
	}
}

// serve handles the request and returns the kind of its outcome.
func (q *request) serve() errkind.Kind {
	if err := q.admit(); err != nil {
		return q.refuse(err)
	}
	ctx, cancel := context.WithDeadline(q.http.Context(), q.end)
	defer cancel()
	if err := http.NewResponseController(q.writer).SetWriteDeadline(q.end.Add(writeGrace)); err != nil {
		q.server.opts.Log.Debug("no write deadline", "error", err)
	}
	return q.run(ctx)
}

// admit checks everything that does not depend on a backend server.
func (q *request) admit() error {
	s := q.server
	q.config = s.opts.View.Snapshot().Config
	if since := s.draining.Load(); since != nil && s.opts.Clock()-*since > drainServes {
		return errkind.New(errkind.Draining, "the gateway is stopping")
	}
	if q.config == nil {
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	q.route = q.config.Match(q.http.Host, q.http.URL.EscapedPath())
	if q.route == nil {
		return errkind.New(errkind.RouteNotFound, "no route for this host and path")
	}
	wait := q.caller.Wait
	if wait == 0 {
		wait = defaultWait
	}
	q.end = q.arrived.Add(max(wait-answerMargin, wait/2))
	if timeout := q.arrived.Add(q.route.Timeout); q.route.Timeout > 0 && timeout.Before(q.end) {
		q.end = timeout
	}
	if !q.route.Public {
		if q.caller.Key == "" && len(q.config.Organisations) > 0 {
			return errkind.New(errkind.KeyMissing, "the route needs a key")
		}
		if q.org = q.config.Authenticate(q.caller.Key); q.org == nil && len(q.config.Organisations) > 0 {
			return errkind.New(errkind.KeyUnknown, "the key is not in configuration %d", q.config.Version)
		}
	}
	if err := q.readBody(); err != nil {
		return err
	}
	q.service = q.route.Pick(q.caller.ID)
	q.describe()
	return q.charge()
}

func (q *request) readBody() error {
	limit := q.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, q.http.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.BodyTooLarge, "the body is longer than %d bytes", limit)
	case err != nil:
		return errkind.Wrap(errkind.CallerCancelled, err, "the body was not sent whole")
	}
	q.body = body
	return nil
}

// describe derives what the choice of a server depends on.
func (q *request) describe() {
	service := q.config.Services[q.service]
	if service == nil || service.Engine == nil || q.caller.Model == "" {
		return
	}
	q.model, q.modelKey = q.caller.Model, q.caller.Model
	if q.caller.Adapter != "" {
		q.modelKey += "/" + q.caller.Adapter
	}
	q.output = float64(q.caller.OutputTokens)
	if q.caller.LengthHint > 0 {
		q.output = min(q.output, float64(q.caller.LengthHint))
	}
	var parts []dispatch.Part
	for _, p := range q.caller.Prompt {
		parts = append(parts, dispatch.Part(p))
	}
	var holders, local []string
	snapshot := q.server.opts.View.Snapshot()
	for _, r := range snapshot.Services[q.service] {
		if snapshot.Usable(r) && q.server.holds(r, q.model, q.server.opts.Clock()) {
			holders = append(holders, r.ID)
			if r.DataCentre == q.server.opts.DataCentre {
				local = append(local, r.ID)
			}
		}
	}
	if len(local) >= ownHolders {
		holders = local
	}
	q.prompt = dispatch.NewPrompt(q.modelKey, q.caller.PromptTokens, parts, holders)
}

// charge takes the request from the organisation's limit.
func (q *request) charge() error {
	if q.org == nil {
		return nil
	}
	size := q.org.TokensOf(q.caller.HasTokens, q.caller.PromptTokens, q.caller.OutputTokens)
	ok, wait, level := q.server.opts.Limits.Take(q.org, size)
	q.left = level
	if !ok {
		heard, known := q.server.opts.Gateways()
		return &refusal{errkind.New(errkind.RateLimited, "%.0f asked for, %.0f left, rate %.0f, burst %.0f, %d of %d gateways heard",
			size, level, q.org.Rate, q.org.Burst, heard, known), wait}
	}
	q.charged = size
	return nil
}

// refund returns what was charged for a request that did not run.
func (q *request) refund() {
	if q.org != nil && q.charged > 0 {
		q.server.opts.Limits.Refund(q.org, q.charged)
		q.charged = 0
	}
}

// refusal is an error with the time after which a repeat makes sense.
type refusal struct {
	error
	after time.Duration
}

func (r *refusal) Unwrap() error { return r.error }
