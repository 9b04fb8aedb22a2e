package ingress

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/dispatch"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// absentFor is the time for which a server's word that it lacks a model goes before older reports: a report and its
// way here.
const absentFor = 400 * time.Millisecond

// replacedFor is the time for which a server counts as replaced if the list says nothing new of it: the longest that an
// entry of an ended server stays, and short enough for a server that a single wrong answer named as replaced.
const replacedFor = 5 * time.Second

// anyAdapter stands for all adapters that a server does not hold, while its agent cannot have any loaded.
const anyAdapter = "\x00adapter"

// absences remembers which server said that it lacks a model, and which is no longer at its address.
type absences struct {
	mu       sync.Mutex
	at       map[[2]string]time.Duration // by server and model
	replaced map[string]replacement      // servers at whose address another one answered
}

// replacement is what was known of a server when another one answered at its address.
type replacement struct {
	listVersion int64
	at          time.Duration
}

func newAbsences() *absences {
	return &absences{at: make(map[[2]string]time.Duration), replaced: make(map[string]replacement)}
}

// noteReplaced records that another server answers at the address that the list gave for this one. The list lags behind
// when many servers start again at once; its next entry for the server counts again.
func (a *absences) noteReplaced(r *fleet.Replica, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replaced[r.ID] = replacement{r.ListVersion, now}
}

func (a *absences) isReplaced(r *fleet.Replica, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	was, ok := a.replaced[r.ID]
	return ok && r.ListVersion <= was.listVersion && now-was.at < replacedFor
}

func (a *absences) forget(server string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.replaced, server)
}

func (a *absences) note(server, model string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, at := range a.at {
		if now-at > absentFor {
			delete(a.at, k)
		}
	}
	a.at[[2]string{server, model}] = now
}

func (a *absences) has(server, model string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.at[[2]string{server, model}]
	return ok && now-at < absentFor
}

// holds reports whether the server holds a base model and no unload of it is under way.
func (s *Server) holds(r *fleet.Replica, model string, now time.Duration) bool {
	if s.absent.has(r.ID, model, now) {
		return false
	}
	if u, fresh := s.opts.Agents.Status(r, now); fresh {
		if u.GetUnloading() == model {
			return false
		}
		for _, m := range u.GetModels() {
			if m.GetModel() == model {
				return true
			}
		}
		return false
	}
	return slices.ContainsFunc(r.Models, func(m fleet.HeldModel) bool { return m.Name == model })
}

// adapterState tells whether a server has an adapter, and if not, whether its agent can have it loaded.
func (s *Server) adapterState(r *fleet.Replica, model, adapter string, now time.Duration) (has, loadable bool) {
	if u, fresh := s.opts.Agents.Status(r, now); fresh {
		for _, m := range u.GetModels() {
			if m.GetModel() == model && slices.Contains(m.GetAdapters(), adapter) {
				return !s.absent.has(r.ID, model+"/"+adapter, now), true
			}
		}
		return false, !u.GetBusy() && !s.absent.has(r.ID, anyAdapter, now)
	}
	for _, m := range r.Models {
		if m.Name == model && slices.Contains(m.Adapters, adapter) {
			return !s.absent.has(r.ID, model+"/"+adapter, now), false
		}
	}
	return false, false
}

// candidates returns the servers that may get the request now. Without any, the kind says why.
func (q *request) candidates(now time.Duration) ([]dispatch.Candidate, map[string]*fleet.Replica, errkind.Kind) {
	s := q.server
	snapshot := s.opts.View.Snapshot()
	service := q.config.Services[q.service]
	if current := snapshot.Config.Services[q.service]; current != nil {
		service = current
	}
	why := errkind.NoCandidate
	var list []dispatch.Candidate
	byID := make(map[string]*fleet.Replica)
	for _, r := range snapshot.Services[q.service] {
		switch {
		case q.tried[r.ID], s.absent.isReplaced(r, now):
			continue
		case r.Draining, s.leaving(r, now):
			why = firstReason(why, errkind.Draining)
			continue
		case snapshot.Out[r.DataCentre]:
			why = firstReason(why, errkind.DataCentreOut)
			continue
		}
		c := dispatch.Candidate{ID: r.ID, Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots}
		if q.model != "" {
			if !s.holds(r, q.model, now) {
				why = errkind.ModelNotResident
				continue
			}
			if q.caller.Adapter != "" {
				has, loadable := s.adapterState(r, q.model, q.caller.Adapter, now)
				if !has && !loadable {
					why = errkind.ModelNotResident
					continue
				}
				c.AdapterMissing = !has
			}
		}
		turn, ok := s.coldTurn(r, service, now)
		if !ok || turn > q.turnPatience() {
			why = firstReason(why, errkind.WarmingUp)
			continue
		}
		c.TurnWaitMS = float64(turn) / float64(time.Millisecond)
		_, c.HostReporting = s.opts.Agents.Status(r, now)
		s.opts.Table.Fill(&c, now, q.model, q.service, q.prompt)
		if service != nil && service.MaxConnections > 0 && c.InFlight >= service.MaxConnections {
			why = firstReason(why, errkind.Overloaded)
			continue // the server resets further connections
		}
		if service != nil && service.Engine != nil {
			c.CapacityTokens = float64(service.Engine.CacheTokens)
		}
		c.NeededTokens = c.UncachedTokens + q.output
		list = append(list, c)
		byID[r.ID] = r
	}
	return list, byID, why
}

// firstReason keeps an earlier reason. A model that could be loaded at a server in service goes before all others and is
// set by itself: such a request may wait.
func firstReason(earlier, reason errkind.Kind) errkind.Kind {
	if earlier != errkind.NoCandidate {
		return earlier
	}
	return reason
}

// leaving reports whether the server's own report says that it is draining.
func (s *Server) leaving(r *fleet.Replica, now time.Duration) bool {
	u, fresh := s.opts.Agents.Status(r, now)
	return fresh && u.GetDraining()
}
