// Package agent implements the process that runs on the same host as one model engine. It reads the engine's reports,
// forwards them to the gateways, and is the only sender of orders to the engine.
package agent

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/coldstart"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// pollInterval is the pause between two reads of the engine's report. The engine updates its report every 200 ms.
	pollInterval = 120 * time.Millisecond
	// pollTimeout bounds one read of the report. The engine is on the same host.
	pollTimeout = 500 * time.Millisecond
	// maxReportInterval is the longest pause between two reports to a gateway. It is a third of the age at which the gateway
	// discards a report.
	maxReportInterval = 600 * time.Millisecond
	// reportMaxAge is the age above which a report is not sent to gateways.
	reportMaxAge = 700 * time.Millisecond
	// orderTimeout bounds the sending of one order and the wait for its outcome.
	orderTimeout = 500 * time.Millisecond
)

// Engine is the model engine on the agent's host.
type Engine interface {
	Report(ctx context.Context) (*fleet.Report, error)
	Send(ctx context.Context, o platform.Order) (platform.OrderOutcome, error)
}

// Store is the part of the platform's store that issues the fencing number and persists which models the engine held.
type Store interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Commit(ctx context.Context, expected []platform.Precondition, puts []platform.Row) (int64, []platform.Row, bool, error)
}

// Options configure an Agent.
type Options struct {
	Host   string // name of this host; sent as the holder in every order and used as the key of the agent's row
	Engine Engine
	Store  Store
	Log    *slog.Logger
}

// Agent controls one model engine. It is safe for concurrent use.
type Agent struct {
	opts          Options
	fencingNumber atomic.Int64 // zero until the store issued one
	storeEra      atomic.Int64 // latest one that a gateway named

	mu              sync.Mutex
	report          *fleet.Report
	reportReadAt    time.Time
	readFailed      bool // the last read of the report failed
	target          *wirepb.AgentTarget
	plannerEpoch    int64       // highest epoch of a planner's proposal so far
	pendingChange   modelChange // zero if there is none
	adapterLoadedAt map[string]time.Time
	nextReport      chan struct{} // closed when the next report arrives
	coldPacer       coldstart.Pacer
	held            []string // models that the engine held before a restart or, without a restart, in its last idle report
	toRestore       []string // models that the engine lost in a restart and that are still to be loaded
	// restoreStart is when the restart of the engine or of this agent was detected.
	restoreStart time.Time

	orderMu sync.Mutex // held while an order is sent, so that there is one at a time
	wake    chan struct{}
}

// modelChange is a load or unload of a model that the engine accepted and that its report does not show yet.
type modelChange struct {
	model string
	load  bool
	since time.Time
}

// New returns an agent that does nothing until Run is called.
func New(opts Options) *Agent {
	return &Agent{
		opts: opts, adapterLoadedAt: make(map[string]time.Time), nextReport: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Run polls the engine, maintains the agent's row in the store and restores models after a restart, until ctx ends. It
// returns nil when ctx is cancelled.
func (a *Agent) Run(ctx context.Context) error {
	group := background.NewGroup(ctx, a.opts.Log)
	group.Go("row", a.maintainRow)
	group.Go("restore", a.restoreModels)
	group.Go("report", a.poll)
	return group.Wait()
}

func (a *Agent) poll(ctx context.Context) error {
	for {
		_ = a.refresh(ctx) // refresh logs the error; the next iteration retries
		select {
		case <-time.After(pollInterval):
		case <-a.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// refresh reads the engine's report and closes the channel that signals a new report.
func (a *Agent) refresh(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := a.opts.Engine.Report(call)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if !a.readFailed && ctx.Err() == nil {
			a.opts.Log.Warn("reading the engine's report failed; no orders are sent until a read succeeds", "error", err)
		}
		a.readFailed = true
		return err
	}
	if a.readFailed || a.report == nil || a.report.Born != report.Born {
		a.opts.Log.Info("first engine report since a start, a failed read or an engine restart",
			"born", report.Born, "sequence", report.Sequence, "models", modelNames(report))
		if a.report == nil || a.report.Born != report.Born {
			a.pendingChange = modelChange{}
			clear(a.adapterLoadedAt)
			a.toRestore = slices.Clone(a.held)
			a.restoreStart = time.Now()
		}
	}
	a.readFailed = false
	a.report, a.reportReadAt = report, time.Now()
	a.completeChange(report)
	a.recordHeld(report)
	close(a.nextReport)
	a.nextReport = make(chan struct{})
	return nil
}

// completeChange clears the pending change once an idle engine's report shows its result. If the report shows none, the
// change is cleared after reportMaxAge. The caller holds a.mu.
func (a *Agent) completeChange(r *fleet.Report) {
	if a.pendingChange.model == "" || r.Busy {
		return
	}
	holds := false
	for _, m := range r.Models {
		holds = holds || m.Name == a.pendingChange.model
	}
	if holds != a.pendingChange.load && time.Since(a.pendingChange.since) < reportMaxAge {
		return // the engine may have made the report before it received the order
	}
	a.opts.Log.Info("model order finished", "model", a.pendingChange.model, "load", a.pendingChange.load, "holds", holds,
		"took", time.Since(a.pendingChange.since))
	a.pendingChange = modelChange{}
}

func modelNames(r *fleet.Report) []string {
	names := make([]string, 0, len(r.Models))
	for _, m := range r.Models {
		names = append(names, m.Name)
	}
	return names
}

// currentReport returns the newest report, or nil if there is none, and a channel that is closed when the next one arrives.
func (a *Agent) currentReport() (*fleet.Report, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report, a.nextReport
}

// SetTarget sets the backend server that the agent controls and the server's memory limits, as sent by a gateway. A target
// with an older incarnation (Born, Unix milliseconds) than the current one is ignored, and so are limits and sizes of an older
// configuration.
func (a *Agent) SetTarget(t *wirepb.AgentTarget) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.storeEra.Store(max(a.storeEra.Load(), t.GetStoreEra()))
	if a.target.GetBorn() > t.GetBorn() {
		return // the gateway's server list is older
	}
	if a.target.GetReplica() == t.GetReplica() && a.target.GetConfigVersion() > t.GetConfigVersion() {
		t = &wirepb.AgentTarget{
			Identity: t.GetIdentity(), Replica: t.GetReplica(), Born: t.GetBorn(), Busiest: t.GetBusiest(),
			WeightsMb: a.target.GetWeightsMb(), AdapterSlots: a.target.GetAdapterSlots(), Models: a.target.GetModels(),
			ConfigVersion: a.target.GetConfigVersion(),
		}
	}
	a.target = t
}

// agentUpdate returns the newest report as a message to the gateways, or nil if there is none or it is older than
// reportMaxAge.
func (a *Agent) agentUpdate() *wirepb.AgentUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report == nil || time.Since(a.reportReadAt) > reportMaxAge {
		return nil
	}
	u := &wirepb.AgentUpdate{
		Born: a.report.Born, Sequence: a.report.Sequence, Busy: a.report.Busy, Draining: a.report.Draining,
		Nearby: a.report.Nearby,
	}
	for _, m := range a.report.Models {
		u.Models = append(u.Models, &wirepb.EngineModel{Model: m.Name, Adapters: m.Adapters})
	}
	if a.pendingChange.load {
		u.Loading = a.pendingChange.model
	} else {
		u.Unloading = a.pendingChange.model
	}
	return u
}
