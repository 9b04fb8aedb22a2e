package placement

import (
	"cmp"
	"slices"
)

// victim is a model at a server that may be unloaded, with the adapters that depend on it there.
type victim struct {
	models   []*modelState // in the order in which they are unloaded
	class    Class         // of the most important of them
	memoryMB int64
}

// makeRoom proposes the unloads that make room for a need at one server, the one where the least
// important copies and the least memory are lost. The load follows in a later plan, when the server
// reports the memory as free; until then the room is claimed, and the load counts in the budget so that
// no more copies are given up than can be replaced.
func (p *plan) makeRoom(n need) {
	var best *serverState
	var bestVictims []victim
	for _, s := range p.servers {
		if !p.allowed(n, s) {
			continue
		}
		missing := n.model.MemoryMB - s.available() - s.freeing
		if missing <= 0 {
			s.claim(n.model.MemoryMB) // unloads under way suffice
			p.spend(n.model)
			return
		}
		victims := p.victims(s, n, missing)
		if victims != nil && (best == nil || cheaper(victims, bestVictims)) {
			best, bestVictims = s, victims
		}
	}
	if best == nil {
		return
	}
	for _, v := range bestVictims {
		for _, m := range v.models {
			if best.resident[m.Name] {
				p.unload(m, best, v.class, n.model.Name)
			}
		}
	}
	best.claim(n.model.MemoryMB)
	p.spend(n.model)
}

func (p *plan) unload(m *modelState, s *serverState, class Class, forModel string) {
	p.propose(Unload, m, s, class, forModel)
	delete(s.resident, m.Name)
	s.models[m.Name] = unloading
	s.freeing += m.MemoryMB
	m.remove(s.DataCentre)
}

// victims returns the least important copies at the server that free the missing memory, or nil if those
// of a class below the need's do not suffice.
func (p *plan) victims(s *serverState, n need, missing int64) []victim {
	var all []victim
	for name := range s.resident {
		if m := p.byName[name]; m != nil && name != n.model.Base {
			if v := p.victim(s, m); v.class > n.class {
				all = append(all, v)
			}
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(b.class, a.class),
			cmp.Compare(a.models[0].Rate, b.models[0].Rate),
			cmp.Compare(a.models[len(a.models)-1].Name, b.models[len(b.models)-1].Name))
	})
	for i, v := range all {
		if missing -= v.memoryMB; missing <= 0 {
			return all[:i+1]
		}
	}
	return nil
}

func (p *plan) victim(s *serverState, m *modelState) victim {
	v := victim{class: p.classOf(m, s), memoryMB: m.MemoryMB}
	for name, state := range s.models {
		adapter := p.byName[name]
		if adapter == nil || adapter.Base != m.Name || state == unloading {
			continue
		}
		if state == loading {
			v.class = ClassReachable // the load under way needs the base model
			continue
		}
		v.models = append(v.models, adapter)
		v.class = min(v.class, p.classOf(adapter, s))
		v.memoryMB += adapter.MemoryMB
	}
	slices.SortFunc(v.models, func(a, b *modelState) int { return cmp.Compare(a.Name, b.Name) })
	v.models = append(v.models, m)
	return v
}

// classOf returns the class that the model would lose with its copy at the server. Only copies that can be
// served now count as left.
func (p *plan) classOf(m *modelState, s *serverState) Class {
	left := m.resident - 1
	dataCentres := len(m.residentIn)
	if m.residentIn[s.DataCentre] == 1 {
		dataCentres--
	}
	switch {
	case left < 1:
		return ClassReachable
	case p.dataCentres > 1 && dataCentres < 2:
		return ClassSpread
	case left < m.MinCopies:
		return ClassMinimum
	case left < m.Copies:
		return ClassDemand
	}
	return ClassSurplus
}

// cheaper reports whether losing a costs less than losing b.
func cheaper(a, b []victim) bool {
	cost := func(vs []victim) (worst Class, memoryMB int64) {
		worst = ClassSurplus
		for _, v := range vs {
			worst = min(worst, v.class)
			memoryMB += v.memoryMB
		}
		return worst, memoryMB
	}
	classA, memoryA := cost(a)
	classB, memoryB := cost(b)
	return cmp.Or(cmp.Compare(classB, classA), cmp.Compare(memoryA, memoryB)) < 0
}
