package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/limit"
)

// limitOptions are the defaults of the gateway's settings.
var limitOptions = limit.Options{LongestLoan: 5 * time.Second, Margin: time.Second, Propagation: 16 * time.Second}

const (
	borrowTimeout = 50 * time.Millisecond
	borrowPause   = 250 * time.Millisecond
)

// limiter reserves an organisation's tokens. The answer may come later.
type limiter interface {
	reserve(g *gateway, r *request, answer func(ok bool))
}

// holders has one share for each data centre and organisation. One exact bucket without delay is the ideal.
type holders struct {
	w      *world
	policy string
	shares map[string][]*orgShare // by organisation; by data centre, or one if exact
	loans  int
}

// orgShare is the share of an organisation at one holder, with the requests that wait for loans.
type orgShare struct {
	share      *limit.Share
	centre     *centre
	borrowing  bool
	nextBorrow time.Duration
	waiting    []func()
}

func newLimiter(w *world) limiter {
	h := &holders{w: w, policy: w.s.Policies.Limits, shares: make(map[string][]*orgShare)}
	for _, o := range w.s.Organisations {
		centres := w.centres
		if h.policy == "exact" {
			centres = centres[:1]
		}
		for _, c := range centres {
			base := limit.Base{Rate: o.Rate, Burst: o.Burst, DataCentres: len(centres)}
			h.shares[o.Name] = append(h.shares[o.Name], &orgShare{share: limit.NewFull(0, limitOptions, base), centre: c})
		}
	}
	return h
}

func (h *holders) local(g *gateway, name string) *orgShare {
	shares := h.shares[name]
	if len(shares) == 1 {
		return shares[0]
	}
	for _, s := range shares {
		if s.centre == g.centre {
			return s
		}
	}
	return shares[0]
}

func (h *holders) reserve(g *gateway, r *request, answer func(ok bool)) {
	s := h.local(g, r.org.Name)
	if ok, _ := h.try(s, r); ok {
		answer(true)
		return
	}
	if h.borrows() && (s.borrowing || h.w.now >= s.nextBorrow) {
		s.waiting = append(s.waiting, func() { h.tryLater(g, s, r, answer) })
		if !s.borrowing {
			h.borrow(s, r)
		}
		return
	}
	h.tryLater(g, s, r, answer)
}

func (h *holders) borrows() bool { return strings.HasPrefix(h.policy, "loans") }

// tryLater tries again now, and once more when the tokens are due if the request can wait for them.
func (h *holders) tryLater(g *gateway, s *orgShare, r *request, answer func(ok bool)) {
	ok, wait := h.try(s, r)
	patient := h.w.now+wait <= r.arrived+limit.Patience(r.profile.FirstToken.D())
	if ok || !patient || h.policy != "loans" {
		answer(ok)
		return
	}
	h.w.after(max(wait, time.Millisecond), func() { h.reserve(g, r, answer) })
}

func (h *holders) try(s *orgShare, r *request) (ok bool, wait time.Duration) {
	reservation, wait := s.share.Reserve(h.w.now, r.reserved())
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

// borrow asks every other holder at once. The requests that wait try again after the last answer.
func (h *holders) borrow(s *orgShare, r *request) {
	s.borrowing, s.nextBorrow = true, h.w.now+borrowPause
	asked := h.w.now
	last := time.Duration(0)
	for _, lender := range h.shares[r.org.Name] {
		if lender == s {
			continue
		}
		delay := h.w.delay(s.centre, lender.centre)
		if lender.centre.lost {
			last = borrowTimeout
			continue
		}
		last = max(last, 2*delay)
		h.w.after(delay, func() {
			h.loans++
			loan := lender.share.Lend(h.w.now, fmt.Sprint("loan-", h.loans), limit.Want{
				Tokens: r.reserved() - s.share.Level(asked), Rate: r.org.Rate, Capacity: r.org.Burst,
				Duration: limitOptions.LongestLoan,
			})
			h.w.after(delay, func() { s.share.Borrow(h.w.now, asked, borrowTimeout, loan) })
		})
	}
	h.w.after(last+1, func() {
		s.borrowing = false
		waiting := s.waiting
		s.waiting = nil
		for _, try := range waiting {
			try()
		}
	})
}
