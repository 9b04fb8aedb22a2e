// Package planner decides which sidecars load and unload which models. Every gateway may run a Planner; a lease row in
// the table service allows one of them at a time to plan.
//
// The holder reads the sidecars' statuses and sends them orders with the epoch of the lease as fencing number. Its state
// is rebuilt from statuses and rows, so a new holder continues where the previous one stopped.
package planner

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/placement"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// leaseReadsPerTerm is how many times per lease term a gateway without the lease reads the lease row.
const leaseReadsPerTerm = 4

// SidecarStatus is the last status of one sidecar, whose peer address is Address (IP:port).
type SidecarStatus struct {
	Address string
	Status  *wirepb.Status
	Age     time.Duration // since the status was requested
}

// Sidecars gives the planner access to the sidecars of the fleet.
type Sidecars interface {
	// Statuses returns the last status of every known sidecar.
	Statuses() []SidecarStatus
	// Order sends an order to the sidecar at address and returns its reply. After an error it is not known whether
	// the order was carried out.
	Order(ctx context.Context, address string, order *wirepb.ModelOrder) (*wirepb.OrderReply, error)
}

// Options configure a Planner. Fields without a default are required.
type Options struct {
	Address            string        // address at which this gateway listens for peers, IP:port
	Incarnation        string        // identifies one run of the process; new at each start
	Interval           time.Duration // mean time between two planning rounds
	LeaseTerm          time.Duration // validity of the lease after each renewal
	LoadRate           float64       // model loads per second that the weight store allows
	MaxConcurrentLoads int           // concurrent model loads that the weight store serves at full speed

	Store    tablestore.Store
	Sidecars Sidecars
	Snapshot func() *config.Snapshot
	// Copies reads the copies rows, which list for each model the addresses of the sidecars that hold it. At the
	// beginning of an epoch, copies at sidecars without a status yet are counted from these rows. Optional.
	Copies func(ctx context.Context) (map[string][]string, error)
	Log    *slog.Logger

	Demand             placement.DemandOptions // default 200 tokens/s per copy, smoothing 30 s, hold 5 min
	MaxWeightsFraction float64                 // fraction of an accelerator's memory; default placement.MaxWeightsFraction
	AdapterLoads       int                     // concurrent adapter loads; default 16
	StatusMaxAge       time.Duration           // oldest status that is used; default 5 s, or two poll rounds in a large fleet
	PollRound          func() time.Duration    // time in which every sidecar is polled once; optional
	OrderExpiry        time.Duration           // an order without effect counts as in progress for this long; default 2 min
	StoreTimeout       time.Duration           // of one call to Store or Copies; default 1 s
	OrderTimeout       time.Duration           // for the reply to one order; default 2 s
	Now                func() time.Duration    // monotonic clock; default the time since New
}

func (o *Options) setDefaults() {
	defaults := placement.DemandOptions{TokensPerCopy: 200, Smoothing: 30 * time.Second, Hold: 5 * time.Minute}
	setDefault(&o.Demand, defaults)
	setDefault(&o.MaxWeightsFraction, placement.MaxWeightsFraction)
	setDefault(&o.AdapterLoads, 16)
	setDefault(&o.StatusMaxAge, 5*time.Second)
	setDefault(&o.OrderExpiry, 2*time.Minute)
	setDefault(&o.StoreTimeout, time.Second)
	setDefault(&o.OrderTimeout, 2*time.Second)
	if o.PollRound == nil {
		o.PollRound = func() time.Duration { return 0 }
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Planner plans placement while it holds the lease. Only Holds and Vars are safe for concurrent use; the other methods
// must be called from one goroutine.
type Planner struct {
	opts          Options
	lease         lease
	state         *state
	orderSequence int64
	holdsLease    atomic.Bool

	vars                        expvar.Map
	sent, refused, lost, rounds expvar.Int
}

// New returns a planner that does not hold the lease yet.
func New(opts Options) *Planner {
	opts.setDefaults()
	p := &Planner{opts: opts, state: newState(opts, 0)}
	p.vars.Init()
	p.vars.Set("orders_sent", &p.sent)
	p.vars.Set("orders_refused", &p.refused)
	p.vars.Set("orders_lost", &p.lost)
	p.vars.Set("rounds", &p.rounds)
	return p
}

// Vars returns the planner's metrics for /debug/vars.
func (p *Planner) Vars() expvar.Var { return &p.vars }

// HoldsLease reports whether the planner held a valid lease in its last round. It is safe for concurrent use.
func (p *Planner) HoldsLease() bool { return p.holdsLease.Load() }

// Run runs planning rounds until ctx ends, and then releases the lease. It returns the error of the release; errors of
// rounds are logged.
func (p *Planner) Run(ctx context.Context) error {
	for {
		if err := p.Round(ctx); err != nil {
			p.opts.Log.Warn("reading or writing the planner lease failed; orders are sent only while a held lease is valid",
				"error", err)
		}
		timer := time.NewTimer(p.nextRoundDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return p.release(context.WithoutCancel(ctx))
		case <-timer.C:
		}
	}
}

// nextRoundDelay returns the random time until the next round. A gateway without the lease only reads the lease row, and
// does so less often: 400 gateways at the planning interval of 2 s would cause 200 reads a second.
func (p *Planner) nextRoundDelay() time.Duration {
	interval := p.opts.Interval
	if !p.HoldsLease() {
		interval = max(interval, p.opts.LeaseTerm/leaseReadsPerTerm)
	}
	return interval/2 + rand.N(interval)
}

// Round acquires or renews the lease and, if it is valid, makes one plan and sends its orders. The error is that of reading
// or writing the lease row; while the lease is valid, the plan is made all the same.
func (p *Planner) Round(ctx context.Context) error {
	acquired, leaseErr := p.acquireOrRenew(ctx)
	now := p.opts.Now()
	if acquired {
		p.state = newState(p.opts, now)
		p.state.readCopies(ctx, p.opts)
	}
	p.holdsLease.Store(p.lease.valid(now))
	if !p.holdsLease.Load() {
		return leaseErr
	}
	p.rounds.Add(1)
	planInput := p.state.planInput(now, p.opts.Snapshot(), p.opts.Sidecars.Statuses())
	p.sendOrders(ctx, placement.Plan(planInput))
	return leaseErr
}

// sendOrders logs each proposal and sends it as an order. Orders for different sidecars are sent concurrently, those for
// one sidecar in sequence.
func (p *Planner) sendOrders(ctx context.Context, proposals []placement.Proposal) {
	byServer := make(map[string][]*sentOrder)
	var servers []string
	for _, proposal := range proposals {
		if _, ok := byServer[proposal.Server]; !ok {
			servers = append(servers, proposal.Server)
		}
		byServer[proposal.Server] = append(byServer[proposal.Server], p.order(proposal))
	}
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error {
			for _, o := range byServer[server] {
				o.reply, o.err = p.sendOrder(ctx, server, o.order)
			}
			return nil
		})
	}
	_ = group.Wait() // the outcome is in each order
	for _, server := range servers {
		for _, o := range byServer[server] {
			p.recordOutcome(o)
		}
	}
}

// sentOrder is an order with its outcome: a reply or an error.
type sentOrder struct {
	proposal placement.Proposal
	order    *wirepb.ModelOrder
	reply    *wirepb.OrderReply
	err      error
}

// order makes the order for a proposal, logs it and marks its change as in progress.
func (p *Planner) order(proposal placement.Proposal) *sentOrder {
	p.orderSequence++
	order := &wirepb.ModelOrder{
		OrderId:      fmt.Sprintf("%d/%s/%d", p.lease.row.Epoch, p.opts.Incarnation, p.orderSequence),
		PlannerEpoch: p.lease.row.Epoch,
		Action:       string(proposal.Action),
		Model:        proposal.Model,
		Reason:       proposal.Class.String(),
	}
	p.opts.Log.Info("placement", "order", order.OrderId, "action", proposal.Action, "model", proposal.Model,
		"server", proposal.Server, "data_centre", proposal.DataCentre, "reason", proposal.Class.String(),
		"for", proposal.For, "copies", proposal.Copies, "wanted", proposal.Wanted,
		"rate", proposal.Rate, "free_mb", proposal.FreeMB)
	p.state.markInProgress(p.opts.Now(), proposal)
	return &sentOrder{proposal: proposal, order: order}
}

func (p *Planner) sendOrder(ctx context.Context, server string, order *wirepb.ModelOrder) (*wirepb.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.OrderTimeout)
	defer cancel()
	return p.opts.Sidecars.Order(ctx, server, order)
}

// recordOutcome counts and logs the outcome of an order. After an error the change stays in progress until a status
// shows it or it expires.
func (p *Planner) recordOutcome(o *sentOrder) {
	p.sent.Add(1)
	switch {
	case o.err != nil:
		p.lost.Add(1)
		p.opts.Log.Warn("no reply to order; its change counts as in progress until a status shows it or it expires",
			"order", o.order.OrderId, "server", o.proposal.Server, "error", o.err)
	case o.reply.GetKind() != int32(errkind.None):
		p.refused.Add(1)
		p.state.refused(p.opts.Now(), o.proposal)
		p.opts.Log.Warn("order refused; its server gets no orders until the back-off ends",
			"order", o.order.OrderId, "server", o.proposal.Server,
			"kind", errkind.Kind(o.reply.GetKind()).String(), "detail", o.reply.GetDetail())
	}
}
