package fleetgateway

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

// missingModelTTL is how long a server's response that it does not hold a model takes precedence over status reports,
// which may be older than the response. It covers the time until the next report has been sent and received.
const missingModelTTL = 400 * time.Millisecond

// replacedTTL is how long a server counts as replaced if the list has no newer entry for it. It is the longest time
// that the entry of a server that has ended stays in the list, and is short enough that a server marked as replaced
// by mistake, after a single wrong response, soon gets requests again.
const replacedTTL = 5 * time.Second

// anyAdapter stands for all adapters that a server does not hold, while its agent cannot load any of them.
const anyAdapter = "\x00adapter"

// exclusions records servers that responded that they lack a model, and servers that are no longer at their address.
type exclusions struct {
	mu       sync.Mutex
	at       map[[2]string]time.Duration // by server and model
	replaced map[string]replacement      // servers at whose address another one responded
}

// replacement is the state of a server's list entry when another server responded at its address.
type replacement struct {
	listVersion int64
	at          time.Duration
}

func newExclusions() *exclusions {
	return &exclusions{at: make(map[[2]string]time.Duration), replaced: make(map[string]replacement)}
}

// markReplaced records that another server responds at the address that the list gives for r. The list lags when
// many servers restart at the same time; the next list entry for the server ends the exclusion.
func (e *exclusions) markReplaced(r *fleet.Replica, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replaced[r.ID] = replacement{r.ListVersion, now}
}

func (e *exclusions) isReplaced(r *fleet.Replica, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	recorded, ok := e.replaced[r.ID]
	return ok && r.ListVersion <= recorded.listVersion && now-recorded.at < replacedTTL
}

func (e *exclusions) forget(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.replaced, server)
}

func (e *exclusions) add(server, model string, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, at := range e.at {
		if now-at > missingModelTTL {
			delete(e.at, k)
		}
	}
	e.at[[2]string{server, model}] = now
}

func (e *exclusions) has(server, model string, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.at[[2]string{server, model}]
	return ok && now-at < missingModelTTL
}

// holds reports whether the server holds a base model and is not unloading it.
func (s *Server) holds(r *fleet.Replica, model string, now time.Duration) bool {
	if s.excluded.has(r.ID, model, now) {
		return false
	}
	if u, fresh := s.opts.Agents.Report(r, now); fresh {
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
	return slices.ContainsFunc(r.Models, func(m fleet.ResidentModel) bool { return m.Name == model })
}

// adapterState reports whether a server holds an adapter, and if not, whether its agent can load it.
func (s *Server) adapterState(r *fleet.Replica, model, adapter string, now time.Duration) (has, loadable bool) {
	if u, fresh := s.opts.Agents.Report(r, now); fresh {
		for _, m := range u.GetModels() {
			if m.GetModel() == model && slices.Contains(m.GetAdapters(), adapter) {
				return !s.excluded.has(r.ID, model+"/"+adapter, now), true
			}
		}
		return false, !u.GetBusy() && !s.excluded.has(r.ID, anyAdapter, now)
	}
	for _, m := range r.Models {
		if m.Name == model && slices.Contains(m.Adapters, adapter) {
			return !s.excluded.has(r.ID, model+"/"+adapter, now), false
		}
	}
	return false, false
}

// candidates returns the servers that may get the request now. If there are none, the kind says why.
func (q *request) candidates(now time.Duration) ([]fleetroute.Candidate, map[string]*fleet.Replica, errkind.Kind) {
	s := q.server
	snapshot := s.opts.View.Snapshot()
	service := q.config.Services[q.service]
	if current := snapshot.Config.Services[q.service]; current != nil {
		service = current
	}
	why := errkind.NoCandidate
	var list []fleetroute.Candidate
	byID := make(map[string]*fleet.Replica)
	for _, r := range snapshot.Services[q.service] {
		switch {
		case q.tried[r.ID], s.excluded.isReplaced(r, now):
			continue
		case s.leaving(r, now):
			why = firstReason(why, errkind.Draining)
			continue
		case snapshot.OutOfService[r.DataCentre]:
			why = firstReason(why, errkind.DataCentreOut)
			continue
		}
		adapterMissing, ok := q.holdsModel(r, now)
		if !ok {
			why = errkind.ModelNotResident
			continue
		}
		if s.pause(r, now) > 0 {
			why = firstReason(why, errkind.Overloaded)
			continue
		}
		c := fleetroute.Candidate{ID: r.ID, Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots, AdapterMissing: adapterMissing}
		turn, ok := s.coldWait(r, service, now)
		if !ok || turn > q.turnWaitLimit() {
			why = firstReason(why, errkind.WarmingUp)
			continue
		}
		c.TurnWaitMS = float64(turn) / float64(time.Millisecond)
		_, c.HostReporting = s.opts.Agents.Report(r, now)
		s.opts.Table.Fill(&c, now, q.model, q.service, q.prompt)
		if service != nil && service.MaxConnections > 0 && c.InFlight >= service.MaxConnections {
			why = firstReason(why, errkind.Overloaded)
			continue // the server resets further connections
		}
		if service != nil && service.Engine != nil {
			c.CapacityTokens = float64(service.Engine.CacheTokens)
		}
		c.NeededTokens = c.UncachedTokens + q.outputTokens
		list = append(list, c)
		byID[r.ID] = r
	}
	return list, byID, why
}

// pick returns the index of the server that gets the request, or -1 if there are no candidates. With several gateways
// it chooses at random among servers that are about as good, because all of them decide from the same loads.
func (s *Server) pick(candidates []fleetroute.Candidate) int {
	if _, known := s.opts.Gateways(); known < 2 {
		return fleetroute.Choose(candidates, s.opts.DataCentre)
	}
	return fleetroute.ChooseAtRandom(candidates, s.opts.DataCentre, s.random)
}

// holdsModel reports whether a server holds what the request needs. An adapter may be missing if the server's agent can load it.
func (q *request) holdsModel(r *fleet.Replica, now time.Duration) (adapterMissing, ok bool) {
	switch {
	case q.model == "":
		return false, true
	case !q.server.holds(r, q.model, now):
		return false, false
	case q.caller.Adapter == "":
		return false, true
	}
	has, loadable := q.server.adapterState(r, q.model, q.caller.Adapter, now)
	return !has, has || loadable
}

// firstReason returns the earlier reason, if there is one. ModelNotResident is not passed to it: it overrides all
// other reasons, because a request whose model can be loaded at a server in service may wait.
func firstReason(earlier, reason errkind.Kind) errkind.Kind {
	if earlier != errkind.NoCandidate {
		return earlier
	}
	return reason
}
