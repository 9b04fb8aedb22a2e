package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world runs the holders of one organisation in real time t, each with its own clock.
type world struct {
	t       *rapid.T
	now     time.Duration
	base    Base // as configured
	holders []*worldHolder
	replies []reply
	charges []*charge
	loans   int
}

type worldHolder struct {
	share       *Share
	offset      time.Duration
	frozenUntil time.Duration
	incarnation int
	open        []*charge
	known       Base          // configuration that the holder has seen
	learnsAt    time.Duration // when it sees a change at the latest, unless it is frozen
	checkedAt   time.Duration // when it last ran
}

type reply struct {
	to, incarnation int
	sentAt          time.Duration // on the borrower's clock
	loan            Loan
}

type charge struct {
	at   time.Duration
	net  int64
	full int64
	r    Reservation
}

func (w *world) clock(h *worldHolder) time.Duration { return w.now + h.offset }

func (w *world) pick(label string) (int, *worldHolder) {
	i := rapid.IntRange(0, len(w.holders)-1).Draw(w.t, label)
	return i, w.holders[i]
}

func (w *world) step() {
	w.advance(time.Duration(rapid.SampledFrom([]int{0, 1, 50, 700, 3000, 7000}).Draw(w.t, "ms")) * time.Millisecond)
	i, h := w.pick("holder")
	if !w.running(i) {
		return
	}
	switch rapid.IntRange(0, 12).Draw(w.t, "action") {
	case 0:
		w.reserve(h)
	case 1, 2, 3:
		w.spend()
	case 4, 5:
		w.refund(h)
	case 6, 7, 8:
		w.request(i, h)
	case 9:
		w.deliver()
	case 10:
		w.restart(h)
	case 11:
		w.change()
	case 12:
		h.frozenUntil = w.now + time.Duration(rapid.IntRange(0, 20).Draw(w.t, "freeze"))*time.Second
	}
}

func (w *world) reserve(h *worldHolder) {
	tokens := rapid.Int64Range(1, w.base.Burst).Draw(w.t, "tokens")
	w.charge(h, tokens)
}

// spend charges all that every running holder has, the worst case for the bound.
func (w *world) spend() {
	for i, h := range w.holders {
		if w.running(i) {
			w.charge(h, h.share.Level(w.clock(h)))
		}
	}
}

func (w *world) charge(h *worldHolder, tokens int64) {
	r, _ := h.share.Reserve(w.clock(h), tokens)
	if r == 0 || tokens == 0 {
		return
	}
	c := &charge{at: w.now, net: tokens, full: tokens, r: r}
	w.charges = append(w.charges, c)
	h.open = append(h.open, c)
}

func (w *world) refund(h *worldHolder) {
	if len(h.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.open)-1).Draw(w.t, "reservation")
	c := h.open[i]
	unused := rapid.Int64Range(0, c.full).Draw(w.t, "unused")
	h.share.Refund(w.clock(h), c.r, unused)
	c.net = c.full - unused
	if rapid.Bool().Draw(w.t, "twice") {
		h.share.Refund(w.clock(h), c.r, unused)
	}
	h.open = append(h.open[:i], h.open[i+1:]...)
}

// request lets another holder lend after a delay on the way; the reply waits for delivery, is lost or is
// doubled.
func (w *world) request(i int, h *worldHolder) {
	sentAt := w.clock(h)
	w.advance(time.Duration(rapid.IntRange(0, 1500).Draw(w.t, "way")) * time.Millisecond)
	j, lender := w.pick("lender")
	if j == i || !w.running(j) {
		return
	}
	w.loans++
	want := Want{
		Tokens: rapid.Int64Range(0, w.base.Burst).Draw(w.t, "want"), Rate: w.base.Rate,
		Capacity: rapid.Int64Range(0, w.base.Burst).Draw(w.t, "capacity"), Duration: 5 * time.Second,
	}
	loan := lender.share.Lend(w.clock(lender), fmt.Sprint(w.loans), want)
	for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(w.t, "copies") {
		w.replies = append(w.replies, reply{i, h.incarnation, sentAt, loan})
	}
	if rapid.Bool().Draw(w.t, "prompt") {
		w.deliver()
	}
}

func (w *world) deliver() {
	if len(w.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.replies)-1).Draw(w.t, "reply")
	r := w.replies[i]
	w.replies = append(w.replies[:i], w.replies[i+1:]...)
	h := w.holders[r.to]
	if w.running(r.to) && h.incarnation == r.incarnation {
		h.share.Borrow(w.clock(h), r.sentAt, 2*time.Second, r.loan)
	}
}

// advance moves real time. Each holder that runs sees a change of the configuration in time, and one that
// was frozen sees it when it wakes.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for {
		next, at := -1, end+1
		for i, h := range w.holders {
			if sees := max(w.now, h.learnsAt, h.frozenUntil); h.known != w.base && sees < at {
				next, at = i, sees
			}
		}
		if next < 0 {
			break
		}
		w.now = at
		w.learn(next)
	}
	w.now = end
	for _, h := range w.holders {
		if w.now >= h.frozenUntil {
			h.checkedAt = w.now
		}
	}
}

// learn shows holder i the configuration. One that was paused for long may have missed its own removal.
func (w *world) learn(i int) {
	h := w.holders[i]
	member := i < h.known.DataCentres && w.now-h.checkedAt <= testOptions.Propagation
	h.known, h.checkedAt = w.base, w.now
	switch {
	case i >= w.base.DataCentres:
	case member:
		h.share.SetBase(w.clock(h), w.base)
	default:
		w.restart(h)
	}
}

// running reports whether holder i may act. It may see a change of the configuration early.
func (w *world) running(i int) bool {
	h := w.holders[i]
	if w.now < h.frozenUntil {
		return false
	}
	if h.known != w.base && rapid.Bool().Draw(w.t, "learns") {
		w.learn(i)
	}
	return i < h.known.DataCentres
}

// change adds the next data centre or removes the last one.
func (w *world) change() {
	n := w.base.DataCentres + rapid.SampledFrom([]int{-1, 1}).Draw(w.t, "change")
	if n < 1 || n > len(w.holders) {
		return
	}
	for _, h := range w.holders {
		if h.known == w.base {
			h.learnsAt = w.now + testOptions.Propagation
		}
	}
	w.base.DataCentres = n
	w.base.Membership++
}

// restart replaces a holder by a new process on another clock. One that knows another configuration than
// its predecessor waits until the change has settled.
func (w *world) restart(h *worldHolder) {
	h.incarnation++
	h.open = nil
	h.offset = time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "offset")) * time.Second
	quarantine := testOptions.Quarantine()
	if w.base.Membership > 0 {
		quarantine = testOptions.GrowthDelay()
	}
	now := w.clock(h)
	h.share = NewQuarantined(now, now+quarantine, testOptions, h.known)
}

// check compares the net charges of every window with burst + rate × window, in exact integers.
func (w *world) check() {
	for i := range w.charges {
		sum := int64(0)
		for _, c := range w.charges[i:] {
			sum += c.net
			window := int64(c.at - w.charges[i].at)
			if (sum-w.base.Burst)*int64(time.Second) > int64(w.base.Rate)*window {
				w.t.Fatalf("%d tokens charged within %v from %v; rate %v, burst %d",
					sum, time.Duration(window), w.charges[i].at, w.base.Rate, w.base.Burst)
			}
		}
	}
}

// TestEveryWindow guards against an organisation above its rate and burst over all holders: loans lost,
// late and doubled, refunds, crashes, restarts, freezes, clocks that differ, and data centres that are
// added and removed.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "holders")
		w := &world{t: t, base: Base{Rate: rapid.SampledFrom([]float64{0, 10, 100}).Draw(t, "rate"), Burst: 600, DataCentres: n}}
		for range n + 1 { // the last one is of a data centre that may be added
			offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second
			h := &worldHolder{offset: offset, known: w.base, share: NewFull(offset, testOptions, w.base)}
			w.holders = append(w.holders, h)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step()
		}
		w.check()
	})
}
