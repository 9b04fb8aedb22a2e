// Package fleetplanner decides which models the engines of the fleet load and unload. Use it in a gateway of the fleet: one
// gateway plans at a time, under the lease of package duty, and the agents on the engines' hosts execute its proposals.
package fleetplanner

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/agentclient"
	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/contention"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/placement"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// planInterval is the pause between two planning rounds.
	planInterval = 120 * time.Millisecond
	// targetUtilisation is the fraction of a server's prefill rate that copies are planned for. The rest is left for
	// bursts and for cached prompts.
	targetUtilisation = 0.15
	// maxPrefillTokensPerMS caps the measured prefill rate in prompt tokens per millisecond. The value is within the
	// range of the engines in the site files.
	maxPrefillTokensPerMS = 40
	// dormantTokensPerSecond is the demand in prompt tokens per second below which a model may be left without a copy.
	// One request about 25 s ago leaves this demand, so a model that is requested occasionally keeps its copy.
	dormantTokensPerSecond = 1
	// dormantMinServers is the number of reporting servers that must have a dormant model in memory or on disk, so that
	// it can still be loaded within moments when one of them is lost.
	dormantMinServers = 2
	// proposalCooldown is the time after a proposal for which a server gets no other one, so that its report can show
	// the effect of the first.
	proposalCooldown = 400 * time.Millisecond
	// maxPendingProposals limits the proposals that wait for an agent's answer at the same time.
	maxPendingProposals = 16
)

// Options configure a Planner. All fields but FirstStart are required.
type Options struct {
	View   *fleet.View
	Agents *agentclient.Client
	Lease  *duty.Lease
	Clock  bootclock.Clock
	// PrefillRate returns the measured prefill rate of a model in prompt tokens per millisecond.
	PrefillRate func(model string) float64
	// Stalled reports whether a server, given by its ID, sends nothing although requests sent to it are overdue.
	Stalled func(server string) bool
	// DemandTotals returns the demand of this gateway's callers since its start, in prompt tokens by service and model joined
	// by a zero byte.
	DemandTotals func() map[string]float64
	// FirstStart says that the whole fleet is starting, so that no other planner has used the load budget.
	FirstStart bool
	Log        *slog.Logger
}

// Planner proposes loads and unloads of models to the agents while its gateway holds the lease. It is safe for
// concurrent use.
type Planner struct {
	opts Options

	mu            sync.Mutex
	demand        *DemandEstimator         // of all gateways, also while another one plans
	localTotals   map[string]float64       // Options.DemandTotals as of the last update
	nextProposal  map[string]time.Duration // by server ID, when it may get another proposal
	loadBudget    tokenBucket
	epoch         int64         // that loadBudget belongs to
	proposalSlots chan struct{} // one element for each proposal waiting for an answer
}

// New returns a planner. Call Run to start planning.
func New(opts Options) *Planner {
	return &Planner{
		opts: opts, demand: NewDemandEstimator(opts.Clock()), localTotals: make(map[string]float64),
		nextProposal: make(map[string]time.Duration), proposalSlots: make(chan struct{}, maxPendingProposals),
	}
}

// AddPeerDemand adds the demand that another gateway reported, in prompt tokens by service and model joined by a zero byte.
func (p *Planner) AddPeerDemand(demand map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, tokens := range demand {
		p.demand.Add(k, tokens)
	}
}

// DemandOf returns the demand of a model that this gateway knows of, in prompt tokens per second.
func (p *Planner) DemandOf(service, model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.Rate(service + "\x00" + model)
}

// Demand returns the demand to hand over to the next planner, in prompt tokens per second by service and model joined by
// a zero byte.
func (p *Planner) Demand() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.Rates()
}

// InheritDemand takes over the demand that the previous planner handed over, in the format of Demand.
func (p *Planner) InheritDemand(demand map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.InheritDemand(demand)
}

// Run updates the demand and, while the lease is held, proposes changes once every planInterval. It returns the error of
// ctx when ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	for {
		if err := background.Sleep(ctx, planInterval); err != nil {
			return err
		}
		p.updateDemand()
		epoch := p.opts.Lease.Epoch()
		snapshot := p.opts.View.Snapshot()
		if epoch == 0 || snapshot.Config == nil {
			continue
		}
		p.startEpoch(epoch)
		for _, service := range snapshot.Config.Services {
			if service.Engine != nil {
				p.planService(ctx, epoch, snapshot, service)
			}
		}
	}
}

// updateDemand adds the demand of this gateway since the last call and updates the averages.
func (p *Planner) updateDemand() {
	totals := p.opts.DemandTotals()
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, total := range totals {
		p.demand.Add(k, total-p.localTotals[k])
		p.localTotals[k] = total
	}
	p.demand.Advance(p.opts.Clock())
}

// startEpoch resets the load budget when a new epoch starts.
func (p *Planner) startEpoch(epoch int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.epoch == epoch {
		return
	}
	p.loadBudget = tokenBucket{at: p.opts.Clock()}
	if p.opts.FirstStart && p.epoch == 0 {
		p.loadBudget.tokens = maxLoadBurst // no other planner has used any
	}
	p.epoch = epoch
}

// planService plans one service and sends the proposals to its agents.
func (p *Planner) planService(ctx context.Context, epoch int64, snapshot *fleet.Snapshot, service *fleet.Service) {
	now := p.opts.Clock()
	engine := service.Engine
	in := placement.Input{MaxWeightsFraction: 1, OneDataCentre: true}
	replicas := make(map[string]*fleet.Replica)
	nearby := make(map[string]map[string]bool)
	adapterMB := int64(math.Ceil(adapterReserveMB(engine)))
	loading := 0
	nearbyServers := make(map[string]int) // by model, reporting servers that load it without the weight store
	for _, r := range snapshot.Services[service.Name] {
		report, fresh := p.opts.Agents.Report(r, now)
		server := p.server(r, report, fresh, engine, adapterMB, now)
		// If a server and its agent are both silent, the whole host is treated as silent: its copies serve no requests.
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
				nearbyServers[name]++
			}
		}
	}
	for _, name := range engine.Names() {
		m := p.model(service.Name, engine.Models[name])
		m.Dormant = m.Rate < dormantTokensPerSecond && nearbyServers[name] >= dormantMinServers
		in.Models = append(in.Models, m)
	}
	if contention.Policies(snapshot.Config)[service.Name] != nil {
		in.Models = placement.FitCopies(in)
	}
	in.LoadBudget = min(p.availableLoads(now, engine.LoadsPerSecond), maxConcurrentLoads(engine)-loading)
	for _, proposal := range placement.Plan(in) {
		p.propose(ctx, epoch, replicas[proposal.Server], proposal, nearby[proposal.Server][proposal.Model], now)
	}
}

// adapterReserveMB returns the memory that adapters may take at one server, in megabytes.
func adapterReserveMB(engine *fleet.Engine) float64 {
	largest := 0.0
	for _, m := range engine.Models {
		largest = max(largest, m.AdapterMB)
	}
	return largest * float64(engine.AdapterSlots)
}

// maxConcurrentLoads returns how many loads may run at the same time: as many as the weight store's rate keeps in
// progress, plus one.
func maxConcurrentLoads(engine *fleet.Engine) int {
	longest := time.Duration(0)
	for _, m := range engine.Models {
		longest = max(longest, m.Load)
	}
	return int(math.Ceil(engine.LoadsPerSecond*longest.Seconds())) + 1
}

// server describes a server to the placement from its agent's report, or from the server list if there is no
// fresh report. A server without a fresh report gets no orders. adapterMB is the memory set aside for adapters.
func (p *Planner) server(r *fleet.Replica, report *wirepb.AgentUpdate, fresh bool, engine *fleet.Engine,
	adapterMB int64, now time.Duration) placement.Server {
	s := placement.Server{ID: r.ID, DataCentre: r.DataCentre, MemoryMB: int64(engine.WeightsMB) - adapterMB, Usable: true}
	s.FreeMB = s.MemoryMB
	subtractWeights := func(name string) {
		if m := engine.Models[name]; m != nil {
			s.FreeMB -= int64(math.Ceil(m.WeightsMB))
		}
	}
	if !fresh {
		for _, m := range r.Models {
			s.Resident = append(s.Resident, m.Name)
			subtractWeights(m.Name)
		}
		s.AcceptsNoOrders = true
		return s
	}
	s.Usable = !report.GetDraining()
	for _, m := range report.GetModels() {
		s.Resident = append(s.Resident, m.GetModel())
		subtractWeights(m.GetModel())
	}
	if name := report.GetLoading(); name != "" && !slices.Contains(s.Resident, name) {
		s.Loading = []string{name}
		subtractWeights(name)
	}
	if name := report.GetUnloading(); name != "" {
		s.Unloading = []string{name}
	}
	s.Nearby = report.GetNearby()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.AcceptsNoOrders = report.GetBusy() || report.GetLoading() != "" || report.GetUnloading() != "" || now < p.nextProposal[r.ID]
	return s
}

func (p *Planner) model(service string, m *fleet.Model) placement.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.demand.Rate(service + "\x00" + m.Name)
	// The cap is needed because a rate measured on cached prompts says nothing about the engine steps that the streams
	// of a server share.
	capacity := math.Min(p.opts.PrefillRate(m.Name), maxPrefillTokensPerMS) * 1000 * targetUtilisation
	return placement.Model{
		Name: m.Name, MemoryMB: int64(math.Ceil(m.WeightsMB)), MinCopies: 1, Copies: Copies(rate, capacity), Rate: rate,
	}
}

// availableLoads returns how many loads from the weight store the budget allows now.
func (p *Planner) availableLoads(now time.Duration, loadsPerSecond float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadBudget.availableLoads(now, loadsPerSecond)
}

// propose sends a proposal to an agent without waiting for its answer. nearby says that the model loads without the
// weight store; other loads count in the budget even if the answer is lost.
func (p *Planner) propose(ctx context.Context, epoch int64, r *fleet.Replica, proposal placement.Proposal, nearby bool,
	now time.Duration) {
	select {
	case p.proposalSlots <- struct{}{}:
	default:
		return // the next planning round proposes it again
	}
	p.mu.Lock()
	if now < p.nextProposal[r.ID] {
		p.mu.Unlock()
		<-p.proposalSlots
		return
	}
	p.nextProposal[r.ID] = now + proposalCooldown
	if proposal.Action == placement.Load && !nearby {
		p.loadBudget.spend()
	}
	p.mu.Unlock()
	go func() {
		defer func() { <-p.proposalSlots }()
		err := p.opts.Agents.Propose(ctx, r, epoch, string(proposal.Action), proposal.Model, proposal.Class.String())
		p.opts.Log.Info("placement proposed", "epoch", epoch, "action", proposal.Action, "model", proposal.Model,
			"server", proposal.Server, "class", proposal.Class.String(), "for", proposal.For, "copies", proposal.Copies,
			"wanted", proposal.Wanted, "rate", math.Round(proposal.Rate), "nearby", nearby, "error", err)
	}()
}
