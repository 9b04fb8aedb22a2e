package contention

import (
	"cmp"
	"time"
)

// levelShare is the difference in allowance, as a part of the shortest target, below which requests have the same standing. Among
// those, organisations take turns.
const levelShare = 0.05

// levels is the number of levels: urgentShare in steps of levelShare, level 0 of requests that can't be in time, and the highest level
// of callers that returned at the advised time.
const levels = 14

// Standing decides the position of a waiting request in its queue.
type Standing struct {
	late    bool
	level   int
	served  float64
	elapsed time.Duration
}

// NewStanding returns the standing of a waiting request. own is the time that its prompt takes.
func NewStanding(r Request, own time.Duration) Standing {
	s := Standing{late: !r.CanMeetTarget(own), served: r.Served, elapsed: r.Elapsed}
	if !s.late {
		s.level = max(1, int(Share(r)/levelShare+0.5))
		if r.Returned {
			s.level++ // before those that have waited for as long as they can
		}
	}
	return s
}

// Compare returns a negative number if a goes before b: requests that can be in time before those that can't, then by allowance, by
// the work that the organisations got, and by age.
func Compare(a, b Standing) int {
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.served, b.served), cmp.Compare(b.elapsed, a.elapsed))
}
