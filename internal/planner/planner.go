// Package planner runs the placement of models in one gateway at a time, under a lease row. It reads the
// sidecars' status and sends them orders with the lease's epoch as fencing number. All its state is
// rebuilt from status and rows, so a new planner continues where another one stopped.
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

// watchParts is the part of the lease term after which a gateway without the lease reads the row again.
const watchParts = 4

// SidecarStatus is the last status of one sidecar.
type SidecarStatus struct {
	Address string
	Status  *wirepb.Status
	Age     time.Duration
}

// Sidecars is the planner's view of the sidecars.
type Sidecars interface {
	// Statuses returns the last status of every known sidecar.
	Statuses() []SidecarStatus
	// Order sends an order to the sidecar at address and returns its reply. After an error the order may
	// or may not have been carried out.
	Order(ctx context.Context, address string, order *wirepb.ModelOrder) (*wirepb.OrderReply, error)
}

// Options configure a Planner. Fields without a default are required.
type Options struct {
	Address     string // peers' listen address of this gateway, IP:port
	Incarnation string // new at each start
	Interval    time.Duration
	LeaseTerm   time.Duration
	LoadRate    float64 // loads a second that the weight store allows
	LoadSlots   int     // loads at once at full speed

	Store    tablestore.Store
	Sidecars Sidecars
	Snapshot func() *config.Snapshot
	// Copies reads the copies rows: the sidecars' addresses for each model. A new planner does not take a
	// model for cold that a row names until it has heard from the sidecars. Optional.
	Copies func(ctx context.Context) (map[string][]string, error)
	Log    *slog.Logger

	Demand       placement.DemandOptions // default 200 tokens/s, 30 s, 5 min
	WeightsPart  float64                 // of an accelerator's memory; default placement.WeightsPart
	AdapterLoads int                     // at once; default 16
	StatusMaxAge time.Duration           // default 5 s; raised to two poll rounds in a large fleet
	PollRound    func() time.Duration    // the time in which every sidecar is polled once; optional
	OrderExpiry  time.Duration           // after which an order without effect is given up; default 2 min
	StoreTimeout time.Duration           // default 1 s
	OrderTimeout time.Duration           // of one order's reply; default 2 s
	Now          func() time.Duration    // the monotonic clock; default the time since New
}

func (o *Options) setDefaults() {
	defaults := placement.DemandOptions{TokensPerCopy: 200, Smoothing: 30 * time.Second, Hold: 5 * time.Minute}
	setDefault(&o.Demand, defaults)
	setDefault(&o.WeightsPart, placement.WeightsPart)
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

// Planner plans while it holds the lease. Its methods but Holds and Vars are for one goroutine.
type Planner struct {
	opts   Options
	lease  lease
	state  *state
	orders int64
	holds  atomic.Bool

	vars                        expvar.Map
	sent, refused, lost, rounds expvar.Int
}

// New returns a planner without a lease.
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

// Holds reports whether the planner held a valid lease in its last round. It is safe for concurrent use.
func (p *Planner) Holds() bool { return p.holds.Load() }

// Run plans until ctx ends, and then hands the lease back.
func (p *Planner) Run(ctx context.Context) error {
	for {
		if err := p.Round(ctx); err != nil {
			p.opts.Log.Warn("placement round failed", "error", err)
		}
		timer := time.NewTimer(p.pause())
		select {
		case <-ctx.Done():
			timer.Stop()
			return p.handBack(context.WithoutCancel(ctx))
		case <-timer.C:
		}
	}
}

// pause returns the time until the next round. A gateway without the lease only watches the row: 400 of them at
// the plan's interval of 2 s would be 200 reads a second.
func (p *Planner) pause() time.Duration {
	interval := p.opts.Interval
	if !p.Holds() {
		interval = max(interval, p.opts.LeaseTerm/watchParts)
	}
	return interval/2 + rand.N(interval)
}

// Round keeps the lease and, while it is valid, makes one plan and sends its orders.
func (p *Planner) Round(ctx context.Context) error {
	taken, leaseErr := p.keep(ctx)
	now := p.opts.Now()
	if taken {
		p.state = newState(p.opts, now)
		p.state.readCopies(ctx, p.opts)
	}
	p.holds.Store(p.lease.valid(now))
	if !p.holds.Load() {
		return leaseErr
	}
	p.rounds.Add(1)
	input := p.state.input(now, p.opts.Snapshot(), p.opts.Sidecars.Statuses())
	p.send(ctx, placement.Plan(input))
	return leaseErr
}

// send logs each proposal and sends it as an order. Orders for different sidecars go out together; those
// for one sidecar keep their order.
func (p *Planner) send(ctx context.Context, proposals []placement.Proposal) {
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
				o.reply, o.err = p.deliver(ctx, server, o.order)
			}
			return nil
		})
	}
	_ = group.Wait() // the outcome is in each order
	for _, server := range servers {
		for _, o := range byServer[server] {
			p.record(o)
		}
	}
}

type sentOrder struct {
	proposal placement.Proposal
	order    *wirepb.ModelOrder
	reply    *wirepb.OrderReply
	err      error
}

func (p *Planner) order(proposal placement.Proposal) *sentOrder {
	p.orders++
	order := &wirepb.ModelOrder{
		OrderId:      fmt.Sprintf("%d/%s/%d", p.lease.row.Epoch, p.opts.Incarnation, p.orders),
		PlannerEpoch: p.lease.row.Epoch,
		Action:       string(proposal.Action),
		Model:        proposal.Model,
		Reason:       proposal.Class.String(),
	}
	p.opts.Log.Info("placement", "order", order.OrderId, "action", proposal.Action, "model", proposal.Model,
		"server", proposal.Server, "data_centre", proposal.DataCentre, "reason", proposal.Class.String(),
		"for", proposal.For, "copies", proposal.Copies, "wanted", proposal.Wanted,
		"rate", proposal.Rate, "free_mb", proposal.FreeMB)
	p.state.began(p.opts.Now(), proposal)
	return &sentOrder{proposal: proposal, order: order}
}

func (p *Planner) deliver(ctx context.Context, server string, order *wirepb.ModelOrder) (*wirepb.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.OrderTimeout)
	defer cancel()
	return p.opts.Sidecars.Order(ctx, server, order)
}

// record notes the outcome of an order. After an error the change stays under way until the status shows
// it or it expires.
func (p *Planner) record(o *sentOrder) {
	p.sent.Add(1)
	switch {
	case o.err != nil:
		p.lost.Add(1)
		p.opts.Log.Warn("order without reply", "order", o.order.OrderId, "server", o.proposal.Server, "error", o.err)
	case o.reply.GetKind() != int32(errkind.None):
		p.refused.Add(1)
		p.state.refused(p.opts.Now(), o.proposal)
		p.opts.Log.Warn("order refused", "order", o.order.OrderId, "server", o.proposal.Server,
			"kind", errkind.Kind(o.reply.GetKind()).String(), "detail", o.reply.GetDetail())
	}
}
