// Package limit holds the token-bucket arithmetic of organisation limits. It is pure: times are readings
// of the holder's own monotonic clock and are passed in.
//
// The buckets of one organisation at all holders together never exceed one bucket with the organisation's
// rate and burst. This follows from four rules. Base rates and capacities sum to at most the rate and the
// burst. A loan is subtracted from the lender before it is sent and ends at the borrower, who counts from
// before its request, earlier than at the lender, who counts from the grant and adds a margin. A loan's
// capacity is at least its tokens, so no level exceeds its capacity while tokens are in flight. A holder
// that takes over has no rate and no capacity of its own until every loan of its predecessor has ended.
// Levels are whole millionths of a token and accrual rounds down, so the bound is exact.
package limit

import (
	"math"
	"math/bits"
	"time"
)

// microTokens is the number of internal units in one token.
const microTokens = 1_000_000

const (
	// maxMarks bounds the record of headroom, and with it the cost of a refund. Above it the two intervals
	// that differ least are merged, which can only make a refund smaller.
	maxMarks = 256
	// maxOutstanding bounds the reservations that can still be refunded. The oldest are forgotten first;
	// their refunds are lost.
	maxOutstanding = 16384
)

// Options are the durations that all holders agree on.
type Options struct {
	LongestLoan time.Duration // a longer loan is shortened to it
	Margin      time.Duration // added by the lender; covers the difference in clock speed and late grants
	// Propagation is the time within which a configuration change is in force at every holder. A share
	// that grows because there are fewer data centres grows only after GrowthDelay.
	Propagation time.Duration
}

// Quarantine is the time for which a new holder has neither rate nor capacity of its own.
func (o Options) Quarantine() time.Duration { return o.LongestLoan + o.Margin }

// GrowthDelay is the wait before a share grows because there are fewer data centres, and the quarantine of
// a holder whose data centre was added. After one Propagation every other holder has changed its fraction,
// and after LongestLoan and Margin the loans made before have ended. Two more Propagations are for a
// removal that is reversed before the removed holder saw it, so that it goes on: it saw the configuration
// at most Propagation late, was paused for at most Propagation, and the others see the reversal at most
// Propagation late. A holder that was paused for longer must start again in quarantine.
func (o Options) GrowthDelay() time.Duration { return 3*o.Propagation + o.LongestLoan + o.Margin }

// Base is an organisation's bucket and the number of data centres that it is divided by.
type Base struct {
	Rate        float64 // tokens a second over all holders
	Burst       int64   // tokens over all holders
	DataCentres int
	// Membership is the configuration version of the last change of the data centres. It restarts the wait
	// before a share grows, also when a change and its reversal are seen as one.
	Membership int64
}

// Share is the part of one organisation's bucket at one holder. It is not safe for concurrent use.
type Share struct {
	opts Options
	base Base
	now  time.Duration

	baseRate, baseCapacity         int64 // zero in quarantine
	lentRate, lentCapacity         int64
	borrowedRate, borrowedCapacity int64
	level                          int64
	quarantined                    bool
	events                         []event // in order of time

	marks       []mark
	outstanding map[uint64]int64 // reserved units by reservation
	nextID      uint64
	oldestID    uint64
	received    map[string]struct{} // loans in force, so that a duplicate is dropped
	lastUse     time.Duration
	used        bool
}

type eventKind int

const (
	quarantineEnd eventKind = iota
	growth
	loanReturn
	loanEnd
)

type event struct {
	at             time.Duration
	kind           eventKind
	rate, capacity int64
	loanID         string
	dataCentres    int
}

// mark begins an interval of the share's history. Headroom is the smallest difference of capacity and
// level from the charge of reservation id until the next mark. Open counts the outstanding reservations
// that begin at the mark: one, or more after intervals were merged.
type mark struct {
	id       uint64
	open     int
	headroom int64
}

// NewFull returns a share with a full bucket. It is only for a row of the table service that never
// existed before, when nobody can have spent anything.
func NewFull(now time.Duration, opts Options, base Base) *Share {
	s := newShare(now, opts, base)
	s.applyBase()
	s.level = s.capacity()
	return s
}

// NewQuarantined returns a share at level zero that has no rate and capacity of its own before until.
func NewQuarantined(now, until time.Duration, opts Options, base Base) *Share {
	s := newShare(now, opts, base)
	s.quarantined = true
	s.schedule(event{at: until, kind: quarantineEnd})
	return s
}

func newShare(now time.Duration, opts Options, base Base) *Share {
	return &Share{
		opts: opts, base: base, now: now, nextID: 1, oldestID: 1,
		outstanding: make(map[uint64]int64), received: make(map[string]struct{}),
	}
}

// SetBase changes the organisation's bucket. Rate and burst apply at once. More data centres shrink the
// share at once; fewer let it grow after GrowthDelay. Time that passed before the call counts with the
// smaller of the old and the new values, so that a holder that was paused during the change gains nothing.
func (s *Share) SetBase(now time.Duration, base Base) {
	if base == s.target() {
		return
	}
	s.cancelGrowth()
	count := base.DataCentres
	base.DataCentres = max(count, s.base.DataCentres)
	oldRate, oldCapacity := s.baseRate, s.baseCapacity
	s.base = base
	s.applyBase()
	s.baseRate, s.baseCapacity = min(oldRate, s.baseRate), min(oldCapacity, s.baseCapacity)
	s.clip()
	s.Advance(now)
	s.applyBase()
	if count < base.DataCentres {
		s.schedule(event{at: s.now + s.opts.GrowthDelay(), kind: growth, dataCentres: count})
	}
}

// target returns the base that applies when a pending growth has taken place.
func (s *Share) target() Base {
	base := s.base
	for _, e := range s.events {
		if e.kind == growth {
			base.DataCentres = e.dataCentres
		}
	}
	return base
}

func (s *Share) cancelGrowth() {
	kept := s.events[:0]
	for _, e := range s.events {
		if e.kind != growth {
			kept = append(kept, e)
		}
	}
	s.events = kept
}

func (s *Share) applyBase() {
	s.baseRate, s.baseCapacity = 0, 0
	if s.quarantined || s.base.DataCentres < 1 {
		return
	}
	n := int64(s.base.DataCentres)
	s.baseRate = int64(math.Floor(s.base.Rate*microTokens)) / n
	s.baseCapacity = s.base.Burst * microTokens / n
}

// Advance accrues tokens until now and ends the loans that are due, in order of time. A clock reading
// that is not after the last one changes nothing.
func (s *Share) Advance(now time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= now {
		e := s.events[0]
		s.events = s.events[1:]
		s.accrue(e.at)
		s.apply(e)
		s.clip()
	}
	s.accrue(now)
}

func (s *Share) apply(e event) {
	switch e.kind {
	case quarantineEnd:
		s.quarantined = false
		s.applyBase()
	case growth:
		s.base.DataCentres = e.dataCentres
		s.applyBase()
	case loanReturn:
		s.lentRate -= e.rate
		s.lentCapacity -= e.capacity
	case loanEnd:
		s.borrowedRate -= e.rate
		s.borrowedCapacity -= e.capacity
		delete(s.received, e.loanID)
	}
}

func (s *Share) schedule(e event) {
	i := len(s.events)
	for i > 0 && s.events[i-1].at > e.at {
		i--
	}
	s.events = append(s.events, event{})
	copy(s.events[i+1:], s.events[i:])
	s.events[i] = e
}

func (s *Share) accrue(now time.Duration) {
	if now <= s.now {
		return
	}
	s.level += accrued(s.rate(), now-s.now)
	s.now = now
	s.clip()
}

// accrued returns rate × d rounded down, saturating well above any burst.
func accrued(rate int64, d time.Duration) int64 {
	const saturated = math.MaxInt64 / 4
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	if hi >= uint64(time.Second) {
		return saturated
	}
	units, _ := bits.Div64(hi, lo, uint64(time.Second))
	return int64(min(units, saturated))
}

// clip bounds the level by the capacity and records the headroom.
func (s *Share) clip() {
	headroom := s.capacity() - s.level
	if headroom < 0 {
		s.level += headroom
		headroom = 0
	}
	last := len(s.marks) - 1
	if last < 0 {
		return
	}
	s.marks[last].headroom = min(s.marks[last].headroom, headroom)
	for ; last > 0 && s.marks[last-1].headroom >= s.marks[last].headroom; last-- {
		s.join(last - 1)
	}
}

func (s *Share) rate() int64 { return max(0, s.baseRate-s.lentRate+s.borrowedRate) }

func (s *Share) capacity() int64 { return max(0, s.baseCapacity-s.lentCapacity+s.borrowedCapacity) }

// Level returns the tokens that the share can grant at now, rounded down.
func (s *Share) Level(now time.Duration) int64 {
	s.Advance(now)
	return s.level / microTokens
}

// Rate returns the rate in force at the last reading of the clock, tokens a second.
func (s *Share) Rate() float64 { return float64(s.rate()) / microTokens }

// Capacity returns the capacity in force at the last reading of the clock, tokens rounded down.
func (s *Share) Capacity() int64 { return s.capacity() / microTokens }

// Quarantined reports whether the share has not yet any rate of its own.
func (s *Share) Quarantined() bool { return s.quarantined }
