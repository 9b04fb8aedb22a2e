package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

// agentsTable is the store's table with one row for each agent. The row's version after the write at an agent's start is
// the agent's fencing number until its next start, also if the store loses the row. The row's value lists the models that the engine
// held.
const agentsTable = "agents"

const (
	// rowTimeout bounds the store calls of one row access. rowRetryPause is the pause after a failure.
	rowTimeout    = time.Second
	rowRetryPause = 300 * time.Millisecond
	// rowWriteInterval is the shortest pause between two writes of the row, and reorderWriteInterval the shortest pause
	// before a write that changes only the order of the models. A shorter pause means more calls to the store; a longer one
	// means that a restart restores an older list.
	rowWriteInterval     = 2 * time.Second
	reorderWriteInterval = 10 * time.Second
	// rewriteSpread is the time over which the agents write their rows again after the store was restored from a copy.
	rewriteSpread = 4 * time.Second
	// restoreInterval is the pause between two checks for models to restore.
	restoreInterval = 40 * time.Millisecond
	// restorePeriod is the time after a restart within which lost models are restored. After that the planner has made new
	// placement decisions.
	restorePeriod = 5 * time.Second
)

type rowValue struct {
	Models []string `json:"models"`
}

// maintainRow acquires the fencing number, retrying until it succeeds, and then writes the list of held models to the row
// whenever it changes or the store may have lost it.
func (a *Agent) maintainRow(ctx context.Context) error {
	var written []string
	var version int64 // of the row
	for {
		var err error
		if written, version, err = a.acquireFencingNumber(ctx); err == nil {
			break
		}
		if ctx.Err() == nil {
			a.opts.Log.Warn("fencing number not acquired; no orders are sent to the engine until it is", "error", err)
		}
		if err := background.Sleep(ctx, rowRetryPause); err != nil {
			return err
		}
	}
	for at := time.Now(); ; {
		if err := background.Sleep(ctx, rowWriteInterval); err != nil {
			return err
		}
		held := a.heldModels()
		lost := a.storeEra.Load() > rowversion.Era(version)
		if lost {
			if err := background.Sleep(ctx, rand.N(rewriteSpread)); err != nil {
				return err
			}
		} else if slices.Equal(held, written) || sameModels(held, written) && time.Since(at) < reorderWriteInterval {
			continue
		}
		next, err := a.writeRow(ctx, held)
		if err != nil {
			a.opts.Log.Warn("list of held models not written to the store; retrying", "error", err)
			continue
		}
		if lost {
			a.opts.Log.Info("list of held models written again after the store was restored from a copy", "version", next)
		}
		written, version, at = held, next, time.Now()
	}
}

// sameModels reports whether two lists contain the same models in any order.
func sameModels(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// acquireFencingNumber reads from the row which models the engine held before this start, and writes the row again to get a
// new version, which becomes the fencing number. It returns the models in the row and its version.
func (a *Agent) acquireFencingNumber(ctx context.Context) (models []string, version int64, err error) {
	call, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	row, _, err := a.opts.Store.Get(call, agentsTable, a.opts.Host)
	if err != nil {
		return nil, 0, err
	}
	var before rowValue
	if len(row.Value) > 0 {
		if err := json.Unmarshal(row.Value, &before); err != nil {
			a.opts.Log.Warn("agent's row cannot be decoded; no models are restored from it", "error", err)
		}
	}
	version, err = a.writeRow(ctx, before.Models)
	if err != nil {
		return nil, 0, err
	}
	a.mu.Lock()
	if len(a.held) == 0 {
		a.held = before.Models
		a.toRestore = slices.Clone(before.Models)
		a.restoreStart = time.Now()
	}
	a.mu.Unlock()
	a.fencingNumber.Store(version)
	a.opts.Log.Info("fencing number acquired", "fence", version, "held_before", before.Models)
	return before.Models, version, nil
}

func (a *Agent) writeRow(ctx context.Context, models []string) (int64, error) {
	value, err := json.Marshal(rowValue{Models: models})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	version, _, _, err := a.opts.Store.Commit(ctx, nil, []platform.Row{{Table: agentsTable, Key: a.opts.Host, Value: value}})
	return version, err
}

func (a *Agent) heldModels() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.held)
}

// recordHeld records which models an idle engine holds. While lost models are still to be restored, the earlier list is
// kept. The caller holds a.mu.
func (a *Agent) recordHeld(r *fleet.Report) {
	if len(a.toRestore) > 0 && time.Since(a.restoreStart) < restorePeriod {
		return
	}
	if a.toRestore = nil; !r.Busy && len(r.Models) > 0 {
		a.held = busiestFirst(modelNames(r), a.target.GetBusiest())
	}
}

// busiestFirst moves the busiest model to the front of the list, so that it is restored first after a restart.
func busiestFirst(models []string, busiest string) []string {
	if i := slices.Index(models, busiest); i > 0 {
		models = slices.Insert(slices.Delete(models, i, i+1), 0, busiest)
	}
	return models
}

// restoreModels loads the models that the engine lost in a restart, if they are in its server's memory or on its disk.
// Such a load takes a fraction of the time of a load from the weight store and does not count in a load budget. It runs until ctx
// ends and returns the context's error.
func (a *Agent) restoreModels(ctx context.Context) error {
	for {
		if err := background.Sleep(ctx, restoreInterval); err != nil {
			return err
		}
		if model := a.nextToRestore(); model != "" {
			a.restoreModel(ctx, model)
		}
	}
}

// nextToRestore returns the next model to restore, or "" if there is none or the engine cannot load one now. It drops
// models from the list that the engine holds already or would have to load from the weight store.
func (a *Agent) nextToRestore() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.toRestore) == 0 || a.report == nil || a.report.Busy || time.Since(a.restoreStart) >= restorePeriod {
		return ""
	}
	for len(a.toRestore) > 0 {
		model := a.toRestore[0]
		if _, held := adaptersOf(a.report, model); !held && slices.Contains(a.report.Nearby, model) {
			return model
		}
		a.toRestore = a.toRestore[1:]
	}
	return ""
}

func (a *Agent) restoreModel(ctx context.Context, model string) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if err := a.refresh(ctx); err != nil {
		return // refresh logs the error
	}
	a.mu.Lock()
	replica := a.target.GetReplica()
	a.mu.Unlock()
	report, target, err := a.orderState(replica)
	if err != nil {
		return // the gateways' target does not have the engine's new incarnation yet
	}
	if err := a.checkModelOrder(report, target, model, true); err != nil {
		a.opts.Log.Info("model not restored", "model", model, "error", err)
		a.mu.Lock()
		a.toRestore = slices.DeleteFunc(a.toRestore, func(m string) bool { return m == model })
		a.mu.Unlock()
		return
	}
	if a.sendOrder(ctx, report, replica, true, model, "", "restore") == platform.OrderAccepted {
		a.mu.Lock()
		a.pendingChange = modelChange{model: model, load: true, since: time.Now()}
		a.mu.Unlock()
	}
}
