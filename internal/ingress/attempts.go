package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/dispatch"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/retrybudget"
)

const (
	// refusedSends bounds the servers that may turn one request away as not run before the caller is told.
	refusedSends = 4
	// deadlineShare of the time left is what a prediction may take. A request beyond it is refused at once, because the
	// rest of its answer needs time too.
	deadlineShare = 0.8
	// waitPoll is the longest pause before a waiting request looks again whether its model is loaded.
	waitPoll = 50 * time.Millisecond
	// loadMargin is the time beyond a model's load for which a request waits for it: the planner's interval, an unload
	// that makes room and the report.
	loadMargin = 900 * time.Millisecond
	// leastRetryAfter and mostRetryAfter bound the advice to callers.
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 3 * time.Second
)

// result is how one attempt ended.
type result struct {
	kind   errkind.Kind // None if the answer was delivered
	notRun bool         // the server did not and will not run the request
	unsent bool         // nothing was sent to the server
	err    error
}

// run sends the request to servers until one answers, and returns the kind of the outcome.
func (q *request) run(ctx context.Context) errkind.Kind {
	s := q.server
	s.budget(q.service).Request(s.opts.Clock())
	for {
		choice, replica, err := q.choose(ctx)
		q.countDemand(choice)
		if err != nil {
			return q.refuse(q.final(ctx, err))
		}
		q.mu.Lock()
		q.reserved = false
		q.mu.Unlock()
		r := q.try(ctx, choice, replica)
		if r.kind == errkind.None {
			q.log(errkind.None, slog.String("server", choice.ID))
			return errkind.None
		}
		if !q.again(ctx, r) {
			return q.refuse(q.final(ctx, r.err))
		}
	}
}

// outputCost is the cost of one output token in prompt tokens, for the demand of a model: a step of the batch is
// shared by its requests and takes about as long as reading some hundred tokens.
const outputCost = 8

// countDemand adds what the request asks of its model, in prompt tokens, once. c is the chosen server, or nil while there
// is none.
func (q *request) countDemand(c *dispatch.Candidate) {
	if q.counted {
		return
	}
	q.counted = true
	work := outputCost * q.output
	if c != nil {
		work += c.UncachedTokens
	} else {
		work += float64(q.prompt.TotalTokens) / 2
	}
	q.server.opts.Demand.Add(q.service, q.model, work)
}

// choose returns the best server for the request, or the error to refuse it with. It waits while the model is being
// loaded and the answer can still come in time.
func (q *request) choose(ctx context.Context) (*dispatch.Candidate, *fleet.Replica, error) {
	s := q.server
	for {
		change := s.fleetChange()
		now := s.opts.Clock()
		list, byID, why := q.candidates(now)
		if at := dispatch.Choose(list, s.opts.DataCentre); at >= 0 {
			c := &list[at]
			q.logChoice(c, len(list))
			if left := time.Until(q.end); c.Predicted() > time.Duration(deadlineShare*float64(left)) {
				return c, nil, &refusal{errkind.New(errkind.DeadlineUnreachable, "%v predicted at %s, %v left",
					c.Predicted().Round(time.Millisecond), c.ID, left.Round(time.Millisecond)), retryAfter(c.Predicted() / 2)}
			}
			if q.takeTurn(ctx, c, byID[c.ID]) {
				return c, byID[c.ID], nil
			}
			if ctx.Err() == nil {
				continue
			}
			return nil, nil, errkind.Wrap(errkind.WarmingUp, ctx.Err(), "no turn at a cold server in time")
		}
		if !q.mayWait(why) {
			return nil, nil, &refusal{errkind.New(why, "none of the servers of %s can take the request", q.service),
				retryAfter(q.loadTime() / 2)}
		}
		q.countDemand(nil) // the planner must know what is waited for
		select {
		case <-change:
		case <-time.After(waitPoll):
		case <-ctx.Done():
			return nil, nil, errkind.Wrap(errkind.ModelNotResident, ctx.Err(), "the model was not loaded in time")
		}
	}
}

func retryAfter(d time.Duration) time.Duration { return min(max(d, leastRetryAfter), mostRetryAfter) }

func (q *request) loadTime() time.Duration {
	if service := q.config.Services[q.service]; service != nil && service.Engine != nil {
		if m := service.Engine.Models[q.model]; m != nil {
			return m.Load
		}
	}
	return 0
}

// mayWait reports whether the request should wait for its model: it is known, it was not tried elsewhere, and a load
// ends early enough.
func (q *request) mayWait(why errkind.Kind) bool {
	load := q.loadTime()
	if why != errkind.ModelNotResident || load == 0 || len(q.tried) > 0 {
		return false
	}
	until := q.arrived.Add(load + loadMargin)
	return time.Now().Before(until) && until.Before(q.end.Add(-load/4))
}

// again decides whether the request is sent to another server after r.
func (q *request) again(ctx context.Context, r result) bool {
	if ctx.Err() != nil {
		return false
	}
	if r.unsent {
		q.unsent++
		return q.unsent < refusedSends
	}
	if r.notRun {
		if len(q.tried)-q.runs >= refusedSends {
			return false
		}
	} else if !q.route.Repeatable() || q.runs >= q.route.MaxAttempts {
		return false
	}
	return q.reserveRetry()
}

// reserveRetry takes one more attempt from the retry budget, and from the organisation's limit if the request may run
// once more. What was reserved before and not used counts.
func (q *request) reserveRetry() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reserved {
		return true
	}
	_, gateways := q.server.opts.Gateways()
	if !q.server.budget(q.service).Retry(q.server.opts.Clock(), gateways) {
		return false
	}
	q.reserved = true
	return true
}

// ran counts an attempt that may have run. Each run counts in the organisation's limit.
func (q *request) ran() {
	q.runs++
	if q.runs > 1 && q.org != nil && q.charged > 0 {
		q.server.opts.Limits.Again(q.org, q.charged)
	}
}

// final returns the error that the caller is told, given how the last attempt ended.
func (q *request) final(ctx context.Context, err error) error {
	switch {
	case q.http.Context().Err() != nil:
		return errkind.Wrap(errkind.CallerCancelled, err, "the caller left")
	case q.runs == 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.Wrap(errkind.NoCandidate, err, "not sent before the deadline")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineExceeded, err, "no whole answer before the deadline")
	case q.runs > 0 && errkind.Of(err).NotRun():
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

// lockedBudget guards a budget with the server's lock.
type lockedBudget struct {
	server *Server
	budget *retrybudget.Budget
}

func (l *lockedBudget) Request(now time.Duration) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.budget.Request(now)
}

func (l *lockedBudget) Retry(now time.Duration, gateways int) bool {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	return l.budget.Retry(now, gateways)
}

func (q *request) logChoice(c *dispatch.Candidate, candidates int) {
	q.server.opts.Log.LogAttrs(q.http.Context(), slog.LevelInfo, "server chosen",
		slog.String("request_id", q.caller.ID), slog.String("server", c.ID), slog.Int("candidates", candidates),
		slog.Duration("predicted", c.Predicted()), slog.Int("in_flight", c.InFlight), slog.Float64("ahead", c.QueuedTokens),
		slog.Float64("uncached", c.UncachedTokens), slog.Float64("slowness", c.Slowness), slog.Float64("penalty_ms", c.PenaltyMS),
		slog.Bool("adapter_missing", c.AdapterMissing), slog.Float64("turn_ms", c.TurnWaitMS))
}

// statusOK reports whether a status is a success.
func statusOK(status int) bool { return status >= http.StatusOK && status < http.StatusMultipleChoices }
