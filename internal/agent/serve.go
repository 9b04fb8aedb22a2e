package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// helloTimeout bounds the wait for the first frame of a stream.
	helloTimeout = 2 * time.Second
	// writeTimeout bounds the writing of one frame.
	writeTimeout = time.Second
	// leastInterval is the shortest pause between two reports to a gateway; the report is read far more often while
	// adapters load.
	leastInterval = 40 * time.Millisecond
	// adapterTimeout bounds the load of an adapter, also if the gateway waits longer.
	adapterTimeout = 400 * time.Millisecond
)

// Handle serves one stream of a gateway. It is a transport.Handler.
func (a *Agent) Handle(ctx context.Context, s *transport.Stream) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	frame, err := s.Recv()
	if err != nil {
		a.opts.Log.Debug("stream ended before its first message", "error", err)
		return
	}
	if err := s.SetDeadline(time.Time{}); err != nil {
		return
	}
	switch m := frame.GetMessage().(type) {
	case *wirepb.Envelope_AgentTarget:
		a.watch(ctx, s, m.AgentTarget)
	case *wirepb.Envelope_AdapterRequest:
		r := m.AdapterRequest
		ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
		defer cancel()
		start := time.Now()
		err := a.EnsureAdapter(ctx, r.GetRequestId(), r.GetReplica(), r.GetModel(), r.GetAdapter())
		a.opts.Log.Info("adapter asked for", "request_id", r.GetRequestId(), "model", r.GetModel(),
			"adapter", r.GetAdapter(), "outcome", errkind.Of(err).String(), "took", time.Since(start), "error", err)
		a.reply(s, wire.AdapterReply(&wirepb.AdapterReply{Kind: int32(errkind.Of(err)), Detail: detail(err)}))
	case *wirepb.Envelope_ColdRequest:
		a.reply(s, wire.ColdReply(a.turn(m.ColdRequest)))
	case *wirepb.Envelope_ModelOrder:
		err := a.Take(ctx, m.ModelOrder)
		if err != nil {
			a.opts.Log.Info("proposal refused", "model", m.ModelOrder.GetModel(), "action", m.ModelOrder.GetAction(),
				"epoch", m.ModelOrder.GetPlannerEpoch(), "error", err)
		}
		a.reply(s, &wirepb.Envelope{Message: &wirepb.Envelope_OrderReply{OrderReply: &wirepb.OrderReply{
			OrderId: m.ModelOrder.GetOrderId(), Kind: int32(errkind.Of(err)), Detail: detail(err),
		}}})
	default:
		a.opts.Log.Warn("stream with an unexpected message")
	}
}

// turn gives a request its turn at the engine, which is cold.
func (a *Agent) turn(r *wirepb.ColdRequest) *wirepb.ColdReply {
	a.mu.Lock()
	wait, granted := a.turns.Ask(bootclock.Now(), r.GetPerSecond(), time.Duration(r.GetMostWaitMs())*time.Millisecond)
	a.mu.Unlock()
	a.opts.Log.Info("turn at the cold engine", "request_id", r.GetRequestId(), "server", r.GetReplica(), "granted", granted, "wait", wait)
	// Rounded up, so that the turn is free when the wait is over.
	return &wirepb.ColdReply{Granted: granted, WaitMs: (wait + time.Millisecond - 1).Milliseconds()}
}

func detail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (a *Agent) reply(s *transport.Stream, e *wirepb.Envelope) {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return
	}
	if err := s.Send(e); err != nil {
		a.opts.Log.Warn("answer to a gateway not sent", "error", err)
	}
}

// watch sends reports on s until the stream or ctx ends.
func (a *Agent) watch(ctx context.Context, s *transport.Stream, first *wirepb.AgentTarget) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.SetTarget(first)
	gateway := first.GetIdentity().GetHost()
	a.opts.Log.Info("gateway watches", "gateway", gateway, "server", first.GetReplica(), "born", first.GetBorn())
	go func() {
		defer cancel()
		for {
			frame, err := s.Recv()
			if err != nil {
				return
			}
			if t := frame.GetAgentTarget(); t != nil {
				a.SetTarget(t)
			}
		}
	}()
	var last *wirepb.AgentUpdate
	var sentAt time.Time
	for {
		_, changed := a.current()
		u := a.update()
		same := last != nil && u != nil && proto.Equal(u, last)
		if u != nil && (!same || time.Since(sentAt) >= repeatInterval) {
			last, sentAt = u, time.Now()
			if same {
				u = &wirepb.AgentUpdate{Unchanged: true}
			}
			if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return
			}
			if err := s.Send(wire.AgentUpdate(u)); err != nil {
				a.opts.Log.Info("gateway no longer watches", "gateway", gateway, "error", err)
				return
			}
		}
		if duty.Sleep(ctx, leastInterval) != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(repeatInterval):
		case <-ctx.Done():
			return
		}
	}
}
