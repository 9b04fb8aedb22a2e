package agent

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// adapterPoll is the pause between two reads of the report while an adapter loads, which takes some milliseconds.
	adapterPoll = 4 * time.Millisecond
	// maxConflicts answers that another order is under way end a request for an adapter. The other order may wait for
	// running requests, so another engine is the better choice.
	maxConflicts = 2
	// maxPending adapters may be on their way to one engine, from the platform's pages.
	maxPending = 4
	// reloadGuard is the time for which a loaded adapter is not unloaded for another one, so that it serves the request
	// that it was loaded for.
	reloadGuard = 300 * time.Millisecond
)

// ready returns the report and the server for an order, or why there can be none.
func (a *Agent) ready(replica string) (*fleet.Report, *wirepb.AgentTarget, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.fence.Load() == 0:
		return nil, nil, errkind.New(errkind.StoreUnavailable, "the agent has no fencing number")
	case a.report == nil || a.lost:
		return nil, nil, errkind.New(errkind.BackendUnreachable, "the engine does not answer")
	case a.target == nil || a.target.GetReplica() != replica:
		return nil, nil, errkind.New(errkind.NoCandidate, "the agent does not order server %s", replica)
	case a.target.GetBorn() != 0 && a.report.Born != 0 && a.target.GetBorn() != a.report.Born:
		return nil, nil, errkind.New(errkind.NoCandidate, "the engine is another incarnation than listed")
	}
	return a.report, a.target, nil
}

// send sends one order for the state that the report shows. The expected sequence makes the engine refuse it if any
// other order, also a late one, was accepted since.
func (a *Agent) send(ctx context.Context, r *fleet.Report, replica string, load bool, model, adapter, reason string) platform.OrderOutcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := platform.Order{
		Load: load, Model: model, Adapter: adapter, Sequence: r.Sequence, Holder: a.opts.Host, Fence: a.fence.Load(),
		Replica: replica,
	}
	outcome, err := a.opts.Engine.Send(ctx, order)
	a.opts.Log.Info("order", "server", replica, "load", load, "model", model, "adapter", adapter,
		"sequence", order.Sequence, "fence", order.Fence, "reason", reason, "outcome", outcome.String(), "error", err)
	return outcome
}

// EnsureAdapter has an adapter of a resident model loaded and returns when it is. An older adapter makes room.
func (a *Agent) EnsureAdapter(ctx context.Context, requestID, replica, model, adapter string) error {
	ordered := false
	conflicts := 0
	for {
		report, target, err := a.ready(replica)
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
		if !slices.Contains(report.PendingAdapter, model+"/"+adapter) && (!ordered || len(report.PendingAdapter) == 0) {
			var outcome platform.OrderOutcome
			if outcome, err = a.orderAdapter(ctx, target, model, adapter, requestID); err != nil {
				return err
			}
			ordered = outcome == platform.OrderAccepted || outcome == platform.OrderHolds
			if outcome == platform.OrderConflict {
				conflicts++
			}
			if conflicts >= maxConflicts {
				return errkind.New(errkind.Overloaded, "the engine is busy with another order")
			}
		}
		if err := duty.Sleep(ctx, adapterPoll); err != nil {
			return errkind.Wrap(errkind.DeadlineUnreachable, err, "adapter %s/%s is not loaded in time", model, adapter)
		}
		if err := a.refresh(ctx); err != nil {
			return errkind.Wrap(errkind.BackendUnreachable, err, "the engine does not report")
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

// orderAdapter orders one load or, if the places are taken, one unload. The outcome is that of the load, and unknown
// if there was none.
func (a *Agent) orderAdapter(ctx context.Context, target *wirepb.AgentTarget, model, adapter, requestID string) (platform.OrderOutcome, error) {
	a.orders.Lock()
	defer a.orders.Unlock()
	if err := a.refresh(ctx); err != nil {
		return platform.OrderUnknown, errkind.Wrap(errkind.BackendUnreachable, err, "the engine does not report")
	}
	report, _ := a.current()
	if adapters, _ := adaptersOf(report, model); slices.Contains(adapters, adapter) {
		return platform.OrderHolds, nil
	}
	if report.Busy {
		return platform.OrderConflict, nil
	}
	if len(report.PendingAdapter) >= maxPending {
		return platform.OrderUnknown, nil
	}
	if countAdapters(report) >= int(target.GetAdapterSlots()) {
		return a.evictAdapter(ctx, report, target.GetReplica(), requestID)
	}
	outcome := a.send(ctx, report, target.GetReplica(), true, model, adapter, "request "+requestID)
	switch outcome {
	case platform.OrderAccepted, platform.OrderHolds:
		a.mu.Lock()
		a.loadedAt[model+"/"+adapter] = time.Now()
		a.mu.Unlock()
	case platform.OrderRefused:
		return outcome, errkind.New(errkind.ModelNotResident, "the engine refused to load adapter %s/%s", model, adapter)
	}
	return outcome, nil
}

func countAdapters(r *fleet.Report) int {
	n := len(r.PendingAdapter)
	for _, m := range r.Models {
		n += len(m.Adapters)
	}
	return n
}

// evictAdapter unloads the adapter that was loaded first. It returns a conflict if the engine took no order, and unknown
// otherwise, as the load is still to come.
func (a *Agent) evictAdapter(ctx context.Context, r *fleet.Report, replica, requestID string) (platform.OrderOutcome, error) {
	var model, adapter string
	oldest := time.Now().Add(-reloadGuard)
	a.mu.Lock()
	for _, m := range r.Models {
		for _, name := range m.Adapters {
			if at := a.loadedAt[m.Name+"/"+name]; at.Before(oldest) {
				model, adapter, oldest = m.Name, name, at
			}
		}
	}
	a.mu.Unlock()
	if adapter == "" {
		return platform.OrderUnknown, errkind.New(errkind.MemoryFull, "every adapter was loaded just now")
	}
	if a.send(ctx, r, replica, false, model, adapter, "room for request "+requestID) == platform.OrderConflict {
		return platform.OrderConflict, nil
	}
	return platform.OrderUnknown, nil
}

// Take carries out a planner's proposal if it fits what the engine holds now.
func (a *Agent) Take(ctx context.Context, o *wirepb.ModelOrder) error {
	a.mu.Lock()
	if o.GetPlannerEpoch() < a.epoch {
		a.mu.Unlock()
		return errkind.New(errkind.NoCandidate, "the proposal is of epoch %d, older than %d", o.GetPlannerEpoch(), a.epoch)
	}
	a.epoch = o.GetPlannerEpoch()
	a.mu.Unlock()
	a.orders.Lock()
	defer a.orders.Unlock()
	if err := a.refresh(ctx); err != nil {
		return errkind.Wrap(errkind.BackendUnreachable, err, "the engine does not report")
	}
	report, target, err := a.ready(o.GetReplica())
	if err != nil {
		return err
	}
	load := o.GetAction() == "load"
	if err := a.check(report, target, o.GetModel(), load); err != nil {
		return err
	}
	switch outcome := a.send(ctx, report, target.GetReplica(), load, o.GetModel(), "", o.GetReason()); outcome {
	case platform.OrderAccepted:
		a.mu.Lock()
		a.changing = change{model: o.GetModel(), load: load, since: time.Now()}
		a.mu.Unlock()
		return nil
	case platform.OrderHolds:
		return nil
	default:
		return errkind.New(errkind.Overloaded, "the engine's answer to the order: %s", outcome)
	}
}

// check refuses what the engine's memory does not hold, and what is done already.
func (a *Agent) check(r *fleet.Report, t *wirepb.AgentTarget, model string, load bool) error {
	_, held := adaptersOf(r, model)
	if r.Busy || held == load {
		return errkind.New(errkind.Overloaded, "the engine is busy (%v) or holds the model already (%v)", r.Busy, held)
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
		return errkind.New(errkind.ModelUnknown, "the size of model %s is not known", model)
	}
	used := sizes[model].GetWeightsMb() + adapterMB*float64(t.GetAdapterSlots())
	for _, m := range r.Models {
		s := sizes[m.Name]
		if s == nil {
			return errkind.New(errkind.MemoryFull, "the engine holds model %s, whose size is not known", m.Name)
		}
		used += s.GetWeightsMb()
	}
	if used > t.GetWeightsMb() {
		return errkind.New(errkind.MemoryFull, "%.0f MB of weights exceed %.0f MB", used, t.GetWeightsMb())
	}
	return nil
}
