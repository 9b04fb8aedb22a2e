package fleetgateway

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/contention"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

const (
	// roomPollInterval is the time between two checks whether the first waiting requests of a queue may be sent.
	roomPollInterval = 15 * time.Millisecond
	// maxPollFailures is the number of waiting requests per check that may find no room before the check ends. Above one, because
	// the first may wait for a server that caches its prompt, or be large.
	maxPollFailures = 4
	// maxTurnTime is the time after which the next check no longer awaits the request whose turn it is.
	maxTurnTime = 50 * time.Millisecond
	// maxWaiting bounds the requests that wait for room, in one queue and in all.
	maxWaiting, maxWaitingAll = 128, 256
	// waitingBytesFraction is the part of the memory for bodies, as a divisor, that waiting requests may hold. New requests need the
	// rest.
	waitingBytesFraction = 2
	// contentionPause is the time without a request that found no room after which contention has ended.
	contentionPause = time.Second
)

// queueKey names a queue of requests that wait for room.
type queueKey struct{ service, model string }

// rooms holds the requests that wait for room at the engines of covered services. It is safe for concurrent use.
type rooms struct {
	policies atomic.Pointer[policySet]
	waiting  atomic.Int64 // requests in all queues

	mu     sync.Mutex
	bytes  int64 // of the bodies of waiting requests
	queues map[queueKey]*roomQueue
}

// policySet holds the policies of one configuration.
type policySet struct {
	config   *fleet.Configuration
	policies map[string]*contention.Policy
}

// roomQueue is the queue of one service and model. It is protected by the mutex of rooms.
type roomQueue struct {
	waiters   []*waiter
	round     []*waiter // that get a turn in this check, in order
	failures  int       // waiters of this check that found no room
	turn      *waiter   // whose turn it is, or nil
	turnAt    time.Duration
	polling   bool
	lastRoom  time.Duration // when there was last room for late work, or when contention began
	contended time.Duration // when a request last found no room
}

// waiter is one waiting request.
type waiter struct {
	key       queueKey
	rank      int
	wake      chan struct{} // gets a value when it is the waiter's turn, or when it has been displaced
	displaced atomic.Bool   // a request that goes before it took its place
	bytes     int64
	arrivedAt time.Duration

	// Of the last decision; protected by the mutex of rooms.
	request contention.Request
	own     time.Duration
	due     time.Duration // when the request has to be decided on again, whether it is its turn or not
}

func newRooms() *rooms { return &rooms{queues: make(map[queueKey]*roomQueue)} }

// policy returns the policy of a covered service, or nil.
func (r *rooms) policy(c *fleet.Configuration, service string) *contention.Policy {
	set := r.policies.Load()
	if set == nil || set.config != c {
		set = &policySet{c, contention.Policies(c)}
		r.policies.Store(set)
	}
	return set.policies[service]
}

// standing returns the standing of a waiter now.
func (w *waiter) standing(now time.Duration) contention.Standing {
	r := w.request
	r.Elapsed = now - w.arrivedAt
	return contention.NewStanding(r, w.own, 0)
}

// startRound begins a check: the waiters get turns in their order.
func (u *roomQueue) startRound(now time.Duration) {
	type ordered struct {
		w *waiter
		s contention.Standing
	}
	list := make([]ordered, 0, len(u.waiters))
	for _, w := range u.waiters {
		list = append(list, ordered{w, w.standing(now)})
	}
	slices.SortStableFunc(list, func(a, b ordered) int { return contention.Compare(a.s, b.s) })
	u.round = u.round[:0]
	for _, o := range list {
		u.round = append(u.round, o.w)
	}
	u.failures = 0
	u.nextTurn(now)
}

// nextTurn gives the turn to the next waiter of the check, if there is one.
func (u *roomQueue) nextTurn(now time.Duration) {
	u.turn = nil
	for len(u.round) > 0 && u.failures < maxPollFailures {
		w := u.round[0]
		u.round = u.round[1:]
		if slices.Contains(u.waiters, w) {
			u.turn, u.turnAt = w, now
			w.signal()
			return
		}
	}
}

func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// poll starts a check of a queue, and calls itself again while requests wait.
func (s *Server) pollRoom(key queueKey) {
	r, now := s.rooms, s.opts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.queues[key]
	if len(u.waiters) == 0 {
		u.polling = false
		if now-u.contended > contentionPause {
			delete(r.queues, key)
		}
		return
	}
	if u.turn == nil || now-u.turnAt > maxTurnTime {
		u.startRound(now)
	}
	time.AfterFunc(roomPollInterval, func() { s.pollRoom(key) })
}

// remove takes a waiter out of its queue. The next one gets the turn.
func (r *rooms) remove(w *waiter, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.queues[w.key]
	if u == nil {
		return
	}
	if at := slices.Index(u.waiters, w); at >= 0 {
		u.waiters = slices.Delete(u.waiters, at, at+1)
		r.bytes -= w.bytes
		r.waiting.Add(-1)
	}
	if u.turn == w {
		u.nextTurn(now)
	}
}

// gated reports whether the request is subject to admission under contention, and returns the policy. Requests that were sent to a
// server before are not: they have used capacity already.
func (q *request) gated() (*contention.Policy, bool) {
	if len(q.tried) > 0 || q.headSent {
		return nil, false
	}
	p := q.server.rooms.policy(q.config, q.service)
	return p, p != nil
}

// admission returns the request as the policy sees it.
func (q *request) admission(p *contention.Policy) contention.Request {
	return contention.Request{
		Rank: p.Rank(fleet.PriorityOf(q.route, q.org)), Target: q.route.Target, Elapsed: q.server.opts.Clock() - q.arrivedAt,
		Left: q.timeLeft(), FairShare: 1, Returned: q.appointment.redeemed,
	}
}

// serverState returns the state of a candidate as the policy sees it.
func serverState(c *fleetroute.Candidate) contention.Server {
	prompt := func(tokens float64) time.Duration {
		if c.PrefillRate <= 0 {
			return 0
		}
		return time.Duration(tokens / c.PrefillRate * float64(time.Millisecond))
	}
	return contention.Server{
		Predicted: c.Predicted(), WaitAhead: c.WaitAhead(), Queued: prompt(c.QueuedTokens), Own: prompt(c.UncachedTokens),
		Running: c.InFlight > 0,
	}
}

// seekRoom decides whether the request may be sent to the candidate at the given position, or to another one. It returns the
// position to send it to, or -1 if it waits in its queue now, or an error with which to refuse it.
func (q *request) seekRoom(p *contention.Policy, list []fleetroute.Candidate, at int) (int, error) {
	q.redeemAppointment()
	r, a := q.server.rooms, q.admission(p)
	q.keepRoom(p, a, list, at)
	best := q.serverState(&list[at])
	if q.waiter == nil && r.waiting.Load() == 0 {
		if reason, _ := p.MaySend(a, best); reason == contention.Allowed {
			return at, nil
		}
	}
	return q.seekContendedRoom(p, a, list, at, best)
}

// seekContendedRoom is seekRoom if the best candidate has no room or requests wait.
func (q *request) seekContendedRoom(p *contention.Policy, a contention.Request, list []fleetroute.Candidate, at int, best contention.Server) (int, error) {
	s, key := q.server, queueKey{q.service, q.model}
	if q.waiter != nil && q.waiter.key != key {
		q.leaveQueue()
	}
	mayGo := q.waiter != nil || s.rooms.goesFirst(key, contention.NewStanding(a, best.Predicted-best.WaitAhead, 0), s.opts.Clock())
	var allowed []fleetroute.Candidate
	var positions []int
	room := false
	for i := range list {
		state := q.serverState(&list[i])
		room = room || p.HasRoom(state)
		if i == at {
			if reason, _ := p.MaySend(a, state); reason != contention.Allowed {
				continue
			}
			if mayGo {
				return at, nil
			}
		} else if !p.MaySendInstead(a, state, best) {
			continue
		}
		allowed, positions = append(allowed, list[i]), append(positions, i)
	}
	if mayGo && len(allowed) > 0 {
		return positions[fleetroute.Choose(allowed, s.opts.DataCentre)], nil
	}
	return -1, q.waitOrRefuse(p, a, &list[at], best, room, len(list))
}

// goesFirst reports whether a request with the given standing goes before all that wait in a queue.
func (r *rooms) goesFirst(key queueKey, standing contention.Standing, now time.Duration) bool {
	if r.waiting.Load() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.queues[key]
	return u == nil || !slices.ContainsFunc(u.waiters, func(w *waiter) bool { return contention.Compare(w.standing(now), standing) <= 0 })
}

// waitOrRefuse puts the request into its queue, or leaves it there, or returns the error with which to refuse it.
func (q *request) waitOrRefuse(p *contention.Policy, a contention.Request, c *fleetroute.Candidate, best contention.Server, room bool, servers int) error {
	q.describeRefusal(c, best, servers)
	s := q.server
	r, now, key := s.rooms, s.opts.Clock(), queueKey{q.service, q.model}
	_, gateways := s.opts.Gateways()
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.queues[key]
	if u == nil {
		u = &roomQueue{lastRoom: now}
		r.queues[key] = u
	}
	if room || now-u.contended > contentionPause {
		u.lastRoom = now
	}
	u.contended = now
	own := best.Predicted - best.WaitAhead
	load := contention.Load{NoRoomFor: now - u.lastRoom, Backlog: u.backlog(q.waiter) * time.Duration(max(1, gateways)) / time.Duration(max(1, servers))}
	load.Full = q.waiter == nil && !r.makeRoom(u, contention.NewStanding(a, own, 0), int64(len(q.body)), s.waitingBytes(), now)
	v := p.Decide(a, best, load)
	q.appointment.capacityIn = v.RetryAfter
	if v.Action == contention.Send { // others go first
		v.Action, v.WaitFor = contention.Wait, maxTurnTime
	}
	if v.Action == contention.Refuse {
		return q.noRoom(v, a, c, best)
	}
	q.countDemand(c) // the planner must know the demand of waiting requests
	if q.waiter == nil {
		q.logVerdict("request waits for room at a server", v, a, c, best)
		q.waiter = &waiter{key: key, rank: a.Rank, wake: make(chan struct{}, 1), bytes: int64(len(q.body)), arrivedAt: q.arrivedAt}
		u.waiters = append(u.waiters, q.waiter)
		r.bytes += q.waiter.bytes
		r.waiting.Add(1)
	}
	w := q.waiter
	w.request, w.own, w.due = a, own, now+v.WaitFor
	if u.turn == w {
		u.failures++
		u.nextTurn(now)
	}
	if !u.polling {
		u.polling = true
		time.AfterFunc(roomPollInterval, func() { s.pollRoom(key) })
	}
	return nil
}

// backlog returns the time that one server needs for the requests that wait and can be in time, without the given one.
func (u *roomQueue) backlog(except *waiter) (sum time.Duration) {
	for _, w := range u.waiters {
		if w != except && w.request.CanMeetTarget(w.own) {
			sum += w.own
		}
	}
	return sum
}

// waitingBytes returns the bound of the bytes that waiting requests hold.
func (s *Server) waitingBytes() int64 {
	return (s.opts.Bodies.Bound() + s.opts.ShortBodies.Bound()) / waitingBytesFraction
}

// makeRoom reports whether a queue can take a request of the given size. If it is full, a waiter that can't be in time gives its
// place to a request that goes before it.
func (r *rooms) makeRoom(u *roomQueue, standing contention.Standing, size, bound int64, now time.Duration) bool {
	if r.bytes+size > bound {
		return false
	}
	if len(u.waiters) < maxWaiting && r.waiting.Load() < maxWaitingAll {
		return true
	}
	if len(u.waiters) == 0 {
		return false
	}
	last := slices.MaxFunc(u.waiters, func(a, b *waiter) int { return contention.Compare(a.standing(now), b.standing(now)) })
	if last.request.CanMeetTarget(last.own) || contention.Compare(standing, last.standing(now)) >= 0 || last.displaced.Swap(true) {
		return false
	}
	last.signal()
	return true
}

// awaitTurn waits until the request has to be decided on again, at most for waitPollInterval, and reports whether that is so.
func (q *request) awaitTurn(ctx context.Context) bool {
	s, w := q.server, q.waiter
	s.rooms.mu.Lock()
	left := w.due - s.opts.Clock()
	s.rooms.mu.Unlock()
	if left <= 0 {
		return true
	}
	timer := time.NewTimer(min(left, waitPollInterval))
	defer timer.Stop()
	select {
	case <-w.wake:
		return true
	case <-timer.C:
		return s.opts.View.Snapshot().Config != q.config
	case <-ctx.Done():
		return false
	}
}

// Waiting returns the number of requests that wait for room at a server.
func (s *Server) Waiting() int64 { return s.rooms.waiting.Load() }

// leaveQueue takes the request out of its queue, if it waits.
func (q *request) leaveQueue() {
	if q.waiter != nil {
		q.server.rooms.remove(q.waiter, q.server.opts.Clock())
		q.waiter = nil
	}
}

// displacedRefusal returns the error with which to refuse a waiting request whose place another one took, or nil.
func (q *request) displacedRefusal() error {
	if q.waiter == nil || !q.waiter.displaced.Load() {
		return nil
	}
	q.server.opts.Metrics.noRoom.Add(refusalName(contention.QueueFull, q.waiter.rank), 1)
	return &refusal{errkind.New(errkind.Overloaded, "a request that can be in time took its place among those that wait"), q.appoint()}
}

// noRoom returns the error with which to refuse the request.
func (q *request) noRoom(v contention.Verdict, a contention.Request, c *fleetroute.Candidate, best contention.Server) error {
	q.server.opts.Metrics.noRoom.Add(refusalName(v.Reason, a.Rank), 1)
	q.logVerdict("request refused: no room at a server", v, a, c, best)
	kind := errkind.DeadlineUnreachable
	if v.Reason == contention.QueueFull {
		kind = errkind.Overloaded
	}
	return &refusal{errkind.New(kind, "no room at server %s: wait ahead %v, allowance %v, time left %v", c.ID,
		best.WaitAhead.Round(time.Millisecond), v.Allowance.Round(time.Millisecond), a.Left.Round(time.Millisecond)), q.appoint()}
}

func refusalName(reason contention.Reason, rank int) string {
	return string(reason) + "/" + rankName(rank)
}

func rankName(rank int) string { return strconv.Itoa(rank) }

func (q *request) logVerdict(message string, v contention.Verdict, a contention.Request, c *fleetroute.Candidate, best contention.Server) {
	q.server.opts.Log.LogAttrs(q.http.Context(), slog.LevelInfo, message,
		slog.String("request_id", q.caller.ID), slog.String("service", q.service), slog.String("model", q.modelKey),
		slog.String("reason", string(v.Reason)), slog.Int("rank", a.Rank), slog.Bool("late", v.Late),
		slog.Duration("elapsed", a.Elapsed), slog.Duration("target", a.Target), slog.Duration("left", a.Left),
		slog.String("server", c.ID), slog.Duration("predicted", best.Predicted), slog.Duration("wait_ahead", best.WaitAhead),
		slog.Duration("allowance", v.Allowance), slog.Duration("queued", best.Queued), slog.Duration("own", best.Own),
		slog.Duration("room_in", v.RetryAfter), slog.Duration("wait_for", v.WaitFor), slog.Int64("waiting", q.server.rooms.waiting.Load()))
}
