package fleetgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/upstream"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// maxBufferedBytes bounds a response that is read completely before it is relayed. Longer ones are relayed as
	// they arrive.
	maxBufferedBytes = 256 << 10
	// discardTimeout bounds the time to read a body that is not relayed. The request is sent to another server, or the caller
	// gets its answer, only after that.
	discardTimeout = 50 * time.Millisecond
	// A request that may be repeated waits for a server that sends nothing for silenceTimeoutFactor times the
	// predicted time, and at least for minSilenceTimeout and half of the route's Target, before it is sent to another
	// server.
	silenceTimeoutFactor = 4
	minSilenceTimeout    = 350 * time.Millisecond
	// gapTimeoutFactor times the route's GapTarget, the longest pause between events that is still on time, is how
	// long a resumable stream waits for its next event.
	gapTimeoutFactor = 2
	// minGapTimeout is the lower bound of that wait, and the wait itself if the route has no GapTarget.
	minGapTimeout = time.Second
)

// errServerSilent is the cause of an attempt that was cancelled because the server sent nothing for too long.
var errServerSilent = errors.New("the server sent nothing for too long")

// sendTo sends the request to one server and relays the response.
func (q *request) sendTo(ctx context.Context, c *fleetroute.Candidate, replica *fleet.Replica) result {
	s := q.server
	q.tried[c.ID] = true
	if c.AdapterMissing {
		if err := s.opts.Agents.EnsureAdapter(ctx, replica, q.caller.ID, q.model, q.caller.Adapter); err != nil {
			s.opts.Log.Warn("adapter not loaded; nothing was sent to the server",
				"request_id", q.caller.ID, "server", c.ID, "model", q.modelKey, "error", err)
			delete(q.tried, c.ID) // nothing was sent, and the adapter may be loaded there later
			s.excluded.add(c.ID, anyAdapter, s.opts.Clock())
			return result{kind: errkind.ModelNotResident, notRun: true, unsent: true, err: err}
		}
	}
	if c.AdapterMissing && !q.mayStillSend(replica) {
		return q.withdrawn(c)
	}
	s.countColdRequest(c.ID)
	attempt := s.opts.Table.Begin(c, s.opts.Clock(), q.model, q.service, q.prompt)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	runs := q.runs + 1 // including this attempt
	timer := newWatchdog(q.silenceTimeout(c), func() bool { return s.stalled(replica) },
		func() bool { return q.canFailOver(ctx, runs) },
		func() { cancel(errServerSilent) })
	defer timer.Stop()
	resp, err := s.opts.Pool.Do(attemptCtx, q.upstream(c, replica))
	if err != nil {
		notSent := errors.Is(err, upstream.ErrNotSent)
		attempt.Done(s.opts.Clock(), q.http.Context().Err() == nil && !errors.Is(err, upstream.ErrWithdrawn))
		if errors.Is(err, upstream.ErrWithdrawn) {
			return q.withdrawn(c)
		}
		if notSent {
			return q.attemptFailed(c, errkind.BackendUnreachable, true, err)
		}
		q.countRun()
		return q.attemptFailed(c, errkind.OutcomeUnknown, false, errors.Join(err, context.Cause(attemptCtx)))
	}
	defer resp.Close()
	answer := platform.ParseResponse(resp.Status, resp.Header)
	if answer.NotRun {
		attempt.Done(s.opts.Clock(), false)
		q.discardBody(resp)
		return q.notRun(c, replica, resp, answer)
	}
	q.countRun()
	r := q.relay(ctx, resp, answer, attempt, timer, c)
	attempt.Done(s.opts.Clock(), r.kind != errkind.None && q.http.Context().Err() == nil && ctx.Err() == nil)
	if r.kind != errkind.None {
		return q.attemptFailed(c, r.kind, false, errors.Join(r.err, context.Cause(attemptCtx)))
	}
	return r
}

// withdrawn returns the result of an attempt that ended before anything was sent, because mayStillSend returned false.
func (q *request) withdrawn(c *fleetroute.Candidate) result {
	q.server.opts.Log.Info("request not sent to the chosen server", "request_id", q.caller.ID, "server", c.ID,
		"time_left", q.timeLeft(), "error", errChanged)
	delete(q.tried, c.ID)
	return result{kind: errkind.NoCandidate, notRun: true, unsent: true,
		err: errkind.Wrap(errkind.NoCandidate, errChanged, "server %s", c.ID)}
}

// stalled reports whether a server sends nothing for any request and its host does not report either.
func (s *Server) stalled(r *fleet.Replica) bool {
	now := s.opts.Clock()
	_, reporting := s.opts.Agents.Report(r, now)
	return !reporting && s.opts.Table.Stalled(r.ID, now)
}

// canFailOver reports whether the request could be sent to another server now, after the given number of runs. If
// so, the retry budget has been charged for the next attempt. Silence alone does not end an attempt, because the
// server may still respond in time.
func (q *request) canFailOver(ctx context.Context, runs int) bool {
	if ctx.Err() != nil || !q.route.Repeatable() || runs >= q.route.MaxAttempts {
		return false
	}
	list, _, _ := q.candidates(q.server.opts.Clock())
	at := fleetroute.Choose(list, q.server.opts.DataCentre)
	if at < 0 || list[at].Predicted() > time.Duration(maxDeadlineShare*float64(q.timeLeft())) {
		return false
	}
	return q.reserveRetry()
}

// silenceTimeout returns how long the request waits for a server that sends nothing.
func (q *request) silenceTimeout(c *fleetroute.Candidate) time.Duration {
	return max(minSilenceTimeout, silenceTimeoutFactor*c.Predicted(), q.route.Target/2)
}

func (q *request) upstream(c *fleetroute.Candidate, replica *fleet.Replica) upstream.Request {
	organisation := ""
	if q.org != nil {
		organisation = q.org.Name
	}
	return upstream.Request{
		Server: c.ID, Address: replica.Address, Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host,
		Header: platform.ForwardHeader(q.http.Header, platform.Forwarded{
			Replica: c.ID, Organisation: organisation, Remaining: q.timeLeft(),
			Priority: fleet.PriorityOf(q.route, q.org), LastEvent: q.lastEvent,
		}),
		Body: q.body,
		Matches: func(status int, h http.Header) bool {
			id := platform.ParseResponse(status, h).RequestID
			return id == "" || id == q.caller.ID
		},
		MayStillSend: func() bool { return q.mayStillSend(replica) },
	}
}

func (q *request) attemptFailed(c *fleetroute.Candidate, kind errkind.Kind, notRun bool, err error) result {
	q.server.opts.Log.Warn("attempt failed", "request_id", q.caller.ID, "server", c.ID, "outcome", kind.String(),
		"not_run", notRun, "last_event", q.lastEvent, "error", err)
	return result{kind: kind, notRun: notRun, err: errkind.Wrap(kind, err, "server %s", c.ID)}
}

// notRun interprets the response of a server that did not run the request.
func (q *request) notRun(c *fleetroute.Candidate, replica *fleet.Replica, resp *upstream.Response,
	answer platform.Response) result {
	s := q.server
	kind := errkind.Overloaded
	if resp.Status == http.StatusMisdirectedRequest {
		kind = errkind.ModelNotResident
		if answer.Instance != "" && answer.Instance != c.ID {
			kind = errkind.BackendUnreachable // another server has the address
			s.excluded.markReplaced(replica, s.opts.Clock())
		} else if q.model != "" {
			s.excluded.add(c.ID, q.model, s.opts.Clock())
			s.excluded.add(c.ID, q.modelKey, s.opts.Clock())
		}
	}
	s.opts.Log.Warn("server did not run the request", "request_id", q.caller.ID, "server", c.ID, "status", resp.Status,
		"instance", answer.Instance, "outcome", kind.String())
	return result{kind: kind, notRun: true,
		err: errkind.New(kind, "server %s responded with status %d and did not run the request",
			c.ID, resp.Status)}
}

// discardBody reads a short body, so that the connection can be reused.
func (q *request) discardBody(resp *upstream.Response) {
	if err := resp.Discard(maxBufferedBytes, discardTimeout); err != nil {
		q.server.opts.Log.Debug("response body not read; the connection is closed", "request_id", q.caller.ID, "error", err)
	}
}

// relay relays a server's response to the caller.
func (q *request) relay(ctx context.Context, resp *upstream.Response, answer platform.Response, attempt *fleetroute.Attempt,
	timer *watchdog, c *fleetroute.Candidate) result {
	switch {
	case statusOK(resp.Status) && !answer.Signed:
		return result{kind: errkind.ProtocolError, err: errors.New("successful response without a signature")}
	case resp.Header.Get("Content-Encoding") != "":
		return result{kind: errkind.ProtocolError,
			err: errors.New("the response has a content encoding, which servers do not use")}
	case resp.Status >= http.StatusInternalServerError && !q.headSent && q.couldRepeat(ctx):
		q.discardBody(resp)
		return result{kind: errkind.BackendFailed, err: fmt.Errorf("status %d", resp.Status)}
	case q.headSent && !statusOK(resp.Status):
		return result{kind: errkind.BackendFailed, err: fmt.Errorf("status %d when resuming the stream", resp.Status)}
	case q.route.Repeat == fleet.Stream && statusOK(resp.Status):
		return q.relayStream(resp, attempt, timer)
	}
	return q.relayBuffered(resp, attempt, timer)
}

// couldRepeat reports whether the request may be repeated, so that a server's failure need not be returned to the
// caller.
func (q *request) couldRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && q.route.Repeatable() && q.runs < q.route.MaxAttempts
}

// relayBuffered reads a response before it relays it, so that an incomplete one can be retried or reported. Only the
// first maxBufferedBytes of a longer response are read in advance.
func (q *request) relayBuffered(resp *upstream.Response, attempt *fleetroute.Attempt, timer *watchdog) result {
	body, err := io.ReadAll(io.LimitReader(resp, maxBufferedBytes))
	if err != nil {
		return result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("the response broke off: %w", err)}
	}
	timer.Stop()
	attempt.RecordProgress(q.server.opts.Clock())
	q.firstEvent = time.Since(q.arrived)
	q.sendHead(resp.Status, resp.Header)
	if _, err := q.writer.Write(body); err != nil {
		return result{kind: errkind.CallerCancelled, err: err}
	}
	if len(body) < maxBufferedBytes {
		return result{}
	}
	if _, err := io.Copy(q.writer, resp); err != nil {
		return result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("the response broke off: %w", err)}
	}
	return result{}
}

// relayStream relays complete events as they arrive.
func (q *request) relayStream(resp *upstream.Response, attempt *fleetroute.Attempt, timer *watchdog) result {
	events := newEventReader(resp)
	var lastEventAt time.Time
	flush := http.NewResponseController(q.writer)
	for {
		event, err := events.next()
		switch {
		case err == io.EOF && !q.headSent:
			return result{kind: errkind.ProtocolError, err: errors.New("the stream ended without an event")}
		case err == io.EOF:
			return result{}
		case err != nil:
			return result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("the stream broke off: %w", err)}
		}
		if event.hasData {
			now := time.Now()
			if !lastEventAt.IsZero() {
				q.longestGap = max(q.longestGap, now.Sub(lastEventAt))
			}
			lastEventAt = now
			attempt.RecordProgress(q.server.opts.Clock())
			timer.Reset(max(minGapTimeout, gapTimeoutFactor*q.route.MaxEventGap))
		}
		if event.id != "" && !eventIDAfter(event.id, q.lastEvent) {
			continue // the caller got it from an earlier attempt
		}
		if !q.headSent {
			q.firstEvent = time.Since(q.arrived)
			q.sendHead(resp.Status, resp.Header)
		}
		if _, err := q.writer.Write(event.raw); err != nil {
			return result{kind: errkind.CallerCancelled, err: err}
		}
		if err := flush.Flush(); err != nil {
			return result{kind: errkind.CallerCancelled, err: err}
		}
		if event.id != "" {
			q.lastEvent = event.id
		}
	}
}
