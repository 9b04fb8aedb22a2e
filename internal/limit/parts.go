package limit

import "time"

// Part is what one of several shares was charged for a request.
type Part struct {
	Index       int // of the share
	Reservation Reservation
	Units       int64 // millionths of a token
}

// ReserveAll charges tokens to shares of one organisation at one holder: to the first that has them all,
// else to several. Each stays a bucket of its own, so the bound over all buckets holds as for a charge of
// one share. If the levels together are too low, it charges nothing and returns the time after which they
// suffice without new loans, or LongestLoan if they never do.
func ReserveAll(now time.Duration, shares []*Share, tokens int64) ([]Part, time.Duration) {
	units := tokens * microTokens
	sum := int64(0)
	for _, s := range shares {
		s.Advance(now)
		s.lastUse, s.used = s.now, true
		sum += max(0, s.level)
	}
	if tokens < 0 || units > sum {
		return nil, waitAll(shares, units)
	}
	for i, s := range shares {
		if units <= s.level {
			return []Part{{i, s.charge(units), units}}, 0
		}
	}
	var parts []Part
	for i, s := range shares {
		if part := min(units, s.level); part > 0 {
			parts = append(parts, Part{i, s.charge(part), part})
			units -= part
		}
	}
	return parts, 0
}

// waitAll returns the time until the levels of the shares together reach units. A share that is full
// gains nothing more.
func waitAll(shares []*Share, units int64) time.Duration {
	longest := time.Duration(0)
	levels := make([]float64, len(shares))
	// Accrual rounds down and a level close to a limit is set to it, which may each miss a unit for each share.
	rounding := 2 * float64(len(shares))
	missing := float64(units) + rounding
	for i, s := range shares {
		longest = max(longest, s.opts.LongestLoan)
		levels[i] = float64(s.level)
		missing -= max(0, levels[i])
	}
	for waited := 0.0; ; {
		rate, step := 0.0, -1.0
		for i, s := range shares {
			if s.rate() == 0 || levels[i] >= float64(s.capacity()) {
				continue
			}
			until := float64(s.capacity()) // the level at which the share gains nothing more
			if levels[i] < 0 {
				until = 0 // a debt is paid first
			} else {
				rate += float64(s.rate())
			}
			if d := (until - levels[i]) / float64(s.rate()); step < 0 || d < step {
				step = d
			}
		}
		if step < 0 {
			return longest
		}
		if rate > 0 && missing <= rate*step+rounding+1 {
			return time.Duration((waited+missing/rate)*float64(time.Second)) + time.Nanosecond
		}
		waited += step
		missing -= rate * step
		advanceLevels(shares, levels, step)
	}
}

// advanceLevels moves the levels by the given seconds, of which no share that is not full or in debt
// reaches its limit before the end. A level closer to a limit than a unit is set to it, so that rounding
// cannot make the steps endless.
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

// RefundUnits is Refund with the unused part in millionths of a token.
func (s *Share) RefundUnits(now time.Duration, r Reservation, unused int64) int64 {
	s.Advance(now)
	units, ok := s.outstanding[uint64(r)]
	if !ok {
		return 0
	}
	credit := s.credit(s.markOf(uint64(r)), min(max(0, unused), units))
	s.level += credit
	s.finish(uint64(r))
	return credit
}

// Owe ends a reservation and charges what was used beyond it. The level may go below zero by it, so that
// later charges wait until the debt is paid, but not below minus the organisation's burst. It returns the
// tokens charged, and false if the reservation had ended.
func (s *Share) Owe(now time.Duration, r Reservation, tokens int64) (charged int64, ok bool) {
	s.Advance(now)
	if _, ok := s.outstanding[uint64(r)]; !ok {
		return 0, false
	}
	s.finish(uint64(r))
	room := max(0, s.level/microTokens+s.base.Burst)
	charged = min(max(0, tokens), room)
	s.level -= Units(charged)
	return charged, true
}

// Units returns tokens as millionths of a token.
func Units(tokens int64) int64 { return tokens * microTokens }
