// Package placement decides which models each backend server should hold. Use it in a planner: the caller passes in the
// state of the servers, the demand and the load budget, and carries out the ordered list of proposals that Plan returns.
// The package has no side effects.
//
// Every copy has a class by what its loss would cost. A load may displace only copies of a less important class, so each
// displacement improves the placement and successive plans do not oscillate. A copy is unloaded only while other copies
// that can be served stay resident (make before break), and only to make room: a surplus copy stays while nothing else
// needs its memory.
package placement

import "cmp"

// MaxWeightsFraction is the fraction of an accelerator's memory that models may take. The rest is for the cache of running
// requests.
const MaxWeightsFraction = 0.8

// Server is the state of a backend server as its sidecar or agent reports it.
type Server struct {
	ID              string // address of the sidecar, or the server's ID in the server list
	DataCentre      string
	MemoryMB        int64    // total for weights and cache, mebibytes
	FreeMB          int64    // not reserved, mebibytes
	Resident        []string // models that can be served now
	Loading         []string // models ordered to load and not yet resident
	Unloading       []string // models ordered to unload and still held; a subset of Resident
	Usable          bool     // ready, not draining, data centre in service and status recent
	AcceptsNoOrders bool     // takes no orders now, but its copies count
	Nearby          []string // base models that this server loads without the weight store, from memory or disk
}

// Model is a base model or an adapter, with the number of copies that its demand requires.
type Model struct {
	Name      string
	Base      string // base model of an adapter, which is placed only where the base model is resident; else empty
	MemoryMB  int64  // mebibytes
	MinCopies int
	Copies    int     // required by the demand
	Rate      float64 // tokens per second; orders models within a class and is logged
	// Dormant says that the model is not requested and loads within moments on servers that have it nearby. It needs no
	// copy, but an existing last copy is kept: loading it again would cost more than its memory is worth.
	Dormant bool
}

// Input is the input of Plan.
type Input struct {
	Servers            []Server
	Models             []Model
	MaxWeightsFraction float64 // fraction of a server's memory that weights may take; the rest is for the cache
	LoadBudget         int     // loads from the weight store that may start now
	AdapterLoadBudget  int     // adapter loads that may start now
	// OneDataCentre allows all copies of a model in one data centre. It is for fleets that hold little more than one copy
	// of each model and replace a lost copy within seconds.
	OneDataCentre bool
}

// Class is the importance of a copy. Lower values are more important.
type Class int

// The classes of copies.
const (
	ClassReachable Class = iota // the only copy
	ClassSpread                 // the only copy outside one data centre
	ClassMinimum                // within the model's minimum number of copies
	ClassDemand                 // within the copies that the demand requires
	ClassSurplus                // beyond the copies that the demand requires
)

var classNames = [...]string{"reachable", "spread", "minimum", "demand", "surplus"}

// String returns the name of c.
func (c Class) String() string { return classNames[c] }

// Action is what a proposal asks a server's sidecar or agent to do.
type Action string

// The actions, as in wirepb.ModelOrder.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Proposal is one load or unload of a model at a server, with the figures that led to it.
type Proposal struct {
	Action     Action
	Model      string
	Server     string
	DataCentre string
	Class      Class   // of the copy that is loaded or unloaded
	For        string  // model that an unload makes room for; empty for a load
	Copies     int     // copies on usable servers before the change, including those that are loading
	Wanted     int     // copies that the model should have
	Rate       float64 // tokens per second
	FreeMB     int64   // mebibytes free at the server before the change
}

// need is a missing copy of a model.
type need struct {
	model *modelState
	class Class
}

// Plan proposes changes in order of importance, within the load budget. It never proposes to unload the last copy of a
// model that can be served, or to load more than the free memory holds.
func Plan(in Input) []Proposal {
	p := newPlan(in)
	for class := ClassReachable; class < ClassSurplus; class++ {
		blocked := make(map[string]bool)
		for m := p.nextModel(class, blocked); m != nil; m = p.nextModel(class, blocked) {
			if !p.satisfy(need{m, class}) {
				blocked[m.Name] = true
			}
		}
	}
	return p.proposals
}

// nextModel returns the model that needs a copy of the class and has the highest rate per copy, or nil.
func (p *plan) nextModel(class Class, blocked map[string]bool) *modelState {
	var best *modelState
	for _, m := range p.models {
		if p.neededClass(m) != class || blocked[m.Name] {
			continue
		}
		if best == nil || moreUrgent(m, best) {
			best = m
		}
	}
	return best
}

func moreUrgent(a, b *modelState) bool {
	return cmp.Or(
		cmp.Compare(b.Rate/float64(b.copies()+1), a.Rate/float64(a.copies()+1)),
		cmp.Compare(b.MemoryMB, a.MemoryMB),
		cmp.Compare(a.Name, b.Name)) < 0
}

// neededClass returns the class of the next copy that a model needs, or ClassSurplus if it needs none.
func (p *plan) neededClass(m *modelState) Class {
	switch {
	case m.Dormant:
		return ClassSurplus
	case m.copies() == 0:
		return ClassReachable
	case p.dataCentres > 1 && m.dataCentreCount() < 2:
		return ClassSpread
	case m.copies() < m.MinCopies:
		return ClassMinimum
	case m.copies() < m.Copies:
		return ClassDemand
	}
	return ClassSurplus
}

// satisfy proposes a load for the need, or the unloads that make room for it. It reports whether it proposed a load.
func (p *plan) satisfy(n need) bool {
	if s := p.bestServer(n); s != nil {
		p.load(n, s)
		return true
	}
	p.makeRoom(n)
	return false
}

// bestServer returns the best eligible server with room for the model, or nil. It prefers the data centre with the fewest
// copies of the model, then a server that has the model nearby, then the one with the most free memory.
func (p *plan) bestServer(n need) *serverState {
	var best *serverState
	for _, s := range p.servers {
		if s.availableMB() < n.model.MemoryMB || !p.eligible(n, s) || !p.withinBudget(n.model, s) {
			continue
		}
		if best == nil || p.better(n.model, s, best) {
			best = s
		}
	}
	return best
}

func (p *plan) better(m *modelState, s, best *serverState) bool {
	return cmp.Or(
		cmp.Compare(m.copiesByDataCentre[s.DataCentre], m.copiesByDataCentre[best.DataCentre]),
		compareNearby(m, s, best),
		cmp.Compare(best.availableMB(), s.availableMB()),
		cmp.Compare(s.ID, best.ID)) < 0
}

// withinBudget reports whether the load budget allows a load of the model at the server. A load that does not need the
// weight store takes nothing from the budget.
func (p *plan) withinBudget(m *modelState, s *serverState) bool {
	return p.budget(m) > 0 || s.nearby[m.Name]
}

// compareNearby orders a server that loads the model without the weight store before one that does not.
func compareNearby(m *modelState, a, b *serverState) int {
	switch {
	case a.nearby[m.Name] == b.nearby[m.Name]:
		return 0
	case a.nearby[m.Name]:
		return -1
	}
	return 1
}

// eligible reports whether a copy at the server would meet the need, regardless of memory.
func (p *plan) eligible(n need, s *serverState) bool {
	if !s.Usable || s.AcceptsNoOrders || s.holds(n.model.Name) {
		return false
	}
	if n.class == ClassSpread && n.model.copiesByDataCentre[s.DataCentre] > 0 {
		return false
	}
	return n.model.Base == "" || s.resident[n.model.Base]
}

func (p *plan) load(n need, s *serverState) {
	p.propose(Load, n.model, s, n.class, "")
	s.spareMB -= n.model.MemoryMB
	s.models[n.model.Name] = loading
	s.candidatesValid = false // the load may need one of them as its base model
	n.model.holders = append(n.model.holders, s)
	n.model.addLoading(s.DataCentre)
	p.spend(n.model, s)
}

func (p *plan) spend(m *modelState, s *serverState) {
	if s.nearby[m.Name] {
		return
	}
	if m.Base == "" {
		p.loads--
	} else {
		p.adapterLoads--
	}
}

func (p *plan) propose(a Action, m *modelState, s *serverState, class Class, forModel string) {
	p.proposals = append(p.proposals, Proposal{
		Action: a, Model: m.Name, Server: s.ID, DataCentre: s.DataCentre, Class: class, For: forModel,
		Copies: m.copies(), Wanted: max(1, m.MinCopies, m.Copies), Rate: m.Rate, FreeMB: s.spareMB,
	})
}

func (p *plan) budget(m *modelState) int {
	if m.Base == "" {
		return p.loads
	}
	return p.adapterLoads
}
