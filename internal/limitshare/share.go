// Package limitshare implements the token buckets that divide an organisation's rate limit between its holders, and
// the loans between them. Use it where the limit must hold exactly over all holders. It does no I/O and reads
// no clock: callers pass readings of the holder's own monotonic clock.
//
// The buckets of one organisation at all holders together never exceed one bucket with the organisation's rate
// and burst. This follows from four rules. The holders' own rates and capacities sum to at most the rate and
// the burst. A loan is subtracted from the lender before it is sent, and ends earlier at the borrower, which
// counts from before its request, than at the lender, which counts from the grant and adds a margin. A loan's
// capacity is at least its tokens, so no level exceeds its capacity while tokens are in flight. A holder that
// takes over has no rate and no capacity of its own until every loan of its predecessor has ended. Levels are
// whole millionths of a token and accrual rounds down, so the bound is exact.
package limitshare

import (
	"math"
	"math/bits"
	"time"
)

// unitsPerToken is the number of internal units in one token: levels, charges and capacities are counted in
// millionths of a token, rates in millionths of a token per second.
const unitsPerToken = 1_000_000

const (
	// maxIntervals bounds the recorded history of a share, and with it the cost of a refund. Above it the two
	// adjacent intervals whose headroom differs least are merged, which can only make a refund smaller.
	maxIntervals = 256
	// maxReservations bounds the reservations that can still be refunded. Above it the oldest are dropped and
	// their refunds credit nothing.
	maxReservations = 16384
)

// Options are durations that must be the same at all holders.
type Options struct {
	MaxLoanDuration  time.Duration // maximum duration of a loan; a longer one is shortened to it
	LoanReturnMargin time.Duration // added by the lender; covers different clock speeds and late grants
	// Propagation is the time within which a configuration change takes effect at every holder. A share that
	// grows because the number of data centres fell grows only after GrowthDelay.
	Propagation time.Duration
}

// Quarantine returns the time for which a new holder has neither rate nor capacity of its own.
func (o Options) Quarantine() time.Duration { return o.MaxLoanDuration + o.LoanReturnMargin }

// GrowthDelay returns the time before a share grows because the number of data centres fell, which is also the
// quarantine of a holder whose data centre was added. After one Propagation every other holder has changed its
// fraction, and after MaxLoanDuration and LoanReturnMargin the loans made before have ended. Two more Propagations cover a
// removal that is reversed before the removed holder saw it, so that this holder keeps running: it saw the
// configuration at most Propagation late, was paused for at most Propagation, and the others see the reversal
// at most Propagation late. A holder that was paused for longer must start again in quarantine.
func (o Options) GrowthDelay() time.Duration {
	return 3*o.Propagation + o.MaxLoanDuration + o.LoanReturnMargin
}

// BucketConfig is the configured bucket of an organisation and the number of data centres that divide it.
type BucketConfig struct {
	Rate        float64 // tokens per second, over all holders
	Burst       int64   // tokens, over all holders
	DataCentres int
	// MembershipVersion is the configuration version of the last change to the set of data centres. A new value
	// restarts GrowthDelay, also when a change and its reversal are seen as one.
	MembershipVersion int64
}

// Share is one holder's part of an organisation's bucket. It is not safe for concurrent use.
type Share struct {
	opts Options
	base BucketConfig
	now  time.Duration

	ownRate, ownCapacity           int64 // without loans; zero in quarantine
	lentRate, lentCapacity         int64
	borrowedRate, borrowedCapacity int64
	level                          int64
	quarantined                    bool
	events                         []event // ordered by time

	intervals     []interval
	reservedUnits map[uint64]int64 // by reservation
	nextID        uint64
	oldestID      uint64
	borrowedLoans map[string]struct{} // IDs of borrowed loans that have not ended, to drop duplicate replies
	lastReserve   time.Duration
	hasReserved   bool
}

type eventKind int

const (
	quarantineEnd eventKind = iota
	shareGrowth
	lentLoanEnd
	borrowedLoanEnd
)

type event struct {
	at             time.Duration
	kind           eventKind
	rate, capacity int64
	loanID         string
	dataCentres    int
}

// interval is a part of the share's history, from the charge of reservation id to the next interval.
// headroom is the smallest difference between capacity and level in it. reservations counts the reservations
// that begin in it and have not ended: one, or more after intervals were merged.
type interval struct {
	id           uint64
	reservations int
	headroom     int64
}

// NewFull returns a share with a full bucket. Use it only for an organisation whose row in the table service
// has never existed, so that nothing can have been spent.
func NewFull(now time.Duration, opts Options, base BucketConfig) *Share {
	s := newShare(now, opts, base)
	s.applyBase()
	s.level = s.capacity()
	return s
}

// NewQuarantined returns a share at level zero that has no rate and no capacity of its own before until.
func NewQuarantined(now, until time.Duration, opts Options, base BucketConfig) *Share {
	s := newShare(now, opts, base)
	s.quarantined = true
	s.schedule(event{at: until, kind: quarantineEnd})
	return s
}

func newShare(now time.Duration, opts Options, base BucketConfig) *Share {
	return &Share{
		opts: opts, base: base, now: now, nextID: 1, oldestID: 1,
		reservedUnits: make(map[uint64]int64), borrowedLoans: make(map[string]struct{}),
	}
}

// SetBucketConfig applies a changed configuration of the organisation's bucket. Rate and burst take effect at once.
// More data centres shrink the share at once; fewer let it grow after GrowthDelay. Time that passed before the
// call counts with the smaller of the old and the new values, so that a holder that was paused during the
// change gains nothing.
func (s *Share) SetBucketConfig(now time.Duration, base BucketConfig) {
	if base == s.baseAfterGrowth() {
		return
	}
	s.cancelGrowth()
	count := base.DataCentres
	base.DataCentres = max(count, s.base.DataCentres)
	oldRate, oldCapacity := s.ownRate, s.ownCapacity
	s.base = base
	s.applyBase()
	s.ownRate, s.ownCapacity = min(oldRate, s.ownRate), min(oldCapacity, s.ownCapacity)
	s.clampLevel()
	s.Advance(now)
	s.applyBase()
	if count < base.DataCentres {
		s.schedule(event{at: s.now + s.opts.GrowthDelay(), kind: shareGrowth, dataCentres: count})
	}
}

// baseAfterGrowth returns the base that applies once a pending growth has taken effect.
func (s *Share) baseAfterGrowth() BucketConfig {
	base := s.base
	for _, e := range s.events {
		if e.kind == shareGrowth {
			base.DataCentres = e.dataCentres
		}
	}
	return base
}

func (s *Share) cancelGrowth() {
	kept := s.events[:0]
	for _, e := range s.events {
		if e.kind != shareGrowth {
			kept = append(kept, e)
		}
	}
	s.events = kept
}

func (s *Share) applyBase() {
	s.ownRate, s.ownCapacity = 0, 0
	if s.quarantined || s.base.DataCentres < 1 {
		return
	}
	n := int64(s.base.DataCentres)
	s.ownRate = int64(math.Floor(s.base.Rate*unitsPerToken)) / n
	s.ownCapacity = s.base.Burst * unitsPerToken / n
}

// Advance accrues tokens until now and processes the events that are due, such as the end of a loan, in order
// of time. A clock reading that is not later than the previous one has no effect.
func (s *Share) Advance(now time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= now {
		e := s.events[0]
		s.events = s.events[1:]
		s.accrue(e.at)
		s.apply(e)
		s.clampLevel()
	}
	s.accrue(now)
}

func (s *Share) apply(e event) {
	switch e.kind {
	case quarantineEnd:
		s.quarantined = false
		s.applyBase()
	case shareGrowth:
		s.base.DataCentres = e.dataCentres
		s.applyBase()
	case lentLoanEnd:
		s.lentRate -= e.rate
		s.lentCapacity -= e.capacity
	case borrowedLoanEnd:
		s.borrowedRate -= e.rate
		s.borrowedCapacity -= e.capacity
		delete(s.borrowedLoans, e.loanID)
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
	s.clampLevel()
}

// accrued returns rate × d in units, rounded down. It saturates well above any burst.
func accrued(rate int64, d time.Duration) int64 {
	const saturated = math.MaxInt64 / 4
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	if hi >= uint64(time.Second) {
		return saturated
	}
	units, _ := bits.Div64(hi, lo, uint64(time.Second))
	return int64(min(units, saturated))
}

// clampLevel limits the level to the capacity and records the headroom in the last interval. Intervals before
// it whose headroom is not smaller are merged with it, which loses nothing.
func (s *Share) clampLevel() {
	headroom := s.capacity() - s.level
	if headroom < 0 {
		s.level += headroom
		headroom = 0
	}
	last := len(s.intervals) - 1
	if last < 0 {
		return
	}
	s.intervals[last].headroom = min(s.intervals[last].headroom, headroom)
	for ; last > 0 && s.intervals[last-1].headroom >= s.intervals[last].headroom; last-- {
		s.mergeNext(last - 1)
	}
}

func (s *Share) rate() int64 { return max(0, s.ownRate-s.lentRate+s.borrowedRate) }

func (s *Share) capacity() int64 { return max(0, s.ownCapacity-s.lentCapacity+s.borrowedCapacity) }

// Level returns the tokens that the share can grant at now, rounded down.
func (s *Share) Level(now time.Duration) int64 {
	s.Advance(now)
	return s.level / unitsPerToken
}

// Rate returns the rate at the last clock reading, in tokens per second, loans included.
func (s *Share) Rate() float64 { return float64(s.rate()) / unitsPerToken }

// Capacity returns the capacity at the last clock reading, in tokens rounded down, loans included.
func (s *Share) Capacity() int64 { return s.capacity() / unitsPerToken }

// Quarantined reports whether the share still has no rate and no capacity of its own.
func (s *Share) Quarantined() bool { return s.quarantined }
