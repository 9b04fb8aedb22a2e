// Package agents is the gateway's client of the agents beside the model engines. It keeps the newest report of each
// engine, asks for adapters and passes the planner's proposals on.
package agents

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// reconcile is the interval at which the agents to watch are compared with the server list.
	reconcile = 100 * time.Millisecond
	// freshFor is the age at which a report no longer tells what an engine holds. Agents report at least every 600 ms.
	freshFor = 1900 * time.Millisecond
	// silentAfter ends a stream on which nothing arrives.
	silentAfter = 1900 * time.Millisecond
	// dialTimeout bounds the opening of a stream.
	dialTimeout = 500 * time.Millisecond
	// firstRedial and lastRedial bound the pause before another try to reach an agent.
	firstRedial = 200 * time.Millisecond
	lastRedial  = 2 * time.Second
	// busierFactor is how much more demand another model needs to become the busiest.
	busierFactor = 2
	// turnTimeout bounds the question for a turn at a cold engine. It takes a few milliseconds, also between data centres.
	turnTimeout = 200 * time.Millisecond
	// proposalTimeout bounds a planner's proposal.
	proposalTimeout = 700 * time.Millisecond
)

// Options configure the Agents.
type Options struct {
	Identity *wirepb.Identity
	View     *fleet.View
	Pool     *transport.Pool
	Port     string // of every agent
	Clock    bootclock.Clock
	Log      *slog.Logger
	// Demand returns the demand of a service's model as far as this gateway knows it.
	Demand func(service, model string) float64
	// Changed is called after a report that differs from the previous one.
	Changed func()
}

// Status is the newest report of one engine.
type Status struct {
	Report *wirepb.AgentUpdate
	At     time.Duration // when it arrived
}

type watched struct {
	stop   context.CancelFunc
	target *wirepb.AgentTarget
	wake   chan struct{}
}

// previous returns the busiest model that the agent was told of. It may be called on nil.
func (w *watched) previous() string {
	if w == nil {
		return ""
	}
	return w.target.GetBusiest()
}

// Agents watches the agents of all listed model engines.
type Agents struct {
	opts Options

	mu      sync.Mutex
	watched map[string]*watched // by server ID
	status  map[string]Status
	wg      sync.WaitGroup
}

// New returns Agents that watch nothing yet.
func New(opts Options) *Agents {
	return &Agents{opts: opts, watched: make(map[string]*watched), status: make(map[string]Status)}
}

// Run watches the agents of the listed engines until ctx ends.
func (a *Agents) Run(ctx context.Context) error {
	defer a.wg.Wait()
	for {
		a.reconcile(ctx)
		if err := duty.Sleep(ctx, reconcile); err != nil {
			return err
		}
	}
}

func (a *Agents) reconcile(ctx context.Context) {
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
			delete(a.status, id)
		}
	}
	for id, r := range s.Replicas {
		service := s.Config.Services[r.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		target := a.target(r, service.Engine)
		target.Busiest = a.busiest(r, a.watched[id].previous())
		w := a.watched[id]
		if w == nil {
			w = a.watch(ctx, r)
			if w == nil {
				continue
			}
			a.watched[id] = w
		}
		if !proto.Equal(w.target, target) {
			w.target = target
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}
}

// busiest returns the model with the most demand of those that a server holds. Another one replaces the previous one
// only with twice its demand, so that the agent does not get a message for each change. The caller holds the lock.
func (a *Agents) busiest(r *fleet.Replica, previous string) string {
	report := a.status[r.ID].Report
	best, most := previous, 0.0
	if previous != "" {
		most = busierFactor * a.opts.Demand(r.Service, previous)
	}
	for _, m := range report.GetModels() {
		if demand := a.opts.Demand(r.Service, m.GetModel()); demand > most {
			best, most = m.GetModel(), demand
		}
	}
	return best
}

func (a *Agents) target(r *fleet.Replica, e *fleet.Engine) *wirepb.AgentTarget {
	t := &wirepb.AgentTarget{
		Identity: a.opts.Identity, Replica: r.ID, Born: r.Born, WeightsMb: e.WeightsMB, AdapterSlots: int32(e.AdapterSlots),
	}
	for _, name := range e.Names() {
		m := e.Models[name]
		t.Models = append(t.Models, &wirepb.ModelSize{Model: name, WeightsMb: m.WeightsMB, AdapterMb: m.AdapterMB})
	}
	return t
}

// address returns where the agent of a server listens: on the server's host, at the port of all agents.
func (a *Agents) address(r *fleet.Replica) (string, error) {
	host, _, err := net.SplitHostPort(r.Address)
	if err != nil {
		return "", fmt.Errorf("address of server %s: %w", r.ID, err)
	}
	return net.JoinHostPort(host, a.opts.Port), nil
}

func (a *Agents) watch(ctx context.Context, r *fleet.Replica) *watched {
	address, err := a.address(r)
	if err != nil {
		a.opts.Log.Warn("agent not watched", "server", r.ID, "error", err)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &watched{stop: cancel, wake: make(chan struct{}, 1)}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		pause := firstRedial
		for ctx.Err() == nil {
			heard, err := a.follow(ctx, r.ID, address, w)
			if ctx.Err() != nil {
				return
			}
			if heard {
				pause = firstRedial
				a.opts.Log.Warn("agent lost", "server", r.ID, "address", address, "error", err)
			}
			if duty.Sleep(ctx, pause) != nil {
				return
			}
			pause = min(2*pause, lastRedial)
		}
	}()
	return w
}

// follow reads the reports of one agent. heard says that at least one arrived.
func (a *Agents) follow(ctx context.Context, id, address string, w *watched) (heard bool, err error) {
	dial, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	stream, err := a.opts.Pool.Open(dial, address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer a.opts.Pool.Drop(address)
	go a.sendTargets(ctx, cancel, stream, w)
	for {
		if err := stream.SetReadDeadline(time.Now().Add(silentAfter)); err != nil {
			return heard, err
		}
		frame, err := stream.Recv()
		if err != nil {
			return heard, err
		}
		u := frame.GetAgentUpdate()
		if u == nil {
			return heard, errors.New("the agent sent another message than a report")
		}
		if !heard {
			heard = true
			a.opts.Log.Info("agent heard", "server", id, "address", address, "born", u.GetBorn())
		}
		a.take(id, u)
	}
}

// sendTargets tells the agent what it orders, now and after each change. It ends the stream when it cannot.
func (a *Agents) sendTargets(ctx context.Context, cancel context.CancelFunc, stream *transport.Stream, w *watched) {
	defer cancel()
	for {
		a.mu.Lock()
		target := w.target
		a.mu.Unlock()
		if target != nil {
			_ = stream.SetWriteDeadline(time.Now().Add(silentAfter)) // a failure shows in Send
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

func (a *Agents) take(id string, u *wirepb.AgentUpdate) {
	a.mu.Lock()
	before := a.status[id].Report
	if u.GetUnchanged() {
		if before != nil {
			a.status[id] = Status{Report: before, At: a.opts.Clock()}
		}
		a.mu.Unlock()
		return
	}
	a.status[id] = Status{Report: u, At: a.opts.Clock()}
	a.mu.Unlock()
	if before == nil || before.GetSequence() != u.GetSequence() || before.GetBusy() != u.GetBusy() ||
		before.GetBorn() != u.GetBorn() || len(before.GetModels()) != len(u.GetModels()) {
		a.opts.Changed()
	}
}

// Status returns the newest report of a server's engine if it is fresh. A report of an older incarnation than the listed
// one does not count; a newer one does, because the list is older than the report.
func (a *Agents) Status(r *fleet.Replica, now time.Duration) (*wirepb.AgentUpdate, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.status[r.ID]
	if !ok || now-s.At > freshFor || s.Report.GetBorn() < r.Born {
		return nil, false
	}
	return s.Report, true
}

// Watched returns how many agents report and how many engines are listed.
func (a *Agents) Watched(now time.Duration) (fresh, listed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.watched {
		if now-a.status[id].At <= freshFor && a.status[id].Report != nil {
			fresh++
		}
	}
	return fresh, len(a.watched)
}

// ask holds one conversation of a message and its answer.
func (a *Agents) ask(ctx context.Context, r *fleet.Replica, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	address, err := a.address(r)
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendUnreachable, err, "agent of %s", r.ID)
	}
	stream, err := a.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendUnreachable, err, "agent of %s", r.ID)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := stream.Send(message); err != nil {
		return nil, errkind.Wrap(errkind.BackendUnreachable, err, "agent of %s", r.ID)
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendUnreachable, errors.Join(err, ctx.Err()), "agent of %s", r.ID)
	}
	return reply, nil
}

// EnsureAdapter has an adapter loaded and returns when it is. ctx bounds the wait.
func (a *Agents) EnsureAdapter(ctx context.Context, r *fleet.Replica, requestID, model, adapter string) error {
	reply, err := a.ask(ctx, r, wire.AdapterRequest(&wirepb.AdapterRequest{
		RequestId: requestID, Replica: r.ID, Model: model, Adapter: adapter,
	}))
	if err != nil {
		return err
	}
	answer := reply.GetAdapterReply()
	if answer == nil {
		return errkind.New(errkind.ProtocolError, "the agent of %s sent another message than an answer", r.ID)
	}
	if answer.GetKind() != 0 {
		return errkind.New(errkind.Kind(answer.GetKind()), "%s", answer.GetDetail())
	}
	return nil
}

// ColdTurn asks an agent for a turn at its engine, which is cold and bears perSecond requests. It returns the time until the
// request may be sent, or if no turn is free within most, until one is.
func (a *Agents) ColdTurn(ctx context.Context, r *fleet.Replica, requestID string, perSecond float64, most time.Duration) (
	wait time.Duration, granted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	reply, err := a.ask(ctx, r, wire.ColdRequest(&wirepb.ColdRequest{
		RequestId: requestID, Replica: r.ID, PerSecond: perSecond, MostWaitMs: most.Milliseconds(),
	}))
	if err != nil {
		return 0, false, err
	}
	answer := reply.GetColdReply()
	if answer == nil {
		return 0, false, errkind.New(errkind.ProtocolError, "the agent of %s sent another message than an answer", r.ID)
	}
	return time.Duration(answer.GetWaitMs()) * time.Millisecond, answer.GetGranted(), nil
}

// Propose asks an agent to load or unload a model under a planner's epoch. It returns nil if the order was taken.
func (a *Agents) Propose(ctx context.Context, r *fleet.Replica, epoch int64, action, model, reason string) error {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	reply, err := a.ask(ctx, r, &wirepb.Envelope{Message: &wirepb.Envelope_ModelOrder{ModelOrder: &wirepb.ModelOrder{
		OrderId: uuid.NewString(), PlannerEpoch: epoch, Action: action, Model: model, Reason: reason, Replica: r.ID,
	}}})
	if err != nil {
		return err
	}
	answer := reply.GetOrderReply()
	if answer == nil {
		return errkind.New(errkind.ProtocolError, "the agent of %s sent another message than an answer", r.ID)
	}
	if answer.GetKind() != 0 {
		return errkind.New(errkind.Kind(answer.GetKind()), "%s", answer.GetDetail())
	}
	return nil
}
