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

// name returns the name of the model that the adapters depend on.
func (v victim) name() string { return v.models[len(v.models)-1].Name }

// makeRoom proposes the unloads that make room for a need at one server, the one where the least
// important copies and the least memory are lost. The load follows in a later plan, when the server
// reports the memory as free; until then the room is claimed, and the load counts in the budget so that
// no more copies are given up than can be replaced.
func (p *plan) makeRoom(n need) {
	var best *serverState
	var bestLoss loss
	for _, s := range p.servers {
		missing := n.model.MemoryMB - s.available() - s.freeing
		// Most servers of a full fleet end here, before the look-ups by name.
		if missing > 0 && !p.expendable(s, n.class) || !p.allowed(n, s) || !p.affordable(n.model, s) {
			continue
		}
		if missing <= 0 {
			s.claim(n.model.MemoryMB) // unloads under way suffice
			p.spend(n.model, s)
			return
		}
		l, ok := p.lossFor(s, n, missing)
		if ok && (best == nil || l.cheaper(bestLoss)) {
			best, bestLoss = s, l
		}
	}
	if best == nil {
		return
	}
	for _, v := range p.victims(best)[:bestLoss.victims] {
		if v.name() == n.model.Base {
			continue
		}
		for _, m := range v.models {
			if best.resident[m.Name] {
				p.unload(m, best, v.class, n.model.Name)
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
	s.freeing += m.MemoryMB
	m.remove(s.DataCentre)
	for _, holder := range m.at {
		holder.victimsKnown = false // the classes of the other copies change
	}
}

// victims returns the resident models of a server, the least important copies first. The result is kept
// until a copy of one of them comes or goes. Without that, a plan in which no need could be met sorted the
// models of every server for every need, 319 ms of processor time at 230 models and 1,900 servers.
func (p *plan) victims(s *serverState) []victim {
	if s.victimsKnown {
		return s.victims
	}
	s.victims = s.victims[:0]
	for name := range s.resident {
		if m := p.byName[name]; m != nil {
			s.victims = append(s.victims, p.victim(s, m))
		}
	}
	slices.SortFunc(s.victims, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(b.class, a.class),
			cmp.Compare(a.models[0].Rate, b.models[0].Rate),
			cmp.Compare(a.name(), b.name()))
	})
	s.victimsKnown = true
	return s.victims
}

// expendable reports whether the server has a copy of a class below the given one.
func (p *plan) expendable(s *serverState, class Class) bool {
	victims := p.victims(s)
	return len(victims) > 0 && victims[0].class > class
}

// loss is what a server gives up to make room.
type loss struct {
	victims  int   // length of the list's part that is unloaded, but for the need's base model
	worst    Class // of the most important copy
	far      bool  // the load that follows needs the weight store
	memoryMB int64
}

// lossFor returns the loss of the least important copies that free the missing memory, and false if
// those of a class below the need's do not suffice.
func (p *plan) lossFor(s *serverState, n need, missing int64) (loss, bool) {
	l := loss{worst: ClassSurplus, far: !s.nearby[n.model.Name]}
	for i, v := range p.victims(s) {
		if v.class <= n.class {
			break
		}
		if v.name() == n.model.Base {
			continue
		}
		l.worst = min(l.worst, v.class)
		l.memoryMB += v.memoryMB
		if l.memoryMB >= missing {
			l.victims = i + 1
			return l, true
		}
	}
	return loss{}, false
}

// cheaper reports whether l costs less than o.
func (l loss) cheaper(o loss) bool {
	return cmp.Or(
		cmp.Compare(o.worst, l.worst), cmp.Compare(boolInt(l.far), boolInt(o.far)),
		cmp.Compare(l.memoryMB, o.memoryMB)) < 0
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
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
