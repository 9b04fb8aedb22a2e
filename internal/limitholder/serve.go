package limitholder

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/limit"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// orgShare is the share of one organisation and the state of its borrowing.
type orgShare struct {
	share      *limit.Share
	borrowing  chan struct{} // closed when the round of borrowing under way ends; nil if none is
	nextBorrow time.Duration
}

// Serve answers LimitReserve and LimitBorrow. A LimitRefund has no answer: Serve returns nil.
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

// reserve charges tokens. A holder that is short of tokens first asks the other holders for loans.
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

// charge returns a grant, a refusal for want of a lease, or nil and the wait until the tokens are there.
func (h *Holder) charge(org config.Organisation, tokens int64) (*wirepb.LimitGrant, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	l, ok := h.usable(org.Name, now)
	if !ok {
		return h.refuse(errkind.LimitsUnavailable, 0, "no valid lease"), 0
	}
	r, wait := h.shareOf(l, org, now).share.Reserve(now, tokens)
	if r == 0 {
		return nil, wait
	}
	h.metrics.grants.Add(1)
	return &wirepb.LimitGrant{
		ReservationId: reservationID(l.generation, r), Epoch: l.row.Epoch,
		ValidMs: h.opts.Limit.Margin.Milliseconds(),
	}, 0
}

func (h *Holder) refuse(kind errkind.Kind, wait time.Duration, detail string) *wirepb.LimitGrant {
	h.metrics.refusals.Add(kind.String(), 1)
	// Milliseconds are rounded up, so that the tokens are there when the wait is over.
	ms := (wait + time.Millisecond - 1).Milliseconds()
	return &wirepb.LimitGrant{Kind: int32(kind), RetryAfterMs: ms, Detail: detail}
}

// shareOf returns the share of an organisation under a valid lease. A share that is created later than
// its lease has the level that it would have reached since then.
func (h *Holder) shareOf(l *lease, org config.Organisation, now time.Duration) *orgShare {
	members := h.membership()
	base := limit.Base{
		Rate: org.Rate, Burst: org.Burst, DataCentres: len(members.names), Membership: members.version,
	}
	o, ok := l.shares[org.Name]
	if !ok {
		first := base
		first.DataCentres = max(base.DataCentres, len(l.row.DataCentres))
		first.Membership = l.row.Membership
		o = new(orgShare)
		if l.quarantine == 0 {
			o.share = limit.NewFull(now, h.opts.Limit, first)
		} else {
			o.share = limit.NewQuarantined(l.adoptedAt, l.adoptedAt+l.quarantine, h.opts.Limit, first)
		}
		l.shares[org.Name] = o
	}
	o.share.SetBase(now, base)
	return o
}

// refund credits a reservation of the same epoch. The reservations of an earlier epoch are gone.
func (h *Holder) refund(m *wirepb.LimitRefund) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	l, ok := h.usable(m.GetOrganisation(), now)
	o := l.shares[m.GetOrganisation()]
	r, found := parseReservationID(m.GetReservationId(), l.generation)
	if !ok || !found || o == nil || m.GetEpoch() != l.row.Epoch {
		h.metrics.refundsDropped.Add(1)
		return
	}
	o.share.Refund(now, r, m.GetUnused())
}

func reservationID(generation int64, r limit.Reservation) string {
	return strconv.FormatInt(generation, 10) + "/" + strconv.FormatUint(uint64(r), 10)
}

// parseReservationID fails for an ID of another generation of the shares.
func parseReservationID(id string, generation int64) (limit.Reservation, bool) {
	number, ok := strings.CutPrefix(id, strconv.FormatInt(generation, 10)+"/")
	r, err := strconv.ParseUint(number, 10, 64)
	return limit.Reservation(r), ok && err == nil
}

// lend answers another holder. Without a valid lease it lends nothing.
func (h *Holder) lend(m *wirepb.LimitBorrow) *wirepb.LimitLoan {
	org, ok := h.opts.Snapshot().Organisation(m.GetOrganisation())
	if !ok {
		return new(wirepb.LimitLoan)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	l, ok := h.usable(org.Name, now)
	if !ok {
		return new(wirepb.LimitLoan)
	}
	h.loans++
	id := fmt.Sprintf("%s/%s/%d", h.opts.Address, h.opts.Incarnation, h.loans)
	loan := h.shareOf(l, org, now).share.Lend(now, id, limit.Want{
		Tokens: m.GetTokens(), Rate: m.GetRate(), Capacity: m.GetCapacity(),
		Duration: time.Duration(m.GetDurationMs()) * time.Millisecond,
	})
	if !loan.Empty() {
		h.metrics.loansGiven.Add(1)
	}
	return &wirepb.LimitLoan{
		LoanId: loan.ID, Tokens: loan.Tokens, Rate: loan.Rate, Capacity: loan.Capacity,
		DurationMs: loan.Duration.Milliseconds(),
	}
}
