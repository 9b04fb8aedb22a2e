// Package fleetgateway implements the HTTP server of the fleet gateway that callers connect to. For each request it
// matches the route, checks the key and the organisation's limit, chooses a backend server, forwards the request and
// relays the response, retrying at another server where the route allows it.
package fleetgateway

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/agentclient"
	"github.com/pomelowheel/pomelowheel/internal/appointment"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/coldstart"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/failover"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetguard"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/retrybudget"
	"github.com/pomelowheel/pomelowheel/internal/upstream"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// defaultWait is the time that a caller is assumed to wait for the response if its request states none.
	defaultWait = 10 * time.Second
	// responseMargin is the time before the caller's deadline at which the final response is due, so that it arrives
	// in time: it covers the way to the caller and a timer that fires late.
	responseMargin = 25 * time.Millisecond
	// drainAcceptTime is how long a draining gateway accepts requests. The balancer sends no new connections after
	// two seconds; later requests on kept connections are refused as not run, because the process may end before
	// they are done.
	drainAcceptTime = 2500 * time.Millisecond
	// minLocalHolders is the number of servers in the gateway's own data centre that must hold a model before its
	// prompts prefer only these: two, so that the loss of one does not move all prompts to other data centres.
	minLocalHolders = 2
	// writeGrace is the time after a request's deadline, or after the end of its processing if that is later, during which its
	// response may still be written to a slow caller.
	writeGrace = 2 * time.Second
)

// Options configure a Server.
type Options struct {
	DataCentre string
	View       *fleet.View
	Table      *fleetroute.Table
	Agents     *agentclient.Client
	Pool       *upstream.Pool
	Limits     *Limits
	Demand     *Demand
	// ServiceDemand counts the demand for services with scaling; nil if it is not needed.
	ServiceDemand *ServiceDemand
	Retry         retrybudget.Options
	// CheckConfiguration returns an error if the view's configuration is too old to be used.
	CheckConfiguration func() error
	// ConfigurationBehind reports whether a newer configuration than the view's is in force.
	ConfigurationBehind func() bool
	Clock               bootclock.Clock
	Gateways            func() (heard, known int)
	Rank                func(key string) int // this gateway's position in an order for the key that all gateways agree on, from zero
	Bodies              *memorybudget.Budget // bytes of long bodies; a default if nil, like the two below
	ShortBodies         *memorybudget.Budget // bytes of bodies, of each up to shortBodyBytes
	Answers             *memorybudget.Budget // bytes of servers' answers that are not relayed yet
	Random              rand.Source          // of the choices among servers, safe for concurrent use; the process's own if nil
	Appointments        *appointment.Book    // none are made if nil
	Metrics             *Metrics
	CountBegun          func(organisation string) // is called once for each request that began to run for an organisation; may be nil
	Log                 *slog.Logger
}

// Server is the http.Handler for callers. It is safe for concurrent use.
type Server struct {
	opts     Options
	random   *rand.Rand
	draining atomic.Pointer[time.Duration] // the clock's reading when draining began, or nil
	active   atomic.Int64
	excluded *exclusions
	signs    *signs
	ends     *serverEnds
	prompts  *PromptGuard
	rooms    *rooms
	loadsAt  atomic.Int64    // reading of the clock when another gateway last reported its loads, or zero
	ending   context.Context // ends with EndRequests
	end      context.CancelFunc

	mu      sync.Mutex
	retries map[string]*retrybudget.Budget // by service
	hedges  map[string]*retrybudget.Budget // by service, counting hedged requests as retries
	changed chan struct{}                  // closed and replaced when the fleet may have changed

	coldMu       sync.Mutex
	cold         *coldstart.Shares
	coldNextTurn map[string]time.Duration // when the agent of a cold server has the next free turn, as it last reported
	agentRetryAt map[string]time.Duration // until when an agent that did not reply is not asked for turns
}

// processRandom is the random source of the process, which is safe for concurrent use.
type processRandom struct{}

// Uint64 implements rand.Source.
func (processRandom) Uint64() uint64 { return rand.Uint64() }

// New returns a server that accepts requests.
func New(opts Options) *Server {
	shares := memorybudget.Divide(0)
	opts.Bodies = cmp.Or(opts.Bodies, memorybudget.New(shares.Bodies))
	opts.ShortBodies = cmp.Or(opts.ShortBodies, memorybudget.New(shares.ShortBodies))
	opts.Answers = cmp.Or(opts.Answers, memorybudget.New(shares.Answers))
	if opts.Random == nil {
		opts.Random = processRandom{}
	}
	ending, end := context.WithCancel(context.Background())
	return &Server{
		opts: opts, random: rand.New(opts.Random), excluded: newExclusions(), signs: newSigns(), ends: newServerEnds(), prompts: newPromptGuard(opts), rooms: newRooms(), ending: ending, end: end,
		cold: coldstart.New(), coldNextTurn: make(map[string]time.Duration), agentRetryAt: make(map[string]time.Duration),
		retries: make(map[string]*retrybudget.Budget), hedges: make(map[string]*retrybudget.Budget), changed: make(chan struct{}),
	}
}

// Drain makes the server unready. Requests are still accepted for drainAcceptTime; each response closes its
// connection.
func (s *Server) Drain() {
	now := s.opts.Clock()
	s.draining.Store(&now)
}

// EndRequests ends all requests, because the process is about to end. Their callers get a response unless one has begun.
func (s *Server) EndRequests() { s.end() }

// Prompts returns the guard that decides which prompts are refused.
func (s *Server) Prompts() *PromptGuard { return s.prompts }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Ready reports whether the balancer should send new connections: a configuration that may be used and servers are known,
// and the gateway is not draining.
func (s *Server) Ready() bool {
	snapshot := s.opts.View.Snapshot()
	return snapshot.Config != nil && len(snapshot.Replicas) > 0 && s.draining.Load() == nil && s.opts.CheckConfiguration() == nil
}

// FleetChanged makes requests that wait for a model to be loaded, or for their turn at a server, check again whether they should.
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

// request is one request of a caller and the state of its processing.
type request struct {
	server       *Server
	writer       http.ResponseWriter
	http         *http.Request
	caller       platform.CallerRequest
	config       *fleet.Configuration
	route        *fleet.Route
	org          *fleet.Organisation // nil on public routes
	service      string
	body         []byte
	bodyLeases   [2]*memorybudget.Lease // of the short and the long budget
	arrived      time.Time
	arrivedAt    time.Duration // on Options.Clock, which runs while the host is suspended
	deadline     time.Time     // when the final response is due
	charged      float64       // units charged to the organisation's limit
	limitLeft    float64       // units left in the limit before this request
	model        string        // base model; empty for plain services
	modelKey     string        // model and adapter; empty for plain services
	prompt       fleetroute.Prompt
	exposure     fleetguard.Exposure // what a server is exposed to
	trial        bool                // sent although its prompt is refused
	suspect      bool                // its prompt may make servers end
	outputTokens float64             // expected output tokens

	tried         map[string]bool                    // IDs of the servers that this request was sent to
	race          *failover.Race                     // decides which attempts begin, and which of them answers
	live          map[int]*attempt                   // attempts that have not ended, by number
	begun         int                                // attempts that were prepared
	exchanges     sync.WaitGroup                     // goroutines of the attempts
	messages      chan message                       // from the attempts
	interrupt     atomic.Pointer[context.CancelFunc] // ends a choice that a message makes unnecessary
	hedge         *attempt                           // sent because the first server was late, or nil
	answering     *attempt                           // whose response the caller gets
	failure       *message                           // whole response of a server that failed, or nil
	retryReserved bool                               // the retry budget has been charged for the next attempt
	reservedAt    string                             // service whose budget has been charged
	budgetLogged  bool                               // a refusal of the retry budget has been logged
	demandCounted bool                               // the request is counted in the model's demand
	scaled        scaledRequest                      // what is counted for a service with scaling
	begunCounted  atomic.Bool                        // the request is counted as one that began to run
	waiter        *waiter                            // of the request while it waits for room at a server, or nil
	appointment   appointmentState                   // for the caller's return, of a request to a covered service
	headSent      bool                               // the status line and header of the response were sent
	lastEvent     string                             // ID of the last event that was sent to the caller
	firstEvent    time.Duration                      // from the arrival to the first event of a stream, or to a response that is not a stream
	longestGap    time.Duration                      // longest pause between two events of one attempt
}

// ServeHTTP implements http.Handler. It aborts the connection if a response that has begun could not be completed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	q := &request{
		server: s, writer: w, http: r, caller: platform.ParseCallerRequest(r.Header), arrived: time.Now(), arrivedAt: s.opts.Clock(),
		tried: make(map[string]bool), live: make(map[int]*attempt), messages: make(chan message, 1),
	}
	if s.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	q.bodyLeases = [2]*memorybudget.Lease{s.opts.ShortBodies.Lease(0), s.opts.Bodies.Lease(0)}
	kind := q.serveRecovering()
	q.releaseBody()
	s.opts.Metrics.record(q, kind)
	if q.headSent && kind != errkind.None {
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
}

// serveRecovering is serve. After a panic the caller gets an error response: net/http would close the connection without one,
// and without a log line at the usual level.
func (q *request) serveRecovering() (kind errkind.Kind) {
	defer func() {
		if cause := recover(); cause != nil {
			q.server.opts.Log.Error("panic in a request", "request_id", q.caller.ID, "panic", cause, "stack", string(debug.Stack()))
			kind = q.refuse(errkind.New(errkind.Internal, "panic: %v", cause))
		}
	}()
	return q.serve()
}

// serve handles the request and returns the kind of its outcome.
func (q *request) serve() errkind.Kind {
	if err := q.admit(); err != nil {
		return q.refuse(err)
	}
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	stop := context.AfterFunc(q.server.ending, cancel)
	defer stop()
	q.setWriteDeadline()
	return q.run(ctx)
}

// admit makes the checks that do not depend on a backend server, and charges the organisation's limit.
func (q *request) admit() error {
	s := q.server
	q.config = s.opts.View.Snapshot().Config
	if since := s.draining.Load(); since != nil && s.opts.Clock()-*since > drainAcceptTime {
		return errkind.New(errkind.Draining, "the gateway is draining")
	}
	if q.config == nil {
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	if err := q.checkConfiguration(); err != nil {
		return err
	}
	if err := q.match(); err != nil {
		return err
	}
	q.deadline = q.callerDeadline()
	if timeout := q.arrived.Add(q.route.Timeout); q.route.Timeout > 0 && timeout.Before(q.deadline) {
		q.deadline = timeout
	}
	if err := q.readBody(); err != nil {
		return err
	}
	q.setExposure()
	if err := q.checkPrompt(); err != nil {
		return err
	}
	q.describePrompt()
	return q.charge()
}

// callerDeadline returns when the final response is due if the route states no shorter timeout.
func (q *request) callerDeadline() time.Time {
	wait := q.caller.Timeout
	if wait == 0 {
		wait = defaultWait
	}
	return q.arrived.Add(max(wait-responseMargin, wait/2))
}

// timeLeft returns the time until the deadline. Time for which the host was suspended counts, unlike in q.deadline.
func (q *request) timeLeft() time.Duration {
	return min(time.Until(q.deadline), q.deadline.Sub(q.arrived)-(q.server.opts.Clock()-q.arrivedAt))
}

// setWriteDeadline limits the time to write the response: until writeGrace after the deadline, or from now if that has passed, as
// after a pause of the process.
func (q *request) setWriteDeadline() {
	deadline := q.deadline
	if now := time.Now(); now.After(deadline) {
		deadline = now
	}
	if err := http.NewResponseController(q.writer).SetWriteDeadline(deadline.Add(writeGrace)); err != nil {
		q.server.opts.Log.Debug("cannot set the write deadline of the response", "error", err)
	}
}

// describePrompt sets the fields that the choice of a server depends on. They stay empty for plain services.
func (q *request) describePrompt() {
	service := q.config.Services[q.service]
	if service == nil || service.Engine == nil || q.caller.Model == "" {
		return
	}
	q.model, q.modelKey = q.caller.Model, q.caller.Model
	if q.caller.Adapter != "" {
		q.modelKey += "/" + q.caller.Adapter
	}
	q.outputTokens = float64(q.caller.OutputTokens)
	if q.caller.LengthHint > 0 {
		q.outputTokens = min(q.outputTokens, float64(q.caller.LengthHint))
	}
	var parts []fleetroute.Part
	for _, p := range q.caller.Prompt {
		parts = append(parts, fleetroute.Part(p))
	}
	var holders, local []string
	snapshot, now := q.server.opts.View.Snapshot(), q.server.opts.Clock()
	for _, r := range snapshot.Services[q.service] {
		if snapshot.Usable(r) && !q.server.leaving(r, now) && q.server.holds(r, q.model, now) {
			holders = append(holders, r.ID)
			if r.DataCentre == q.server.opts.DataCentre {
				local = append(local, r.ID)
			}
		}
	}
	if len(local) >= minLocalHolders {
		holders = local
	}
	q.prompt = fleetroute.NewPrompt(q.modelKey, q.caller.PromptTokens, parts, holders)
}

// charge charges the request to the organisation's limit.
func (q *request) charge() error {
	if q.org == nil {
		return nil
	}
	size := q.org.LimitCost(q.caller.HasTokens, q.caller.PromptTokens, q.caller.OutputTokens)
	ok, wait, level := q.server.opts.Limits.Take(q.org, size)
	q.limitLeft = level
	if !ok {
		heard, known := q.server.opts.Gateways()
		return &refusal{errkind.New(errkind.RateLimited,
			"limit exceeded: %.0f requested, %.0f left, rate %.0f, burst %.0f, %d of %d gateways heard",
			size, level, q.org.Rate, q.org.Burst, heard, known), wait}
	}
	q.charged = size
	return nil
}

// refund returns the charge for a request that did not run.
func (q *request) refund() {
	if q.org != nil && q.charged > 0 {
		q.server.opts.Limits.Refund(q.org, q.charged)
		q.charged = 0
	}
}

// refusal is an error with the time after which the caller may try again.
type refusal struct {
	error
	retryAfter time.Duration
}

func (r *refusal) Unwrap() error { return r.error }
