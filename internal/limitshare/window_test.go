package limitshare

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation runs the holders of one organisation in simulated real time. Each holder runs at a gateway with
// its own clock, and one gateway may run several holders.
type simulation struct {
	t         *rapid.T
	now       time.Duration
	base      BucketConfig // as configured
	holders   []*simulatedHolder
	replies   []reply
	charges   []*charge
	loanCount int
}

type simulatedGateway struct {
	offset      time.Duration
	pausedUntil time.Duration
}

type simulatedHolder struct {
	share *Share
	*simulatedGateway
	incarnation int
	refundable  []*charge
	knownBase   BucketConfig  // last configuration that the holder has seen
	updateDueAt time.Duration // latest time at which it sees a change, unless it is paused
	checkedAt   time.Duration // when it last ran
}

type reply struct {
	to, incarnation int
	sentAt          time.Duration // by the borrower's clock
	loan            Loan
}

type charge struct {
	at             time.Duration
	netUnits       int64 // millionths of a token
	reservedTokens int64
	reservation    Reservation
}

func (s *simulation) clock(h *simulatedHolder) time.Duration { return s.now + h.offset }

func (s *simulation) pickHolder(label string) (int, *simulatedHolder) {
	i := rapid.IntRange(0, len(s.holders)-1).Draw(s.t, label)
	return i, s.holders[i]
}

func (s *simulation) step() {
	s.advance(time.Duration(rapid.SampledFrom([]int{0, 1, 50, 700, 3000, 7000}).Draw(s.t, "ms")) * time.Millisecond)
	i, h := s.pickHolder("holder")
	if !s.running(i) {
		return
	}
	switch rapid.IntRange(0, 15).Draw(s.t, "action") {
	case 0:
		s.reserve(h)
	case 1, 2, 3:
		s.exhaustHolders()
	case 4, 5:
		s.refund(h)
	case 6, 7, 8:
		s.requestLoan(i, h)
	case 9:
		s.deliverReply()
	case 10:
		s.restart(h)
	case 11:
		s.changeDataCentres()
	case 12:
		h.pausedUntil = s.now + time.Duration(rapid.IntRange(0, 20).Draw(s.t, "pause"))*time.Second
	case 13:
		s.takeOver(i, h)
	case 14, 15:
		s.reserveAll(h)
	}
}

// takeOver moves holder i to the gateway of another holder. A later restart gives it a gateway of its own
// again.
func (s *simulation) takeOver(i int, h *simulatedHolder) {
	j, other := s.pickHolder("other")
	if j == i || !s.running(j) {
		return
	}
	s.restart(h)
	h.simulatedGateway, h.knownBase, h.checkedAt = other.simulatedGateway, other.knownBase, other.checkedAt
	s.quarantine(h)
}

// reserveAll charges one request to all holders at the gateway of h and refunds a part of it.
func (s *simulation) reserveAll(h *simulatedHolder) {
	var shares []*Share
	sum := int64(0)
	for i, o := range s.holders {
		if o.simulatedGateway == h.simulatedGateway && s.running(i) {
			shares = append(shares, o.share)
			sum += max(0, o.share.Level(s.clock(o)))
		}
	}
	tokens := rapid.Int64Range(0, sum).Draw(s.t, "together")
	parts, _ := ReserveAll(s.clock(h), shares, tokens)
	unused := MicroTokens(rapid.Int64Range(0, tokens).Draw(s.t, "unused of all"))
	if len(parts) == 0 {
		return
	}
	c := &charge{at: s.now, netUnits: MicroTokens(tokens)}
	s.charges = append(s.charges, c)
	s.advance(time.Duration(rapid.IntRange(0, 1500).Draw(s.t, "runs")) * time.Millisecond)
	for _, p := range parts {
		refunded := min(unused, p.MicroTokens)
		shares[p.Index].RefundMicroTokens(s.clock(h), p.Reservation, refunded)
		unused -= refunded
		c.netUnits -= refunded
	}
}

func (s *simulation) reserve(h *simulatedHolder) {
	tokens := rapid.Int64Range(1, s.base.Burst).Draw(s.t, "tokens")
	s.charge(h, tokens)
}

// exhaustHolders charges the whole level of every running holder, the worst case for the bound.
func (s *simulation) exhaustHolders() {
	for i, h := range s.holders {
		if s.running(i) {
			s.charge(h, h.share.Level(s.clock(h)))
		}
	}
}

func (s *simulation) charge(h *simulatedHolder, tokens int64) {
	reservation, _ := h.share.Reserve(s.clock(h), tokens)
	if reservation == 0 || tokens == 0 {
		return
	}
	c := &charge{at: s.now, netUnits: MicroTokens(tokens), reservedTokens: tokens, reservation: reservation}
	s.charges = append(s.charges, c)
	h.refundable = append(h.refundable, c)
}

func (s *simulation) refund(h *simulatedHolder) {
	if len(h.refundable) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.refundable)-1).Draw(s.t, "reservation")
	c := h.refundable[i]
	unused := rapid.Int64Range(0, c.reservedTokens).Draw(s.t, "unused")
	if unused == 0 {
		h.share.ChargeOverrun(s.clock(h), c.reservation, rapid.Int64Range(0, 2*s.base.Burst).Draw(s.t, "debt"))
	}
	h.share.Refund(s.clock(h), c.reservation, unused)
	c.netUnits = MicroTokens(c.reservedTokens - unused)
	if rapid.Bool().Draw(s.t, "twice") {
		h.share.Refund(s.clock(h), c.reservation, unused)
	}
	h.refundable = append(h.refundable[:i], h.refundable[i+1:]...)
}

// requestLoan requests a loan from another holder after a network delay. The reply is queued for delivery, lost
// or duplicated.
func (s *simulation) requestLoan(i int, h *simulatedHolder) {
	sentAt := s.clock(h)
	s.advance(time.Duration(rapid.IntRange(0, 1500).Draw(s.t, "delay")) * time.Millisecond)
	j, lender := s.pickHolder("lender")
	if j == i || !s.running(j) {
		return
	}
	s.loanCount++
	want := LoanRequest{
		Tokens: rapid.Int64Range(0, s.base.Burst).Draw(s.t, "want"), Rate: s.base.Rate,
		Capacity: rapid.Int64Range(0, s.base.Burst).Draw(s.t, "capacity"), Duration: 5 * time.Second,
	}
	loan := lender.share.Lend(s.clock(lender), fmt.Sprint(s.loanCount), want)
	for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(s.t, "copies") {
		s.replies = append(s.replies, reply{i, h.incarnation, sentAt, loan})
	}
	if rapid.Bool().Draw(s.t, "prompt") {
		s.deliverReply()
	}
}

func (s *simulation) deliverReply() {
	if len(s.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.replies)-1).Draw(s.t, "reply")
	r := s.replies[i]
	s.replies = append(s.replies[:i], s.replies[i+1:]...)
	h := s.holders[r.to]
	if s.running(r.to) && h.incarnation == r.incarnation {
		h.share.Borrow(s.clock(h), r.sentAt, 2*time.Second, r.loan)
	}
}

// advance moves simulated real time forward. Each running holder sees a configuration change in time; a paused
// one sees it when it resumes.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	for {
		next, at := -1, end+1
		for i, h := range s.holders {
			if dueAt := max(s.now, h.updateDueAt, h.pausedUntil); h.knownBase != s.base && dueAt < at {
				next, at = i, dueAt
			}
		}
		if next < 0 {
			break
		}
		s.now = at
		s.updateKnownBase(next)
	}
	s.now = end
	for _, h := range s.holders {
		if s.now >= h.pausedUntil {
			h.checkedAt = s.now
		}
	}
}

// updateKnownBase shows holder i the current configuration. A holder that was paused for long may have missed
// its own removal.
func (s *simulation) updateKnownBase(i int) {
	h := s.holders[i]
	member := i < h.knownBase.DataCentres && s.now-h.checkedAt <= testOptions.Propagation
	h.knownBase, h.checkedAt = s.base, s.now
	switch {
	case i >= s.base.DataCentres:
	case member:
		h.share.SetBucketConfig(s.clock(h), s.base)
	default:
		s.restart(h)
	}
}

// running reports whether holder i may act. The holder may see a configuration change before it is due.
func (s *simulation) running(i int) bool {
	h := s.holders[i]
	if s.now < h.pausedUntil {
		return false
	}
	if h.knownBase != s.base && rapid.Bool().Draw(s.t, "learns") {
		s.updateKnownBase(i)
	}
	return i < h.knownBase.DataCentres
}

// changeDataCentres adds the next data centre or removes the last one.
func (s *simulation) changeDataCentres() {
	n := s.base.DataCentres + rapid.SampledFrom([]int{-1, 1}).Draw(s.t, "change")
	if n < 1 || n > len(s.holders) {
		return
	}
	for _, h := range s.holders {
		if h.knownBase == s.base {
			h.updateDueAt = s.now + testOptions.Propagation
		}
	}
	s.base.DataCentres = n
	s.base.MembershipVersion++
}

// restart replaces a holder by a new process with another clock. If the configuration has changed since the
// start, it stays in quarantine until the change has taken effect everywhere.
func (s *simulation) restart(h *simulatedHolder) {
	h.incarnation++
	h.refundable = nil
	h.simulatedGateway = &simulatedGateway{offset: time.Duration(rapid.IntRange(0, 1000).Draw(s.t, "offset")) * time.Second}
	s.quarantine(h)
}

func (s *simulation) quarantine(h *simulatedHolder) {
	quarantine := testOptions.Quarantine()
	if s.base.MembershipVersion > 0 {
		quarantine = testOptions.GrowthDelay()
	}
	now := s.clock(h)
	h.share = NewQuarantined(now, now+quarantine, testOptions, h.knownBase)
}

// checkWindows compares the net charges of every window with burst + rate × window, in exact integers: tokens
// per second times microseconds are millionths of a token, and all times are whole milliseconds.
func (s *simulation) checkWindows() {
	for i := range s.charges {
		sum := int64(0)
		for _, c := range s.charges[i:] {
			sum += c.netUnits
			window := c.at - s.charges[i].at
			if sum-MicroTokens(s.base.Burst) > int64(s.base.Rate)*window.Microseconds() {
				s.t.Fatalf("%d millionths of a token charged within %v from %v; rate %v, burst %d",
					sum, window, s.charges[i].at, s.base.Rate, s.base.Burst)
			}
		}
	}
}

// TestEveryWindow guards against an organisation that exceeds its rate and burst over all holders. It covers
// loans that are lost, late and duplicated, refunds, debts, crashes, restarts, pauses, clocks that differ, and
// data centres that are added and removed, taken over by the gateway of another and handed back.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "holders")
		s := &simulation{t: t, base: BucketConfig{Rate: rapid.SampledFrom([]float64{0, 10, 100}).Draw(t, "rate"), Burst: 600,
			DataCentres: n}}
		for range n + 1 { // the last one belongs to a data centre that may be added
			offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second
			h := &simulatedHolder{
				simulatedGateway: &simulatedGateway{offset: offset}, knownBase: s.base, share: NewFull(offset, testOptions, s.base),
			}
			s.holders = append(s.holders, h)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			s.step()
		}
		s.checkWindows()
	})
}
