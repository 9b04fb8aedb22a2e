// Package agentclient is the gateway's client for the fleet agents, which run on the hosts of the model engines. It keeps the
// newest report of each engine, requests adapters and turns at cold engines, and sends the planner's proposals.
package agentclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// reconcile is the interval at which the set of watched agents is brought in line with the server list.
	reconcile = 100 * time.Millisecond
	// reportMaxAge is the age above which a report is not used. Agents report at least every 600 ms.
	reportMaxAge = 1900 * time.Millisecond
	// streamTimeout is the time without a report after which a stream is closed. It also bounds the write of a target.
	streamTimeout = 1900 * time.Millisecond
	// dialTimeout bounds the opening of a stream.
	dialTimeout = 500 * time.Millisecond
	// minRedialPause and maxRedialPause bound the pause before the next attempt to reach an agent. The pause doubles with
	// each attempt that fails.
	minRedialPause = 200 * time.Millisecond
	maxRedialPause = 2 * time.Second
	// busiestSwitchFactor is the factor by which a model's demand must exceed that of the busiest model to replace it.
	busiestSwitchFactor = 2
)

// Options configure the Agents.
type Options struct {
	Identity *wirepb.Identity
	View     *fleet.View
	Pool     *transport.Pool
	Port     string // on which every agent listens
	Clock    bootclock.Clock
	Log      *slog.Logger
	// Demand returns the demand for a service's model that is known to this gateway. Only the ratio of two demands matters.
	Demand func(service, model string) float64
	// Changed is called after a report whose sequence number, busy flag, incarnation or number of models differs from
	// the previous report's.
	Changed func()
	// StoreEra returns the latest era of the store that this gateway knows. It may be nil.
	StoreEra func() int64
}

// ReceivedReport is the newest report of one engine.
type ReceivedReport struct {
	Report     *wirepb.AgentUpdate
	ReceivedAt time.Duration // when it arrived, by Options.Clock
}

type watched struct {
	stop   context.CancelFunc
	target *wirepb.AgentTarget
	wake   chan struct{}
}

// previousBusiest returns the busiest model in the agent's current target, or "" if there is none. w may be nil.
func (w *watched) previousBusiest() string {
	if w == nil {
		return ""
	}
	return w.target.GetBusiest()
}

// Client receives the reports of the agents of all listed model engines and sends them requests. It is safe for
// concurrent use.
type Client struct {
	opts Options

	mu      sync.Mutex
	watched map[string]*watched       // by server ID
	reports map[string]ReceivedReport // by server ID
	wg      sync.WaitGroup
}

// New returns Agents that watch no agent until Run is called.
func New(opts Options) *Client {
	return &Client{opts: opts, watched: make(map[string]*watched), reports: make(map[string]ReceivedReport)}
}

// Run watches the agents of the listed engines until ctx ends. It returns the context's error.
func (a *Client) Run(ctx context.Context) error {
	defer a.wg.Wait()
	for {
		a.reconcile(ctx)
		if err := background.Sleep(ctx, reconcile); err != nil {
			return err
		}
	}
}

func (a *Client) reconcile(ctx context.Context) {
	s := a.opts.View.Snapshot()
	if s.Config == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, w := range a.watched {
		if r := s.Replicas[id]; r == nil {
			w.stop()
			delete(a.watched, id)
			delete(a.reports, id)
		}
	}
	for id, r := range s.Replicas {
		service := s.Config.Services[r.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		target := a.target(r, service.Engine)
		target.Busiest = a.busiestModel(r, a.watched[id].previousBusiest())
		w := a.watched[id]
		if w == nil {
			w = a.watch(ctx, r)
			if w == nil {
				continue
			}
			a.watched[id] = w
		}
		// The version in which the sizes were first seen here: a new version alone is not sent to every agent.
		target.ConfigVersion = w.target.GetConfigVersion()
		if !proto.Equal(w.target, target) {
			target.ConfigVersion = s.Config.Version
			w.target = target
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}
}

// busiestModel returns the model with the highest demand of those that a backend server holds. Another model replaces the
// previous one only with more than twice its demand, so that the agent does not get a message for each change of demand.
// The caller holds a.mu.
func (a *Client) busiestModel(r *fleet.Replica, previous string) string {
	report := a.reports[r.ID].Report
	best, most := previous, 0.0
	if previous != "" {
		most = busiestSwitchFactor * a.opts.Demand(r.Service, previous)
	}
	for _, m := range report.GetModels() {
		if demand := a.opts.Demand(r.Service, m.GetModel()); demand > most {
			best, most = m.GetModel(), demand
		}
	}
	return best
}

func (a *Client) target(r *fleet.Replica, e *fleet.Engine) *wirepb.AgentTarget {
	t := &wirepb.AgentTarget{
		Identity: a.opts.Identity, Replica: r.ID, Born: r.Born, WeightsMb: e.WeightsMB, AdapterSlots: int32(e.AdapterSlots),
	}
	if a.opts.StoreEra != nil {
		t.StoreEra = a.opts.StoreEra()
	}
	for _, name := range e.Names() {
		m := e.Models[name]
		t.Models = append(t.Models, &wirepb.ModelSize{Model: name, WeightsMb: m.WeightsMB, AdapterMb: m.AdapterMB})
	}
	return t
}

// address returns the address, HOST:PORT, of a backend server's agent: the server's host and the common port of the
// agents.
func (a *Client) address(r *fleet.Replica) (string, error) {
	host, _, err := net.SplitHostPort(r.Address)
	if err != nil {
		return "", fmt.Errorf("address of server %s: %w", r.ID, err)
	}
	return net.JoinHostPort(host, a.opts.Port), nil
}

func (a *Client) watch(ctx context.Context, r *fleet.Replica) *watched {
	address, err := a.address(r)
	if err != nil {
		a.opts.Log.Warn("agent not watched: address of its server is invalid", "server", r.ID, "error", err)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &watched{stop: cancel, wake: make(chan struct{}, 1)}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		pause := minRedialPause
		for ctx.Err() == nil {
			received, err := a.receiveReports(ctx, r.ID, address, w)
			if ctx.Err() != nil {
				return
			}
			if received {
				pause = minRedialPause
				a.opts.Log.Warn("stream from agent ended; reconnecting", "server", r.ID, "address", address, "error", err)
			}
			if background.Sleep(ctx, pause) != nil {
				return
			}
			pause = min(2*pause, maxRedialPause)
		}
	}()
	return w
}

// receiveReports opens a stream to one agent and stores its reports until the stream ends. received says whether at least
// one report arrived.
func (a *Client) receiveReports(ctx context.Context, id, address string, w *watched) (received bool, err error) {
	dial, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	stream, err := a.opts.Pool.Open(dial, address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = stream.Close() }()
	// Closing a stream ends only its sending side.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	defer a.opts.Pool.Drop(address)
	go a.sendTargets(ctx, cancel, stream, w)
	for {
		if err := stream.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
			return received, err
		}
		if ctx.Err() != nil {
			return received, ctx.Err() // the deadline above may have replaced the one of the end
		}
		frame, err := stream.Recv()
		if err != nil {
			return received, err
		}
		u := frame.GetAgentUpdate()
		if u == nil {
			return received, errors.New("unexpected message from the agent instead of a report")
		}
		if !received {
			received = true
			a.opts.Log.Info("receiving reports from agent", "server", id, "address", address, "born", u.GetBorn())
		}
		a.storeReport(id, u)
	}
}

// sendTargets sends the agent its target at the start of the stream and after each change. If a write fails, it cancels the
// stream.
func (a *Client) sendTargets(ctx context.Context, cancel context.CancelFunc, stream *transport.Stream, w *watched) {
	defer cancel()
	for {
		a.mu.Lock()
		target := w.target
		a.mu.Unlock()
		if target != nil {
			_ = stream.SetWriteDeadline(time.Now().Add(streamTimeout)) // if this fails, Send fails too
			if err := stream.Send(wire.AgentTarget(target)); err != nil {
				return
			}
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Client) storeReport(id string, u *wirepb.AgentUpdate) {
	a.mu.Lock()
	previous := a.reports[id].Report
	if u.GetUnchanged() {
		if previous != nil {
			a.reports[id] = ReceivedReport{Report: previous, ReceivedAt: a.opts.Clock()}
		}
		a.mu.Unlock()
		return
	}
	a.reports[id] = ReceivedReport{Report: u, ReceivedAt: a.opts.Clock()}
	a.mu.Unlock()
	if previous == nil || previous.GetSequence() != u.GetSequence() || previous.GetBusy() != u.GetBusy() ||
		previous.GetBorn() != u.GetBorn() || len(previous.GetModels()) != len(u.GetModels()) {
		a.opts.Changed()
	}
}

// Report returns the newest report of a backend server's engine, and false if there is none that is fresh. now is a time
// of Options.Clock. A report of an older incarnation than the listed one is not returned. One of a newer incarnation is,
// because then the list is older than the report.
func (a *Client) Report(r *fleet.Replica, now time.Duration) (*wirepb.AgentUpdate, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	latest, ok := a.reports[r.ID]
	if !ok || now-latest.ReceivedAt > reportMaxAge || latest.Report.GetBorn() < r.Born {
		return nil, false
	}
	return latest.Report, true
}

// Counts returns how many agents sent a report that is still fresh at now, a time of Options.Clock, and how many agents
// are watched.
func (a *Client) Counts(now time.Duration) (fresh, listed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.watched {
		if now-a.reports[id].ReceivedAt <= reportMaxAge && a.reports[id].Report != nil {
			fresh++
		}
	}
	return fresh, len(a.watched)
}
