package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// firstFrameTimeout bounds the wait for the first frame of a stream.
	firstFrameTimeout = 2 * time.Second
	// writeTimeout bounds the write of one frame.
	writeTimeout = time.Second
	// minReportInterval is the shortest pause between two reports to a gateway. While adapters load, the report is read far
	// more often than that.
	minReportInterval = 40 * time.Millisecond
	// adapterTimeout bounds the load of an adapter, even if the gateway would wait longer.
	adapterTimeout = 400 * time.Millisecond
)

// Handle serves one stream from a gateway. The first message selects the service: an AgentTarget subscribes to reports,
// and an AdapterRequest, ColdRequest or ModelOrder gets one reply. Handle implements transport.Handler.
func (a *Agent) Handle(ctx context.Context, s *transport.Stream) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.SetReadDeadline(time.Now().Add(firstFrameTimeout)); err != nil {
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
		a.sendReports(ctx, s, m.AgentTarget)
	case *wirepb.Envelope_AdapterRequest:
		r := m.AdapterRequest
		ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
		defer cancel()
		start := time.Now()
		err := a.EnsureAdapter(ctx, r.GetRequestId(), r.GetReplica(), r.GetModel(), r.GetAdapter())
		a.opts.Log.Info("adapter request finished", "request_id", r.GetRequestId(), "model", r.GetModel(),
			"adapter", r.GetAdapter(), "outcome", errkind.Of(err).String(), "took", time.Since(start), "error", err)
		a.reply(s, wire.AdapterReply(&wirepb.AdapterReply{Kind: int32(errkind.Of(err)), Detail: errorDetail(err)}))
	case *wirepb.Envelope_ColdRequest:
		a.reply(s, wire.ColdReply(a.coldTurn(m.ColdRequest)))
	case *wirepb.Envelope_ModelOrder:
		err := a.ApplyProposal(ctx, m.ModelOrder)
		if err != nil {
			a.opts.Log.Info("planner's proposal refused", "model", m.ModelOrder.GetModel(), "action", m.ModelOrder.GetAction(),
				"epoch", m.ModelOrder.GetPlannerEpoch(), "error", err)
		}
		a.reply(s, &wirepb.Envelope{Message: &wirepb.Envelope_OrderReply{OrderReply: &wirepb.OrderReply{
			OrderId: m.ModelOrder.GetOrderId(), Kind: int32(errkind.Of(err)), Detail: errorDetail(err),
		}}})
	default:
		a.opts.Log.Warn("stream closed: unexpected first message")
	}
}

// coldTurn schedules a request to the engine while the engine is cold, and replies with the wait until it may be sent. The
// turns keep the requests of all gateways together within the rate that the cold engine can serve.
func (a *Agent) coldTurn(r *wirepb.ColdRequest) *wirepb.ColdReply {
	a.mu.Lock()
	wait, granted := a.coldPacer.Reserve(bootclock.Now(), r.GetPerSecond(), time.Duration(r.GetMostWaitMs())*time.Millisecond)
	a.mu.Unlock()
	a.opts.Log.Info("request for a turn at the cold engine answered",
		"request_id", r.GetRequestId(), "server", r.GetReplica(), "granted", granted, "wait", wait)
	// The wait is rounded up to whole milliseconds so that it does not end before the turn.
	return &wirepb.ColdReply{Granted: granted, WaitMs: (wait + time.Millisecond - 1).Milliseconds()}
}

func errorDetail(err error) string {
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
		a.opts.Log.Warn("reply to gateway not sent", "error", err)
	}
}

// sendReports sends reports on s until the stream or ctx ends, and applies the targets that the gateway sends meanwhile.
func (a *Agent) sendReports(ctx context.Context, s *transport.Stream, first *wirepb.AgentTarget) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.SetTarget(first)
	gateway := first.GetIdentity().GetHost()
	a.opts.Log.Info("sending reports to gateway", "gateway", gateway, "server", first.GetReplica(), "born", first.GetBorn())
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
		_, nextReport := a.currentReport()
		u := a.agentUpdate()
		same := last != nil && u != nil && proto.Equal(u, last)
		if u != nil && (!same || time.Since(sentAt) >= maxReportInterval) {
			last, sentAt = u, time.Now()
			if same {
				u = &wirepb.AgentUpdate{Unchanged: true}
			}
			if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return
			}
			if err := s.Send(wire.AgentUpdate(u)); err != nil {
				a.opts.Log.Info("report to gateway not sent; stream closed", "gateway", gateway, "error", err)
				return
			}
		}
		if background.Sleep(ctx, minReportInterval) != nil {
			return
		}
		select {
		case <-nextReport:
		case <-time.After(maxReportInterval):
		case <-ctx.Done():
			return
		}
	}
}
