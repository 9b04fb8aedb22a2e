package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/limitshare"
)

// limitOptions are the defaults of the gateway's settings.
var limitOptions = limitshare.Options{MaxLoanDuration: 5 * time.Second, LoanReturnMargin: time.Second,
	Propagation: 16 * time.Second}

const (
	// borrowTimeout is the time that a borrower waits for the share of a lost data centre.
	borrowTimeout = 50 * time.Millisecond
	// minBorrowInterval is the shortest time from one round of borrowing to the next.
	minBorrowInterval = 250 * time.Millisecond
)

// limiter reserves the tokens of requests. It may call answer later.
type limiter interface {
	reserve(g *gateway, r *request, answer func(ok bool))
}

// shareLimiter keeps one share of each organisation's rate in each data centre. Under the policy "exact" there is
// only one share, which every gateway reaches without delay; this is the reference for the other policies.
type shareLimiter struct {
	w      *world
	policy string
	shares map[string][]*orgShare // by organisation; one for each data centre, or only one under "exact"
	loans  int
}

// orgShare is an organisation's share in one data centre, with the requests that wait for loans.
type orgShare struct {
	share      *limitshare.Share
	dataCentre *dataCentre
	borrowing  bool
	nextBorrow time.Duration
	waiting    []func()
}

func newLimiter(w *world) limiter {
	h := &shareLimiter{w: w, policy: w.s.Policies.Limits, shares: make(map[string][]*orgShare)}
	for _, o := range w.s.Organisations {
		dataCentres := w.dataCentres
		if h.policy == "exact" {
			dataCentres = dataCentres[:1]
		}
		for _, c := range dataCentres {
			base := limitshare.BucketConfig{Rate: o.Rate, Burst: o.Burst, DataCentres: len(dataCentres)}
			h.shares[o.Name] = append(h.shares[o.Name],
				&orgShare{share: limitshare.NewFull(0, limitOptions, base), dataCentre: c})
		}
	}
	return h
}

func (h *shareLimiter) localShare(g *gateway, name string) *orgShare {
	shares := h.shares[name]
	if len(shares) == 1 {
		return shares[0]
	}
	for _, s := range shares {
		if s.dataCentre == g.dataCentre {
			return s
		}
	}
	return shares[0]
}

func (h *shareLimiter) reserve(g *gateway, r *request, answer func(ok bool)) {
	s := h.localShare(g, r.org.Name)
	if ok, _ := h.tryReserve(s, r); ok {
		answer(true)
		return
	}
	if h.mayBorrow() && (s.borrowing || h.w.now >= s.nextBorrow) {
		s.waiting = append(s.waiting, func() { h.tryAgain(g, s, r, answer) })
		if !s.borrowing {
			h.borrow(s, r)
		}
		return
	}
	h.tryAgain(g, s, r, answer)
}

func (h *shareLimiter) mayBorrow() bool { return strings.HasPrefix(h.policy, "loans") }

// tryAgain tries the reservation again now. If the request can wait until the tokens are due, it makes one more
// attempt then.
func (h *shareLimiter) tryAgain(g *gateway, s *orgShare, r *request, answer func(ok bool)) {
	ok, wait := h.tryReserve(s, r)
	canWait := h.w.now+wait <= r.arrived+limitshare.MaxTokenWait(r.profile.FirstToken.D())
	if ok || !canWait || h.policy != "loans" {
		answer(ok)
		return
	}
	h.w.after(max(wait, time.Millisecond), func() { h.reserve(g, r, answer) })
}

func (h *shareLimiter) tryReserve(s *orgShare, r *request) (ok bool, wait time.Duration) {
	reservation, wait := s.share.Reserve(h.w.now, r.reservedTokens())
	if reservation == 0 {
		return false, wait
	}
	r.charge = func(unused int64) {
		if unused > 0 {
			s.share.Refund(h.w.now, reservation, unused)
		}
	}
	return true, 0
}

// borrow asks the shares of all other data centres at once. The waiting requests try again after the last
// answer.
func (h *shareLimiter) borrow(s *orgShare, r *request) {
	s.borrowing, s.nextBorrow = true, h.w.now+minBorrowInterval
	askedAt := h.w.now
	longestWait := time.Duration(0)
	for _, lender := range h.shares[r.org.Name] {
		if lender == s {
			continue
		}
		delay := h.w.delay(s.dataCentre, lender.dataCentre)
		if lender.dataCentre.lost {
			longestWait = borrowTimeout
			continue
		}
		longestWait = max(longestWait, 2*delay)
		h.w.after(delay, func() {
			h.loans++
			loan := lender.share.Lend(h.w.now, fmt.Sprint("loan-", h.loans), limitshare.LoanRequest{
				Tokens: r.reservedTokens() - s.share.Level(askedAt), Rate: r.org.Rate, Capacity: r.org.Burst,
				Duration: limitOptions.MaxLoanDuration,
			})
			h.w.after(delay, func() { s.share.Borrow(h.w.now, askedAt, borrowTimeout, loan) })
		})
	}
	h.w.after(longestWait+1, func() {
		s.borrowing = false
		waiting := s.waiting
		s.waiting = nil
		for _, tryAgain := range waiting {
			tryAgain()
		}
	})
}
