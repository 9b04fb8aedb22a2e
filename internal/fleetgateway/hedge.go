package fleetgateway

import (
	"context"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/retrybudget"
)

const (
	// maxHedgedTarget is the target of a route from which its requests are not hedged: silenceTimeout is short enough
	// for them.
	maxHedgedTarget = 2 * minSilenceTimeout
	// minHedgeDelay is the shortest time after which a request is hedged. A shorter one would hedge requests that only
	// waited for a connection or for the scheduler.
	minHedgeDelay = 30 * time.Millisecond
	// maxHedgedShare bounds the hedged requests of a service, as a part of all its requests within hedgeWindow, so that
	// hedging does not multiply an overload.
	maxHedgedShare = 0.05
	hedgeWindow    = 10 * time.Second
)

// hedgeDelay returns how long the request waits for a server before it is hedged: sent to another server, too, although
// the first one is not silent for long enough to be replaced. ok is false if the request must not or need not be hedged.
func (q *request) hedgeDelay(c *fleetroute.Candidate) (delay time.Duration, ok bool) {
	if q.route.Repeat != fleet.Idempotent || q.model != "" || q.route.Target <= 0 || q.route.Target >= maxHedgedTarget {
		return 0, false
	}
	usual, ok := q.server.opts.Table.UsualTime(c, q.service)
	delay = max(minHedgeDelay, usual, c.Predicted())
	return delay, ok && delay < q.silenceTimeout(c)
}

// attemptTimeout returns how long a new attempt waits for its server until the request may be sent to another one, too,
// and when the server counts as silent, on the clock of q.race.
func (q *request) attemptTimeout(c *fleetroute.Candidate) (timeout, silentAt time.Duration) {
	timeout = q.silenceTimeout(c)
	silentAt = q.elapsed() + timeout
	if delay, ok := q.hedgeDelay(c); ok && q.begun == 1 {
		timeout = delay
	}
	return timeout, silentAt
}

// isHedge reports whether another attempt that begins now would be a hedge: the server of the only attempt is late, but
// not silent.
func (q *request) isHedge() bool {
	for _, a := range q.live {
		if len(q.live) == 1 && q.elapsed() < a.silentAt {
			_, ok := q.hedgeDelay(a.candidate)
			return ok && !q.allStalled()
		}
	}
	return false
}

// canHedge reports whether the request may be hedged now. If so, the retry budget and the hedges of the service have
// been charged.
func (q *request) canHedge(ctx context.Context) bool {
	s := q.server
	list, _, _ := q.candidates(s.opts.Clock())
	free := false
	for i := range list {
		free = free || list[i].InFlight < list[i].Slots
	}
	_, gateways := s.opts.Gateways()
	if !free || !s.hedgeBudget(q.service).TakeRetry(s.opts.Clock(), gateways) {
		return false
	}
	if !q.canFailOver(ctx) {
		s.hedgeBudget(q.service).ReturnRetry(s.opts.Clock())
		return false
	}
	return true
}

// silentAt returns when the server of the only attempt counts as silent.
func (q *request) silentAt() time.Duration {
	at := q.elapsed()
	for _, a := range q.live {
		at = max(at, a.silentAt)
	}
	return at
}

// hedged records a hedge, which is nil if it could not begin.
func (q *request) hedged(a *attempt) {
	s := q.server
	if a == nil {
		s.hedgeBudget(q.service).ReturnRetry(s.opts.Clock())
		return
	}
	q.hedge = a
	s.opts.Metrics.hedges.Add("sent", 1)
	s.opts.Log.Info("request hedged", "request_id", q.caller.ID, "service", q.service, "server", a.candidate.ID,
		"after", q.elapsed())
}

// hedgeBudget returns the bound on the hedged requests of a service.
func (s *Server) hedgeBudget(service string) *lockedBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.hedges[service]
	if b == nil {
		b = retrybudget.New(retrybudget.Options{Ratio: maxHedgedShare, Window: hedgeWindow, UsedFraction: 1})
		s.hedges[service] = b
	}
	return &lockedBudget{s, b}
}
