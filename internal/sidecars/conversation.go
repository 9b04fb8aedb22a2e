package sidecars

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// acceptTimeout bounds the wait for the first frame. A sidecar accepts or refuses at once, so a longer
// silence means that it is dead or frozen.
const acceptTimeout = 2 * time.Second

// Conversation is one attempt of a request at a sidecar. It is used from one goroutine.
type Conversation struct {
	client    *Client
	ctx       context.Context
	stream    *transport.Stream
	address   string
	requestID string
	attempt   uint32
	sentAt    time.Time
	next      uint64 // sequence number of the next chunk
	accepted  bool
	ended     bool
	stop      func() bool
}

// Submit sends a request to a sidecar. The error is BackendUnreachable if the sidecar cannot have read
// the whole frame, and OutcomeUnknown otherwise. When ctx ends, the request is cancelled at the sidecar.
func (c *Client) Submit(ctx context.Context, address string, s *wirepb.Submit) (*Conversation, error) {
	stream, err := c.opts.Pool.Open(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			c.expire(address)
		}
		return nil, errkind.Wrap(errkind.BackendUnreachable, err, "no stream to the sidecar")
	}
	v := &Conversation{
		client: c, ctx: ctx, stream: stream, address: address,
		requestID: s.GetRequestId(), attempt: s.GetAttempt(), sentAt: time.Now(), next: 1,
	}
	c.start(address)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetWriteDeadline(deadline)
	}
	if err := stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Submit{Submit: s}}); err != nil {
		c.done(address)
		_ = stream.Close()
		return nil, errkind.Wrap(sendFailure(err), err, "submit was not written")
	}
	_ = stream.SetReadDeadline(v.sentAt.Add(acceptTimeout))
	v.stop = context.AfterFunc(ctx, v.cancel)
	return v, nil
}

// sendFailure returns the kind of a failed write. yamux reports a reset or closed stream before it
// queues bytes. Its other errors may come after the last byte was queued, so the sidecar may have the
// whole frame.
func sendFailure(err error) errkind.Kind {
	if errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrStreamClosed) {
		return errkind.BackendUnreachable
	}
	return errkind.OutcomeUnknown
}

// cancel tells the sidecar to stop and unblocks Next.
func (v *Conversation) cancel() {
	_ = v.stream.SetReadDeadline(time.Unix(1, 0))
	_ = v.stream.SetWriteDeadline(time.Now().Add(acceptTimeout))
	_ = v.stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Cancel{
		Cancel: &wirepb.Cancel{RequestId: v.requestID, Attempt: v.attempt}}})
	_ = v.stream.Close()
}

// Next returns the next frame: Accepted, Refused, Chunk or End. The error is ProtocolError for a frame
// that does not belong to the conversation or leaves a gap, the context's cause if it ended, and
// OutcomeUnknown if the stream broke before End.
func (v *Conversation) Next() (*wirepb.Envelope, error) {
	e, err := v.stream.Recv()
	if v.ctx.Err() != nil {
		return nil, context.Cause(v.ctx)
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.OutcomeUnknown, err, "the stream broke before its end")
	}
	if err := v.check(e); err != nil {
		v.client.protocolErrors.Add(1)
		return nil, err
	}
	if !v.accepted {
		v.accepted = true
		_ = v.stream.SetReadDeadline(time.Time{})
		if v.ctx.Err() != nil {
			return nil, context.Cause(v.ctx)
		}
	}
	return e, nil
}

func (v *Conversation) check(e *wirepb.Envelope) error {
	switch m := e.GetMessage().(type) {
	case *wirepb.Envelope_Accepted:
		if v.accepted {
			return errkind.New(errkind.ProtocolError, "accepted twice")
		}
		return v.own(m.Accepted.GetRequestId(), m.Accepted.GetAttempt())
	case *wirepb.Envelope_Refused:
		if v.next > 1 {
			return errkind.New(errkind.ProtocolError, "refused after a chunk")
		}
		v.ended = true
		v.client.Update(v.address, m.Refused.GetStatus(), time.Now())
		return v.own(m.Refused.GetRequestId(), m.Refused.GetAttempt())
	case *wirepb.Envelope_Chunk:
		return v.inOrder(m.Chunk.GetRequestId(), m.Chunk.GetAttempt(), m.Chunk.GetSequence())
	case *wirepb.Envelope_End:
		v.ended = true
		v.client.Update(v.address, m.End.GetStatus(), time.Now())
		return v.inOrder(m.End.GetRequestId(), m.End.GetAttempt(), m.End.GetSequence())
	}
	return errkind.New(errkind.ProtocolError, "unexpected frame %T", e.GetMessage())
}

func (v *Conversation) own(requestID string, attempt uint32) error {
	if requestID != v.requestID || attempt != v.attempt {
		return errkind.New(errkind.ProtocolError, "frame of request %q attempt %d in the stream of request %q attempt %d",
			requestID, attempt, v.requestID, v.attempt)
	}
	return nil
}

func (v *Conversation) inOrder(requestID string, attempt uint32, sequence uint64) error {
	if err := v.own(requestID, attempt); err != nil {
		return err
	}
	if sequence != v.next {
		return errkind.New(errkind.ProtocolError, "frame with sequence number %d, expected %d", sequence, v.next)
	}
	v.next++
	return nil
}

// Close ends the conversation. A request that has not ended is cancelled at the sidecar.
func (v *Conversation) Close() {
	if v.stop() {
		if v.ended {
			_ = v.stream.Close()
		} else {
			v.cancel()
		}
	}
	v.client.done(v.address)
}
