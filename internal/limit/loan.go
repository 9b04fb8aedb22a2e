package limit

import (
	"math"
	"time"
)

// Want is what a borrower asks for. A lender may give less of each.
type Want struct {
	Tokens   int64
	Rate     float64 // tokens a second
	Capacity int64   // tokens; raised to Tokens if lower
	Duration time.Duration
}

// Loan is a part of a share for a bounded time. The borrower counts Duration from before its request.
type Loan struct {
	ID       string // unique over all lenders
	Tokens   int64
	Rate     float64 // tokens a second
	Capacity int64   // tokens, at least Tokens
	Duration time.Duration
}

// Empty reports whether nothing was lent.
func (l Loan) Empty() bool { return l.Tokens == 0 && l.Rate == 0 && l.Capacity == 0 }

// Lend subtracts a loan from the share, to be sent under the given unique ID. Rate and capacity return to
// the share a margin after the loan has ended; lent tokens do not. A share whose holder had a reservation
// within the longest loan keeps half of what it has. Borrowed rate and capacity are not lent on.
func (s *Share) Lend(now time.Duration, id string, want Want) Loan {
	s.Advance(now)
	divisor := int64(1)
	if s.used && s.now-s.lastUse < s.opts.LongestLoan {
		divisor = 2
	}
	capacity := max(0, s.baseCapacity-s.lentCapacity) / divisor / microTokens
	rate := max(0, s.baseRate-s.lentRate) / divisor
	loan := Loan{
		ID:       id,
		Tokens:   min(max(0, want.Tokens), max(0, s.level)/divisor/microTokens, capacity),
		Capacity: min(max(0, want.Capacity, want.Tokens), capacity),
		Duration: min(max(0, want.Duration), s.opts.LongestLoan),
	}
	// Capacity beyond the free part would clip tokens that nobody has spent, for both sides.
	free := max(0, s.capacity()-s.level) / microTokens
	loan.Capacity = min(loan.Capacity, loan.Tokens+free)
	rate = min(rate, int64(math.Floor(max(0, want.Rate)*microTokens)))
	loan.Rate = float64(rate) / microTokens
	if loan.Empty() || loan.Duration == 0 {
		return Loan{}
	}
	s.level -= loan.Tokens * microTokens
	s.lentRate += rate
	s.lentCapacity += loan.Capacity * microTokens
	s.clip()
	s.schedule(event{
		at: s.now + loan.Duration + s.opts.Margin, kind: loanReturn, rate: rate, capacity: loan.Capacity * microTokens,
	})
	return loan
}

// Borrow adds a loan that was asked for at sentAt, until sentAt + Duration, and reports whether it did. A
// reply that comes after timeout, a duplicate, and a loan that has ended are dropped.
func (s *Share) Borrow(now, sentAt, timeout time.Duration, loan Loan) bool {
	s.Advance(now)
	end := sentAt + min(loan.Duration, s.opts.LongestLoan)
	_, duplicate := s.received[loan.ID]
	if loan.Empty() || duplicate || s.now > sentAt+timeout || s.now >= end || loan.Tokens > loan.Capacity {
		return false
	}
	if loan.Tokens < 0 || loan.Rate < 0 {
		return false
	}
	// The lender's rate is a whole number of units, so rounding down after adding half recovers it.
	rate := int64(math.Floor(loan.Rate*microTokens + 0.5))
	s.received[loan.ID] = struct{}{}
	s.borrowedRate += rate
	s.borrowedCapacity += loan.Capacity * microTokens
	s.level += loan.Tokens * microTokens
	s.clip()
	s.schedule(event{
		at: end, kind: loanEnd, rate: rate, capacity: loan.Capacity * microTokens, loanID: loan.ID,
	})
	return true
}

// Outstanding returns the number of loans given and not yet taken back.
func (s *Share) Outstanding() int {
	n := 0
	for _, e := range s.events {
		if e.kind == loanReturn {
			n++
		}
	}
	return n
}
