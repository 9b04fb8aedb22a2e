package agent

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/platform"
)

// table holds a row for each agent. The store's version of the row as it is written at the start is the fencing number
// of that start; the value names the models that the engine held.
const table = "agents"

const (
	// rowTimeout bounds a call for the row; rowPause is the pause after a failed one.
	rowTimeout = time.Second
	rowPause   = 300 * time.Millisecond
	// rowInterval is the shortest pause between two writes of what the engine holds, and orderInterval that between two
	// of which only the order differs. Each write is a call to the store; what a restart restores may be that old.
	rowInterval   = 2 * time.Second
	orderInterval = 10 * time.Second
	// restoreInterval is the pause between two looks at what is to be restored.
	restoreInterval = 40 * time.Millisecond
	// restoreFor is the time after a restart for which lost models are loaded again. Later the planner has decided anew.
	restoreFor = 5 * time.Second
)

type rowValue struct {
	Models []string `json:"models"`
}

// keepRow takes the fencing number and then writes the models that the engine holds when they change.
func (a *Agent) keepRow(ctx context.Context) error {
	var written []string
	for {
		var err error
		if written, err = a.takeFence(ctx); err == nil {
			break
		}
		if ctx.Err() == nil {
			a.opts.Log.Warn("no fencing number, the engine gets no orders", "error", err)
		}
		if err := duty.Sleep(ctx, rowPause); err != nil {
			return err
		}
	}
	for at := time.Now(); ; {
		if err := duty.Sleep(ctx, rowInterval); err != nil {
			return err
		}
		held := a.heldModels()
		if slices.Equal(held, written) || sameModels(held, written) && time.Since(at) < orderInterval {
			continue
		}
		if _, err := a.write(ctx, held); err != nil {
			a.opts.Log.Warn("held models not written", "error", err)
			continue
		}
		written, at = held, time.Now()
	}
}

// sameModels reports whether two lists name the same models.
func sameModels(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// takeFence reads what the engine held before this start and writes the row. It returns the models in the row.
func (a *Agent) takeFence(ctx context.Context) ([]string, error) {
	call, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	row, _, err := a.opts.Store.Get(call, table, a.opts.Host)
	if err != nil {
		return nil, err
	}
	var before rowValue
	if len(row.Value) > 0 {
		if err := json.Unmarshal(row.Value, &before); err != nil {
			a.opts.Log.Warn("row of the agent does not decode, nothing is restored", "error", err)
		}
	}
	version, err := a.write(ctx, before.Models)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	if len(a.held) == 0 {
		a.held = before.Models
		a.restore = slices.Clone(before.Models)
		a.restoreSince = time.Now()
	}
	a.mu.Unlock()
	a.fence.Store(version)
	a.opts.Log.Info("fencing number taken", "fence", version, "held_before", before.Models)
	return before.Models, nil
}

func (a *Agent) write(ctx context.Context, models []string) (int64, error) {
	value, err := json.Marshal(rowValue{Models: models})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	version, _, _, err := a.opts.Store.Commit(ctx, nil, []platform.Row{{Table: table, Key: a.opts.Host, Value: value}})
	return version, err
}

func (a *Agent) heldModels() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.held)
}

// remember keeps what the engine holds, unless it just lost it. The caller holds the lock.
func (a *Agent) remember(r *fleet.Report) {
	if len(a.restore) > 0 && time.Since(a.restoreSince) < restoreFor {
		return
	}
	if a.restore = nil; !r.Busy && len(r.Models) > 0 {
		a.held = busiestFirst(modelNames(r), a.target.GetBusiest())
	}
}

// busiestFirst moves the busiest model to the front: it is loaded first after a restart.
func busiestFirst(models []string, busiest string) []string {
	if i := slices.Index(models, busiest); i > 0 {
		models = slices.Insert(slices.Delete(models, i, i+1), 0, busiest)
	}
	return models
}

// restoreModels loads what the engine lost with a restart, as far as it lies on the engine's own disk, which takes a
// fraction of a load from the weight store and counts in no budget.
func (a *Agent) restoreModels(ctx context.Context) error {
	for {
		if err := duty.Sleep(ctx, restoreInterval); err != nil {
			return err
		}
		if model := a.nextLost(); model != "" {
			a.restoreOne(ctx, model)
		}
	}
}

// nextLost returns the next model to load again, or "".
func (a *Agent) nextLost() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.restore) == 0 || a.report == nil || a.report.Busy || time.Since(a.restoreSince) >= restoreFor {
		return ""
	}
	for len(a.restore) > 0 {
		model := a.restore[0]
		if _, held := adaptersOf(a.report, model); !held && slices.Contains(a.report.Nearby, model) {
			return model
		}
		a.restore = a.restore[1:]
	}
	return ""
}

func (a *Agent) restoreOne(ctx context.Context, model string) {
	a.orders.Lock()
	defer a.orders.Unlock()
	if err := a.refresh(ctx); err != nil {
		return // logged there
	}
	a.mu.Lock()
	replica := a.target.GetReplica()
	a.mu.Unlock()
	report, target, err := a.ready(replica)
	if err != nil {
		return // the gateways have not named the new incarnation yet
	}
	if err := a.check(report, target, model, true); err != nil {
		a.opts.Log.Info("model not restored", "model", model, "error", err)
		a.mu.Lock()
		a.restore = slices.DeleteFunc(a.restore, func(m string) bool { return m == model })
		a.mu.Unlock()
		return
	}
	if a.send(ctx, report, replica, true, model, "", "restore") == platform.OrderAccepted {
		a.mu.Lock()
		a.changing = change{model: model, load: true, since: time.Now()}
		a.mu.Unlock()
	}
}
