package sidecar

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/engine"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/ledger"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	stateReady       = "READY"
	stateUnavailable = "UNAVAILABLE"
	// maxUnreachable is how many reads of the engine's state may fail in a row before its models no
	// longer count as resident.
	maxUnreachable = 3
	// loadRetry is the time after which a load order that shows no effect is sent again.
	loadRetry = 5 * time.Second
	// unloadRetry is the time after which an unload order that shows no effect is sent again.
	unloadRetry = 2 * time.Second
	// maxLoadTries bounds the load orders for one request of the planner.
	maxLoadTries = 5
)

// residency is what the sidecar knows and wants of one model.
type residency struct {
	state     string // as last reported; empty if not reported
	memoryMB  int64
	wanted    bool      // a load order of the planner is not yet confirmed
	sentAt    time.Time // zero if the load order is still to be sent
	tries     int
	unloadAt  time.Time // of the last unload order
	removing  bool      // the copies row is being changed for an unload
	leaving   bool      // the model may be unloaded when nothing runs on it
	listed    bool      // this sidecar is in the copies row
	corrected bool      // the copies row was compared with the engine's state since the start
}

func (s *Server) engineKnown() bool { return s.incarnation != "" && s.unreachable < maxUnreachable }

// resident reports whether a base model may be served now. The caller holds the lock.
func (s *Server) resident(name string) bool {
	r, ok := s.models[name]
	return ok && r.state == stateReady && !r.leaving && s.engineKnown()
}

// served reports whether a model or adapter is loaded and may be served. The caller holds the lock.
func (s *Server) served(name string) bool {
	if a, ok := s.adapters[name]; ok {
		return a.loaded && s.resident(a.base)
	}
	return s.resident(name)
}

// keepResidency reads the engine's state and acts on orders until ctx ends.
func (s *Server) keepResidency(ctx context.Context) error {
	ticker := time.NewTicker(s.opts.Settings.Backend.PollInterval.D())
	defer ticker.Stop()
	for {
		s.syncEngine(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.poke:
		}
	}
}

func (s *Server) wake() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// syncEngine reads the engine's state once and sends the orders that are due.
func (s *Server) syncEngine(ctx context.Context) {
	s.mu.Lock()
	askedAt := time.Now()
	mark := s.ledger.Begin(askedAt)
	s.mu.Unlock()
	state, err := s.engine.State(ctx)
	if err != nil {
		s.engineLost(err)
		return
	}
	names := s.observe(mark, askedAt, state)
	for _, name := range names {
		s.syncModel(ctx, name)
	}
}

func (s *Server) engineLost(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable++
	if s.unreachable == maxUnreachable {
		s.ramp.Bad()
		s.log.Warn("engine state is not readable", "error", err)
	}
}

// observe takes a report asked for at askedAt and returns the models to act on.
func (s *Server) observe(mark ledger.Mark, askedAt time.Time, state engine.State) []string {
	snapshot := s.opts.Config.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = 0
	if state.Incarnation != s.incarnation {
		s.log.Info("backend server started", "incarnation", state.Incarnation, "before", s.incarnation)
		s.incarnation = state.Incarnation
		s.prefixes = nil
	}
	s.ramp.Confirm(state.Incarnation, askedAt)
	report := ledger.EngineState{
		Incarnation: state.Incarnation, TotalMB: state.MemoryTotalMB, UsedMB: state.MemoryUsedMB, Running: state.Running + state.Waiting,
		Models: make(map[string]int64), Adapters: make(map[string]int64),
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
	s.observeAdapters(snapshot, askedAt, state, report.Adapters)
	s.ledger.Observe(mark, report)
	s.dispatch()
	return s.modelNames(snapshot)
}

// modelNames returns the models to compare with the engine's state: known ones and those of the service,
// which may still be listed in a copies row by an earlier process. The caller holds the lock.
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

// syncModel brings one model forward: copies row, load order, unload order.
func (s *Server) syncModel(ctx context.Context, name string) {
	s.mu.Lock()
	r := s.residency(name)
	ready := r.state == stateReady
	if ready && r.wanted {
		r.wanted = false
		s.log.Info("placement", "model", name, "choice", "resident", "reason", "the engine reports it ready")
	}
	absent := r.state == "" || r.state == stateUnavailable
	if absent && !r.wanted && !r.removing && !r.leaving && s.ledger.Held(name) {
		// The engine lost the model. An unload order makes late load orders old before memory is released.
		r.leaving = true
	}
	add := ready && !r.listed && !r.leaving && !r.removing
	correct := !ready && (r.listed || !r.corrected)
	load := r.wanted && !ready && (r.sentAt.IsZero() || (r.state != "LOADING" && time.Since(r.sentAt) > loadRetry))
	unload := r.leaving && s.runningOn(name) == 0 && (!s.ledger.Held(name) || time.Since(r.unloadAt) > unloadRetry)
	s.mu.Unlock()
	switch {
	case add:
		s.list(r, name, s.copies.add(ctx, name), true)
	case correct:
		s.list(r, name, s.copies.remove(ctx, name, 0), false)
	}
	if load {
		s.sendLoad(ctx, name, r)
	}
	if unload {
		s.sendUnload(ctx, name, r)
	}
}

// list notes the result of a change of the copies row; after an error it is tried again.
func (s *Server) list(r *residency, name string, err error, listed bool) {
	if err != nil {
		s.log.Warn("copies row not changed", "model", name, "listed", listed, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.listed, r.corrected = listed, true
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

// sendLoad sends the load order with a new fencing number. The reservation is the one made when the
// planner's order was taken.
func (s *Server) sendLoad(ctx context.Context, name string, r *residency) {
	s.mu.Lock()
	now := time.Now()
	fencing, err := s.ledger.Load(now, name, r.memoryMB)
	r.tries++
	r.sentAt = now
	if r.tries > maxLoadTries {
		// An unload order ends the attempt: an engine that checks orders then refuses the late ones.
		r.wanted, r.leaving = false, true
		err = errkind.New(errkind.BackendFailed, "%d load orders had no effect", maxLoadTries)
	}
	mb := r.memoryMB
	s.mu.Unlock()
	if err != nil {
		s.log.Warn("placement", "model", name, "choice", "load not ordered", "reason", err.Error())
		return
	}
	taken, err := s.engine.Load(ctx, name, fencing, mb)
	if err == nil && !taken {
		s.mu.Lock()
		s.ledger.OrderRefused()
		r.sentAt = time.Time{}
		s.mu.Unlock()
	}
	s.log.Info("placement", "model", name, "choice", "load ordered", "fencing_number", fencing, "memory_mb", mb,
		"taken", taken, "reason", "order of the planner", "error", err)
}

// sendUnload sends the unload order until the ledger shows that the memory is free.
func (s *Server) sendUnload(ctx context.Context, name string, r *residency) {
	s.mu.Lock()
	if !s.ledger.Held(name) {
		delete(s.models, name)
		s.mu.Unlock()
		s.log.Info("placement", "model", name, "choice", "unloaded", "reason", "the engine reports its memory free")
		return
	}
	if r.state == "UNLOADING" {
		s.mu.Unlock()
		return
	}
	r.unloadAt = time.Now()
	fencing := s.ledger.Unload(name)
	adapters := s.adaptersOf(name)
	s.mu.Unlock()
	for _, a := range adapters {
		s.dropAdapter(ctx, a)
	}
	taken, err := s.engine.Unload(ctx, name, fencing)
	s.mu.Lock()
	switch {
	case taken:
		s.ledger.UnloadTaken(name, fencing)
	case err == nil:
		s.ledger.OrderRefused()
		r.unloadAt = time.Time{}
	}
	s.mu.Unlock()
	s.log.Info("placement", "model", name, "choice", "unload ordered", "fencing_number", fencing, "taken", taken,
		"reason", "order of the planner", "error", err)
}

// Actions of a ModelOrder.
const (
	actionLoad   = "load"
	actionUnload = "unload"
)

// order answers a ModelOrder.
func (s *Server) order(ctx context.Context, o *wirepb.ModelOrder) *wirepb.OrderReply {
	err := s.takeOrder(ctx, o)
	reply := &wirepb.OrderReply{OrderId: o.GetOrderId(), Kind: int32(errkind.Of(err))}
	choice := "order taken"
	if err != nil {
		choice, reply.Detail = "order refused", err.Error()
	}
	s.log.Info("placement", "order_id", o.GetOrderId(), "epoch", o.GetPlannerEpoch(), "action", o.GetAction(),
		"model", o.GetModel(), "choice", choice, "reason", o.GetReason(), "error", err)
	return reply
}

func (s *Server) takeOrder(ctx context.Context, o *wirepb.ModelOrder) error {
	snapshot, err := s.confirmed(ctx, "", 0)
	if err != nil {
		return err
	}
	model, ok := snapshot.Model(o.GetModel())
	if !ok || model.Service != s.opts.Settings.Backend.Service {
		return errkind.New(errkind.ModelUnknown, "model %q is not of service %q", o.GetModel(), s.opts.Settings.Backend.Service)
	}
	s.mu.Lock()
	err = s.ledger.CheckEpoch(o.GetPlannerEpoch())
	s.mu.Unlock()
	if err != nil {
		return err
	}
	switch {
	case o.GetAction() != actionLoad && o.GetAction() != actionUnload:
	case model.Adapter():
		return s.takeAdapter(ctx, o.GetAction(), model)
	case o.GetAction() == actionLoad:
		return s.takeLoad(model)
	default:
		return s.takeUnload(ctx, model)
	}
	return errkind.New(errkind.BadRequest, "action %q: expected load or unload", o.GetAction())
}

func (s *Server) takeLoad(model config.Model) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return errkind.New(errkind.Draining, "host %q", s.opts.Settings.Process.Host)
	}
	if !s.engineKnown() {
		return errkind.New(errkind.NotReady, "the engine's state is not known")
	}
	r, ok := s.models[model.Name]
	switch {
	case ok && (r.leaving || r.removing):
		return errkind.New(errkind.ModelNotResident, "model %q is being unloaded", model.Name)
	case ok && (r.wanted || r.state == stateReady):
		return nil
	}
	if _, err := s.ledger.Load(time.Now(), model.Name, model.MemoryMB); err != nil {
		return err
	}
	r = s.residency(model.Name)
	r.wanted, r.memoryMB, r.sentAt, r.tries = true, model.MemoryMB, time.Time{}, 0
	s.wake()
	return nil
}

// takeUnload removes this sidecar from the copies row first, which needs another copy and the table service.
func (s *Server) takeUnload(ctx context.Context, model config.Model) error {
	s.mu.Lock()
	r, ok := s.models[model.Name]
	if !ok || r.leaving || r.removing {
		s.mu.Unlock()
		return nil
	}
	r.removing = true
	s.mu.Unlock()
	err := s.copies.remove(ctx, model.Name, max(model.MinCopies, 1))
	s.mu.Lock()
	defer s.mu.Unlock()
	r.removing = false
	if err != nil {
		// The answer of a removal may have been lost, so the row is compared again.
		r.listed = false
		return err
	}
	r.leaving, r.wanted, r.listed = true, false, false
	for item, t := range s.tasks {
		if baseOf(t.model) == model.Name {
			s.handBack(item, errkind.New(errkind.ModelNotResident, "model %q is being unloaded", model.Name))
		}
	}
	s.wake()
	return nil
}
