package fleetplan

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/agents"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/placement"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// planInterval is the pause between two plans.
	planInterval = 120 * time.Millisecond
	// use of a server that copies are planned for; the rest is room for bursts and for cached prompts.
	use = 0.15
	// mostRate bounds the measured rate in prompt tokens a millisecond, in the range of the engines of the site files.
	mostRate = 40
	// dormantRate is the demand in prompt tokens a second below which a model may be left without a copy: that of one
	// request some 25 s ago. A model that is asked for now and then keeps its copy.
	dormantRate = 1
	// dormantPlaces is the number of reporting servers that must have a model nearby, so that it is still within moments of
	// use when one of them is lost.
	dormantPlaces = 2
	// settle is the time for which a server gets no other proposal after one, until its report shows it.
	settle = 400 * time.Millisecond
	// maxProposals may wait for an agent's answer at the same time.
	maxProposals = 16
)

// Options configure a Planner.
type Options struct {
	View   *fleet.View
	Agents *agents.Agents
	Lease  *Lease
	Clock  bootclock.Clock
	// Rate returns the prompt tokens a millisecond at which a model is read.
	Rate func(model string) float64
	// Stalled reports whether a server sends nothing although requests at it are overdue.
	Stalled func(server string) bool
	// Totals returns the demand that callers of this gateway asked for since its start.
	Totals func() map[string]float64
	// FirstStart says that the whole fleet starts, so that no other planner spent loads.
	FirstStart bool
	Log        *slog.Logger
}

// Planner proposes loads and unloads while it holds the lease.
type Planner struct {
	opts Options

	mu     sync.Mutex
	demand *Averages // of all gateways, also while another one plans
	own    map[string]float64
	busy   map[string]time.Duration // when a server may get another proposal
	loads  budget
	epoch  int64
	slots  chan struct{}
}

// New returns a planner. Run starts it.
func New(opts Options) *Planner {
	return &Planner{
		opts: opts, demand: NewAverages(opts.Clock()), own: make(map[string]float64),
		busy: make(map[string]time.Duration), slots: make(chan struct{}, maxProposals),
	}
}

// Asked counts demand that another gateway reported, by service and model.
func (p *Planner) Asked(demand map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, work := range demand {
		p.demand.Add(k, work)
	}
}

// DemandOf returns the demand of a model as far as this gateway knows it.
func (p *Planner) DemandOf(service, model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.Rate(service + "\x00" + model)
}

// Demand returns the demand of the models, for the next planner.
func (p *Planner) Demand() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.Rates()
}

// Assume takes over the demand that the previous planner knew.
func (p *Planner) Assume(demand map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.Assume(demand)
}

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	for {
		if err := duty.Sleep(ctx, planInterval); err != nil {
			return err
		}
		p.count()
		epoch := p.opts.Lease.Epoch()
		snapshot := p.opts.View.Snapshot()
		if epoch == 0 || snapshot.Config == nil {
			continue
		}
		p.begin(epoch)
		for _, service := range snapshot.Config.Services {
			if service.Engine != nil {
				p.plan(ctx, epoch, snapshot, service)
			}
		}
	}
}

// count adds the demand of this gateway and updates the averages.
func (p *Planner) count() {
	totals := p.opts.Totals()
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, total := range totals {
		p.demand.Add(k, total-p.own[k])
		p.own[k] = total
	}
	p.demand.Advance(p.opts.Clock())
}

// begin sets the budget of loads when an epoch starts.
func (p *Planner) begin(epoch int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.epoch == epoch {
		return
	}
	p.loads = budget{at: p.opts.Clock()}
	if p.opts.FirstStart && p.epoch == 0 {
		p.loads.tokens = loadBurst // no other planner spent any
	}
	p.epoch = epoch
}

// plan makes the proposals of one service.
func (p *Planner) plan(ctx context.Context, epoch int64, snapshot *fleet.Snapshot, service *fleet.Service) {
	now := p.opts.Clock()
	engine := service.Engine
	in := placement.Input{WeightsPart: 1, OneDataCentre: true}
	replicas := make(map[string]*fleet.Replica)
	nearby := make(map[string]map[string]bool)
	reserve := int64(math.Ceil(adapterReserve(engine)))
	loading := 0
	places := make(map[string]int) // reporting servers where a model is nearby
	for _, r := range snapshot.Services[service.Name] {
		report, fresh := p.opts.Agents.Status(r, now)
		server := p.server(r, report, fresh, engine, reserve, now)
		// A server that is silent together with its agent stands on a host that does. Its copies serve nobody.
		server.Usable = server.Usable && snapshot.Usable(r) && (fresh || !p.opts.Stalled(r.ID))
		loading += len(server.Loading)
		in.Servers = append(in.Servers, server)
		replicas[r.ID] = r
		nearby[r.ID] = make(map[string]bool)
		for _, name := range server.Nearby {
			nearby[r.ID][name] = true
		}
		if fresh && server.Usable {
			for _, name := range server.Nearby {
				places[name]++
			}
		}
	}
	for _, name := range engine.Names() {
		m := p.model(service.Name, engine.Models[name])
		m.Dormant = m.Rate < dormantRate && places[name] >= dormantPlaces
		in.Models = append(in.Models, m)
	}
	in.Loads = min(p.available(now, engine.LoadsPerSecond), atOnce(engine)-loading)
	for _, proposal := range placement.Plan(in) {
		p.propose(ctx, epoch, replicas[proposal.Server], proposal, nearby[proposal.Server][proposal.Model], now)
	}
}

// adapterReserve returns the memory that adapters may take at one server, in megabytes.
func adapterReserve(e *fleet.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		largest = max(largest, m.AdapterMB)
	}
	return largest * float64(e.AdapterSlots)
}

// atOnce returns how many loads may run at the same time: what the weight store's rate keeps under way, and one more.
func atOnce(e *fleet.Engine) int {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.Load)
	}
	return int(math.Ceil(e.LoadsPerSecond*longest.Seconds())) + 1
}

// server describes a server from its agent's report, or from the list if there is no fresh one. Without a report it
// gets no orders.
func (p *Planner) server(r *fleet.Replica, u *wirepb.AgentUpdate, fresh bool, e *fleet.Engine, reserve int64, now time.Duration) placement.Server {
	s := placement.Server{ID: r.ID, DataCentre: r.DataCentre, MemoryMB: int64(e.WeightsMB) - reserve, Usable: true}
	s.FreeMB = s.MemoryMB
	take := func(name string) {
		if m := e.Models[name]; m != nil {
			s.FreeMB -= int64(math.Ceil(m.WeightsMB))
		}
	}
	if !fresh {
		for _, m := range r.Models {
			s.Resident = append(s.Resident, m.Name)
			take(m.Name)
		}
		s.Closed = true
		return s
	}
	s.Usable = !u.GetDraining()
	for _, m := range u.GetModels() {
		s.Resident = append(s.Resident, m.GetModel())
		take(m.GetModel())
	}
	if name := u.GetLoading(); name != "" && !slices.Contains(s.Resident, name) {
		s.Loading = []string{name}
		take(name)
	}
	if name := u.GetUnloading(); name != "" {
		s.Unloading = []string{name}
	}
	s.Nearby = u.GetNearby()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Closed = u.GetBusy() || u.GetLoading() != "" || u.GetUnloading() != "" || now < p.busy[r.ID]
	return s
}

func (p *Planner) model(service string, m *fleet.Model) placement.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.demand.Rate(service + "\x00" + m.Name)
	// A rate measured on cached prompts says nothing of the steps that the streams of a server share.
	capacity := math.Min(p.opts.Rate(m.Name), mostRate) * 1000 * use
	return placement.Model{
		Name: m.Name, MemoryMB: int64(math.Ceil(m.WeightsMB)), MinCopies: 1, Copies: Copies(rate, capacity), Rate: rate,
	}
}

// available returns the loads from the weight store that may start now.
func (p *Planner) available(now time.Duration, perSecond float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads.available(now, perSecond)
}

// propose sends a proposal to an agent. A load counts in the budget even if the answer is lost.
func (p *Planner) propose(ctx context.Context, epoch int64, r *fleet.Replica, proposal placement.Proposal, nearby bool, now time.Duration) {
	select {
	case p.slots <- struct{}{}:
	default:
		return // the next plan proposes it again
	}
	p.mu.Lock()
	if now < p.busy[r.ID] {
		p.mu.Unlock()
		<-p.slots
		return
	}
	p.busy[r.ID] = now + settle
	if proposal.Action == placement.Load && !nearby {
		p.loads.spend()
	}
	p.mu.Unlock()
	go func() {
		defer func() { <-p.slots }()
		err := p.opts.Agents.Propose(ctx, r, epoch, string(proposal.Action), proposal.Model, proposal.Class.String())
		p.opts.Log.Info("placement proposed", "epoch", epoch, "action", proposal.Action, "model", proposal.Model,
			"server", proposal.Server, "class", proposal.Class.String(), "for", proposal.For, "copies", proposal.Copies,
			"wanted", proposal.Wanted, "rate", math.Round(proposal.Rate), "nearby", nearby, "error", err)
	}()
}
