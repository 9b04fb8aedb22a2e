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

// absences remembers which server said that it lacks a model.
type absences struct {
	mu sync.Mutex
	at map[[2]string]time.Duration // by server and model
}

func newAbsences() *absences { return &absences{at: make(map[[2]string]time.Duration)} }

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
		return false, !u.GetBusy()
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
	_, gateways := s.opts.Gateways()
	why := errkind.NoCandidate
	var list []dispatch.Candidate
	byID := make(map[string]*fleet.Replica)
	for _, r := range snapshot.Services[q.service] {
		switch {
		case q.tried[r.ID]:
			continue
		case r.Draining:
			why = errkind.Draining
			continue
		case snapshot.Out[r.DataCentre]:
			why = errkind.DataCentreOut
			continue
		case s.leaving(r, now):
			why = errkind.Draining
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
				c.NoAdapter = !has
			}
		}
		if service != nil && service.ColdPerSecond > 0 && s.cold.isCold(r, now) &&
			!s.cold.free(r.ID, service.ColdPerSecond, gateways, now) {
			why = errkind.WarmingUp
			continue
		}
		s.opts.Table.Fill(&c, now, q.model, q.service, q.prompt)
		if service != nil && service.Engine != nil {
			c.Capacity = float64(service.Engine.CacheTokens)
		}
		c.Need = c.Uncached + q.output
		list = append(list, c)
		byID[r.ID] = r
	}
	return list, byID, why
}

// leaving reports whether the server's own report says that it is draining.
func (s *Server) leaving(r *fleet.Replica, now time.Duration) bool {
	u, fresh := s.opts.Agents.Status(r, now)
	return fresh && u.GetDraining()
}

// coldShares bounds the requests of this gateway to each cold server.
type coldShares struct {
	mu      sync.Mutex
	servers map[string]*coldServer
}

type coldServer struct {
	listed int64         // version of the entry that said it is cold
	until  time.Duration // end of the cold time
	tokens float64
	at     time.Duration
}

func newColdShares() *coldShares { return &coldShares{servers: make(map[string]*coldServer)} }

// isCold reports whether the server is cold, counting its remaining time from the entry that named it.
func (c *coldShares) isCold(r *fleet.Replica, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[r.ID]
	if s == nil {
		if r.Cold <= 0 {
			return false
		}
		s = &coldServer{at: now, tokens: 1}
		c.servers[r.ID] = s
	}
	if s.listed != r.ListVersion {
		s.listed, s.until = r.ListVersion, now+r.Cold
	}
	return now < s.until
}

// coldBurst is how many requests a gateway may send a cold server at once.
const coldBurst = 2

// free reports whether this gateway's share of what a cold server bears has room for another request.
func (c *coldShares) free(id string, perSecond float64, gateways int, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	s.tokens = min(s.tokens+(now-s.at).Seconds()*perSecond/float64(max(1, gateways)), coldBurst)
	s.at = now
	return s.tokens >= 1
}

// spend counts a request to a server.
func (c *coldShares) spend(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[id]; s != nil {
		s.tokens = max(0, s.tokens-1)
	}
}
