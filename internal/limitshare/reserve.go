package limitshare

import (
	"slices"
	"sort"
	"time"
)

// Reservation identifies a charge that can be refunded once. Zero means no reservation.
type Reservation uint64

// Reserve charges tokens and returns the reservation. If the level is too low it charges nothing and returns
// zero and the time after which the level suffices without new loans. That time is MaxLoanDuration if the share
// cannot reach the tokens on its own.
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
	s.reservedUnits[id] = units
	s.addInterval(id)
	return Reservation(id)
}

func (s *Share) addInterval(id uint64) {
	s.intervals = append(s.intervals, interval{id: id, reservations: 1, headroom: s.capacity() - s.level})
	if len(s.intervals) > maxIntervals {
		s.mergeNext(s.closestIntervals())
	}
	for len(s.reservedUnits) > maxReservations {
		s.endReservation(s.oldestID)
		s.oldestID++
	}
}

// mergeNext merges interval i+1 into interval i, so that the reservations of both begin in interval i. Nothing
// is lost if the headroom of interval i is not below that of interval i+1; otherwise refunds become smaller.
func (s *Share) mergeNext(i int) {
	s.intervals[i].reservations += s.intervals[i+1].reservations
	s.removeInterval(i + 1)
}

// closestIntervals returns the index of the first of the two adjacent intervals whose headroom differs least.
func (s *Share) closestIntervals() int {
	best := 0
	for i := range len(s.intervals) - 1 {
		if s.intervals[i+1].headroom-s.intervals[i].headroom < s.intervals[best+1].headroom-s.intervals[best].headroom {
			best = i
		}
	}
	return best
}

// removeInterval removes interval i and records its headroom in the interval before it.
func (s *Share) removeInterval(i int) {
	if i > 0 {
		s.intervals[i-1].headroom = min(s.intervals[i-1].headroom, s.intervals[i].headroom)
	}
	s.intervals = slices.Delete(s.intervals, i, i+1)
}

// endReservation removes a reservation, and its interval if no other open reservation begins there.
func (s *Share) endReservation(id uint64) {
	if _, ok := s.reservedUnits[id]; !ok {
		return
	}
	delete(s.reservedUnits, id)
	i := s.intervalOf(id)
	s.intervals[i].reservations--
	if s.intervals[i].reservations == 0 {
		s.removeInterval(i)
	}
}

// Refund returns the unused tokens of a reservation and ends it. It credits only the tokens that a bucket
// charged with the net amount would still hold, and returns the credited tokens rounded down. A second refund
// credits nothing.
func (s *Share) Refund(now time.Duration, r Reservation, unused int64) int64 {
	return s.RefundMicroTokens(now, r, MicroTokens(unused)) / unitsPerToken
}

// credit returns how many of the refunded units fit below the capacity in every interval from first on. The rest
// would have overflowed, so a bucket charged with the net amount would not hold them either. It lowers the
// headroom of these intervals to what it would be after the net charge, so that refunds of other reservations do
// not use the same headroom again.
func (s *Share) credit(first int, units int64) int64 {
	for i := first; i < len(s.intervals); i++ {
		headroom := s.intervals[i].headroom
		s.intervals[i].headroom = max(0, headroom-units)
		units = min(units, headroom)
	}
	return units
}

func (s *Share) intervalOf(id uint64) int {
	return sort.Search(len(s.intervals), func(i int) bool { return s.intervals[i].id > id }) - 1
}

// MaxTokenWait returns how long a request may wait for tokens of its organisation before it is refused, given the
// latency target of its first token. The other half of the target is left for routing, the queue and the
// engine. Zero means that the request does not wait.
func MaxTokenWait(firstToken time.Duration) time.Duration { return max(0, firstToken) / 2 }
