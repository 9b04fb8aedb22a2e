package agentclient

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// coldTurnTimeout bounds a request for a turn at a cold engine. Such a request takes a few milliseconds, also between
	// data centres.
	coldTurnTimeout = 200 * time.Millisecond
	// proposalTimeout bounds the sending of a planner's proposal and the wait for the reply.
	proposalTimeout = 700 * time.Millisecond
	// maxReplyWaitMS bounds the wait until the next free turn, so that it does not overflow as a duration.
	maxReplyWaitMS = 3_600_000
)

// roundTrip opens a stream to a backend server's agent, sends one message and returns the reply. All its errors are of kind
// BackendUnreachable.
func (a *Client) roundTrip(ctx context.Context, r *fleet.Replica, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	address, err := a.address(r)
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendUnreachable, err, "agent of server %s", r.ID)
	}
	stream, err := a.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendUnreachable, err, "agent of server %s", r.ID)
	}
	defer func() { _ = stream.Close() }()
	// Closing a stream ends only its sending side.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	if err := stream.Send(message); err != nil {
		return nil, errkind.Wrap(errkind.BackendUnreachable, err, "agent of server %s", r.ID)
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendUnreachable, errors.Join(err, ctx.Err()), "agent of server %s", r.ID)
	}
	return reply, nil
}

// EnsureAdapter asks the agent of r to load an adapter and returns when the engine holds it. ctx bounds the wait. Errors
// are of the kind that the agent replied with, BackendUnreachable or ProtocolError.
func (a *Client) EnsureAdapter(ctx context.Context, r *fleet.Replica, requestID, model, adapter string) error {
	reply, err := a.roundTrip(ctx, r, wire.AdapterRequest(&wirepb.AdapterRequest{
		RequestId: requestID, Replica: r.ID, Model: model, Adapter: adapter,
	}))
	if err != nil {
		return err
	}
	answer := reply.GetAdapterReply()
	if answer == nil {
		return errkind.New(errkind.ProtocolError, "unexpected message from the agent of server %s instead of a reply", r.ID)
	}
	if answer.GetKind() != 0 {
		return errkind.New(errkind.Kind(answer.GetKind()), "%s", answer.GetDetail())
	}
	return nil
}

// AcquireColdTurn asks the agent of r for a turn for a request at its engine, which is cold and can serve perSecond requests a
// second. It returns the time until the request may be sent. If no turn is free within maxWait, granted is false and wait
// is the time until one is. Errors are of kind BackendUnreachable or ProtocolError.
func (a *Client) AcquireColdTurn(ctx context.Context, r *fleet.Replica, requestID string, perSecond float64,
	maxWait time.Duration) (
	wait time.Duration, granted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, coldTurnTimeout)
	defer cancel()
	reply, err := a.roundTrip(ctx, r, wire.ColdRequest(&wirepb.ColdRequest{
		RequestId: requestID, Replica: r.ID, PerSecond: perSecond, MostWaitMs: maxWait.Milliseconds(),
	}))
	if err != nil {
		return 0, false, err
	}
	answer := reply.GetColdReply()
	if answer == nil {
		return 0, false, errkind.New(errkind.ProtocolError,
			"unexpected message from the agent of server %s instead of a reply", r.ID)
	}
	// The agent rounds the wait up to whole milliseconds.
	if ms := answer.GetWaitMs(); ms < 0 || (answer.GetGranted() && ms > maxWait.Milliseconds()+1) {
		return 0, false, errkind.New(errkind.ProtocolError, "the agent of server %s replied with a wait of %d ms", r.ID, ms)
	}
	return time.Duration(min(answer.GetWaitMs(), maxReplyWaitMS)) * time.Millisecond, answer.GetGranted(), nil
}

// Propose asks the agent of r to load or unload a model under a planner's epoch. It returns nil if the agent accepted the
// proposal. Errors are of the kind that the agent replied with, BackendUnreachable or ProtocolError.
func (a *Client) Propose(ctx context.Context, r *fleet.Replica, epoch int64, action, model, reason string) error {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	reply, err := a.roundTrip(ctx, r, &wirepb.Envelope{Message: &wirepb.Envelope_ModelOrder{ModelOrder: &wirepb.ModelOrder{
		OrderId: uuid.NewString(), PlannerEpoch: epoch, Action: action, Model: model, Reason: reason, Replica: r.ID,
	}}})
	if err != nil {
		return err
	}
	answer := reply.GetOrderReply()
	if answer == nil {
		return errkind.New(errkind.ProtocolError, "unexpected message from the agent of server %s instead of a reply", r.ID)
	}
	if answer.GetKind() != 0 {
		return errkind.New(errkind.Kind(answer.GetKind()), "%s", answer.GetDetail())
	}
	return nil
}
