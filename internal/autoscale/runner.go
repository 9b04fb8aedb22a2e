package autoscale

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"log/slog"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
)

const (
	// roundInterval is the pause between two rounds of decisions, as long as one exchange between gateways.
	roundInterval = 250 * time.Millisecond
	// callTimeout limits a call to the platform. A call that takes longer is repeated.
	callTimeout = 2 * time.Second
	// firstRetryDelay is the pause after a failed call or write; it doubles with each further one up to maxRetryDelay, which
	// is short enough for an order to follow the interface's return within seconds.
	firstRetryDelay = 500 * time.Millisecond
	maxRetryDelay   = 8 * time.Second
)

// Duty tells whether this gateway holds the duty, and under which token.
type Duty interface {
	Token() (token int64, held bool)
}

// ErrNotSent means that a call was not sent, because the duty was lost or the permitted rate of calls is used up for now.
var ErrNotSent = errors.New("the call was not sent")

// Caller calls the platform. A call without an error was answered: the platform has the count. The error of a call that was not sent
// is ErrNotSent.
type Caller interface {
	Scale(ctx context.Context, token int64, service, dataCentre string, count int) error
}

// RunnerOptions configure a Runner. All fields but Era are required.
type RunnerOptions struct {
	Duty   Duty
	Caller Caller
	Store  Store
	// Services returns the state of the services without orders; see Observer.Services.
	Services       func(now time.Duration) []Service
	CallsPerSecond float64
	// Era returns the latest era of the store that this gateway knows. Without it, rows that the store loses are written again only
	// with the next order.
	Era   func() int64
	Clock bootclock.Clock
	Log   *slog.Logger
}

// Runner orders the decided counts while its gateway holds the duty. A count is written to the store before the first call,
// and repeated unchanged until it is answered, by a successor too. Its methods must not be called concurrently, except Vars.
type Runner struct {
	opts    RunnerOptions
	decider *Decider
	token   int64 // that the state below belongs to; zero while the duty is not held
	loaded  bool  // orders are as the store has them
	era     int64 // of the store, for which they were read
	orders  map[zoneKey]*order

	nextCall, nextStore pacer // to the platform and to the store

	settled, calls, failures, unanswered expvar.Int
	counts                               atomic.Pointer[map[string]int] // ordered counts by SERVICE/DATA CENTRE
}

// pacer holds the time before which no further call is made.
type pacer struct {
	next   time.Duration
	failed int // failures since the last success
}

// succeed permits the next call after a pause.
func (p *pacer) succeed(now, pause time.Duration) { p.next, p.failed = now+pause, 0 }

// fail postpones the next call after a failure.
func (p *pacer) fail(now time.Duration) {
	p.next = now + min(firstRetryDelay<<min(p.failed, 8), maxRetryDelay)
	p.failed++
}

// NewRunner returns a Runner. Call Run to start it.
func NewRunner(opts RunnerOptions) *Runner {
	return &Runner{opts: opts, decider: NewDecider(), orders: make(map[zoneKey]*order)}
}

// Vars returns the metrics by name.
func (r *Runner) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"scale_orders_settled": &r.settled, "scale_calls": &r.calls, "scale_call_failures": &r.failures,
		"scale_unanswered": &r.unanswered, "scale_ordered_counts": expvar.Func(func() any { return r.counts.Load() }),
	}
}

// Run makes rounds until ctx ends, and returns the error of ctx.
func (r *Runner) Run(ctx context.Context) error {
	for {
		if err := background.Sleep(ctx, roundInterval); err != nil {
			return err
		}
		r.Round(ctx)
	}
}

// Round decides all counts and makes at most one call to the platform.
func (r *Runner) Round(ctx context.Context) {
	now := r.opts.Clock()
	token, held := r.opts.Duty.Token()
	if !held || token != r.token {
		r.forget()
	}
	if !held {
		return
	}
	r.token = token
	var decisions []Decision
	services := r.opts.Services(now)
	if r.current(ctx, now) {
		decisions = r.decide(now, services)
	}
	if now >= r.nextCall.next {
		r.act(ctx, now, services, decisions)
	}
	r.publish(services)
}

// current reads the ordered counts if they are not known, and reports whether they are. Without them nothing new is ordered.
func (r *Runner) current(ctx context.Context, now time.Duration) bool {
	if r.opts.Era != nil && r.era < r.opts.Era() {
		r.loaded = false
	}
	if r.loaded || now < r.nextStore.next {
		return r.loaded
	}
	if err := r.load(ctx, now, r.token); err != nil {
		r.nextStore.fail(r.opts.Clock())
		if errors.Is(err, errTokenPassed) {
			clear(r.orders) // another gateway orders now
		}
		r.opts.Log.Warn("ordered replica counts not read; no other counts are ordered", "token", r.token, "error", err)
	}
	return r.loaded
}

// forget removes the state of a duty that this gateway no longer holds.
func (r *Runner) forget() {
	r.token, r.loaded, r.nextCall, r.nextStore = 0, false, pacer{}, pacer{}
	clear(r.orders)
	r.decider.Forget()
	r.publish(nil)
}

// decide returns the decisions that change a count.
func (r *Runner) decide(now time.Duration, services []Service) []Decision {
	var changes []Decision
	for _, s := range services {
		for _, dec := range r.decider.Decide(now, r.withOrders(s)) {
			if dec.Count != dec.Current {
				changes = append(changes, dec)
			}
		}
	}
	return changes
}

// withOrders adds the ordered counts to the state of a service, and the data centres that have an order and no server.
func (r *Runner) withOrders(s Service) Service {
	s.DataCentres = slices.Clone(s.DataCentres)
	for key, o := range r.orders {
		if key.service != s.Name || !o.Known {
			continue
		}
		i := slices.IndexFunc(s.DataCentres, func(dc DataCentre) bool { return dc.Name == key.dataCentre })
		if i < 0 {
			i = len(s.DataCentres)
			s.DataCentres = append(s.DataCentres, DataCentre{Name: key.dataCentre})
		}
		s.DataCentres[i].Order = o.Order
	}
	slices.SortFunc(s.DataCentres, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// repeatable reports whether an order without an answer is to be repeated: its service is still scaled, and the configured
// bounds still allow its count.
func (o *order) repeatable(key zoneKey, services []Service) bool {
	i := slices.IndexFunc(services, func(s Service) bool { return s.Name == key.service })
	return o.unanswered && i >= 0 && o.Count >= services[i].Bounds.Min && o.Count <= services[i].Bounds.Max
}

// act makes the most urgent call: a new order for more servers, then repeats and orders for fewer, the longest waiting
// first. A count without an answer is repeated before another is ordered in its place.
func (r *Runner) act(ctx context.Context, now time.Duration, services []Service, decisions []Decision) {
	var chosen *Decision
	var best zoneKey
	found, bestGrows, bestAt := false, false, time.Duration(0)
	consider := func(key zoneKey, dec *Decision, grows bool, at time.Duration) {
		better := cmp.Or(-compareBool(grows, bestGrows), cmp.Compare(at, bestAt), cmp.Compare(key.String(), best.String()))
		if !found || better < 0 {
			found, best, chosen, bestGrows, bestAt = true, key, dec, grows, at
		}
	}
	for key, o := range r.orders {
		if o.repeatable(key, services) {
			consider(key, nil, false, o.attemptAt)
		}
	}
	for i := range decisions {
		dec := &decisions[i]
		key := zoneKey{dec.Service, dec.DataCentre}
		o := r.orders[key]
		if o != nil && o.repeatable(key, services) {
			continue
		}
		at := time.Duration(0)
		if o != nil {
			at = o.attemptAt
		}
		consider(key, dec, dec.Count > dec.Current, at)
	}
	if !found || chosen != nil && !r.order(ctx, now, best, chosen) {
		return
	}
	r.call(ctx, best)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// order settles a decision and reports whether it may be sent.
func (r *Runner) order(ctx context.Context, now time.Duration, key zoneKey, dec *Decision) bool {
	err := r.settle(ctx, now, key, dec.Count, r.token)
	r.opts.Log.Info("replica count decided", "service", dec.Service, "data_centre", dec.DataCentre, "count", dec.Count,
		"before", dec.Current, "reason", string(dec.Reason), "listed", dec.Listed, "load", round(dec.Load),
		"needed", dec.Needed, "capacity", round(dec.Capacity), "floor", dec.Floor, "demand_age", dec.News.DemandAge,
		"list_age", dec.News.ListAge, "complete", dec.News.Complete, "token", r.token, "error", err)
	if err != nil {
		r.nextStore.fail(r.opts.Clock())
		return false
	}
	r.nextStore.succeed(now, 0)
	return true
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// call sends a settled count. It checks the duty once more, because the write may have taken long or the process may have
// been suspended.
func (r *Runner) call(ctx context.Context, key zoneKey) {
	if token, held := r.opts.Duty.Token(); !held || token != r.token {
		r.opts.Log.Info("replica count not sent: the duty was lost after it was settled", "key", key.String(), "token", r.token)
		r.forget()
		return
	}
	o := r.orders[key]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.opts.Caller.Scale(ctx, r.token, key.service, key.dataCentre, o.Count)
	now := r.opts.Clock()
	if errors.Is(err, ErrNotSent) {
		r.opts.Log.Debug("replica count not sent; it will be sent later", "key", key.String(), "token", r.token, "error", err)
		return
	}
	o.attemptAt = now
	r.calls.Add(1)
	if err != nil {
		r.failures.Add(1)
		r.nextCall.fail(now)
	} else {
		o.unanswered = false
		r.nextCall.succeed(now, time.Duration(float64(time.Second)/max(r.opts.CallsPerSecond, 0.01)))
	}
	r.opts.Log.Info("replica count sent", "service", key.service, "data_centre", key.dataCentre, "count", o.Count,
		"token", r.token, "settled_under", o.token, "took_since_settled", now-o.At, "error", err)
}

// publish updates the metrics that describe the current orders.
func (r *Runner) publish(services []Service) {
	unanswered := int64(0)
	counts := make(map[string]int, len(r.orders))
	for key, o := range r.orders {
		if o.Known {
			counts[key.String()] = o.Count
		}
		if o.repeatable(key, services) {
			unanswered++
		}
	}
	r.counts.Store(&counts)
	r.unanswered.Set(unanswered)
}
