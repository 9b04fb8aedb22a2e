package fleetgateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/contention"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/failover"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/retrybudget"
)

const (
	// maxNotRunAttempts bounds the servers that may refuse one request as not run before the caller gets an error.
	maxNotRunAttempts = 4
	// maxDeadlineShare is the part of the remaining time that the predicted time may take. Requests above it are
	// refused at once, because the rest of the response needs time too.
	maxDeadlineShare = 0.8
	// waitPollInterval is the longest time between two checks whether the model of a waiting request is loaded.
	waitPollInterval = 50 * time.Millisecond
	// loadMargin is the time, in addition to the model's load time, for which a request waits for a load: it covers
	// the planner's interval, an unload that frees memory and the report that the model is loaded.
	loadMargin = 900 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After time that callers get.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// result is the outcome of one attempt.
type result struct {
	server string
	kind   errkind.Kind // None if the response was delivered
	notRun bool         // the server did not and will not run the request
	unsent bool         // nothing was sent to the server
	err    error
}

// run sends the request to servers until one responds, and returns the kind of the outcome.
func (q *request) run(ctx context.Context) errkind.Kind {
	s := q.server
	s.budget(q.service).CountRequest(s.opts.Clock())
	s.hedgeBudget(q.service).CountRequest(s.opts.Clock())
	q.race = failover.New(failover.Options{
		Repeatable: q.route.Repeatable(), MaxRuns: q.route.MaxAttempts, MaxNotRun: maxNotRunAttempts,
	})
	defer q.endAttempts()
	defer q.leaveQueue()
	for {
		choice, replica, err := q.choose(ctx)
		q.countDemand(choice)
		q.countScaled(choice)
		if err != nil {
			return q.endRefused(ctx, err)
		}
		r, ok := q.begin(ctx, ctx, choice, replica)
		if q.waiter != nil && ok {
			s.opts.Metrics.afterWait.Add(rankName(q.waiter.rank), 1)
		}
		q.leaveQueue() // only now, so that the next waiting request is decided on with this one's load
		if ok {
			r = q.await(ctx)
		}
		if r.kind == errkind.None {
			q.cancelAppointment()
			q.cancelAppointment()
			q.log(errkind.None, slog.String("server", r.server))
			return errkind.None
		}
		if !q.shouldRetry(ctx, r) {
			return q.endRefused(ctx, q.lastError(r))
		}
	}
}

// endRefused ends a request that no server answered, and returns the kind of the outcome. err is the error of the last attempt.
func (q *request) endRefused(ctx context.Context, err error) errkind.Kind {
	final := q.finalError(ctx, err)
	q.scaled.countRefused(err, errkind.Of(final).NotRun())
	return q.giveUp(final)
}

// outputTokenCost is the cost of one output token in prompt tokens, for the demand of a model. All requests in a
// batch share its steps, and a step takes about as long as processing some hundred prompt tokens.
const outputTokenCost = 8

// countDemand adds the request's work, in prompt tokens, to the demand of its model; later calls do nothing. c is
// the chosen server, or nil if there is none yet.
func (q *request) countDemand(c *fleetroute.Candidate) {
	if q.demandCounted {
		return
	}
	q.demandCounted = true
	q.server.opts.Demand.Add(q.service, q.model, q.work(c))
}

// work returns the request's work in prompt tokens. c is the chosen server, or nil if there is none yet.
func (q *request) work(c *fleetroute.Candidate) float64 {
	if c != nil {
		return outputTokenCost*q.outputTokens + c.UncachedTokens
	}
	return outputTokenCost*q.outputTokens + float64(q.prompt.TotalTokens)/2
}

// choose returns the best server for the request, or the error with which to refuse it. It waits while the model is
// being loaded, if the response can still be in time, or for room at a server. A request that waited for room stays in its queue until
// leaveQueue is called.
func (q *request) choose(ctx context.Context) (*fleetroute.Candidate, *fleet.Replica, error) {
	s := q.server
	for {
		change := s.fleetChange()
		if err := q.followConfiguration(); err != nil {
			return nil, nil, err
		}
		if err := q.checkPrompt(); err != nil {
			return nil, nil, err
		}
		if err := q.displacedRefusal(); err != nil {
			return nil, nil, err
		}
		if q.waiter != nil && !q.awaitTurn(ctx) {
			if ctx.Err() != nil {
				return nil, nil, errkind.Wrap(errkind.Overloaded, ctx.Err(), "no room at a server in time")
			}
			continue
		}
		now := s.opts.Clock()
		list, byID, why := q.candidates(now)
		at := s.pick(list)
		policy := q.gated()
		if policy == nil || at < 0 {
			q.leaveQueue()
		}
		if at >= 0 {
			c := &list[at]
			if send, err := q.mayTake(policy, list, at); err != nil {
				return c, nil, err
			} else if !send {
				continue // it waits for room
			}
			q.countScaled(c) // the demand of requests that wait counts, too
			if q.waitForTurn(ctx, c, byID[c.ID]) && q.mayStillSend(q.config, byID[c.ID]) {
				return c, byID[c.ID], nil
			}
			if ctx.Err() == nil {
				continue
			}
			return nil, nil, errkind.Wrap(errkind.WarmingUp, ctx.Err(), "no turn at a cold server before the deadline")
		}
		if err := q.pausedRefusal(now, nil); err != nil {
			return nil, nil, err
		}
		if !q.mayWaitForModel(why) {
			return nil, nil, &refusal{errkind.New(why, "no server of service %s can take the request", q.service),
				retryAfter(q.loadTime() / 2)}
		}
		q.countDemand(nil) // the planner must know the demand of waiting requests
		q.countScaled(nil)
		select {
		case <-change:
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			return nil, nil, errkind.Wrap(errkind.ModelNotResident, ctx.Err(), "the model was not loaded in time")
		}
	}
}

// mayTake reports whether the request is sent to the best candidate, which is at the given position. err says why it is refused. If it is
// neither sent nor refused, it waits for room and has to be decided on again.
func (q *request) mayTake(policy *contention.Policy, list []fleetroute.Candidate, at int) (send bool, err error) {
	c := &list[at]
	if policy != nil {
		if send, err = q.seekRoom(policy, list, at); send {
			q.logChoice(c, len(list))
		}
		return send, err
	}
	q.logChoice(c, len(list))
	if left := q.timeLeft(); c.Predicted() > time.Duration(maxDeadlineShare*float64(left)) {
		q.scaled.tooLong = !fitsIdle(*c, time.Duration(maxDeadlineShare*float64(left)))
		return false, &refusal{errkind.New(errkind.DeadlineUnreachable, "predicted time %v at server %s, time left %v",
			c.Predicted().Round(time.Millisecond), c.ID, left.Round(time.Millisecond)), retryAfter(c.Predicted() / 2)}
	}
	return true, nil
}

func retryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

func (q *request) loadTime() time.Duration {
	if service := q.config.Services[q.service]; service != nil && service.Engine != nil {
		if m := service.Engine.Models[q.model]; m != nil {
			return m.Load
		}
	}
	return 0
}

// mayWaitForModel reports whether the request should wait for its model to be loaded: the model is known, the
// request was not sent to any server yet, and a load would end early enough.
func (q *request) mayWaitForModel(why errkind.Kind) bool {
	load := q.loadTime()
	if why != errkind.ModelNotResident || load == 0 || len(q.tried) > 0 {
		return false
	}
	until := q.arrived.Add(load + loadMargin)
	return time.Now().Before(until) && until.Before(q.deadline.Add(-load/4)) && q.timeLeft() > 0
}

// shouldRetry reports whether the request is sent to another server after its last attempt ended with result r. If so, the retry
// budget has been charged, unless the attempt sent nothing.
func (q *request) shouldRetry(ctx context.Context, r result) bool {
	return ctx.Err() == nil && r.kind != errkind.CallerCancelled && q.race.MayBegin() && q.canContinue() && (r.unsent || q.mayExposeAnother() && q.reserveRetry())
}

// canContinue reports whether another server's response could follow what the caller has got: only a stream can go on elsewhere.
func (q *request) canContinue() bool { return !q.headSent || q.route.Repeat == fleet.Stream }

// reserveRetry charges the retry budget for one more attempt and reports whether the budget allows it. A reservation
// that has not been used yet is reused; endAttempts returns one that is left. The organisation's limit is charged later, by end.
func (q *request) reserveRetry() bool {
	if q.retryReserved {
		return true
	}
	_, gateways := q.server.opts.Gateways()
	q.reservedAt = q.service
	q.retryReserved = q.server.budget(q.service).TakeRetry(q.server.opts.Clock(), gateways)
	if !q.retryReserved && !q.budgetLogged {
		q.budgetLogged = true
		q.server.opts.Log.Info("retry budget used up; not sent to another server", "request_id", q.caller.ID, "service", q.service)
	}
	return q.retryReserved
}

// runs returns the number of attempts that ended and may have run.
func (q *request) runs() int {
	if q.race == nil {
		return 0
	}
	return q.race.Runs()
}

// finalError returns the error for the caller, given the error of the last attempt.
func (q *request) finalError(ctx context.Context, err error) error {
	switch {
	case q.http.Context().Err() != nil:
		return errkind.Wrap(errkind.CallerCancelled, err, "the caller disconnected")
	case q.runs() == 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.Wrap(errkind.NoCandidate, err, "not sent before the deadline")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineExceeded, err, "no complete response before the deadline")
	case q.runs() > 0 && errkind.Of(err).NotRun():
		return errkind.Wrap(errkind.OutcomeUnknown, err, "an earlier attempt may have run")
	}
	return err
}

// budget returns the retry budget of a service.
func (s *Server) budget(service string) *lockedBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.retries[service]
	if b == nil {
		b = retrybudget.New(s.opts.Retry)
		s.retries[service] = b
	}
	return &lockedBudget{s, b}
}

// lockedBudget is a retry budget that is protected by the server's mutex.
type lockedBudget struct {
	server *Server
	budget *retrybudget.Budget
}

func (l *lockedBudget) CountRequest(now time.Duration) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.budget.CountRequest(now)
}

func (l *lockedBudget) TakeRetry(now time.Duration, gateways int) bool {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	return l.budget.TakeRetry(now, gateways)
}

func (l *lockedBudget) ReturnRetry(now time.Duration) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.budget.ReturnRetry(now)
}

func (q *request) logChoice(c *fleetroute.Candidate, candidates int) {
	q.server.opts.Log.LogAttrs(q.http.Context(), slog.LevelInfo, "server chosen",
		slog.String("request_id", q.caller.ID), slog.String("server", c.ID), slog.Int("candidates", candidates),
		slog.Duration("predicted", c.Predicted()), slog.Int("in_flight", c.InFlight), slog.Float64("ahead", c.QueuedTokens),
		slog.Float64("uncached", c.UncachedTokens), slog.Float64("slowness", c.Slowness), slog.Float64("penalty_ms", c.PenaltyMS),
		slog.Bool("adapter_missing", c.AdapterMissing), slog.Float64("turn_ms", c.TurnWaitMS))
}

// statusOK reports whether a status means success.
func statusOK(status int) bool { return status >= http.StatusOK && status < http.StatusMultipleChoices }
