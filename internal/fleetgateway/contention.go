package fleetgateway

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
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
	// maxWaiting and maxWaitingAll bound the requests that wait for room, in one queue and in all.
	maxWaiting, maxWaitingAll = 128, 256
	// waitingBytesFraction is the part of the memory for bodies, as a divisor, that waiting requests may hold. New requests need the
	// rest.
	waitingBytesFraction = 2
	// contentionEnd is the time without a request that found no room after which requests are no longer compared with those of other
	// organisations.
	contentionEnd = time.Second
)

// queueKey names the queue of the requests that wait for room at the engines of a service with a model.
type queueKey struct{ service, model string }

// rooms holds the requests that wait for room at the engines of covered services. It is safe for concurrent use.
type rooms struct {
	policies  atomic.Pointer[policySet]
	waiting   atomic.Int64 // requests in all queues
	contended atomic.Int64 // reading of the clock when a request last found no room

	mu     sync.Mutex
	bytes  int64 // of the bodies of waiting requests
	queues map[queueKey]*contention.Queue
	polled map[queueKey]bool // queues with a timer
}

// policySet holds the policies of one configuration.
type policySet struct {
	config   *fleet.Configuration
	policies map[string]*contention.Policy
}

// waiter is one waiting request.
type waiter struct {
	contention.Waiter // protected by the mutex of rooms
	key               queueKey
	wake              chan struct{} // gets a value when it is the request's turn, or when it has been displaced
	rank              int           // when it began to wait
}

func newRooms() *rooms {
	r := &rooms{queues: make(map[queueKey]*contention.Queue), polled: make(map[queueKey]bool)}
	r.contended.Store(int64(-contentionEnd))
	return r
}

// policy returns the policy of a covered service, or nil.
func (r *rooms) policy(c *fleet.Configuration, service string) *contention.Policy {
	set := r.policies.Load()
	if set == nil || set.config != c {
		set = &policySet{c, contention.Policies(c)}
		r.policies.Store(set)
	}
	return set.policies[service]
}

// Waiting returns the number of requests that wait for room at a server.
func (s *Server) Waiting() int64 { return s.rooms.waiting.Load() }

// pollRoom starts a check of a queue, and calls itself again while requests wait.
func (s *Server) pollRoom(key queueKey) {
	r, now := s.rooms, s.opts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[key]
	if queue.Len() == 0 {
		delete(r.polled, key)
		return
	}
	queue.StartRound(now)
	time.AfterFunc(contention.PollInterval, func() { s.pollRoom(key) })
}

// PruneQueues removes queues in which nothing waits any longer. Call it periodically.
func (s *Server) PruneQueues() {
	r, now := s.rooms, s.opts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.queues, func(key queueKey, queue *contention.Queue) bool { return !r.polled[key] && queue.Idle(now) })
}

// gated returns the policy that the request is subject to, or nil. Requests that were sent to a server before are not subject to
// any: they have used capacity already.
func (q *request) gated() *contention.Policy {
	if len(q.tried) > 0 || q.headSent {
		return nil
	}
	return q.server.rooms.policy(q.config, q.service)
}

// admission returns the request as the policy sees it, without what depends on its organisation.
func (q *request) admission(p *contention.Policy, now time.Duration) contention.Request {
	return contention.Request{
		Rank: p.Rank(fleet.PriorityOf(q.route, q.org)), Target: q.route.Target, Elapsed: now - q.arrivedAt, Left: q.timeLeft(), FairShare: 1,
		Returned: q.appointment.redeemed,
	}
}

// seekRoom decides whether the request is sent to the best candidate, which is at the given position. Otherwise the request waits in
// its queue, or err says why it is refused.
func (q *request) seekRoom(p *contention.Policy, list []fleetroute.Candidate, at int) (send bool, err error) {
	q.redeemAppointment()
	r, now := q.server.rooms, q.server.opts.Clock()
	a, best := q.admission(p, now), contention.ServerOf(&list[at])
	q.findRoomDue(&list[at], best, len(list), now)
	calm := q.waiter == nil && r.waiting.Load() == 0 && now-time.Duration(r.contended.Load()) > contentionEnd
	if calm {
		if v := p.Decide(a, q.withRoomKept(p, a, best), contention.Load{First: true}); v.Action == contention.Send {
			return true, nil
		}
	}
	return q.seekContendedRoom(p, a, list, at, best, now)
}

// seekContendedRoom is seekRoom if the best candidate has no room or requests wait.
func (q *request) seekContendedRoom(p *contention.Policy, a contention.Request, list []fleetroute.Candidate, at int, best contention.Server,
	now time.Duration) (send bool, err error) {
	s, key := q.server, queueKey{q.service, q.model}
	if q.waiter != nil && q.waiter.key != key {
		q.leaveQueue() // the configuration has changed
	}
	_, gateways := s.opts.Gateways()
	served, factor := 0.0, 1.0
	if q.org != nil {
		served, factor = s.opts.Limits.Share(q.org.Name)
	}
	room := slices.ContainsFunc(list, func(c fleetroute.Candidate) bool { return p.HasRoom(contention.ServerOf(&c)) })
	r := s.rooms
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[key]
	if queue == nil {
		queue = contention.NewQueue(now)
		r.queues[key] = queue
	}
	if a.Served = served; !queue.Idle(now) {
		a.FairShare = factor
	}
	best = q.withRoomKept(p, a, best)
	var waiting *contention.Waiter
	if q.waiter != nil {
		waiting = &q.waiter.Waiter
	}
	load := queue.Load(waiting, a, best, gateways, len(list), now)
	load.Draw = rand.Float64()
	v := p.Decide(a, best, load)
	q.describeRefusal(&list[at], best, len(list), v.RetryAfter)
	if v.Action == contention.Send {
		return true, nil
	}
	queue.Observe(room, now)
	r.contended.Store(int64(now))
	if v.Action == contention.Wait && q.waiter == nil && !r.hasPlace(queue, a, best, int64(len(q.body)), s.waitingBytes(), now) {
		v.Action, v.Reason = contention.Refuse, contention.QueueFull
	}
	if v.Action == contention.Refuse {
		return false, q.noRoom(v, a, &list[at], best)
	}
	q.countDemand(&list[at]) // the planner must know the demand of waiting requests
	q.countScaled(&list[at])
	q.enterQueue(queue, key, v, a, &list[at], best, now)
	return false, nil
}

// enterQueue puts the request into its queue, or leaves it there, after a decision that it waits.
func (q *request) enterQueue(queue *contention.Queue, key queueKey, v contention.Verdict, a contention.Request, c *fleetroute.Candidate,
	best contention.Server, now time.Duration) {
	r := q.server.rooms
	if q.waiter == nil {
		q.logVerdict("request waits for room at a server", v, a, c, best)
		w := &waiter{key: key, wake: make(chan struct{}, 1), rank: a.Rank}
		w.Waiter = contention.Waiter{ArrivedAt: q.arrivedAt, Bytes: int64(len(q.body)), Wake: w.signal}
		q.waiter = w
		queue.Add(&w.Waiter, now)
		r.bytes += w.Bytes
		r.waiting.Add(1)
	}
	queue.Failed(&q.waiter.Waiter, a, best, now+v.WaitFor, now)
	if !r.polled[key] {
		r.polled[key] = true
		time.AfterFunc(contention.PollInterval, func() { q.server.pollRoom(key) })
	}
}

// signal tells the request that it has to look at its waiter.
func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// waitingBytes returns the bound of the bytes that waiting requests hold.
func (s *Server) waitingBytes() int64 {
	return (s.opts.Bodies.Bound() + s.opts.ShortBodies.Bound()) / waitingBytesFraction
}

// hasPlace reports whether a queue can take a request of the given size. If it is full, a waiting request that can't be in time gives
// its place to one that can.
func (r *rooms) hasPlace(queue *contention.Queue, a contention.Request, best contention.Server, size, bound int64, now time.Duration) bool {
	if r.bytes+size <= bound && queue.Len() < maxWaiting && r.waiting.Load() < maxWaitingAll {
		return true
	}
	return queue.Displace(a, best, size, now)
}

// awaitTurn waits until the request has to be decided on again, at most for waitPollInterval, and reports whether that is so.
func (q *request) awaitTurn(ctx context.Context) bool {
	s, w := q.server, q.waiter
	s.rooms.mu.Lock()
	left := w.Due - s.opts.Clock()
	s.rooms.mu.Unlock()
	if left <= 0 {
		return true
	}
	defer q.scaled.waitForRoom()()
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

// leaveQueue takes the request out of its queue, if it waits. The next one is decided on.
func (q *request) leaveQueue() {
	w, r := q.waiter, q.server.rooms
	if w == nil {
		return
	}
	q.waiter = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queues[w.key].Remove(&w.Waiter, q.server.opts.Clock())
	r.bytes -= w.Bytes
	r.waiting.Add(-1)
}

// displacedRefusal returns the error with which to refuse a waiting request whose place another one took, or nil.
func (q *request) displacedRefusal() error {
	if q.waiter == nil {
		return nil
	}
	r := q.server.rooms
	r.mu.Lock()
	displaced := q.waiter.Displaced
	r.mu.Unlock()
	if !displaced {
		return nil
	}
	q.server.opts.Metrics.noRoom.Add(string(contention.QueueFull)+"/"+rankName(q.waiter.rank), 1)
	q.server.opts.Log.Info("request refused: another one took its place among those that wait", "request_id", q.caller.ID,
		"service", q.service, "model", q.modelKey, "rank", q.waiter.rank, "elapsed", q.elapsed(), "waiting", r.waiting.Load())
	return &refusal{errkind.New(errkind.Overloaded, "a request that can be in time took its place among those that wait"), q.appoint(maxRetryAfter)}
}

// noRoom returns the error with which to refuse the request.
func (q *request) noRoom(v contention.Verdict, a contention.Request, c *fleetroute.Candidate, best contention.Server) error {
	q.server.opts.Metrics.noRoom.Add(string(v.Reason)+"/"+rankName(a.Rank), 1)
	q.logVerdict("request refused: no room at a server", v, a, c, best)
	kind := errkind.DeadlineUnreachable
	if v.Reason == contention.QueueFull {
		kind = errkind.Overloaded
	}
	return &refusal{errkind.New(kind, "no room at server %s: wait ahead %v, allowance %v, time left %v", c.ID,
		best.WaitAhead.Round(time.Millisecond), v.Allowance.Round(time.Millisecond), a.Left.Round(time.Millisecond)), q.appoint(retryAfter(v.RetryAfter))}
}

func rankName(rank int) string { return strconv.Itoa(rank) }

func (q *request) logVerdict(message string, v contention.Verdict, a contention.Request, c *fleetroute.Candidate, best contention.Server) {
	heard, known := q.server.opts.Gateways()
	q.server.opts.Log.LogAttrs(q.http.Context(), slog.LevelInfo, message,
		slog.String("request_id", q.caller.ID), slog.String("service", q.service), slog.String("model", q.modelKey),
		slog.String("reason", string(v.Reason)), slog.Int("rank", a.Rank), slog.Bool("late", v.Late),
		slog.Duration("elapsed", a.Elapsed), slog.Duration("target", a.Target), slog.Duration("left", a.Left),
		slog.String("server", c.ID), slog.Duration("predicted", best.Predicted), slog.Duration("wait_ahead", best.WaitAhead),
		slog.Duration("allowance", v.Allowance), slog.Duration("queued", best.Queued), slog.Duration("own", best.Own),
		slog.Float64("served", a.Served), slog.Float64("fair_share", a.FairShare), slog.Duration("room_in", v.RetryAfter),
		slog.Duration("wait_for", v.WaitFor), slog.Int64("waiting", q.server.rooms.waiting.Load()),
		slog.Duration("loads_age", q.server.LoadsAge()), slog.Int("gateways_heard", heard), slog.Int("gateways_known", known))
}

// LoadsReceived records that another gateway reported its loads. Call it for each report.
func (s *Server) LoadsReceived() { s.loadsAt.Store(int64(s.opts.Clock())) }

// LoadsAge returns the time since another gateway last reported its loads, or zero if none ever did.
func (s *Server) LoadsAge() time.Duration {
	at := time.Duration(s.loadsAt.Load())
	if at == 0 {
		return 0
	}
	return s.opts.Clock() - at
}
