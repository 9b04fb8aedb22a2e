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
	// keptStreams bounds the idle streams to one peer. A call takes about a millisecond and a busy gateway makes a
	// few a second, so more than one at a time is rare.
	keptStreams = 4
	// keptFor is the time after which an idle stream is closed, so that the pool can close the session.
	keptFor = time.Minute
)

// PoolCaller is a Caller over the sessions of a transport pool. A stream stays open for the next call to the
// same peer: opening and closing one took 6 of the 7 segments of a call. It is safe for concurrent use.
type PoolCaller struct {
	pool *transport.Pool

	mu     sync.Mutex
	idle   map[string][]idleStream // by address; the last used is last
	pruned time.Time
}

type idleStream struct {
	*transport.Stream
	since time.Time
}

// NewPoolCaller returns a caller without open streams.
func NewPoolCaller(pool *transport.Pool) *PoolCaller {
	return &PoolCaller{pool: pool, idle: make(map[string][]idleStream), pruned: time.Now()}
}

// Call implements Caller. The message is sent a second time only if no byte of it left on a kept stream. The
// session is dropped when the time of ctx is over before the answer came. A LimitRefund has no answer: Call
// returns when it is written.
func (c *PoolCaller) Call(ctx context.Context, address string, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	if stream := c.take(address); stream != nil {
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

// errSend wraps the error of a message that was not wholly written.
type errSend struct{ error }

// Unwrap returns the cause.
func (e errSend) Unwrap() error { return e.error }

// unsent reports whether yamux refused the message before it queued a byte, because the stream was closed.
func unsent(err error) bool {
	var send errSend
	return errors.As(err, &send) && (errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset))
}

// exchange makes one call on a stream that nobody else uses, and keeps the stream if the call succeeded.
// After an error the answer may come late, and must not be taken for that of the next call.
func (c *PoolCaller) exchange(
	ctx context.Context, address string, stream *transport.Stream, message *wirepb.Envelope,
) (*wirepb.Envelope, error) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	reply, err := converse(stream, message)
	if stop() && err == nil {
		c.keep(address, stream)
		return reply, nil
	}
	_ = stream.Close()
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.Drop(address)
	}
	return reply, err
}

func converse(stream *transport.Stream, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	if err := stream.Send(message); err != nil {
		return nil, fmt.Errorf("call limit holder: %w", errSend{err})
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

// take returns an idle stream, which the caller then owns, or nil.
func (c *PoolCaller) take(address string) *transport.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		idle := c.idle[address]
		if len(idle) == 0 {
			return nil
		}
		last := idle[len(idle)-1].Stream
		c.idle[address] = idle[:len(idle)-1]
		if quiet(last) {
			return last
		}
		_ = last.Close()
	}
}

// quiet reports whether the peer neither closed the stream nor sent something that was not asked for. It
// does not wait.
func quiet(stream *transport.Stream) bool {
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	n, err := stream.Read(make([]byte, 1))
	_ = stream.SetReadDeadline(time.Time{})
	return n == 0 && errors.Is(err, yamux.ErrTimeout)
}

// keep leaves a stream open for the next call, and closes those that were idle for too long.
func (c *PoolCaller) keep(address string, stream *transport.Stream) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.pruned) > keptFor {
		c.prune(now)
	}
	if len(c.idle[address]) >= keptStreams {
		_ = stream.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleStream{stream, now})
}

func (c *PoolCaller) prune(now time.Time) {
	c.pruned = now
	for address, idle := range c.idle {
		for len(idle) > 0 && now.Sub(idle[0].since) > keptFor {
			_ = idle[0].Close()
			idle = idle[1:]
		}
		c.idle[address] = idle
		if len(idle) == 0 {
			delete(c.idle, address)
		}
	}
}
