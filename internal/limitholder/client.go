package limitholder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// maxConcurrentRefunds bounds the refunds in flight from this gateway. Further refunds are dropped; the rate
// of the organisation replenishes their tokens.
const maxConcurrentRefunds = 64

// Reservation is a charge to an organisation's limit.
type Reservation interface {
	// Refund returns unused tokens, from zero to the reserved number. A negative number is the use beyond the
	// reservation, and is charged as a debt. Refund does not wait for the holder. Only the first call has an
	// effect.
	Refund(unused int64)
}

// RateLimitError reports that the organisation's limit does not allow the request now. It unwraps to an
// *errkind.Error.
type RateLimitError struct {
	Err        *errkind.Error
	RetryAfter time.Duration // time after which the same request is likely to be granted
}

// Error implements error.
func (e *RateLimitError) Error() string { return e.Err.Error() }

// Unwrap returns the error that carries the kind.
func (e *RateLimitError) Unwrap() error { return e.Err }

// Client charges requests to the limits of their organisations. It is safe for concurrent use.
type Client struct {
	holder      *Holder
	refundSlots chan struct{}
}

// NewClient returns a client that uses the Holder of the same gateway.
func NewClient(h *Holder) *Client {
	return &Client{holder: h, refundSlots: make(chan struct{}, maxConcurrentRefunds)}
}

// holderRetryPause is the maximum pause before holders that did not answer are asked again. The holder on a
// busy host may fail to answer within one CallTimeout.
const holderRetryPause = 50 * time.Millisecond

// Reserve charges tokens at this gateway's holder, else at that of the data centre, else at one of another
// data centre. While no holder answers, it retries for up to HolderWait, also with holders from newly read
// lease rows. It returns a RateLimitError of kind RateLimited, or an error of kind RequestTooLarge or
// LimitsUnavailable.
func (c *Client) Reserve(ctx context.Context, requestID string, org config.Organisation, tokens int64) (Reservation, error) {
	if tokens > org.Burst {
		return nil, errkind.New(errkind.RequestTooLarge, "%d tokens, burst %d", tokens, org.Burst)
	}
	h := c.holder
	partition := Partition(org.Name, h.opts.Partitions)
	waitCtx, cancel := context.WithTimeout(ctx, h.opts.HolderWait)
	defer cancel()
	lastErr := errors.New("no holder is known")
	for {
		r, decided, err := c.tryHolders(ctx, requestID, org, partition, tokens)
		if decided {
			return r, err
		}
		if err != nil {
			lastErr = err // kept if later attempts find no holder to ask
		}
		if !c.awaitRetry(waitCtx, len(h.holderAddresses(partition)) > 0) {
			h.metrics.refusals.Add(errkind.LimitsUnavailable.String(), 1)
			return nil, errkind.Wrap(errkind.LimitsUnavailable, lastErr, "no holder of partition %d answered", partition)
		}
	}
}

// awaitRetry waits before the holders are asked again: until the next read of the lease rows, but at most for
// holderRetryPause if some holders are known. It returns false when there is nothing more to wait for.
func (c *Client) awaitRetry(ctx context.Context, known bool) bool {
	if !known {
		return c.holder.awaitRound(ctx)
	}
	pauseCtx, cancel := context.WithTimeout(ctx, holderRetryPause)
	defer cancel()
	if c.holder.awaitRound(pauseCtx) {
		return true
	}
	<-pauseCtx.Done()
	return ctx.Err() == nil
}

// tryHolders asks the known holders in order until one grants or refuses, and reports whether one did. If none
// did, err is the failure of the last one.
func (c *Client) tryHolders(
	ctx context.Context, requestID string, org config.Organisation, partition int, tokens int64,
) (r Reservation, decided bool, err error) {
	h := c.holder
	if h.Holds(partition) {
		sentAt := h.opts.Now()
		grant := h.reserve(ctx, org, tokens)
		if errkind.Kind(grant.GetKind()) != errkind.LimitsUnavailable {
			r, err = c.reservationFrom(grant, sentAt, "", org)
			return r, true, err
		}
		err = fmt.Errorf("this gateway: %s", grant.GetDetail())
	}
	request := &wirepb.LimitReserve{RequestId: requestID, Organisation: org.Name, Tokens: tokens}
	message := &wirepb.Envelope{Message: &wirepb.Envelope_LimitReserve{LimitReserve: request}}
	for _, address := range h.holderAddresses(partition) {
		sentAt := h.opts.Now()
		reply, callErr := c.call(ctx, address, message)
		if callErr != nil {
			err = callErr
			continue
		}
		grant := reply.GetLimitGrant()
		if grant == nil {
			err = fmt.Errorf("%s sent no grant", address)
			continue
		}
		if errkind.Kind(grant.GetKind()) == errkind.LimitsUnavailable {
			err = fmt.Errorf("%s: %s", address, grant.GetDetail())
			continue
		}
		r, err = c.reservationFrom(grant, sentAt, address, org)
		return r, true, err
	}
	return nil, false, err
}

// call sends a message to a holder. If the answer to a charge is lost, the tokens stay charged.
func (c *Client) call(ctx context.Context, address string, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, c.holder.opts.CallTimeout)
	defer cancel()
	reply, err := c.holder.call(ctx, address, message)
	if err != nil {
		return nil, fmt.Errorf("%s did not answer: %w", address, err)
	}
	return reply, nil
}

// reservationFrom converts a grant into a reservation or an error. It rejects a grant whose validity has
// passed, because the process may have been paused since it sent the request.
func (c *Client) reservationFrom(
	grant *wirepb.LimitGrant, sentAt time.Duration, address string, org config.Organisation,
) (Reservation, error) {
	kind := errkind.Kind(grant.GetKind())
	switch kind {
	case errkind.None:
	case errkind.RateLimited:
		wait := time.Duration(grant.GetRetryAfterMs()) * time.Millisecond
		return nil, &RateLimitError{Err: errkind.New(kind, "organisation %s", org.Name), RetryAfter: wait}
	default:
		return nil, errkind.New(kind, "%s", grant.GetDetail())
	}
	r := &reservation{client: c, address: address, organisation: org.Name, grant: grant}
	valid := time.Duration(grant.GetValidMs()) * time.Millisecond
	if c.holder.opts.Now() >= sentAt+valid {
		c.holder.metrics.grantsExpired.Add(1)
		return nil, errkind.New(errkind.LimitsUnavailable, "grant received after its validity of %v", valid)
	}
	return r, nil
}

type reservation struct {
	client       *Client
	address      string // empty for the holder of this gateway
	organisation string
	grant        *wirepb.LimitGrant
}

// Refund implements Reservation.
func (r *reservation) Refund(unused int64) {
	if unused == 0 {
		return
	}
	h := r.client.holder
	m := &wirepb.LimitRefund{
		ReservationId: r.grant.GetReservationId(), Organisation: r.organisation,
		Epoch: r.grant.GetEpoch(), Unused: unused,
	}
	if r.address == "" {
		h.refund(m)
		return
	}
	select {
	case r.client.refundSlots <- struct{}{}:
	default:
		h.metrics.refundsDropped.Add(1)
		return
	}
	go func() {
		defer func() { <-r.client.refundSlots }()
		message := &wirepb.Envelope{Message: &wirepb.Envelope_LimitRefund{LimitRefund: m}}
		if _, err := r.client.call(context.Background(), r.address, message); err != nil {
			h.opts.Log.Debug("refund not delivered; the charge stays until the organisation's rate replenishes it",
				"organisation", r.organisation, "error", err)
		}
	}()
}
