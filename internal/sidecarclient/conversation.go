package sidecarclient

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// acceptTimeout bounds the wait for the first frame. A sidecar accepts or refuses a request at once, so a longer wait means
// that its process is dead or hangs.
const acceptTimeout = 2 * time.Second

// Conversation is one attempt to have a request served by a sidecar: a stream with a Submit frame and the frames that answer
// it. Its methods must be called from one goroutine.
type Conversation struct {
	client       *Client
	ctx          context.Context
	stream       *transport.Stream
	address      string
	requestID    string
	attempt      uint32
	sentAt       time.Time
	nextSequence uint64      // sequence number expected in the next Chunk or End frame
	accepted     bool        // the first frame has been received
	ended        bool        // a Refused or End frame has been received
	stop         func() bool // prevents cancel from being called when ctx ends; see context.AfterFunc
}

// Submit sends a request to the sidecar at address. The kind of an error is BackendUnreachable if the sidecar cannot have
// read the whole frame, and OutcomeUnknown otherwise. When ctx ends, the request is cancelled at the sidecar. The caller
// must close the conversation.
func (c *Client) Submit(ctx context.Context, address string, s *wirepb.Submit) (*Conversation, error) {
	stream, err := c.opts.Pool.Open(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			c.expire(address)
		}
		return nil, errkind.Wrap(errkind.BackendUnreachable, err, "opening a stream to the sidecar failed")
	}
	v := &Conversation{
		client: c, ctx: ctx, stream: stream, address: address,
		requestID: s.GetRequestId(), attempt: s.GetAttempt(), sentAt: time.Now(), nextSequence: 1,
	}
	c.requestStarted(address)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetWriteDeadline(deadline)
	}
	if err := stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Submit{Submit: s}}); err != nil {
		c.requestDone(address)
		_ = stream.Close()
		return nil, errkind.Wrap(sendFailure(err), err, "writing the submit frame failed")
	}
	_ = stream.SetReadDeadline(v.sentAt.Add(acceptTimeout))
	v.stop = context.AfterFunc(ctx, v.cancel)
	return v, nil
}

// sendFailure returns the error kind for a failed write. yamux reports a reset or closed stream before it queues bytes.
// Other errors may occur after the last byte was queued, so the sidecar may have received the whole frame.
func sendFailure(err error) errkind.Kind {
	if errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrStreamClosed) {
		return errkind.BackendUnreachable
	}
	return errkind.OutcomeUnknown
}

// cancel sends a Cancel frame and closes the stream. It unblocks Next.
func (v *Conversation) cancel() {
	_ = v.stream.SetReadDeadline(time.Unix(1, 0))
	_ = v.stream.SetWriteDeadline(time.Now().Add(acceptTimeout))
	_ = v.stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Cancel{
		Cancel: &wirepb.Cancel{RequestId: v.requestID, Attempt: v.attempt}}})
	_ = v.stream.Close()
}

// Next returns the next frame: Accepted, Refused, Chunk or End. The error is the cause of the context if it has ended; else
// its kind is ProtocolError for a frame of another type or request or with an unexpected sequence number, and
// OutcomeUnknown if the stream failed or timed out before an End or Refused frame.
func (v *Conversation) Next() (*wirepb.Envelope, error) {
	e, err := v.stream.Recv()
	if v.ctx.Err() != nil {
		return nil, context.Cause(v.ctx)
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.OutcomeUnknown, err, "stream failed before the end frame")
	}
	if err := v.checkFrame(e); err != nil {
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

// checkFrame checks that e is the next frame of this conversation, and stores the status in a Refused or End frame.
func (v *Conversation) checkFrame(e *wirepb.Envelope) error {
	switch m := e.GetMessage().(type) {
	case *wirepb.Envelope_Accepted:
		if v.accepted {
			return errkind.New(errkind.ProtocolError, "second accepted frame for the same request")
		}
		return v.checkRequest(m.Accepted.GetRequestId(), m.Accepted.GetAttempt())
	case *wirepb.Envelope_Refused:
		if v.nextSequence > 1 {
			return errkind.New(errkind.ProtocolError, "refused frame after a chunk")
		}
		v.ended = true
		v.client.Update(v.address, m.Refused.GetStatus(), time.Now())
		return v.checkRequest(m.Refused.GetRequestId(), m.Refused.GetAttempt())
	case *wirepb.Envelope_Chunk:
		return v.checkSequence(m.Chunk.GetRequestId(), m.Chunk.GetAttempt(), m.Chunk.GetSequence())
	case *wirepb.Envelope_End:
		v.ended = true
		v.client.Update(v.address, m.End.GetStatus(), time.Now())
		return v.checkSequence(m.End.GetRequestId(), m.End.GetAttempt(), m.End.GetSequence())
	}
	return errkind.New(errkind.ProtocolError, "unexpected frame %T", e.GetMessage())
}

// checkRequest checks that a frame belongs to this request and attempt.
func (v *Conversation) checkRequest(requestID string, attempt uint32) error {
	if requestID != v.requestID || attempt != v.attempt {
		return errkind.New(errkind.ProtocolError, "frame of request %q attempt %d in the stream of request %q attempt %d",
			requestID, attempt, v.requestID, v.attempt)
	}
	return nil
}

// checkSequence checks the request, the attempt and the sequence number of a frame.
func (v *Conversation) checkSequence(requestID string, attempt uint32, sequence uint64) error {
	if err := v.checkRequest(requestID, attempt); err != nil {
		return err
	}
	if sequence != v.nextSequence {
		return errkind.New(errkind.ProtocolError, "frame with sequence number %d, expected %d", sequence, v.nextSequence)
	}
	v.nextSequence++
	return nil
}

// Close ends the conversation. A request that has not ended is cancelled at the sidecar. It must be called once.
func (v *Conversation) Close() {
	if v.stop() {
		if v.ended {
			_ = v.stream.Close()
		} else {
			v.cancel()
		}
	}
	v.client.requestDone(v.address)
}
