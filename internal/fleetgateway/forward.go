package fleetgateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/failover"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/upstream"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// maxBufferedBytes bounds a response that is read completely before it is relayed. Longer ones are relayed as
	// they arrive.
	maxBufferedBytes = 256 << 10
	// restTimeout bounds the time to read the body of a rejection or failure. The request is sent to another server, or the caller
	// gets its answer, only after that.
	restTimeout = 50 * time.Millisecond
	// A request that may be repeated is sent to another server, too, if its server sends nothing for silenceTimeoutFactor times
	// the predicted time, and at least for minSilenceTimeout and half of the route's Target.
	silenceTimeoutFactor = 4
	minSilenceTimeout    = 350 * time.Millisecond
	// gapTimeoutFactor times the route's MaxEventGap, the longest pause between events that is still on time, is how
	// long a resumable stream waits for its next event.
	gapTimeoutFactor = 2
	// minGapTimeout is the lower bound of that wait, and the wait itself if the route has no MaxEventGap.
	minGapTimeout = time.Second
)

var (
	// errReplaced is the cause of an attempt that was cancelled because another server's response advanced the answer.
	errReplaced = errors.New("another server's response came first")
	// errEnded is the cause of an attempt that was cancelled because the request ended.
	errEnded = errors.New("the request ended")
)

// begin sends the request to one server. ok is false if nothing was sent, which r describes; the preparations end with prepare,
// the attempt with ctx.
func (q *request) begin(ctx, prepare context.Context, c *fleetroute.Candidate, replica *fleet.Replica) (r result, ok bool) {
	s := q.server
	number := q.begun
	q.begun++
	q.tried[c.ID] = true
	if c.AdapterMissing {
		err := s.opts.Agents.EnsureAdapter(prepare, replica, q.caller.ID, q.model, q.caller.Adapter)
		if prepare.Err() != nil {
			delete(q.tried, c.ID)
			return result{server: c.ID, kind: errkind.ModelNotResident, notRun: true, unsent: true,
				err: errkind.Wrap(errkind.ModelNotResident, prepare.Err(), "the adapter was not loaded in time")}, false
		}
		if err != nil {
			s.opts.Log.Warn("adapter not loaded; nothing was sent to the server",
				"request_id", q.caller.ID, "server", c.ID, "model", q.modelKey, "error", err)
			delete(q.tried, c.ID) // nothing was sent, and the adapter may be loaded there later
			s.excluded.add(c.ID, anyAdapter, s.opts.Clock())
			q.race.End(number, failover.Unsent)
			return result{kind: errkind.ModelNotResident, notRun: true, unsent: true, err: err}, false
		}
	}
	if c.AdapterMissing && !q.mayStillSend(q.config, replica) {
		q.race.End(number, failover.Unsent)
		return q.withdrawn(c), false
	}
	q.retryReserved = false
	s.countColdRequest(c.ID)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	timeout, silentAt := q.attemptTimeout(c)
	q.race.Begin(number, q.elapsed(), timeout)
	a := &attempt{
		number: number, silentAt: silentAt, candidate: c, replica: replica, server: s.incarnation(replica), begunAt: s.opts.Clock(), cancel: cancel, stream: q.route.Repeat == fleet.Stream,
		lastRun: q.race.LastRun(), buffer: s.opts.Answers.Lease(0), load: s.opts.Table.Begin(c, s.opts.Clock(), q.model, q.service, q.prompt),
	}
	q.live[number] = a
	request := q.upstream(a)
	q.exchanges.Go(func() { q.exchange(attemptCtx, a, request) })
	return result{}, true
}

// withdrawn returns the result of an attempt that ended before anything was sent, because mayStillSend returned false.
func (q *request) withdrawn(c *fleetroute.Candidate) result {
	q.server.opts.Log.Info("request not sent to the chosen server", "request_id", q.caller.ID, "server", c.ID,
		"time_left", q.timeLeft(), "error", errChanged)
	delete(q.tried, c.ID)
	return result{server: c.ID, kind: errkind.NoCandidate, notRun: true, unsent: true,
		err: errkind.Wrap(errkind.NoCandidate, errChanged, "server %s", c.ID)}
}

// elapsed returns the time since the request arrived, on the clock of q.race.
func (q *request) elapsed() time.Duration { return time.Since(q.arrived) }

// silenceTimeout returns how long the request waits for a server that sends nothing.
func (q *request) silenceTimeout(c *fleetroute.Candidate) time.Duration {
	return max(minSilenceTimeout, silenceTimeoutFactor*c.Predicted(), q.route.Target/2)
}

func (q *request) gapTimeout() time.Duration {
	return max(minGapTimeout, gapTimeoutFactor*q.route.MaxEventGap)
}

// maxEventInterval returns the longest pause between two events of a server that is not slow.
func (q *request) maxEventInterval() time.Duration {
	if q.route.MaxEventGap > 0 {
		return q.route.MaxEventGap
	}
	return minGapTimeout / gapTimeoutFactor
}

func (q *request) upstream(a *attempt) upstream.Request {
	organisation := ""
	if q.org != nil {
		organisation = q.org.Name
	}
	config, id, server := q.config, q.caller.ID, a.server
	return upstream.Request{
		Server: a.candidate.ID, Address: a.replica.Address, Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host,
		Header: platform.ForwardHeader(q.http.Header, platform.Forwarded{
			Replica: a.candidate.ID, Organisation: organisation, Remaining: q.timeLeft(),
			Priority: fleet.PriorityOf(q.route, q.org), LastEvent: q.lastEvent,
		}),
		Body: q.body,
		Matches: func(status int, h http.Header) bool {
			answered := platform.ParseResponse(status, h).RequestID
			return answered == "" || answered == id
		},
		OnHead:       func(status int, h http.Header) { q.server.observeSigns(id, server, platform.ParseResponse(status, h)) },
		MayStillSend: func() bool { return q.mayStillSend(config, a.replica) && a.allowSending() },
	}
}

// await relays the response of the live attempts to the caller. It returns when the response is complete or all attempts have
// ended, with the result of the last one.
func (q *request) await(ctx context.Context) result {
	check := time.NewTimer(q.race.NextCheck(q.elapsed()))
	defer check.Stop()
	for {
		select {
		case m := <-q.messages:
			if r, done := q.receive(m); done {
				return r
			}
		case <-check.C:
			q.replaceSilent(ctx)
		case <-ctx.Done():
			select {
			case m := <-q.messages: // it arrived before
				if r, done := q.receive(m); done {
					return r
				}
			default:
			}
			return q.abandon(ctx)
		}
		check.Reset(q.race.NextCheck(q.elapsed()))
	}
}

// replaceSilent sends the request to another server, too, if the servers of the live attempts have been silent for too long and
// another one can take it. A message of a live attempt makes that unnecessary.
func (q *request) replaceSilent(ctx context.Context) {
	if !q.race.Replace(q.elapsed(), q.allStalled()) {
		return
	}
	hedge := q.isHedge()
	switch {
	case hedge && !q.canHedge(ctx):
		q.race.Extend(q.elapsed(), q.silentAt()-q.elapsed())
		return
	case !hedge && !q.canFailOver(ctx):
		return
	}
	second := q.sendBeside(ctx)
	if hedge {
		q.hedged(second)
	}
}

// sendBeside sends the request to another server, too, and returns the attempt, or nil if it could not begin.
func (q *request) sendBeside(ctx context.Context) *attempt {
	prepare, cancel := context.WithCancel(ctx)
	defer cancel()
	q.interrupt.Store(&cancel)
	defer q.interrupt.Store(nil)
	if len(q.messages) > 0 {
		return nil
	}
	choice, replica, err := q.choose(prepare)
	if prepare.Err() != nil {
		return nil
	}
	if err == nil {
		var r result
		var ok bool
		if r, ok = q.begin(ctx, prepare, choice, replica); ok {
			return q.live[q.begun-1]
		}
		err = r.err
	}
	q.race.ReplacementFailed(q.elapsed())
	q.server.opts.Log.Info("no other server takes the request of a silent one; still waiting", "request_id", q.caller.ID, "error", err)
	return nil
}

// canFailOver reports whether the request could be sent to another server now, beside the attempts that have not ended. If so, the
// retry budget has been charged for the next attempt.
func (q *request) canFailOver(ctx context.Context) bool {
	if ctx.Err() != nil || !q.canContinue() || !q.mayExposeAnother() {
		return false
	}
	list, _, _ := q.candidates(q.server.opts.Clock())
	at := fleetroute.Choose(list, q.server.opts.DataCentre)
	if at < 0 || list[at].Predicted() > time.Duration(maxDeadlineShare*float64(q.timeLeft())) {
		return false
	}
	return q.reserveRetry()
}

// allStalled reports whether the servers of all live attempts send nothing for any request and their hosts do not report either.
func (q *request) allStalled() bool {
	now := q.server.opts.Clock()
	for _, a := range q.live {
		_, reporting := q.server.opts.Agents.Report(a.replica, now)
		if reporting || !q.server.opts.Table.Stalled(a.replica.ID, now) {
			return false
		}
	}
	return true
}

// end removes an attempt that ended with r. failed says that its server is to be avoided. The result is r, and whether no other
// attempt is live.
func (q *request) end(a *attempt, r result, failed bool) (result, bool) {
	a.load.Done(q.server.opts.Clock(), failed)
	a.cancel(errEnded)
	delete(q.live, a.number)
	switch {
	case r.unsent:
		q.race.End(a.number, failover.Unsent)
	case r.notRun:
		q.race.End(a.number, failover.NotRun)
	default:
		q.race.End(a.number, failover.MayHaveRun)
		if q.race.Runs() > 1 && q.org != nil && q.charged > 0 {
			q.server.opts.Limits.ChargeAgain(q.org, q.charged)
		}
	}
	return r, len(q.live) == 0
}

// fail ends an attempt whose server did not answer the request.
func (q *request) fail(a *attempt, kind errkind.Kind, notRun bool, err error) (result, bool) {
	log := q.server.opts.Log
	if brokeOff(kind, notRun, err) {
		log = log.With(q.promptAttrs()...).With("answer_begun", a.responded.Load())
		q.server.observeBreak(a, q.exposure)
	}
	if notRun {
		q.server.observeRefusedConnection(a, err)
	}
	log.Warn("attempt failed", "request_id", q.caller.ID, "server", a.candidate.ID, "outcome", kind.String(),
		"not_run", notRun, "last_event", q.lastEvent, "error", err, "others", len(q.live)-1)
	r := result{server: a.candidate.ID, kind: kind, notRun: notRun, err: errkind.Wrap(kind, err, "server %s", a.candidate.ID)}
	return q.end(a, r, q.http.Context().Err() == nil)
}

// cancel ends an attempt that is not needed any longer. failed says that its server is to be avoided.
func (q *request) cancel(a *attempt, cause error, failed bool) result {
	a.cancel(cause)
	r := result{server: a.candidate.ID, kind: errkind.OutcomeUnknown}
	if a.forbidSending() {
		r.kind, r.notRun = errkind.BackendUnreachable, true
	}
	q.server.opts.Log.Info("attempt cancelled", "request_id", q.caller.ID, "server", a.candidate.ID, "not_run", r.notRun,
		"last_event", q.lastEvent, "error", cause)
	r.err = errkind.Wrap(r.kind, cause, "server %s", a.candidate.ID)
	r, _ = q.end(a, r, failed)
	return r
}

// abandon ends all live attempts because ctx has ended, and returns the result of one that may have run, if there is one.
func (q *request) abandon(ctx context.Context) result {
	r := result{kind: errkind.NoCandidate, notRun: true, err: context.Cause(ctx)}
	for _, a := range q.live {
		silent := q.http.Context().Err() == nil && !a.responded.Load()
		if one := q.cancel(a, fmt.Errorf("no complete response in time: %w", context.Cause(ctx)), silent); r.notRun {
			r = one
		}
	}
	return r
}

// endAttempts ends the attempts that are left, waits for their goroutines and returns an unused retry to the budget.
func (q *request) endAttempts() {
	if q.retryReserved {
		q.server.budget(q.reservedAt).ReturnRetry(q.server.opts.Clock())
	}
	for _, a := range q.live {
		q.cancel(a, errEnded, false)
	}
	q.exchanges.Wait()
}
