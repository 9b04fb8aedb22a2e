package limit

import (
	"slices"
	"sort"
	"time"
)

// Reservation names a charge that can be refunded once. Zero is no reservation.
type Reservation uint64

// Reserve charges tokens. If the level is too low it charges nothing, returns zero and the time after
// which the level suffices without new loans. The wait is LongestLoan if the share cannot reach the
// tokens on its own.
func (s *Share) Reserve(now time.Duration, tokens int64) (Reservation, time.Duration) {
	s.Advance(now)
	s.lastUse, s.used = s.now, true
	units := tokens * microTokens
	if tokens < 0 || units > s.level {
		return 0, s.wait(units)
	}
	s.level -= units
	id := s.nextID
	s.nextID++
	s.outstanding[id] = units
	s.addMark(id)
	return Reservation(id), 0
}

func (s *Share) wait(units int64) time.Duration {
	rate := s.rate()
	if rate == 0 || units > s.capacity() {
		return s.opts.LongestLoan
	}
	seconds := float64(units-s.level) / float64(rate)
	return time.Duration(seconds*float64(time.Second)) + time.Nanosecond
}

func (s *Share) addMark(id uint64) {
	s.marks = append(s.marks, mark{id: id, open: 1, headroom: s.capacity() - s.level})
	if len(s.marks) > maxMarks {
		s.join(s.closestMarks())
	}
	for len(s.outstanding) > maxOutstanding {
		s.finish(s.oldestID)
		s.oldestID++
	}
}

// join lets the reservations of mark i+1 begin at mark i. It loses nothing if the headroom of mark i is not
// below that of mark i+1, and otherwise makes refunds smaller.
func (s *Share) join(i int) {
	s.marks[i].open += s.marks[i+1].open
	s.removeMark(i + 1)
}

// closestMarks returns the first of the two adjacent marks whose headroom differs least.
func (s *Share) closestMarks() int {
	best := 0
	for i := range len(s.marks) - 1 {
		if s.marks[i+1].headroom-s.marks[i].headroom < s.marks[best+1].headroom-s.marks[best].headroom {
			best = i
		}
	}
	return best
}

// removeMark merges the interval of mark i into the one before it.
func (s *Share) removeMark(i int) {
	if i > 0 {
		s.marks[i-1].headroom = min(s.marks[i-1].headroom, s.marks[i].headroom)
	}
	s.marks = slices.Delete(s.marks, i, i+1)
}

// finish forgets a reservation, and its mark if no other reservation begins there.
func (s *Share) finish(id uint64) {
	if _, ok := s.outstanding[id]; !ok {
		return
	}
	delete(s.outstanding, id)
	i := s.markOf(id)
	s.marks[i].open--
	if s.marks[i].open == 0 {
		s.removeMark(i)
	}
}

// Refund returns the unused tokens of a reservation and ends it. It credits only what a bucket that had
// been charged the net tokens would still hold, and returns the credited tokens rounded down. A second
// refund credits nothing.
func (s *Share) Refund(now time.Duration, r Reservation, unused int64) int64 {
	s.Advance(now)
	units, ok := s.outstanding[uint64(r)]
	if !ok {
		return 0
	}
	credit := s.credit(s.markOf(uint64(r)), min(max(0, unused)*microTokens, units))
	s.level += credit
	s.finish(uint64(r))
	return credit / microTokens
}

// credit returns the part of units that was never above the capacity since the mark first, and lowers the
// headroom of the intervals since then to that of the net charge, for the refunds of other reservations.
func (s *Share) credit(first int, units int64) int64 {
	for i := first; i < len(s.marks); i++ {
		headroom := s.marks[i].headroom
		s.marks[i].headroom = max(0, headroom-units)
		units = min(units, headroom)
	}
	return units
}

func (s *Share) markOf(id uint64) int {
	return sort.Search(len(s.marks), func(i int) bool { return s.marks[i].id > id }) - 1
}
