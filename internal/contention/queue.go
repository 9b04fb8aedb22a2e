package contention

import (
	"math"
	"slices"
	"time"
)

const (
	// maxFailures is the number of waiting requests per check that may find no room before the check ends. Above one, because the
	// first may wait for a server that caches its prompt, or be large.
	maxFailures = 4
	// maxTurn is the time after which the next check no longer awaits the request whose turn it is.
	maxTurn = 50 * time.Millisecond
	// pause is the time without a request that found no room after which contention has ended.
	pause = time.Second
	// lengthPeriod is the time over which the number of waiting requests is averaged.
	lengthPeriod = time.Second
)

// Waiter is a waiting request. Its owner sets the fields before Add, and afterwards only by Queue.Failed.
type Waiter struct {
	ArrivedAt time.Duration
	Bytes     int64         // of its body
	Request   Request       // as of the last decision
	Own       time.Duration // time that its prompt takes, as of the last decision
	Due       time.Duration // when it has to be decided on again, whether it is its turn or not
	Wake      func()        // called when it is the request's turn, or when it has been displaced
	Displaced bool          // another request took its place
}

// standing returns the standing of the waiter now.
func (w *Waiter) standing(now time.Duration) Standing {
	r := w.Request
	r.Elapsed = now - w.ArrivedAt
	return NewStanding(r, w.Own)
}

// late reports whether the waiter can't meet its target any longer.
func (w *Waiter) late(now time.Duration) bool { return w.standing(now).late }

// Queue holds the waiting requests for one service and model. In each check, which StartRound begins, the requests are decided on
// one after the other in their order: one has the turn until Failed or Remove is called for it, so that each decision knows the load
// of the requests before it. A Queue is not safe for concurrent use. All times are readings of one monotonic clock.
type Queue struct {
	waiters   []*Waiter
	round     []*Waiter // that get a turn in this check, in order
	failures  int       // waiters of this check that found no room
	turn      *Waiter   // whose turn it is, or nil
	turnAt    time.Duration
	lastRoom  time.Duration   // when there was last room for late work, or when contention began
	contended time.Duration   // when a request last found no room
	averages  [levels]float64 // number of waiters averaged over lengthPeriod, by level, as of averageAt
	averageAt time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(now time.Duration) *Queue {
	return &Queue{lastRoom: now, contended: now - 2*pause}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Idle reports whether nothing waits and contention has ended.
func (q *Queue) Idle(now time.Duration) bool { return len(q.waiters) == 0 && now-q.contended > pause }

// Add adds a waiter.
func (q *Queue) Add(w *Waiter, now time.Duration) {
	q.observeLengths(now)
	q.waiters = append(q.waiters, w)
}

// observeLengths updates the average numbers of waiters. Call it before the waiters change.
func (q *Queue) observeLengths(now time.Duration) {
	var counts [levels]float64
	for _, w := range q.waiters {
		counts[w.standing(now).level]++
	}
	weight := -math.Expm1(-float64(now-q.averageAt) / float64(lengthPeriod))
	for i := range counts {
		q.averages[i] += weight * (counts[i] - q.averages[i])
	}
	q.averageAt = now
}

// StartRound begins a check, unless one is in progress.
func (q *Queue) StartRound(now time.Duration) {
	if q.turn != nil && now-q.turnAt <= maxTurn {
		return
	}
	q.observeLengths(now)
	q.round = slices.Clone(q.waiters)
	standings := make(map[*Waiter]Standing, len(q.round))
	for _, w := range q.round {
		standings[w] = w.standing(now)
	}
	slices.SortStableFunc(q.round, func(a, b *Waiter) int { return Compare(standings[a], standings[b]) })
	q.failures = 0
	q.next(now)
}

// next gives the turn to the next waiter of the check, if there is one.
func (q *Queue) next(now time.Duration) {
	q.turn = nil
	for len(q.round) > 0 && q.failures < maxFailures {
		w := q.round[0]
		q.round = q.round[1:]
		if slices.Contains(q.waiters, w) {
			q.turn, q.turnAt = w, now
			w.Wake()
			return
		}
	}
}

// Failed records that a waiter found no room, with the figures of that decision. The next one gets the turn.
func (q *Queue) Failed(w *Waiter, r Request, best Server, due, now time.Duration) {
	w.Request, w.Own, w.Due = r, best.own(), due
	if q.turn == w {
		q.failures++
		q.next(now)
	}
}

// Remove removes a waiter and reports whether it was there. The next one gets the turn.
func (q *Queue) Remove(w *Waiter, now time.Duration) bool {
	at := slices.Index(q.waiters, w)
	q.observeLengths(now)
	if at >= 0 {
		q.waiters = slices.Delete(q.waiters, at, at+1)
	}
	if q.turn == w {
		q.next(now)
	}
	return at >= 0
}

// goesFirst reports whether a request goes before all that wait, except itself.
func (q *Queue) goesFirst(w *Waiter, r Request, own, now time.Duration) bool {
	standing := NewStanding(r, own)
	return !slices.ContainsFunc(q.waiters, func(other *Waiter) bool {
		return other != w && Compare(other.standing(now), standing) <= 0
	})
}

// Displace takes the place of a waiter that can't be in time, and whose body is at least as long, for a request that can. It reports
// whether it did; the waiter is notified.
func (q *Queue) Displace(r Request, best Server, bytes int64, now time.Duration) bool {
	if !r.CanMeetTarget(best.own()) {
		return false
	}
	for _, w := range q.waiters {
		if !w.Displaced && w.Bytes >= bytes && w.late(now) {
			w.Displaced = true
			w.Wake()
			return true
		}
	}
	return false
}

// Observe records that a request found no room, and whether a server had room for late work then.
func (q *Queue) Observe(room bool, now time.Duration) {
	if room || now-q.contended > pause {
		q.lastRoom = now
	}
	q.contended = now
}

// Load returns the contention for a request with the given best server. w is the request's waiter, or nil if it has just arrived. The
// queues of the other gateways are taken to be as long as this one has been recently, and the requests to be spread over the servers evenly.
func (q *Queue) Load(w *Waiter, r Request, best Server, gateways, servers int, now time.Duration) Load {
	var backlog time.Duration
	for _, other := range q.waiters {
		if other != w && !other.late(now) {
			backlog += other.Own
		}
	}
	servers = max(1, servers)
	l := Load{
		NoRoomFor: now - q.lastRoom, Backlog: backlog * time.Duration(max(1, gateways)) / time.Duration(servers),
		First: w != nil && q.turn == w || q.goesFirst(w, r, best.own(), now),
	}
	if w != nil {
		q.observeLengths(now)
		for _, average := range q.averages[NewStanding(r, best.own()).level:] {
			l.Others += average * float64(max(0, gateways-1)) / float64(servers)
		}
	}
	return l
}
