package contention

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time in which the work that an organisation got counts half. It is some times the longest wait of a request
	// that can be in time, and of the age of what other gateways report.
	shareHalfLife = 3 * time.Second
	// activePart is the part of the organisations' mean work from which one counts as active.
	activePart = 0.05
	// fairFactor is the multiple of the fair share above which an organisation's allowance is lower.
	fairFactor = 1.25
	// fairExponent makes the allowance fall faster than the fair share's part of the work: the others are to get all they need first.
	fairExponent = 3
	// minFairFactor is the least factor of the allowance.
	minFairFactor = 0.05
)

// Shares knows the work in tokens that the organisations got recently from the whole fleet. All times are readings of one monotonic
// clock. It is not safe for concurrent use.
type Shares struct {
	work map[string]float64
	asOf time.Duration
}

// NewShares returns shares without any work.
func NewShares() *Shares { return &Shares{work: make(map[string]float64)} }

// Add adds work of an organisation; a negative number is a refund.
func (s *Shares) Add(organisation string, work float64, now time.Duration) {
	s.decay(now)
	s.work[organisation] += work
}

// decay reduces the work by its age, in steps of a hundredth of the half-life at least, and forgets organisations without any.
func (s *Shares) decay(now time.Duration) {
	age := now - s.asOf
	if age < shareHalfLife/100 {
		return
	}
	s.asOf = now
	factor := math.Exp2(-float64(age) / float64(shareHalfLife))
	for name, work := range s.work {
		if work *= factor; work < 1 {
			delete(s.work, name)
		} else {
			s.work[name] = work
		}
	}
}

// Of returns the work that an organisation got recently, and the factor of the allowance of its requests under contention:
// below 1 if the work is far above an equal share for each active organisation.
func (s *Shares) Of(organisation string, now time.Duration) (work, factor float64) {
	s.decay(now)
	work = s.work[organisation]
	total := 0.0
	for _, w := range s.work {
		total += max(0, w)
	}
	active, least := 0, activePart*total/float64(max(1, len(s.work)))
	for name, w := range s.work {
		if w > least || name == organisation {
			active++
		}
	}
	if active < 2 || work*float64(active) <= fairFactor*total {
		return work, 1
	}
	return work, max(minFairFactor, math.Pow(total/float64(active)/work, fairExponent))
}
