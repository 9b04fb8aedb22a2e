package agent

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// adapterPollInterval is the pause between two reads of the report while an adapter loads. A load takes some
	// milliseconds.
	adapterPollInterval = 4 * time.Millisecond
	// maxConflicts is the number of order conflicts at which a request for an adapter fails. The order that is being
	// carried out may wait for running requests, so the gateway should try another engine.
	maxConflicts = 2
	// maxPendingAdapters is the platform's documented limit on the adapters that one engine loads at the same time.
	maxPendingAdapters = 4
	// adapterMinResidency is the time after an adapter's load order within which it is not evicted for another one, so that
	// it can serve the request that it was loaded for.
	adapterMinResidency = 300 * time.Millisecond
)

// orderState returns the newest report and the target for an order to replica. It fails if the agent may not send one:
// StoreUnavailable without a fencing number, BackendUnreachable if the last read of the report failed, NoCandidate if
// replica is not the target or the engine's incarnation differs from the target's.
func (a *Agent) orderState(replica string) (*fleet.Report, *wirepb.AgentTarget, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.fencingNumber.Load() == 0:
		return nil, nil, errkind.New(errkind.StoreUnavailable, "the agent has no fencing number")
	case a.report == nil || a.readFailed:
		return nil, nil, errkind.New(errkind.BackendUnreachable, "the engine does not answer")
	case a.target == nil || a.target.GetReplica() != replica:
		return nil, nil, errkind.New(errkind.NoCandidate, "the agent does not control server %s", replica)
	case a.target.GetBorn() != 0 && a.report.Born != 0 && a.target.GetBorn() != a.report.Born:
		return nil, nil, errkind.New(errkind.NoCandidate, "the engine's incarnation differs from the one in the server list")
	}
	return a.report, a.target, nil
}

// sendOrder sends one order that is based on report r. The order carries the report's sequence number, so the engine
// refuses it if it has accepted any other order since, including one that arrived late.
func (a *Agent) sendOrder(ctx context.Context, r *fleet.Report, replica string, load bool, model, adapter, reason string) platform.OrderOutcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := platform.Order{
		Load: load, Model: model, Adapter: adapter, Sequence: r.Sequence, Holder: a.opts.Host, Fence: a.fencingNumber.Load(),
		Replica: replica,
	}
	outcome, err := a.opts.Engine.Send(ctx, order)
	a.opts.Log.Info("order", "server", replica, "load", load, "model", model, "adapter", adapter,
		"sequence", order.Sequence, "fence", order.Fence, "reason", reason, "outcome", outcome.String(), "error", err)
	return outcome
}

// EnsureAdapter loads an adapter of a resident model and returns when the engine reports it. If all adapter slots are
// taken, the adapter that was loaded first is evicted. The kinds of its errors are ModelNotResident if the engine does
// not hold the model or refuses the adapter, Overloaded after maxConflicts order conflicts, MemoryFull if no
// adapter may be evicted yet, DeadlineUnreachable if ctx ends first, and those of an engine that cannot be given orders:
// StoreUnavailable, BackendUnreachable and NoCandidate.
func (a *Agent) EnsureAdapter(ctx context.Context, requestID, replica, model, adapter string) error {
	ordered := false
	conflicts := 0
	for {
		report, target, err := a.orderState(replica)
		if err != nil {
			return err
		}
		adapters, held := adaptersOf(report, model)
		switch {
		case !held:
			return errkind.New(errkind.ModelNotResident, "the engine does not hold model %s", model)
		case slices.Contains(adapters, adapter):
			return nil
		}
		if !slices.Contains(report.PendingAdapters, model+"/"+adapter) && (!ordered || len(report.PendingAdapters) == 0) {
			var outcome platform.OrderOutcome
			if outcome, err = a.orderAdapter(ctx, target, model, adapter, requestID); err != nil {
				return err
			}
			ordered = outcome == platform.OrderAccepted || outcome == platform.OrderAlreadyInEffect
			if outcome == platform.OrderConflict {
				conflicts++
			}
			if conflicts >= maxConflicts {
				return errkind.New(errkind.Overloaded, "the engine is carrying out another order")
			}
		}
		if err := background.Sleep(ctx, adapterPollInterval); err != nil {
			return errkind.Wrap(errkind.DeadlineUnreachable, err, "adapter %s/%s was not loaded in time", model, adapter)
		}
		if err := a.refresh(ctx); err != nil {
			return errkind.Wrap(errkind.BackendUnreachable, err, "read the engine's report")
		}
	}
}

func adaptersOf(r *fleet.Report, model string) (adapters []string, held bool) {
	for _, m := range r.Models {
		if m.Name == model {
			return m.Adapters, true
		}
	}
	return nil, false
}

// orderAdapter orders the load of an adapter or, if all adapter slots are taken, one unload. It returns the outcome of the
// load, or OrderUnknown if no load was ordered. It returns OrderConflict if the engine is busy.
func (a *Agent) orderAdapter(ctx context.Context, target *wirepb.AgentTarget, model, adapter, requestID string) (platform.OrderOutcome, error) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if err := a.refresh(ctx); err != nil {
		return platform.OrderUnknown, errkind.Wrap(errkind.BackendUnreachable, err, "read the engine's report")
	}
	report, _ := a.currentReport()
	if adapters, _ := adaptersOf(report, model); slices.Contains(adapters, adapter) {
		return platform.OrderAlreadyInEffect, nil
	}
	if report.Busy {
		return platform.OrderConflict, nil
	}
	if len(report.PendingAdapters) >= maxPendingAdapters {
		return platform.OrderUnknown, nil
	}
	if countAdapters(report) >= int(target.GetAdapterSlots()) {
		return a.evictAdapter(ctx, report, target.GetReplica(), requestID)
	}
	outcome := a.sendOrder(ctx, report, target.GetReplica(), true, model, adapter, "request "+requestID)
	switch outcome {
	case platform.OrderAccepted, platform.OrderAlreadyInEffect:
		a.mu.Lock()
		a.adapterLoadedAt[model+"/"+adapter] = time.Now()
		a.mu.Unlock()
	case platform.OrderRefused:
		return outcome, errkind.New(errkind.ModelNotResident, "the engine refused to load adapter %s/%s", model, adapter)
	}
	return outcome, nil
}

func countAdapters(r *fleet.Report) int {
	n := len(r.PendingAdapters)
	for _, m := range r.Models {
		n += len(m.Adapters)
	}
	return n
}

// evictAdapter orders the unload of the adapter that was loaded first. It fails with MemoryFull if all adapters were loaded
// within adapterMinResidency. The outcome is OrderConflict if the engine answered with a conflict, and otherwise
// OrderUnknown, because the load is still to be ordered.
func (a *Agent) evictAdapter(ctx context.Context, r *fleet.Report, replica, requestID string) (platform.OrderOutcome, error) {
	var model, adapter string
	oldest := time.Now().Add(-adapterMinResidency)
	a.mu.Lock()
	for _, m := range r.Models {
		for _, name := range m.Adapters {
			if at := a.adapterLoadedAt[m.Name+"/"+name]; at.Before(oldest) {
				model, adapter, oldest = m.Name, name, at
			}
		}
	}
	a.mu.Unlock()
	if adapter == "" {
		return platform.OrderUnknown, errkind.New(errkind.MemoryFull, "no adapter can be evicted: all were loaded too recently")
	}
	if a.sendOrder(ctx, r, replica, false, model, adapter, "room for request "+requestID) == platform.OrderConflict {
		return platform.OrderConflict, nil
	}
	return platform.OrderUnknown, nil
}

// ApplyProposal carries out a planner's proposal to load or unload a model if the engine's current state allows it. It
// returns nil if the engine accepted the order or answered that nothing is left to do. The kinds of its errors are
// NoCandidate for a planner epoch older than the highest one seen, another backend server or another incarnation,
// Overloaded if the engine is busy, its report shows the proposed state already, or it does not accept the order,
// ModelUnknown if the model's size is unknown, MemoryFull if the model does not fit or the size of a held model is
// unknown, StoreUnavailable without a fencing number, and BackendUnreachable if the report cannot be read.
func (a *Agent) ApplyProposal(ctx context.Context, o *wirepb.ModelOrder) error {
	a.mu.Lock()
	if o.GetPlannerEpoch() < a.plannerEpoch {
		a.mu.Unlock()
		return errkind.New(errkind.NoCandidate, "proposal has planner epoch %d, older than epoch %d",
			o.GetPlannerEpoch(), a.plannerEpoch)
	}
	a.plannerEpoch = o.GetPlannerEpoch()
	a.mu.Unlock()
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if err := a.refresh(ctx); err != nil {
		return errkind.Wrap(errkind.BackendUnreachable, err, "read the engine's report")
	}
	report, target, err := a.orderState(o.GetReplica())
	if err != nil {
		return err
	}
	load := o.GetAction() == "load"
	if err := a.checkModelOrder(report, target, o.GetModel(), load); err != nil {
		return err
	}
	switch outcome := a.sendOrder(ctx, report, target.GetReplica(), load, o.GetModel(), "", o.GetReason()); outcome {
	case platform.OrderAccepted:
		a.mu.Lock()
		a.pendingChange = modelChange{model: o.GetModel(), load: load, since: time.Now()}
		a.mu.Unlock()
		return nil
	case platform.OrderAlreadyInEffect:
		return nil
	default:
		return errkind.New(errkind.Overloaded, "the engine did not accept the order: %s", outcome)
	}
}

// checkModelOrder returns an error if the engine is busy, if the model is already loaded or unloaded as ordered, or if a
// load would exceed the memory for weights. The space for adapters counts as weights: all slots at the size of the
// largest adapter.
func (a *Agent) checkModelOrder(r *fleet.Report, t *wirepb.AgentTarget, model string, load bool) error {
	_, held := adaptersOf(r, model)
	if r.Busy || held == load {
		return errkind.New(errkind.Overloaded, "the engine is busy (%v), or the order changes nothing (model held: %v)", r.Busy, held)
	}
	if !load {
		return nil
	}
	sizes := make(map[string]*wirepb.ModelSize, len(t.GetModels()))
	adapterMB := 0.0
	for _, s := range t.GetModels() {
		sizes[s.GetModel()] = s
		adapterMB = max(adapterMB, s.GetAdapterMb())
	}
	if sizes[model] == nil {
		return errkind.New(errkind.ModelUnknown, "size of model %s is unknown", model)
	}
	used := sizes[model].GetWeightsMb() + adapterMB*float64(t.GetAdapterSlots())
	for _, m := range r.Models {
		s := sizes[m.Name]
		if s == nil {
			return errkind.New(errkind.MemoryFull, "size of model %s, which the engine holds, is unknown", m.Name)
		}
		used += s.GetWeightsMb()
	}
	if used > t.GetWeightsMb() {
		return errkind.New(errkind.MemoryFull, "%.0f MB of weights and adapters exceed the limit of %.0f MB", used, t.GetWeightsMb())
	}
	return nil
}
