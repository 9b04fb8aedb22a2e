package gateway

import (
	"context"
	"log/slog"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// PeerHandlers holds the handlers of the frames that other processes send to this gateway. A frame whose handler is
// nil closes its stream.
type PeerHandlers struct {
	Config       func(ctx context.Context, r *wirepb.ConfigRequest) *wirepb.ConfigDelta
	LimitReserve func(ctx context.Context, r *wirepb.LimitReserve) *wirepb.LimitGrant
	LimitRefund  func(ctx context.Context, r *wirepb.LimitRefund)
	LimitBorrow  func(ctx context.Context, r *wirepb.LimitBorrow) *wirepb.LimitLoan
}

// Handler returns a handler that serves frames on a stream until the stream fails or a frame has no handler.
func (h PeerHandlers) Handler(log *slog.Logger) transport.Handler {
	return func(ctx context.Context, s *transport.Stream) {
		for {
			e, err := s.Recv()
			if err != nil {
				return
			}
			reply, ok := h.answer(ctx, e)
			if !ok {
				log.Warn("peer sent a frame without a handler; closing the stream", "peer", s.RemoteAddr().String())
				return
			}
			if reply == nil {
				continue
			}
			if err := s.Send(reply); err != nil {
				return
			}
		}
	}
}

func (h PeerHandlers) answer(ctx context.Context, e *wirepb.Envelope) (reply *wirepb.Envelope, ok bool) {
	switch m := e.GetMessage().(type) {
	case *wirepb.Envelope_ConfigRequest:
		if h.Config != nil {
			return &wirepb.Envelope{Message: &wirepb.Envelope_ConfigDelta{ConfigDelta: h.Config(ctx, m.ConfigRequest)}}, true
		}
	case *wirepb.Envelope_LimitReserve:
		if h.LimitReserve != nil {
			return &wirepb.Envelope{Message: &wirepb.Envelope_LimitGrant{LimitGrant: h.LimitReserve(ctx, m.LimitReserve)}}, true
		}
	case *wirepb.Envelope_LimitRefund:
		if h.LimitRefund != nil {
			h.LimitRefund(ctx, m.LimitRefund)
			return nil, true
		}
	case *wirepb.Envelope_LimitBorrow:
		if h.LimitBorrow != nil {
			return &wirepb.Envelope{Message: &wirepb.Envelope_LimitLoan{LimitLoan: h.LimitBorrow(ctx, m.LimitBorrow)}}, true
		}
	}
	return nil, false
}
