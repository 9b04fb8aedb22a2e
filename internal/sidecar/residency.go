package sidecar

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/engineclient"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/memoryledger"
)

const (
	stateReady       = "READY"
	stateUnavailable = "UNAVAILABLE"
	// maxFailedStateReads is the number of failed reads of the engine's state in a row from which on its models no
	// longer count as resident.
	maxFailedStateReads = 3
	// loadRetryDelay is the time after which a load order that shows no effect is sent again.
	loadRetryDelay = 5 * time.Second
	// unloadRetryDelay is the time after which an unload order that shows no effect is sent again.
	unloadRetryDelay = 2 * time.Second
	// maxLoadAttempts bounds the load orders for one request of the planner.
	maxLoadAttempts = 5
)

// residency is the reported and the ordered state of one base model.
type residency struct {
	state           string // as last reported; empty if not reported
	memoryMB        int64
	loadPending     bool      // a load was ordered by the planner and is not confirmed by the engine
	loadSentAt      time.Time // zero if the load order has not been sent yet
	loadAttempts    int
	unloadSentAt    time.Time // when the last unload order was sent
	removingFromRow bool      // this sidecar is being removed from the copies row before an unload
	unloadPending   bool      // the model is unloaded as soon as no request runs on it
	listed          bool      // this sidecar is in the copies row
	rowChecked      bool      // the copies row was compared with the engine's state since this process started
}

func (s *Server) engineStateKnown() bool {
	return s.backendIncarnation != "" && s.failedStateReads < maxFailedStateReads
}

// resident reports whether a base model may be served now. The caller holds the lock.
func (s *Server) resident(name string) bool {
	r, ok := s.models[name]
	return ok && r.state == stateReady && !r.unloadPending && s.engineStateKnown()
}

// canServe reports whether a model or adapter is loaded and may be served. The caller holds the lock.
func (s *Server) canServe(name string) bool {
	if a, ok := s.adapters[name]; ok {
		return a.loaded && s.resident(a.base)
	}
	return s.resident(name)
}

// runResidency reads the engine's state and sends the orders that are due, at each poll interval and wake-up, until ctx
// ends.
func (s *Server) runResidency(ctx context.Context) error {
	ticker := time.NewTicker(s.opts.Settings.Backend.PollInterval.D())
	defer ticker.Stop()
	for {
		s.reconcile(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.residencyWake:
		}
	}
}

func (s *Server) wakeResidency() {
	select {
	case s.residencyWake <- struct{}{}:
	default:
	}
}

// reconcile reads the engine's state once and sends the orders that are due.
func (s *Server) reconcile(ctx context.Context) {
	s.mu.Lock()
	askedAt := time.Now()
	mark := s.ledger.BeginReport(askedAt)
	s.mu.Unlock()
	state, err := s.engine.State(ctx)
	if err != nil {
		s.stateReadFailed(err)
		return
	}
	names := s.applyState(mark, askedAt, state)
	for _, name := range names {
		s.reconcileModel(ctx, name)
	}
}

func (s *Server) stateReadFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedStateReads++
	if s.failedStateReads == maxFailedStateReads {
		s.ramp.RecordFailure()
		s.log.Warn("engine state not readable; its models no longer count as resident", "error", err)
	}
	if s.suspectSince.IsZero() && s.engineStateKnown() {
		return
	}
	for item := range s.tasks {
		s.refuseQueued(item, errkind.Wrap(errkind.BackendUnreachable, err, "read the engine's state"))
	}
}

// applyState records a report that was requested at askedAt, and returns the models to reconcile.
func (s *Server) applyState(mark memoryledger.ReportTime, askedAt time.Time, state engineclient.State) []string {
	snapshot := s.opts.Config.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedStateReads = 0
	if state.Incarnation != s.backendIncarnation {
		s.log.Info("backend server has a new incarnation; prefixes cleared",
			"incarnation", state.Incarnation, "before", s.backendIncarnation)
		s.backendIncarnation = state.Incarnation
		s.recentPrefixes = nil
	}
	s.ramp.ConfirmIncarnation(state.Incarnation, askedAt)
	report := memoryledger.EngineState{
		Incarnation: state.Incarnation, TotalMB: state.MemoryTotalMB, UsedMB: state.MemoryUsedMB,
		Running: state.Running + state.Waiting,
		Models:  make(map[string]int64), Adapters: make(map[string]int64),
	}
	for _, r := range s.models {
		r.state = ""
	}
	for _, m := range state.Models {
		r := s.residency(m.Name)
		r.state = m.State
		if m.State != stateUnavailable {
			report.Models[m.Name] = m.MemoryMB
		}
	}
	s.applyAdapterState(snapshot, askedAt, state, report.Adapters)
	s.ledger.Observe(mark, report)
	if !askedAt.Before(s.suspectSince) {
		s.suspectSince = time.Time{}
	}
	for item, t := range s.tasks {
		if base := baseOf(t.model); !s.resident(base) {
			s.refuseQueued(item, errkind.New(errkind.ModelNotResident, "model %q is no longer loaded", base))
		}
	}
	s.dispatch()
	return s.modelNames(snapshot)
}

// modelNames returns the models to compare with the engine's state: the known ones and all others of the service,
// whose copies rows may still list this sidecar from an earlier process. The caller holds the lock.
func (s *Server) modelNames(snapshot *config.Snapshot) []string {
	if snapshot != nil {
		for _, m := range snapshot.Models() {
			if !m.Adapter() && m.Service == s.opts.Settings.Backend.Service {
				s.residency(m.Name)
			}
		}
	}
	return slices.Sorted(maps.Keys(s.models))
}

func (s *Server) residency(name string) *residency {
	r, ok := s.models[name]
	if !ok {
		r = new(residency)
		s.models[name] = r
	}
	return r
}

// reconcileModel compares one model with the engine's state, updates its copies row and sends a load or unload order
// if one is due.
func (s *Server) reconcileModel(ctx context.Context, name string) {
	s.mu.Lock()
	r := s.residency(name)
	ready := r.state == stateReady
	if ready && r.loadPending {
		r.loadPending = false
		s.log.Info("placement", "model", name, "choice", "resident", "reason", "the engine reports it ready")
	}
	absent := r.state == "" || r.state == stateUnavailable
	if absent && !r.loadPending && !r.removingFromRow && !r.unloadPending && s.ledger.HasModel(name) {
		// The engine lost the model. An unload order has a higher fencing number, so that load orders which arrive
		// later are refused before the memory is released.
		r.unloadPending = true
	}
	add := ready && !r.listed && !r.unloadPending && !r.removingFromRow
	delist := !ready && (r.listed || !r.rowChecked)
	load := r.loadPending && !ready &&
		(r.loadSentAt.IsZero() || (r.state != "LOADING" && time.Since(r.loadSentAt) > loadRetryDelay))
	unload := r.unloadPending && s.runningOn(name) == 0 &&
		(!s.ledger.HasModel(name) || time.Since(r.unloadSentAt) > unloadRetryDelay)
	s.mu.Unlock()
	switch {
	case add:
		s.recordListing(r, name, s.copyRegistry.add(ctx, name), true)
	case delist:
		s.recordListing(r, name, s.copyRegistry.remove(ctx, name, 0), false)
	}
	if load {
		s.sendLoad(ctx, name, r)
	}
	if unload {
		s.sendUnload(ctx, name, r)
	}
}

// recordListing records the result of a change of the copies row. After an error the change is retried.
func (s *Server) recordListing(r *residency, name string, err error, listed bool) {
	if err != nil {
		s.log.Warn("copies row not changed; will retry", "model", name, "listed", listed, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.listed, r.rowChecked = listed, true
}

// runningOn counts the started requests on a base model and its adapters. The caller holds the lock.
func (s *Server) runningOn(base string) int {
	n := 0
	for _, t := range s.tasks {
		if t.started && baseOf(t.model) == base {
			n++
		}
	}
	return n
}

// sendLoad sends the load order with a new fencing number. It reuses the reservation made when the planner's order was
// accepted.
func (s *Server) sendLoad(ctx context.Context, name string, r *residency) {
	s.mu.Lock()
	now := time.Now()
	fencing, err := s.ledger.Load(now, name, r.memoryMB)
	r.loadAttempts++
	r.loadSentAt = now
	if r.loadAttempts > maxLoadAttempts {
		// An unload order ends the attempt: an engine that checks fencing numbers then refuses late load orders.
		r.loadPending, r.unloadPending = false, true
		err = errkind.New(errkind.BackendFailed, "%d load orders had no effect", maxLoadAttempts)
	}
	mb := r.memoryMB
	s.mu.Unlock()
	if err != nil {
		s.log.Warn("placement", "model", name, "choice", "load not ordered", "reason", err.Error())
		return
	}
	accepted, err := s.engine.Load(ctx, name, fencing, mb)
	if err == nil && !accepted {
		s.mu.Lock()
		s.ledger.OrderRejected()
		r.loadSentAt = time.Time{}
		s.mu.Unlock()
	}
	s.log.Info("placement", "model", name, "choice", "load ordered", "fencing_number", fencing, "memory_mb", mb,
		"taken", accepted, "reason", "order of the planner", "error", err)
}

// sendUnload sends the unload order with a new fencing number, or deletes the model's state once the ledger shows that its
// memory is free.
func (s *Server) sendUnload(ctx context.Context, name string, r *residency) {
	s.mu.Lock()
	if !s.ledger.HasModel(name) {
		delete(s.models, name)
		s.mu.Unlock()
		s.log.Info("placement", "model", name, "choice", "unloaded", "reason", "the engine reports its memory free")
		return
	}
	if r.state == "UNLOADING" {
		s.mu.Unlock()
		return
	}
	r.unloadSentAt = time.Now()
	fencing := s.ledger.Unload(name)
	adapters := s.adaptersOf(name)
	s.mu.Unlock()
	for _, a := range adapters {
		s.unloadAdapter(ctx, a)
	}
	accepted, err := s.engine.Unload(ctx, name, fencing)
	s.mu.Lock()
	switch {
	case accepted:
		s.ledger.UnloadAccepted(name, fencing)
	case err == nil:
		s.ledger.OrderRejected()
		r.unloadSentAt = time.Time{}
	}
	s.mu.Unlock()
	s.log.Info("placement", "model", name, "choice", "unload ordered", "fencing_number", fencing, "taken", accepted,
		"reason", "order of the planner", "error", err)
}
