package sidecar

import (
	"maps"
	"slices"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// maxPrefixes bounds the number of prefix hashes kept.
const maxPrefixes = 64

// recentPrefixes holds the prefix hashes of recently completed requests, the latest last.
type recentPrefixes []string

func (p *recentPrefixes) add(hash string) {
	if hash == "" {
		return
	}
	kept := slices.DeleteFunc(*p, func(h string) bool { return h == hash })
	if len(kept) >= maxPrefixes {
		kept = slices.Delete(kept, 0, len(kept)-maxPrefixes+1)
	}
	*p = append(kept, hash)
}

func (p recentPrefixes) contains(hash string) bool { return hash != "" && slices.Contains(p, hash) }

// modelDemand is the demand for one model since the process started.
type modelDemand struct{ requests, tokens int64 }

// countDemand counts an admitted request. The caller holds the lock.
func (s *Server) countDemand(t *task) {
	if t.model.Name == "" {
		return
	}
	load, ok := s.demand[t.model.Name]
	if !ok {
		load = new(modelDemand)
		s.demand[t.model.Name] = load
	}
	load.requests++
}

// recordServed records a complete answer: its prefix hash and output tokens.
func (s *Server) recordServed(t *task, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentPrefixes.add(t.submit.GetPrefixHash())
	if load, ok := s.demand[t.model.Name]; ok {
		load.tokens += tokens
	}
}

// countEnd counts a Submit stream by the kind of its last frame.
func (s *Server) countEnd(kind errkind.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedByKind[kind]++
}

// Ended returns how many Submit streams ended with each kind since the process started, by the kind's code.
func (s *Server) Ended() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int64, len(s.endedByKind))
	for kind, n := range s.endedByKind {
		counts[kind.String()] = n
	}
	return counts
}

// Status returns the state that gateways use for routing. It may be stale as soon as it is read.
func (s *Server) Status() *wirepb.Status {
	snapshot := s.opts.Config.Snapshot()
	p := s.opts.Settings.Process
	status := &wirepb.Status{
		Identity: &wirepb.Identity{
			Host: p.Host, DataCentre: p.DataCentre, Role: "sidecar",
			Incarnation: s.opts.Incarnation, Address: s.opts.Address,
		},
		Service: s.opts.Settings.Backend.Service,
		Kind:    s.opts.Settings.Backend.Kind,
	}
	if snapshot != nil {
		status.ConfigVersion = snapshot.Version()
		status.DataCentreOut = s.checkDataCentre(snapshot) != nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.ramp.Limit()
	status.Running, status.Queued, status.Limit = int64(s.queue.Running()), int64(s.queue.Queued()), int64(limit)
	status.QueueMs = s.queue.Wait(new(admission.Item), limit).Milliseconds()
	status.Draining = s.draining
	status.PlannerEpoch = s.ledger.Epoch()
	status.BackendIncarnation = s.backendIncarnation
	status.Prefixes = slices.Clone(s.recentPrefixes)
	status.Ready = status.GetConfigVersion() > 0 && !s.draining && (!s.isModel() || s.engineStateKnown())
	if s.isModel() {
		s.fillModelStatus(status)
	}
	return status
}

func (s *Server) fillModelStatus(status *wirepb.Status) {
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		if s.resident(name) {
			status.Resident = append(status.Resident, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.adapters)) {
		if s.adapters[name].loaded {
			status.Adapters = append(status.Adapters, name)
		}
	}
	status.MemoryTotalMb = s.ledger.Total()
	status.MemoryFreeMb = max(s.ledger.Free(), 0)
	running := make(map[string]int64)
	for _, t := range s.tasks {
		if t.started {
			running[t.model.Name]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.demand)) {
		load := s.demand[name]
		status.ModelLoads = append(status.ModelLoads, &wirepb.ModelLoad{
			Model: name, Requests: load.requests, Tokens: load.tokens, Running: running[name],
		})
	}
}
