package sidecar

import (
	"context"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Actions of a ModelOrder.
const (
	actionLoad   = "load"
	actionUnload = "unload"
)

// answerOrder accepts or refuses a ModelOrder and returns the reply.
func (s *Server) answerOrder(ctx context.Context, o *wirepb.ModelOrder) *wirepb.OrderReply {
	err := s.acceptOrder(ctx, o)
	reply := &wirepb.OrderReply{OrderId: o.GetOrderId(), Kind: int32(errkind.Of(err))}
	choice := "order taken"
	if err != nil {
		choice, reply.Detail = "order refused", err.Error()
	}
	s.log.Info("placement", "order_id", o.GetOrderId(), "epoch", o.GetPlannerEpoch(), "action", o.GetAction(),
		"model", o.GetModel(), "choice", choice, "reason", o.GetReason(), "error", err)
	return reply
}

func (s *Server) acceptOrder(ctx context.Context, o *wirepb.ModelOrder) error {
	snapshot, err := s.confirmedConfig(ctx, "", 0)
	if err != nil {
		return err
	}
	model, ok := snapshot.Model(o.GetModel())
	if !ok || model.Service != s.opts.Settings.Backend.Service {
		return errkind.New(errkind.ModelUnknown, "model %q does not belong to service %q",
			o.GetModel(), s.opts.Settings.Backend.Service)
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
		return s.applyAdapterOrder(ctx, o.GetAction(), model)
	case o.GetAction() == actionLoad:
		return s.acceptLoad(model)
	default:
		return s.acceptUnload(ctx, model)
	}
	return errkind.New(errkind.BadRequest, "action %q: expected load or unload", o.GetAction())
}

func (s *Server) acceptLoad(model config.Model) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return errkind.New(errkind.Draining, "host %q", s.opts.Settings.Process.Host)
	}
	if !s.engineStateKnown() {
		return errkind.New(errkind.NotReady, "the engine's state is not known")
	}
	r, ok := s.models[model.Name]
	switch {
	case ok && (r.unloadPending || r.removingFromRow):
		return errkind.New(errkind.ModelNotResident, "model %q is being unloaded", model.Name)
	case ok && (r.loadPending || r.state == stateReady):
		return nil
	}
	if _, err := s.ledger.Load(time.Now(), model.Name, model.MemoryMB); err != nil {
		return err
	}
	r = s.residency(model.Name)
	r.loadPending, r.memoryMB, r.loadSentAt, r.loadAttempts = true, model.MemoryMB, time.Time{}, 0
	s.wakeResidency()
	return nil
}

// acceptUnload removes this sidecar from the copies row before the model is unloaded. It fails if fewer than the
// model's minimum of other copies serve it, or if the table service is not available.
func (s *Server) acceptUnload(ctx context.Context, model config.Model) error {
	s.mu.Lock()
	r, ok := s.models[model.Name]
	if !ok || r.unloadPending || r.removingFromRow {
		s.mu.Unlock()
		return nil
	}
	r.removingFromRow = true
	s.mu.Unlock()
	err := s.copyRegistry.remove(ctx, model.Name, max(model.MinCopies, 1))
	s.mu.Lock()
	defer s.mu.Unlock()
	r.removingFromRow = false
	if err != nil {
		// The removal may have succeeded and its answer been lost, so the row is compared again.
		r.listed = false
		return err
	}
	r.unloadPending, r.loadPending, r.listed = true, false, false
	for item, t := range s.tasks {
		if baseOf(t.model) == model.Name {
			s.refuseQueued(item, errkind.New(errkind.ModelNotResident, "model %q is being unloaded", model.Name))
		}
	}
	s.wakeResidency()
	return nil
}
