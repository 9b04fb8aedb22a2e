package limitholder

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// orgShare is the share of one organisation and its borrowing state.
type orgShare struct {
	share        *limitshare.Share
	borrowDone   chan struct{} // closed when the running borrowing round ends; nil if none is running
	nextBorrowAt time.Duration
}

// Serve answers a LimitReserve with a LimitGrant and a LimitBorrow with a LimitLoan. A LimitRefund has no
// answer: Serve returns nil. Any other message is answered with Refused.
func (h *Holder) Serve(ctx context.Context, e *wirepb.Envelope) *wirepb.Envelope {
	switch m := e.GetMessage().(type) {
	case *wirepb.Envelope_LimitReserve:
		return &wirepb.Envelope{Message: &wirepb.Envelope_LimitGrant{LimitGrant: h.serveReserve(ctx, m.LimitReserve)}}
	case *wirepb.Envelope_LimitRefund:
		h.refund(m.LimitRefund)
		return nil
	case *wirepb.Envelope_LimitBorrow:
		return &wirepb.Envelope{Message: &wirepb.Envelope_LimitLoan{LimitLoan: h.lend(m.LimitBorrow)}}
	}
	refused := &wirepb.Refused{Kind: int32(errkind.ProtocolError), Detail: "not a message for a limit holder"}
	return &wirepb.Envelope{Message: &wirepb.Envelope_Refused{Refused: refused}}
}

func (h *Holder) serveReserve(ctx context.Context, m *wirepb.LimitReserve) *wirepb.LimitGrant {
	org, ok := h.opts.Snapshot().Organisation(m.GetOrganisation())
	if !ok {
		return h.refuse(errkind.LimitsUnavailable, 0, "the organisation is not known to the holder")
	}
	return h.reserve(ctx, org, m.GetTokens())
}

// reserve charges tokens. A holder with too few tokens first requests loans from the other holders.
func (h *Holder) reserve(ctx context.Context, org config.Organisation, tokens int64) *wirepb.LimitGrant {
	if tokens < 0 || tokens > org.Burst {
		return h.refuse(errkind.RequestTooLarge, 0, "more tokens than the organisation's burst")
	}
	ctx, cancel := context.WithTimeout(ctx, h.opts.BorrowTimeout)
	defer cancel()
	grant, wait := h.charge(org, tokens)
	if grant != nil {
		return grant
	}
	if h.borrow(ctx, org, tokens) {
		if grant, wait = h.charge(org, tokens); grant != nil {
			return grant
		}
	}
	return h.refuse(errkind.RateLimited, wait, "")
}

// charge returns a grant, a refusal because there is no valid lease, or nil and the time until the tokens are
// available. If the holder has several shares of the organisation and none has enough tokens, it charges
// several of them.
func (h *Holder) charge(org config.Organisation, tokens int64) (*wirepb.LimitGrant, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	leases := h.usableLeases(org.Name, now)
	if len(leases) == 0 {
		return h.refuse(errkind.LimitsUnavailable, 0, "no valid lease"), 0
	}
	shares := make([]*limitshare.Share, len(leases))
	for i, l := range leases {
		shares[i] = h.shareOf(l, org, now).share
	}
	parts, wait := limitshare.ReserveAll(now, shares, tokens)
	if len(parts) == 0 {
		return nil, wait
	}
	h.metrics.grants.Add(1)
	if len(parts) > 1 {
		h.metrics.grantsOfSeveralShares.Add(1)
	}
	return &wirepb.LimitGrant{
		ReservationId: reservationID(leases, parts), Epoch: leases[parts[0].Index].row.Epoch,
		ValidMs: h.opts.Limit.LoanReturnMargin.Milliseconds(),
	}, 0
}

func (h *Holder) refuse(kind errkind.Kind, wait time.Duration, detail string) *wirepb.LimitGrant {
	h.metrics.refusals.Add(kind.String(), 1)
	// Round up to whole milliseconds, so that the tokens are available when the wait is over.
	ms := (wait + time.Millisecond - 1).Milliseconds()
	return &wirepb.LimitGrant{Kind: int32(kind), RetryAfterMs: ms, Detail: detail}
}

// shareOf returns the share of an organisation under a valid lease. A share that is created after the lease
// was acquired has the level that it would have reached since then.
func (h *Holder) shareOf(l *lease, org config.Organisation, now time.Duration) *orgShare {
	members := h.membership()
	base := limitshare.BucketConfig{
		Rate: org.Rate, Burst: org.Burst, DataCentres: len(members.dataCentres), MembershipVersion: members.version,
	}
	o, ok := l.shares[org.Name]
	if !ok {
		initial := base
		initial.DataCentres = max(base.DataCentres, len(l.row.DataCentres))
		initial.MembershipVersion = l.row.MembershipVersion
		o = new(orgShare)
		if l.quarantine == 0 {
			o.share = limitshare.NewFull(now, h.opts.Limit, initial)
		} else {
			o.share = limitshare.NewQuarantined(l.acquiredAt, l.acquiredAt+l.quarantine, h.opts.Limit, initial)
		}
		l.shares[org.Name] = o
	}
	o.share.SetBucketConfig(now, base)
	return o
}

// lend answers a loan request of another holder. Without a valid lease it lends nothing.
func (h *Holder) lend(m *wirepb.LimitBorrow) *wirepb.LimitLoan {
	org, ok := h.opts.Snapshot().Organisation(m.GetOrganisation())
	if !ok {
		return new(wirepb.LimitLoan)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	h.loans++
	id := fmt.Sprintf("%s/%s/%d", h.opts.Address, h.opts.Incarnation, h.loans)
	want := limitshare.LoanRequest{
		Tokens: m.GetTokens(), Rate: m.GetRate(), Capacity: m.GetCapacity(),
		Duration: time.Duration(m.GetDurationMs()) * time.Millisecond,
	}
	reply := new(wirepb.LimitLoan)
	for _, l := range h.usableLeases(org.Name, now) {
		// All loans of one request have the same duration, so the borrower gets them as one loan.
		loan := h.shareOf(l, org, now).share.Lend(now, id, want)
		if loan.Empty() {
			continue
		}
		reply.LoanId, reply.DurationMs = loan.ID, loan.Duration.Milliseconds()
		reply.Tokens += loan.Tokens
		reply.Rate += loan.Rate
		reply.Capacity += loan.Capacity
		want.Tokens -= loan.Tokens
		want.Rate -= loan.Rate
		want.Capacity -= loan.Capacity
	}
	if reply.LoanId != "" {
		h.metrics.loansGiven.Add(1)
	}
	return reply
}
