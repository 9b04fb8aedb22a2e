package placement

import (
	"cmp"
	"slices"
)

// evictionCandidate is a model that may be unloaded from a server, with the adapters that depend on it there.
type evictionCandidate struct {
	models   []*modelState // in the order in which they are unloaded
	class    Class         // of the most important copy among them
	memoryMB int64
}

// name returns the name of the model itself, which is the last of models because its adapters are unloaded before it.
func (v evictionCandidate) name() string { return v.models[len(v.models)-1].Name }

// makeRoom proposes the unloads that make room for a need at one server: the one that loses the least important copies
// and the least memory. A later plan proposes the load, when the server reports the memory as free. Until then the
// memory is claimed, and the load counts in the budget so that no more copies are unloaded than can be replaced.
func (p *plan) makeRoom(n need) {
	var best *serverState
	var lowestCost evictionCost
	for _, s := range p.servers {
		missingMB := n.model.MemoryMB - s.availableMB() - s.freeingMB
		// hasCopyBelow comes first: in a full fleet it excludes most servers without the more expensive look-ups by name.
		if missingMB > 0 && !p.hasCopyBelow(s, n.class) || !p.eligible(n, s) || !p.withinBudget(n.model, s) {
			continue
		}
		if missingMB <= 0 {
			s.claim(n.model.MemoryMB) // unloads in progress free enough memory
			p.spend(n.model, s)
			return
		}
		cost, ok := p.evictionCostAt(s, n, missingMB)
		if ok && (best == nil || cost.cheaper(lowestCost)) {
			best, lowestCost = s, cost
		}
	}
	if best == nil {
		return
	}
	for _, candidate := range p.evictionCandidates(best)[:lowestCost.evictionCandidates] {
		if candidate.name() == n.model.Base {
			continue
		}
		for _, m := range candidate.models {
			if best.resident[m.Name] {
				p.unload(m, best, candidate.class, n.model.Name)
			}
		}
	}
	best.claim(n.model.MemoryMB)
	p.spend(n.model, best)
}

func (p *plan) unload(m *modelState, s *serverState, class Class, forModel string) {
	p.propose(Unload, m, s, class, forModel)
	delete(s.resident, m.Name)
	s.models[m.Name] = unloading
	s.freeingMB += m.MemoryMB
	m.removeResident(s.DataCentre)
	for _, holder := range m.holders {
		holder.candidatesValid = false // the classes of the other copies change
	}
}

// evictionCandidates returns the resident models of a server, the least important copies first. The result is cached
// until a copy of one of them is added or removed. Without the cache, a plan in which no need can be met sorts the models
// of every server for every need, which takes 319 ms of processor time at 230 models and 1,900 servers.
func (p *plan) evictionCandidates(s *serverState) []evictionCandidate {
	if s.candidatesValid {
		return s.evictionCandidates
	}
	s.evictionCandidates = s.evictionCandidates[:0]
	for name := range s.resident {
		if m := p.byName[name]; m != nil {
			s.evictionCandidates = append(s.evictionCandidates, p.evictionCandidate(s, m))
		}
	}
	slices.SortFunc(s.evictionCandidates, func(a, b evictionCandidate) int {
		return cmp.Or(
			cmp.Compare(b.class, a.class),
			cmp.Compare(a.models[0].Rate, b.models[0].Rate),
			cmp.Compare(a.name(), b.name()))
	})
	s.candidatesValid = true
	return s.evictionCandidates
}

// hasCopyBelow reports whether the server has a copy of a less important class than the given one.
func (p *plan) hasCopyBelow(s *serverState, class Class) bool {
	evictionCandidates := p.evictionCandidates(s)
	return len(evictionCandidates) > 0 && evictionCandidates[0].class > class
}

// evictionCost is what is lost when a server makes room for a need.
type evictionCost struct {
	evictionCandidates int   // number of leading eviction candidates to unload, except the need's own base model
	highestClass       Class // of the most important copy among them
	fromStore          bool  // the subsequent load needs the weight store
	memoryMB           int64
}

// evictionCostAt returns the cost of unloading the least important copies that free the missing memory, and false if the
// copies of less important classes than the need's do not free enough.
func (p *plan) evictionCostAt(s *serverState, n need, missingMB int64) (evictionCost, bool) {
	cost := evictionCost{highestClass: ClassSurplus, fromStore: !s.nearby[n.model.Name]}
	for i, candidate := range p.evictionCandidates(s) {
		if candidate.class <= n.class {
			break
		}
		if candidate.name() == n.model.Base {
			continue
		}
		cost.highestClass = min(cost.highestClass, candidate.class)
		cost.memoryMB += candidate.memoryMB
		if cost.memoryMB >= missingMB {
			cost.evictionCandidates = i + 1
			return cost, true
		}
	}
	return evictionCost{}, false
}

// cheaper reports whether c is lower than other: first by the class, then by the need for the weight store, then by the
// memory.
func (c evictionCost) cheaper(other evictionCost) bool {
	return cmp.Or(
		cmp.Compare(other.highestClass, c.highestClass), cmp.Compare(boolInt(c.fromStore), boolInt(other.fromStore)),
		cmp.Compare(c.memoryMB, other.memoryMB)) < 0
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (p *plan) evictionCandidate(s *serverState, m *modelState) evictionCandidate {
	candidate := evictionCandidate{class: p.classWithout(m, s), memoryMB: m.MemoryMB}
	for name, state := range s.models {
		adapter := p.byName[name]
		if adapter == nil || adapter.Base != m.Name || state == unloading {
			continue
		}
		if state == loading {
			candidate.class = ClassReachable // the load in progress needs the base model
			continue
		}
		candidate.models = append(candidate.models, adapter)
		candidate.class = min(candidate.class, p.classWithout(adapter, s))
		candidate.memoryMB += adapter.MemoryMB
	}
	slices.SortFunc(candidate.models, func(a, b *modelState) int { return cmp.Compare(a.Name, b.Name) })
	candidate.models = append(candidate.models, m)
	return candidate
}

// classWithout returns the class of the model's copy at the server, by the copies that would remain without it. Only
// copies that can be served now count as remaining.
func (p *plan) classWithout(m *modelState, s *serverState) Class {
	remaining := m.residentCopies - 1
	dataCentres := len(m.residentByDataCentre)
	if m.residentByDataCentre[s.DataCentre] == 1 {
		dataCentres--
	}
	switch {
	case remaining < 1:
		return ClassReachable
	case p.dataCentres > 1 && dataCentres < 2:
		return ClassSpread
	case remaining < m.MinCopies:
		return ClassMinimum
	case remaining < m.Copies:
		return ClassDemand
	}
	return ClassSurplus
}
