package limitholder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// PoolCaller is a Caller over the sessions of a transport pool, one stream for each call.
type PoolCaller struct {
	Pool *transport.Pool
}

// Call implements Caller. The session is dropped when the time of ctx is over before the answer came.
func (c PoolCaller) Call(ctx context.Context, address string, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	stream, err := c.Pool.Open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("call limit holder: %w", err)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	reply, err := exchange(stream, message)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.Pool.Drop(address)
	}
	return reply, err
}

func exchange(stream *transport.Stream, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	if err := stream.Send(message); err != nil {
		return nil, fmt.Errorf("call limit holder: %w", err)
	}
	reply, err := stream.Recv()
	if errors.Is(err, io.EOF) && message.GetLimitRefund() != nil {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("call limit holder: %w", err)
	}
	return reply, nil
}
