package limitshare

import "time"

// PartialCharge is the charge of a request to one of several shares.
type PartialCharge struct {
	Index       int // of the share in the slice given to ReserveAll
	Reservation Reservation
	MicroTokens int64 // millionths of a token
}

// ReserveAll charges tokens to shares of one organisation at one holder: to the first share that has them all,
// otherwise to several. Each share remains a separate bucket, so the bound over all buckets holds as for a
// charge to one share. If the levels together are too low, it charges nothing and returns no parts and the time
// after which they suffice without new loans, or MaxLoanDuration if they never do.
func ReserveAll(now time.Duration, shares []*Share, tokens int64) ([]PartialCharge, time.Duration) {
	units := tokens * unitsPerToken
	sum := int64(0)
	for _, s := range shares {
		s.Advance(now)
		s.lastReserve, s.hasReserved = s.now, true
		sum += max(0, s.level)
	}
	if tokens < 0 || units > sum {
		return nil, waitAll(shares, units)
	}
	for i, s := range shares {
		if units <= s.level {
			return []PartialCharge{{i, s.charge(units), units}}, 0
		}
	}
	var parts []PartialCharge
	for i, s := range shares {
		if part := min(units, s.level); part > 0 {
			parts = append(parts, PartialCharge{i, s.charge(part), part})
			units -= part
		}
	}
	return parts, 0
}

// waitAll returns the time until the levels of the shares together reach units, or MaxLoanDuration if they never
// do. A full share gains nothing more.
func waitAll(shares []*Share, units int64) time.Duration {
	longestLoan := time.Duration(0)
	levels := make([]float64, len(shares))
	// Accrual rounds down, and a level close to its target is set to it: each may be off by one unit for each
	// share.
	rounding := 2 * float64(len(shares))
	missing := float64(units) + rounding
	for i, s := range shares {
		longestLoan = max(longestLoan, s.opts.MaxLoanDuration)
		levels[i] = float64(s.level)
		missing -= max(0, levels[i])
	}
	for waited := 0.0; ; {
		rate, step := 0.0, -1.0
		for i, s := range shares {
			if s.rate() == 0 || levels[i] >= float64(s.capacity()) {
				continue
			}
			target := float64(s.capacity()) // the level at which the share stops accruing
			if levels[i] < 0 {
				target = 0 // accrual adds no tokens before the debt is paid off
			} else {
				rate += float64(s.rate())
			}
			if d := (target - levels[i]) / float64(s.rate()); step < 0 || d < step {
				step = d
			}
		}
		if step < 0 {
			return longestLoan
		}
		if rate > 0 && missing <= rate*step+rounding+1 {
			return time.Duration((waited+missing/rate)*float64(time.Second)) + time.Nanosecond
		}
		waited += step
		missing -= rate * step
		advanceLevels(shares, levels, step)
	}
}

// advanceLevels adds the accrual of the given number of seconds to the levels. The caller chooses a step within
// which no share that still accrues reaches its capacity, or zero if it is in debt, before the end. A level
// that is less than one unit below its target is set to it, since rounding could otherwise make the number of
// steps infinite.
func advanceLevels(shares []*Share, levels []float64, seconds float64) {
	for i, s := range shares {
		capacity := float64(s.capacity())
		debt := levels[i] < 0
		levels[i] = min(levels[i]+float64(s.rate())*seconds, max(capacity, levels[i]))
		if capacity-levels[i] < 1 {
			levels[i] = capacity
		}
		if debt && levels[i] > -1 {
			levels[i] = max(levels[i], 0)
		}
	}
}

// RefundMicroTokens is like Refund, with the unused part and the credited part in millionths of a token.
func (s *Share) RefundMicroTokens(now time.Duration, r Reservation, unused int64) int64 {
	s.Advance(now)
	units, ok := s.reservedUnits[uint64(r)]
	if !ok {
		return 0
	}
	credit := s.credit(s.intervalOf(uint64(r)), min(max(0, unused), units))
	s.level += credit
	s.endReservation(uint64(r))
	return credit
}

// ChargeOverrun ends a reservation and charges the tokens that were used beyond it. The level may become negative, so
// that later charges wait until the debt is paid off, but never lower than minus the organisation's burst. It
// returns the tokens charged, and false if the reservation had already ended.
func (s *Share) ChargeOverrun(now time.Duration, r Reservation, tokens int64) (charged int64, ok bool) {
	s.Advance(now)
	if _, ok := s.reservedUnits[uint64(r)]; !ok {
		return 0, false
	}
	s.endReservation(uint64(r))
	chargeable := max(0, s.level/unitsPerToken+s.base.Burst)
	charged = min(max(0, tokens), chargeable)
	s.level -= MicroTokens(charged)
	return charged, true
}

// MicroTokens converts tokens to millionths of a token.
func MicroTokens(tokens int64) int64 { return tokens * unitsPerToken }
