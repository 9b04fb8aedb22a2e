package sim

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/memoryledger"
	"github.com/pomelowheel/pomelowheel/internal/placement"
)

const (
	planInterval = 2 * time.Second
	// weightsFraction is the fraction of an accelerator's memory for weights; the planner's default.
	weightsFraction = 0.8
)

// change is a load or unload in progress.
type change struct {
	server, model string
	action        placement.Action
}

// planner follows package planner: it observes demand, plans, and issues orders within the weight store's rate.
// The sidecars load adapters on demand, so the planner leaves them out.
type planner struct {
	w             *world
	demand        *placement.CopyEstimator
	seenTokens    map[change]int64
	inProgress    map[change]bool
	loadsInFlight int
	tokens        float64 // token bucket of loads that may start
	lastRound     time.Duration
}

func newPlanner(w *world) *planner {
	return &planner{
		w: w, seenTokens: make(map[change]int64), inProgress: make(map[change]bool), tokens: float64(w.s.WeightStore.LoadSlots),
		demand: placement.NewCopyEstimator(placement.DemandOptions{
			TokensPerCopy: 200, Smoothing: 30 * time.Second, Hold: 5 * time.Minute,
		}),
	}
}

// baseModels returns the models of a service that have weights of their own.
func (w *world) baseModels(service string) []scenario.Model {
	return slices.DeleteFunc(slices.Clone(w.models), func(m scenario.Model) bool { return m.Adapter() || m.Service != service })
}

// placeInitially assigns the models to the servers round-robin. The initial residency is the same under both
// placement policies.
func (p *planner) placeInitially() {
	for _, service := range p.w.s.Services {
		var servers []placement.Server
		for _, r := range p.w.replicas {
			if r.service.Name == service.Name && r.isModel() {
				servers = append(servers, placement.Server{
					ID: r.address, MemoryMB: int64(float64(service.MemoryMB) * weightsFraction),
				})
			}
		}
		var models []placement.Model
		for _, m := range p.w.baseModels(service.Name) {
			models = append(models, placement.Model{Name: m.Name, MemoryMB: m.MemoryMB})
		}
		placed := placement.Static(servers, models)
		for _, s := range servers {
			for _, name := range placed[s.ID] {
				p.w.byAddress[s.ID].resident[name] = true
			}
			p.w.byAddress[s.ID].observe()
		}
	}
}

// observe reports the engine's state to the ledger.
func (r *replica) observe() {
	state := memoryledger.EngineState{Incarnation: r.incarnationID(), Models: make(map[string]int64), Running: r.running}
	for name := range r.resident {
		state.Models[name] = r.w.byModel[name].MemoryMB
		state.UsedMB += r.w.byModel[name].MemoryMB
	}
	r.ledger.Observe(r.ledger.BeginReport(r.w.time()), state)
}

func (p *planner) start() {
	if p.w.s.Policies.Placement == "demand" {
		p.w.after(planInterval, p.round)
	}
}

func (p *planner) round() {
	w := p.w
	if w.now >= w.s.Duration.D() {
		return
	}
	w.after(planInterval, p.round)
	in := p.input()
	for _, proposal := range placement.Plan(in) {
		p.execute(proposal)
	}
}

func (p *planner) input() placement.Input {
	w := p.w
	in := placement.Input{MaxWeightsFraction: weightsFraction}
	served := make(map[string]int64)
	for _, r := range w.replicas {
		if !r.isModel() {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(r.tokens)) {
			key := change{server: r.address, model: name}
			served[w.byModel[name].Name] += r.tokens[name] - p.seenTokens[key]
			p.seenTokens[key] = r.tokens[name]
		}
		s := placement.Server{
			ID: r.address, DataCentre: r.dataCentre.Name, MemoryMB: r.service.MemoryMB, FreeMB: max(r.ledger.Free(), 0),
			Resident: slices.Sorted(maps.Keys(r.resident)), Usable: !r.lost && !r.out && w.now >= r.downUntil,
		}
		for c := range p.inProgress {
			switch {
			case c.server != r.address:
			case c.action == placement.Load:
				s.Loading = append(s.Loading, c.model)
			default:
				s.Unloading = append(s.Unloading, c.model)
			}
		}
		slices.Sort(s.Loading)
		slices.Sort(s.Unloading)
		in.Servers = append(in.Servers, s)
	}
	elapsed := w.now - p.lastRound
	for _, m := range w.models {
		p.demand.Observe(w.now, m.Name, served[m.Name], elapsed)
		if !m.Adapter() {
			in.Models = append(in.Models, placement.Model{
				Name: m.Name, MemoryMB: m.MemoryMB, MinCopies: m.MinCopies,
				Copies: p.demand.Copies(m.Name), Rate: p.demand.Rate(m.Name),
			})
		}
	}
	store := w.s.WeightStore
	p.tokens = math.Min(p.tokens+store.LoadRate*elapsed.Seconds(), math.Max(1, float64(store.LoadSlots)))
	in.LoadBudget = max(0, min(store.LoadSlots-p.loadsInFlight, int(p.tokens)))
	p.lastRound = w.now
	return in
}

// execute executes a proposal at the sidecar. Memory is reserved before a load and freed after an unload.
func (p *planner) execute(o placement.Proposal) {
	w, r := p.w, p.w.byAddress[o.Server]
	c := change{o.Server, o.Model, o.Action}
	model := w.byModel[o.Model]
	if o.Action == placement.Unload {
		p.inProgress[c] = true
		w.out.Evictions++
		delete(r.resident, o.Model)
		r.dropAdapters(o.Model)
		r.ledger.UnloadAccepted(o.Model, r.ledger.Unload(o.Model))
		w.after(w.s.WeightStore.UnloadTime.D(), func() {
			delete(p.inProgress, c)
			r.observe()
		})
		return
	}
	if _, err := r.ledger.Load(w.time(), o.Model, model.MemoryMB); err != nil {
		return
	}
	p.tokens--
	p.loadsInFlight++
	p.inProgress[c] = true
	w.out.Loads++
	factor := max(1, float64(p.loadsInFlight)/float64(w.s.WeightStore.LoadSlots))
	w.after(time.Duration(float64(w.s.WeightStore.LoadTime)*factor), func() {
		p.loadsInFlight--
		delete(p.inProgress, c)
		r.resident[o.Model] = true
		r.observe()
	})
}

// dropAdapters unloads the adapters of a base model that is unloaded.
func (r *replica) dropAdapters(base string) {
	before := len(r.adapters.names)
	r.adapters.names = slices.DeleteFunc(r.adapters.names, func(name string) bool { return r.w.byModel[name].Base == base })
	r.w.out.AdapterEvictions += before - len(r.adapters.names)
}
