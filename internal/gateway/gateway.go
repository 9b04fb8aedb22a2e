// Package gateway implements the request path of a gateway: it authenticates a request, reserves tokens of its
// organisation, routes it to a sidecar and retries failed attempts. The HTTP server in package callers runs each
// request through a Gateway.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
)

// Config is the gateway's copy of the configuration.
type Config interface {
	// Snapshot returns the current copy. It is never nil.
	Snapshot() *config.Snapshot
	// Confirm returns nil if the copy is recent enough or could be confirmed, else an error of kind ConfigStale or
	// NotReady.
	Confirm(ctx context.Context) error
}

// RetryError wraps an error with the wait after which the same request is likely to succeed.
type RetryError struct {
	Err   error // has a kind of package errkind
	After time.Duration
}

// Error implements error.
func (e *RetryError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *RetryError) Unwrap() error { return e.Err }

// Limiter reserves tokens within the rate limit of an organisation.
type Limiter interface {
	// Reserve reserves tokens. The error has kind RateLimited, RequestTooLarge or LimitsUnavailable; a RetryError
	// that wraps it sets Retry-After.
	Reserve(ctx context.Context, requestID string, org config.Organisation, tokens int64) (Reservation, error)
}

// Reservation is a granted number of tokens.
type Reservation interface {
	// Refund returns unused tokens of the reservation. A negative number charges tokens that were used beyond the
	// reservation as a debt. It is called at most once.
	Refund(unused int64)
}

// NoLimit is a Limiter that grants every reservation. Use it when limits are disabled.
type NoLimit struct{}

// Reserve implements Limiter.
func (NoLimit) Reserve(context.Context, string, config.Organisation, int64) (Reservation, error) {
	return NoLimit{}, nil
}

// Refund implements Reservation.
func (NoLimit) Refund(int64) {}

// Options configures a Gateway.
type Options struct {
	Address      string // address at which this gateway listens for peers, IP:port
	DataCentre   string
	Config       Config
	Limiter      Limiter
	Sidecars     *sidecarclient.Client
	Policy       route.Policy
	ProbeCount   int
	ProbeTimeout time.Duration
	MaxAttempts  int
	Log          *slog.Logger
	// Ready reports whether the rest of the process is ready, which it must become within a bounded time. Nil means
	// always ready.
	Ready func() bool
}

// Gateway runs requests of callers. It is safe for concurrent use.
type Gateway struct {
	opts      Options
	budgets   *budgets
	waiters   *waiters
	estimates *corrections
	metrics   *Metrics

	draining     atomic.Bool
	outOfService atomic.Pointer[outDataCentres]

	mu     sync.Mutex
	active map[*activeRequest]struct{}
}

type activeRequest struct {
	keyID  string
	cancel context.CancelCauseFunc
}

// New returns a gateway that accepts requests at once.
func New(opts Options) *Gateway {
	return &Gateway{
		opts:      opts,
		budgets:   newBudgets(),
		waiters:   newWaiters(),
		estimates: newCorrections(),
		metrics:   newMetrics(),
		active:    make(map[*activeRequest]struct{}),
	}
}

// Drain makes the gateway refuse new requests with kind Draining. Running requests continue.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Ready reports whether the gateway has a configuration, is not draining and Options.Ready reports true.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.opts.Config.Snapshot().Version() > 0 && (g.opts.Ready == nil || g.opts.Ready())
}

// InFlight returns the number of running requests.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// Principal identifies the caller of a request and holds the configuration that applies to it.
type Principal struct {
	Snapshot     *config.Snapshot
	Service      config.Service
	Profile      config.Profile
	Organisation config.Organisation
	KeyID        string // empty for an open service
}

// Admit checks whether the gateway may accept a request for the service: the age of the configuration, the key and
// the profile. secret is the caller's API key and is not stored. An empty profile selects that of the service. The error
// has kind Draining, ConfigStale, NotReady, KeyMissing, KeyUnknown, KeyWithdrawn, RouteNotFound or ProfileNotAllowed.
func (g *Gateway) Admit(ctx context.Context, secret, service, profile string) (*Principal, error) {
	if g.draining.Load() {
		return nil, errkind.New(errkind.Draining, "the gateway is shutting down")
	}
	if err := g.opts.Config.Confirm(ctx); err != nil {
		return nil, err
	}
	snap := g.opts.Config.Snapshot()
	if snap.Version() == 0 {
		return nil, errkind.New(errkind.NotReady, "no configuration")
	}
	p := &Principal{Snapshot: snap}
	var ok bool
	p.Service, ok = snap.Service(service)
	if !ok || !p.Service.Open {
		if err := p.authenticate(secret); err != nil {
			return nil, err
		}
	}
	if !ok {
		return nil, errkind.New(errkind.RouteNotFound, "no service %q", service)
	}
	return p, p.selectProfile(profile)
}

func (p *Principal) authenticate(secret string) error {
	if secret == "" {
		return errkind.New(errkind.KeyMissing, "the Authorization header has no bearer key")
	}
	key, ok := p.Snapshot.FindKey(secret)
	if !ok {
		return errkind.New(errkind.KeyUnknown, "the key is not known at configuration version %d", p.Snapshot.Version())
	}
	if key.Withdrawn {
		return errkind.New(errkind.KeyWithdrawn, "key %s was withdrawn", key.ID)
	}
	p.Organisation, ok = p.Snapshot.Organisation(key.Organisation)
	if !ok {
		return errkind.New(errkind.KeyUnknown, "key %s belongs to no organisation", key.ID)
	}
	p.KeyID = key.ID
	return nil
}

func (p *Principal) selectProfile(name string) error {
	if name == "" {
		name = p.Service.Profile
	}
	allowed := name == p.Service.Profile
	for _, a := range p.Service.AllowedProfiles {
		allowed = allowed || a == name
	}
	if !allowed {
		return errkind.New(errkind.ProfileNotAllowed, "service %s does not allow profile %q", p.Service.Name, name)
	}
	var ok bool
	p.Profile, ok = p.Snapshot.Profile(name)
	if !ok {
		return errkind.New(errkind.NotReady, "profile %q is not configured", name)
	}
	return nil
}

// defaultDeadline is the deadline of a request whose profile has none.
const defaultDeadline = time.Minute

// begin registers a running request and limits it to the profile's deadline, measured from its arrival. It confirms
// the configuration again, because the body may have taken long to arrive or the process may have been paused since
// Admit. Call the returned function when the request ends.
func (g *Gateway) begin(ctx context.Context, p *Principal, arrived time.Time) (context.Context, func(), error) {
	if err := g.opts.Config.Confirm(ctx); err != nil {
		return nil, nil, err
	}
	limit := p.Profile.Deadline()
	if limit <= 0 {
		limit = defaultDeadline
	}
	cause := errkind.New(errkind.DeadlineExceeded, "deadline of %s passed", limit)
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, arrived.Add(limit), cause)
	ctx, cancel := context.WithCancelCause(ctx)
	a := &activeRequest{keyID: p.KeyID, cancel: cancel}
	g.mu.Lock()
	g.active[a] = struct{}{}
	g.mu.Unlock()
	// Detects a key that was withdrawn between its check in Admit and the registration, which CancelWithdrawn missed.
	if isWithdrawn(g.opts.Config.Snapshot(), p.KeyID) {
		cancel(keyWithdrawnError(p.KeyID))
	}
	return ctx, func() {
		cancel(nil)
		cancelDeadline()
		g.mu.Lock()
		delete(g.active, a)
		g.mu.Unlock()
	}, nil
}

// cause returns the error that ended ctx. If that error has no kind, the caller ended the context.
func cause(ctx context.Context) error {
	err := context.Cause(ctx)
	var kindErr *errkind.Error
	if err == nil || errors.As(err, &kindErr) {
		return err
	}
	return errkind.Wrap(errkind.CallerCancelled, err, "the caller disconnected")
}

func keyWithdrawnError(id string) error {
	return errkind.New(errkind.KeyWithdrawn, "key %s was withdrawn while the request ran", id)
}

func isWithdrawn(s *config.Snapshot, keyID string) bool {
	if keyID == "" {
		return false
	}
	key, ok := s.Key(keyID)
	return !ok || key.Withdrawn
}

// WatchKeys cancels the running requests of withdrawn keys until ctx ends, and returns its error. It checks for a new
// configuration at the given interval.
func (g *Gateway) WatchKeys(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var checked *config.Snapshot
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if snap := g.opts.Config.Snapshot(); snap != checked {
			checked = snap
			g.CancelWithdrawn(snap)
		}
	}
}

// CancelWithdrawn cancels the running requests whose key is withdrawn in the snapshot or missing from it.
func (g *Gateway) CancelWithdrawn(s *config.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.active {
		if isWithdrawn(s, a.keyID) {
			a.cancel(keyWithdrawnError(a.keyID))
		}
	}
}

// outDataCentres caches the names of the data centres that are out of service in a snapshot.
type outDataCentres struct {
	snapshot *config.Snapshot
	names    []string
}

// outDataCentreNames returns the names of the data centres that are out of service in the snapshot.
func (g *Gateway) outDataCentreNames(s *config.Snapshot) []string {
	if cached := g.outOfService.Load(); cached != nil && cached.snapshot == s {
		return cached.names
	}
	var names []string
	for _, dc := range s.DataCentres() {
		if dc.OutOfService {
			names = append(names, dc.Name)
		}
	}
	g.outOfService.Store(&outDataCentres{snapshot: s, names: names})
	return names
}
