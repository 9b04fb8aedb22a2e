// Package agent runs beside one model engine. It reads the engine's report, passes it to the gateways, and is the only
// process that sends the engine orders.
package agent

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/coldshare"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// pollInterval is the pause between two reads of the report. The engine renews its figures every 200 ms.
	pollInterval = 120 * time.Millisecond
	// pollTimeout bounds one read. The engine is on the same host.
	pollTimeout = 500 * time.Millisecond
	// repeatInterval is the longest pause between two reports to a gateway, a third of the age at which it takes them for
	// lost.
	repeatInterval = 600 * time.Millisecond
	// staleAfter is the age at which a report is no longer passed on.
	staleAfter = 700 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 500 * time.Millisecond
)

// Engine is the model engine beside the agent.
type Engine interface {
	Report(ctx context.Context) (*fleet.Report, error)
	Send(ctx context.Context, o platform.Order) (platform.OrderOutcome, error)
}

// Store is the part of the platform's store that gives the fencing number and keeps what the engine held.
type Store interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Commit(ctx context.Context, expected []platform.Expectation, puts []platform.Row) (int64, []platform.Row, bool, error)
}

// Options configure an Agent.
type Options struct {
	Host   string // name of this host, the holder of all orders
	Engine Engine
	Store  Store
	Log    *slog.Logger
}

// Agent is the process beside one engine.
type Agent struct {
	opts  Options
	fence atomic.Int64 // zero until the store gave one

	mu       sync.Mutex
	report   *fleet.Report
	readAt   time.Time
	lost     bool // the engine did not answer the last read
	target   *wirepb.AgentTarget
	epoch    int64  // newest planner's epoch
	changing change // model order under way
	loadedAt map[string]time.Time
	changed  chan struct{} // closed at the next report
	turns    coldshare.Pacer
	held     []string // models that the engine held when it last was in order
	restore  []string // models that it lost with a restart and that are to be loaded again
	// restoreSince is when the restart was noticed.
	restoreSince time.Time

	orders sync.Mutex // one order at a time
	wake   chan struct{}
}

// change is a model order that the engine accepted and that its report does not show yet.
type change struct {
	model string
	load  bool
	since time.Time
}

// New returns an agent. Run starts it.
func New(opts Options) *Agent {
	return &Agent{
		opts: opts, loadedAt: make(map[string]time.Time), changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Run reads the reports until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, a.opts.Log)
	group.Go("row", a.keepRow)
	group.Go("restore", a.restoreModels)
	group.Go("report", a.poll)
	return group.Wait()
}

func (a *Agent) poll(ctx context.Context) error {
	for {
		_ = a.refresh(ctx) // logged there; the next read tries again
		select {
		case <-time.After(pollInterval):
		case <-a.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// refresh reads the report and wakes whoever waits for a new one.
func (a *Agent) refresh(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := a.opts.Engine.Report(call)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if !a.lost && ctx.Err() == nil {
			a.opts.Log.Warn("engine lost", "error", err)
		}
		a.lost = true
		return err
	}
	if a.lost || a.report == nil || a.report.Born != report.Born {
		a.opts.Log.Info("engine heard", "born", report.Born, "sequence", report.Sequence, "models", modelNames(report))
		if a.report == nil || a.report.Born != report.Born {
			a.changing = change{}
			clear(a.loadedAt)
			a.restore = slices.Clone(a.held)
			a.restoreSince = time.Now()
		}
	}
	a.lost = false
	a.report, a.readAt = report, time.Now()
	a.settle(report)
	a.remember(report)
	close(a.changed)
	a.changed = make(chan struct{})
	return nil
}

// settle ends the change under way once the report shows it, or shows that the engine is idle.
func (a *Agent) settle(r *fleet.Report) {
	if a.changing.model == "" || r.Busy {
		return
	}
	holds := false
	for _, m := range r.Models {
		holds = holds || m.Name == a.changing.model
	}
	if holds != a.changing.load && time.Since(a.changing.since) < staleAfter {
		return // the report may be from before the order
	}
	a.opts.Log.Info("model order ended", "model", a.changing.model, "load", a.changing.load, "holds", holds,
		"took", time.Since(a.changing.since))
	a.changing = change{}
}

func modelNames(r *fleet.Report) []string {
	names := make([]string, 0, len(r.Models))
	for _, m := range r.Models {
		names = append(names, m.Name)
	}
	return names
}

// current returns the newest report, or nil, and a channel that is closed when there is another one.
func (a *Agent) current() (*fleet.Report, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report, a.changed
}

// SetTarget takes over what a gateway says of the server and the memory.
func (a *Agent) SetTarget(t *wirepb.AgentTarget) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target != nil && a.target.GetBorn() > t.GetBorn() {
		return // from a gateway whose server list is older
	}
	a.target = t
}

// update returns the newest report for the gateways, or nil if it is stale.
func (a *Agent) update() *wirepb.AgentUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report == nil || time.Since(a.readAt) > staleAfter {
		return nil
	}
	u := &wirepb.AgentUpdate{
		Born: a.report.Born, Sequence: a.report.Sequence, Busy: a.report.Busy, Draining: a.report.Draining,
		Nearby: a.report.Nearby,
	}
	for _, m := range a.report.Models {
		u.Models = append(u.Models, &wirepb.EngineModel{Model: m.Name, Adapters: m.Adapters})
	}
	if a.changing.load {
		u.Loading = a.changing.model
	} else {
		u.Unloading = a.changing.model
	}
	return u
}
