package limitholder

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/limit"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// chargedPart is what a reservation charged to one share.
type chargedPart struct {
	epoch, generation int64
	reservation       limit.Reservation
	units             int64 // millionths of a token
	dataCentre        string
}

// reservationID names the parts of a charge, so that the holder keeps no record of which belong together.
func reservationID(leases []*lease, parts []limit.Part) string {
	var b strings.Builder
	for i, p := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		l := leases[p.Index]
		fmt.Fprintf(&b, "%d/%d/%d/%d/%s", l.row.Epoch, l.generation, p.Reservation, p.Units, l.dataCentre)
	}
	return b.String()
}

var errReservationID = errors.New("not a reservation ID")

func parseReservationID(id string) ([]chargedPart, error) {
	var parts []chargedPart
	for field := range strings.SplitSeq(id, ",") {
		var p chargedPart
		n, err := fmt.Sscanf(field, "%d/%d/%d/%d/%s", &p.epoch, &p.generation, &p.reservation, &p.units, &p.dataCentre)
		if n != 5 || err != nil || p.units < 0 {
			return nil, errReservationID
		}
		parts = append(parts, p)
	}
	return parts, nil
}

// refund credits the parts of a reservation whose shares are still of the same epoch and generation. Those
// of earlier ones are gone. A negative number of unused tokens is a debt, which the first part's share owes.
func (h *Holder) refund(m *wirepb.LimitRefund) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	parts, err := parseReservationID(m.GetReservationId())
	if err != nil {
		h.metrics.refundsDropped.Add(1)
		return
	}
	usable := h.usable(m.GetOrganisation(), now)
	unused := limit.Units(max(0, m.GetUnused()))
	for i, p := range parts {
		part := min(unused, p.units)
		unused -= part
		o := shareOfPart(usable, m.GetOrganisation(), p)
		if o == nil {
			h.metrics.refundsDropped.Add(1)
			continue
		}
		if i == 0 && m.GetUnused() < 0 {
			if charged, ok := o.share.Owe(now, p.reservation, -m.GetUnused()); ok {
				h.countDebt(-m.GetUnused(), charged)
			}
			continue
		}
		o.share.RefundUnits(now, p.reservation, part)
	}
}

func (h *Holder) countDebt(tokens, charged int64) {
	h.metrics.debts.Add(1)
	h.metrics.debtTokens.Add(charged)
	h.metrics.debtTokensDropped.Add(tokens - charged)
}

// shareOfPart returns the share that was charged, or nil if it is gone.
func shareOfPart(usable []*lease, organisation string, p chargedPart) *orgShare {
	for _, l := range usable {
		if l.dataCentre == p.dataCentre && l.row.Epoch == p.epoch && l.generation == p.generation {
			return l.shares[organisation]
		}
	}
	return nil
}
