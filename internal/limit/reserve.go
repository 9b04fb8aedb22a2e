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
	parts, wait := ReserveAll(now, []*Share{s}, tokens)
	if len(parts) == 0 {
		return 0, wait
	}
	return parts[0].Reservation, 0
}

func (s *Share) charge(units int64) Reservation {
	s.level -= units
	id := s.nextID
	s.nextID++
	s.outstanding[id] = units
	s.addMark(id)
	return Reservation(id)
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
	return s.RefundUnits(now, r, Units(unused)) / microTokens
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

// Patience returns how long a request may wait for tokens of its organisation before it is refused, given the
// target for its first token. Half of the target is left for routing, the queue and the engine. Zero means that
// the request does not wait.
func Patience(firstToken time.Duration) time.Duration { return max(0, firstToken) / 2 }
