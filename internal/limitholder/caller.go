package limitholder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// maxIdleStreams bounds the idle streams to one peer. A call takes about a millisecond and a busy gateway
	// makes a few calls a second, so more than one concurrent call is rare.
	maxIdleStreams = 4
	// idleStreamTimeout is the time after which an idle stream is closed, so that the pool can close its session.
	idleStreamTimeout = time.Minute
)

// PoolCaller is a Caller that uses the sessions of a transport pool. It keeps streams open for further calls
// to the same peer, because opening and closing a stream takes 6 of the 7 network segments of a call. It is
// safe for concurrent use.
type PoolCaller struct {
	pool *transport.Pool

	mu       sync.Mutex
	idle     map[string][]idleStream // by address, the most recently used last
	prunedAt time.Time
}

type idleStream struct {
	*transport.Stream
	idleSince time.Time
}

// NewPoolCaller returns a PoolCaller without open streams.
func NewPoolCaller(pool *transport.Pool) *PoolCaller {
	return &PoolCaller{pool: pool, idle: make(map[string][]idleStream), prunedAt: time.Now()}
}

// Call implements Caller. It sends the message a second time only if no byte of it was sent on an idle stream.
// If the deadline of ctx passes before the answer arrives, the session is closed. A LimitRefund has no answer:
// Call returns a nil reply once it is written.
func (c *PoolCaller) Call(ctx context.Context, address string, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	if stream := c.takeIdle(address); stream != nil {
		reply, err := c.exchange(ctx, address, stream, message)
		if !unsent(err) || ctx.Err() != nil {
			return reply, err
		}
	}
	stream, err := c.pool.Open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("call limit holder: %w", err)
	}
	return c.exchange(ctx, address, stream, message)
}

// sendError wraps the error of a message that was not completely written.
type sendError struct{ error }

// Unwrap returns the cause.
func (e sendError) Unwrap() error { return e.error }

// unsent reports whether yamux rejected the message before it queued any byte, because the stream was closed.
func unsent(err error) bool {
	var sendErr sendError
	return errors.As(err, &sendErr) && (errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset))
}

// exchange makes one call on a stream that no other call uses, and keeps the stream only if the call
// succeeded: after an error the answer may still arrive and must not be taken for that of the next call.
func (c *PoolCaller) exchange(
	ctx context.Context, address string, stream *transport.Stream, message *wirepb.Envelope,
) (*wirepb.Envelope, error) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	reply, err := roundTrip(stream, message)
	if stop() && err == nil {
		c.putIdle(address, stream)
		return reply, nil
	}
	_ = stream.Close()
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.Drop(address)
	}
	return reply, err
}

func roundTrip(stream *transport.Stream, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	if err := stream.Send(message); err != nil {
		return nil, fmt.Errorf("call limit holder: %w", sendError{err})
	}
	if message.GetLimitRefund() != nil {
		return nil, nil
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, fmt.Errorf("call limit holder: %w", err)
	}
	if (message.GetLimitReserve() != nil) != (reply.GetLimitGrant() != nil) ||
		(message.GetLimitBorrow() != nil) != (reply.GetLimitLoan() != nil) {
		return nil, fmt.Errorf("call limit holder: %T was answered with %T", message.GetMessage(), reply.GetMessage())
	}
	return reply, nil
}

// takeIdle removes and returns an idle stream to the peer, or returns nil. The caller owns the stream.
func (c *PoolCaller) takeIdle(address string) *transport.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		idle := c.idle[address]
		if len(idle) == 0 {
			return nil
		}
		last := idle[len(idle)-1].Stream
		c.idle[address] = idle[:len(idle)-1]
		if reusable(last) {
			return last
		}
		_ = last.Close()
	}
}

// reusable reports whether the peer has neither closed the stream nor sent data outside a call. It does not
// wait.
func reusable(stream *transport.Stream) bool {
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	n, err := stream.Read(make([]byte, 1))
	_ = stream.SetReadDeadline(time.Time{})
	return n == 0 && errors.Is(err, yamux.ErrTimeout)
}

// putIdle keeps a stream for the next call, and closes streams that have been idle for too long.
func (c *PoolCaller) putIdle(address string, stream *transport.Stream) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.prunedAt) > idleStreamTimeout {
		c.prune(now)
	}
	if len(c.idle[address]) >= maxIdleStreams {
		_ = stream.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleStream{stream, now})
}

func (c *PoolCaller) prune(now time.Time) {
	c.prunedAt = now
	for address, idle := range c.idle {
		for len(idle) > 0 && now.Sub(idle[0].idleSince) > idleStreamTimeout {
			_ = idle[0].Close()
			idle = idle[1:]
		}
		c.idle[address] = idle
		if len(idle) == 0 {
			delete(c.idle, address)
		}
	}
}
