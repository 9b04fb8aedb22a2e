package limitshare

import (
	"math"
	"time"
)

// LoanRequest is a request for a loan. The lender may grant less of each quantity.
type LoanRequest struct {
	Tokens   int64
	Rate     float64 // tokens per second
	Capacity int64   // tokens; raised to Tokens if lower
	Duration time.Duration
}

// Loan is a part of a share that is lent for a limited time. The borrower counts Duration from a time before it
// sent its request.
type Loan struct {
	ID       string // unique over all lenders
	Tokens   int64
	Rate     float64 // tokens per second
	Capacity int64   // tokens, at least Tokens
	Duration time.Duration
}

// Empty reports whether nothing was lent.
func (l Loan) Empty() bool { return l.Tokens == 0 && l.Rate == 0 && l.Capacity == 0 }

// Lend subtracts a loan from the share and returns it, to be sent under the given unique ID; it is empty if
// nothing can be lent. Rate and capacity return to the share one Margin after the loan has ended; lent tokens
// do not. A share that was asked for a reservation within the last MaxLoanDuration keeps half of what it has.
// Borrowed rate and capacity are not lent on.
func (s *Share) Lend(now time.Duration, id string, want LoanRequest) Loan {
	s.Advance(now)
	divisor := int64(1)
	if s.hasReserved && s.now-s.lastReserve < s.opts.MaxLoanDuration {
		divisor = 2
	}
	capacity := max(0, s.ownCapacity-s.lentCapacity) / divisor / unitsPerToken
	rate := max(0, s.ownRate-s.lentRate) / divisor
	loan := Loan{
		ID:       id,
		Tokens:   min(max(0, want.Tokens), max(0, s.level)/divisor/unitsPerToken, capacity),
		Capacity: min(max(0, want.Capacity, want.Tokens), capacity),
		Duration: min(max(0, want.Duration), s.opts.MaxLoanDuration),
	}
	// Do not lend more capacity than the lent tokens plus the lender's unfilled capacity: unspent tokens would be
	// discarded at the lender and at the borrower.
	free := max(0, s.capacity()-s.level) / unitsPerToken
	loan.Capacity = min(loan.Capacity, loan.Tokens+free)
	if !(want.Rate >= 0) { // negative or not a number
		want.Rate = 0
	}
	rate = int64(math.Floor(min(want.Rate*unitsPerToken, float64(rate))))
	loan.Rate = float64(rate) / unitsPerToken
	if loan.Empty() || loan.Duration == 0 {
		return Loan{}
	}
	s.level -= loan.Tokens * unitsPerToken
	s.lentRate += rate
	s.lentCapacity += loan.Capacity * unitsPerToken
	s.clampLevel()
	s.schedule(event{
		at: s.now + loan.Duration + s.opts.LoanReturnMargin, kind: lentLoanEnd, rate: rate,
		capacity: loan.Capacity * unitsPerToken,
	})
	return loan
}

// Borrow adds a loan that was requested at sentAt, until sentAt + Duration, and reports whether it did. It
// drops replies that arrive later than timeout after sentAt, duplicates, invalid loans and loans that have
// ended.
func (s *Share) Borrow(now, sentAt, timeout time.Duration, loan Loan) bool {
	s.Advance(now)
	end := sentAt + min(loan.Duration, s.opts.MaxLoanDuration)
	_, duplicate := s.borrowedLoans[loan.ID]
	if loan.Empty() || duplicate || s.now > sentAt+timeout || s.now >= end || loan.Tokens > loan.Capacity {
		return false
	}
	// No lender has more than the whole bucket, but for the rounding of a sum of rates. Comparisons with NaN are false.
	maxRate := s.base.Rate + 1.0/unitsPerToken
	inRange := loan.Tokens >= 0 && loan.Capacity <= s.base.Burst && loan.Rate >= 0 && loan.Rate <= maxRate
	if !inRange {
		return false
	}
	// The lender's rate is a whole number of units, so rounding to the nearest one recovers it.
	rate := int64(math.Floor(loan.Rate*unitsPerToken + 0.5))
	s.borrowedLoans[loan.ID] = struct{}{}
	s.borrowedRate += rate
	s.borrowedCapacity += loan.Capacity * unitsPerToken
	s.level += loan.Tokens * unitsPerToken
	s.clampLevel()
	s.schedule(event{
		at: end, kind: borrowedLoanEnd, rate: rate, capacity: loan.Capacity * unitsPerToken, loanID: loan.ID,
	})
	return true
}

// OutstandingLoans returns the number of loans given whose rate and capacity have not returned yet.
func (s *Share) OutstandingLoans() int {
	n := 0
	for _, e := range s.events {
		if e.kind == lentLoanEnd {
			n++
		}
	}
	return n
}
