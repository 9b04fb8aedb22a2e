// Package placement decides which models each backend server should hold. It is pure: the state of the
// servers, the demand and the budget of loads are passed in, and the result is an ordered list of
// proposals.
//
// Every copy belongs to a class by what its loss would cost. A load may displace only copies of a class
// that matters less, so each displacement improves the placement and plans do not go back and forth. A
// copy is unloaded only while others that can be served stay resident (make before break), and only to
// make room: a copy that nobody needs stays while its memory is free.
package placement

import "cmp"

// WeightsPart is the part of an accelerator's memory that models may take; the rest is for the cache of running
// requests.
const WeightsPart = 0.8

// Server is a backend server as its sidecar reports it.
type Server struct {
	ID         string // address of the sidecar
	DataCentre string
	MemoryMB   int64    // for weights and cache together, mebibytes
	FreeMB     int64    // not reserved, mebibytes
	Resident   []string // models that can be served now
	Loading    []string // ordered and not yet resident
	Unloading  []string // ordered and not yet gone; a subset of Resident
	Usable     bool     // ready, not draining, its data centre in service, its status fresh
	Closed     bool     // gets no orders now, but its copies count
	Nearby     []string // base models that load here without the weight store
}

// Model is a model with the copies that its demand asks for.
type Model struct {
	Name      string
	Base      string // of an adapter, which is placed only where its base model is resident
	MemoryMB  int64
	MinCopies int
	Copies    int     // for the demand
	Rate      float64 // tokens a second; for the order and the log
	// Dormant says that nobody asks for the model and that it loads within moments where it lies. It needs no copy, but a
	// last one that is there stays: to load it again would cost more than its place.
	Dormant bool
}

// Input is what a plan is made from.
type Input struct {
	Servers      []Server
	Models       []Model
	WeightsPart  float64 // of a server's memory that weights may fill; the rest is for the cache
	Loads        int     // loads from the weight store that may start now
	AdapterLoads int     // adapter loads that may start now
	// OneDataCentre accepts all copies of a model in one data centre, for fleets that hold little more than one copy of
	// each model and load a lost one within seconds.
	OneDataCentre bool
}

// Class says what a copy is for, from the most to the least important.
type Class int

// The classes of copies.
const (
	ClassReachable Class = iota // the only copy
	ClassSpread                 // the only copy outside one data centre
	ClassMinimum                // within the model's least number of copies
	ClassDemand                 // within the copies that the demand asks for
	ClassSurplus                // more than that
)

var classNames = [...]string{"reachable", "spread", "minimum", "demand", "surplus"}

// String returns the name of c.
func (c Class) String() string { return classNames[c] }

// Action is what a proposal asks a sidecar to do.
type Action string

// The actions, as in wirepb.ModelOrder.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Proposal is one change of residency, with the figures that decided it.
type Proposal struct {
	Action     Action
	Model      string
	Server     string
	DataCentre string
	Class      Class   // of the copy that is loaded, or given up
	For        string  // the model that an unload makes room for
	Copies     int     // usable copies before the change, those under way included
	Wanted     int     // copies that the model should have
	Rate       float64 // tokens a second
	FreeMB     int64   // at the server before the change
}

// need is a copy that a model lacks.
type need struct {
	model *modelState
	class Class
}

// Plan proposes changes in order of importance, within the budget of loads. It never proposes to unload
// the last copy of a model that can be served, nor a load beyond the free memory.
func Plan(in Input) []Proposal {
	p := newPlan(in)
	for class := ClassReachable; class < ClassSurplus; class++ {
		blocked := make(map[string]bool)
		for m := p.next(class, blocked); m != nil; m = p.next(class, blocked) {
			if !p.satisfy(need{m, class}) {
				blocked[m.Name] = true
			}
		}
	}
	return p.proposals
}

// next returns the model that lacks a copy of the class and has the highest rate for each copy.
func (p *plan) next(class Class, blocked map[string]bool) *modelState {
	var best *modelState
	for _, m := range p.models {
		if p.lacks(m) != class || blocked[m.Name] {
			continue
		}
		if best == nil || before(m, best) {
			best = m
		}
	}
	return best
}

func before(a, b *modelState) bool {
	return cmp.Or(
		cmp.Compare(b.Rate/float64(b.copies()+1), a.Rate/float64(a.copies()+1)),
		cmp.Compare(b.MemoryMB, a.MemoryMB),
		cmp.Compare(a.Name, b.Name)) < 0
}

// lacks returns the class of the next copy that a model needs; ClassSurplus if it needs none.
func (p *plan) lacks(m *modelState) Class {
	switch {
	case m.Dormant:
		return ClassSurplus
	case m.copies() == 0:
		return ClassReachable
	case p.dataCentres > 1 && m.spread() < 2:
		return ClassSpread
	case m.copies() < m.MinCopies:
		return ClassMinimum
	case m.copies() < m.Copies:
		return ClassDemand
	}
	return ClassSurplus
}

// satisfy proposes a load for the need, or the unloads that make room for it. It reports whether it
// proposed a load.
func (p *plan) satisfy(n need) bool {
	if s := p.bestServer(n); s != nil {
		p.load(n, s)
		return true
	}
	p.makeRoom(n)
	return false
}

// bestServer returns the server with room for the model, in the data centre with the fewest copies of it
// and then with the most free memory, or nil.
func (p *plan) bestServer(n need) *serverState {
	var best *serverState
	for _, s := range p.servers {
		if s.available() < n.model.MemoryMB || !p.allowed(n, s) || !p.affordable(n.model, s) {
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
		cmp.Compare(m.byDataCentre[s.DataCentre], m.byDataCentre[best.DataCentre]),
		compareNearby(m, s, best),
		cmp.Compare(best.available(), s.available()),
		cmp.Compare(s.ID, best.ID)) < 0
}

// affordable reports whether a load of the model at the server fits the budget. A load of what is nearby costs none.
func (p *plan) affordable(m *modelState, s *serverState) bool {
	return p.budget(m) > 0 || s.nearby[m.Name]
}

// compareNearby puts a server where the model is nearby first.
func compareNearby(m *modelState, a, b *serverState) int {
	switch {
	case a.nearby[m.Name] == b.nearby[m.Name]:
		return 0
	case a.nearby[m.Name]:
		return -1
	}
	return 1
}

// allowed reports whether a copy at the server would meet the need, memory aside.
func (p *plan) allowed(n need, s *serverState) bool {
	if !s.Usable || s.Closed || s.holds(n.model.Name) {
		return false
	}
	if n.class == ClassSpread && n.model.byDataCentre[s.DataCentre] > 0 {
		return false
	}
	return n.model.Base == "" || s.resident[n.model.Base]
}

func (p *plan) load(n need, s *serverState) {
	p.propose(Load, n.model, s, n.class, "")
	s.free -= n.model.MemoryMB
	s.models[n.model.Name] = loading
	s.victimsKnown = false // the load may need one of them as its base model
	n.model.at = append(n.model.at, s)
	n.model.add(s.DataCentre)
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
		Copies: m.copies(), Wanted: max(1, m.MinCopies, m.Copies), Rate: m.Rate, FreeMB: s.free,
	})
}

func (p *plan) budget(m *modelState) int {
	if m.Base == "" {
		return p.loads
	}
	return p.adapterLoads
}
