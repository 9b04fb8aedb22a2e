// Package gateway is the request path of the gateway: authenticate, reserve, route, dispatch, retry.
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
	"github.com/pomelowheel/pomelowheel/internal/sidecars"
)

// Config is the gateway's copy of the configuration.
type Config interface {
	// Snapshot returns the current copy. It is never nil.
	Snapshot() *config.Snapshot
	// Confirm returns nil if the copy is fresh enough or was confirmed, else an error of kind
	// ConfigStale or NotReady.
	Confirm(ctx context.Context) error
}

// RetryError is an error that knows when the same request is likely to succeed.
type RetryError struct {
	Err   error
	After time.Duration
}

// Error implements error.
func (e *RetryError) Error() string { return e.Err.Error() }

// Unwrap returns the error with its kind.
func (e *RetryError) Unwrap() error { return e.Err }

// Limiter reserves tokens of an organisation.
type Limiter interface {
	// Reserve takes tokens. The error has kind RateLimited, RequestTooLarge or LimitsUnavailable; a
	// RetryError around it sets Retry-After.
	Reserve(ctx context.Context, requestID string, org config.Organisation, tokens int64) (Reservation, error)
}

// Reservation is a granted number of tokens.
type Reservation interface {
	// Refund returns the unused part, in tokens. A negative number is what was used beyond the reservation,
	// which is charged as a debt. It is called at most once.
	Refund(unused int64)
}

// NoLimit grants every reservation. It stands in where limits are switched off.
type NoLimit struct{}

// Reserve implements Limiter.
func (NoLimit) Reserve(context.Context, string, config.Organisation, int64) (Reservation, error) {
	return NoLimit{}, nil
}

// Refund implements Reservation.
func (NoLimit) Refund(int64) {}

// Options configures a Gateway.
type Options struct {
	Address      string // peers' listen address of this gateway, IP:port
	DataCentre   string
	Config       Config
	Limiter      Limiter
	Sidecars     *sidecars.Client
	Policy       route.Policy
	ProbeCount   int
	ProbeTimeout time.Duration
	MaxAttempts  int
	Log          *slog.Logger
	// Ready reports whether the rest of the process is ready, which it must be after a bounded time. Nil
	// means yes.
	Ready func() bool
}

// Gateway runs requests of callers. It is safe for concurrent use.
type Gateway struct {
	opts      Options
	budgets   *budgets
	waiting   *waiting
	estimates *corrections
	metrics   *Metrics

	draining atomic.Bool
	centres  atomic.Pointer[outCentres]

	mu     sync.Mutex
	active map[*activeRequest]struct{}
}

type activeRequest struct {
	keyID  string
	cancel context.CancelCauseFunc
}

// New returns a gateway.
func New(opts Options) *Gateway {
	return &Gateway{
		opts:      opts,
		budgets:   newBudgets(),
		waiting:   newWaiting(),
		estimates: newCorrections(),
		metrics:   newMetrics(),
		active:    make(map[*activeRequest]struct{}),
	}
}

// Drain refuses new work from now on. Running requests go on.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Ready reports whether the gateway has a configuration, is not draining and the option Ready agrees.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.opts.Config.Snapshot().Version() > 0 && (g.opts.Ready == nil || g.opts.Ready())
}

// InFlight returns the number of running requests.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// Principal says for whom a request runs.
type Principal struct {
	Snapshot     *config.Snapshot
	Service      config.Service
	Profile      config.Profile
	Organisation config.Organisation
	KeyID        string // empty on an open route
}

// Admit checks whether the gateway may take a request for the service: configuration age, key and
// profile. The secret is not kept. An empty profile selects that of the service.
func (g *Gateway) Admit(ctx context.Context, secret, service, profile string) (*Principal, error) {
	if g.draining.Load() {
		return nil, errkind.New(errkind.Draining, "the gateway is leaving")
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
	return p, p.pickProfile(profile)
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

func (p *Principal) pickProfile(name string) error {
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

// defaultDeadline bounds a request whose profile has none.
const defaultDeadline = time.Minute

// begin registers a running request and bounds it by the profile's deadline, counted from arrival. It
// confirms the configuration again, because the body may have taken long to arrive or the process may
// have been paused since Admit.
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
	// A key that was withdrawn between the check and the registration is found here.
	if withdrawn(g.opts.Config.Snapshot(), p.KeyID) {
		cancel(keyWithdrawn(p.KeyID))
	}
	return ctx, func() {
		cancel(nil)
		cancelDeadline()
		g.mu.Lock()
		delete(g.active, a)
		g.mu.Unlock()
	}, nil
}

// cause returns the error that ended ctx. A context that ended without a kind was ended by the caller.
func cause(ctx context.Context) error {
	err := context.Cause(ctx)
	var kinded *errkind.Error
	if err == nil || errors.As(err, &kinded) {
		return err
	}
	return errkind.Wrap(errkind.CallerCancelled, err, "the caller went away")
}

func keyWithdrawn(id string) error {
	return errkind.New(errkind.KeyWithdrawn, "key %s was withdrawn while the request ran", id)
}

func withdrawn(s *config.Snapshot, keyID string) bool {
	if keyID == "" {
		return false
	}
	key, ok := s.Key(keyID)
	return !ok || key.Withdrawn
}

// WatchKeys ends the running requests of withdrawn keys, until ctx ends. It looks for a new
// configuration at the given interval.
func (g *Gateway) WatchKeys(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var seen *config.Snapshot
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if snap := g.opts.Config.Snapshot(); snap != seen {
			seen = snap
			g.EndWithdrawn(snap)
		}
	}
}

// EndWithdrawn ends the running requests whose key is withdrawn in the snapshot.
func (g *Gateway) EndWithdrawn(s *config.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.active {
		if withdrawn(s, a.keyID) {
			a.cancel(keyWithdrawn(a.keyID))
		}
	}
}

type outCentres struct {
	snapshot *config.Snapshot
	names    []string
}

// out returns the data centres that are out of service in the snapshot.
func (g *Gateway) out(s *config.Snapshot) []string {
	if known := g.centres.Load(); known != nil && known.snapshot == s {
		return known.names
	}
	var names []string
	for _, dc := range s.DataCentres() {
		if dc.Out {
			names = append(names, dc.Name)
		}
	}
	g.centres.Store(&outCentres{snapshot: s, names: names})
	return names
}
