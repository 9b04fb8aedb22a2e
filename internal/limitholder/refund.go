package limitholder

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// chargedPart is the part of a reservation that was charged to one share.
type chargedPart struct {
	epoch, generation int64
	reservation       limitshare.Reservation
	units             int64 // millionths of a token
	dataCentre        string
}

// reservationID encodes the parts of a charge, so that the holder need not record which parts belong together.
func reservationID(leases []*lease, parts []limitshare.PartialCharge) string {
	var b strings.Builder
	for i, p := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		l := leases[p.Index]
		fmt.Fprintf(&b, "%d/%d/%d/%d/%s", l.row.Epoch, l.generation, p.Reservation, p.MicroTokens, l.dataCentre)
	}
	return b.String()
}

var errInvalidReservationID = errors.New("invalid reservation ID")

func parseReservationID(id string) ([]chargedPart, error) {
	var parts []chargedPart
	for field := range strings.SplitSeq(id, ",") {
		var p chargedPart
		n, err := fmt.Sscanf(field, "%d/%d/%d/%d/%s", &p.epoch, &p.generation, &p.reservation, &p.units, &p.dataCentre)
		if n != 5 || err != nil || p.units < 0 {
			return nil, errInvalidReservationID
		}
		parts = append(parts, p)
	}
	return parts, nil
}

// refund credits the parts of a reservation whose shares still have the epoch and generation of the charge,
// and drops the others, whose shares no longer exist. A negative number of unused tokens is a debt, which is
// charged to the share of the first part.
func (h *Holder) refund(m *wirepb.LimitRefund) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	parts, err := parseReservationID(m.GetReservationId())
	if err != nil {
		h.metrics.refundsDropped.Add(1)
		return
	}
	usableLeases := h.usableLeases(m.GetOrganisation(), now)
	unused := limitshare.MicroTokens(max(0, m.GetUnused()))
	for i, p := range parts {
		part := min(unused, p.units)
		unused -= part
		o := shareOfPart(usableLeases, m.GetOrganisation(), p)
		if o == nil {
			h.metrics.refundsDropped.Add(1)
			continue
		}
		if i == 0 && m.GetUnused() < 0 {
			if charged, ok := o.share.ChargeOverrun(now, p.reservation, -m.GetUnused()); ok {
				h.countDebt(-m.GetUnused(), charged)
			}
			continue
		}
		o.share.RefundMicroTokens(now, p.reservation, part)
	}
}

func (h *Holder) countDebt(tokens, charged int64) {
	h.metrics.debts.Add(1)
	h.metrics.debtTokens.Add(charged)
	h.metrics.debtTokensDropped.Add(tokens - charged)
}

// shareOfPart returns the share to which the part was charged, or nil if it no longer exists.
func shareOfPart(usable []*lease, organisation string, p chargedPart) *orgShare {
	for _, l := range usable {
		if l.dataCentre == p.dataCentre && l.row.Epoch == p.epoch && l.generation == p.generation {
			return l.shares[organisation]
		}
	}
	return nil
}
