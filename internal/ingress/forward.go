package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/dispatch"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/upstream"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// maxBuffered bounds an answer that is read whole before it is passed on. Longer ones are passed on as they come.
	maxBuffered = 256 << 10
	// patienceFactor times the predicted time, and at least leastPatience, is how long a request that may be repeated
	// waits at a silent server before it goes to another one.
	patienceFactor = 4
	leastPatience  = 350 * time.Millisecond
	// gapFactor times the longest pause that is on time is how long a resumable stream waits for its next event.
	gapFactor = 2
	// leastGap bounds that wait if the route names no pause.
	leastGap = time.Second
)

// errSlow says that an attempt was given up because the server was silent.
var errSlow = errors.New("the server was silent for too long")

// try sends the request to one server and passes its answer on.
func (q *request) try(ctx context.Context, c *dispatch.Candidate, replica *fleet.Replica) result {
	s := q.server
	q.tried[c.ID] = true
	if c.AdapterMissing {
		if err := s.opts.Agents.EnsureAdapter(ctx, replica, q.caller.ID, q.model, q.caller.Adapter); err != nil {
			s.opts.Log.Warn("adapter not loaded", "request_id", q.caller.ID, "server", c.ID, "model", q.modelKey, "error", err)
			delete(q.tried, c.ID) // nothing was sent, and the adapter may be loaded there later
			s.absent.note(c.ID, anyAdapter, s.opts.Clock())
			return result{kind: errkind.ModelNotResident, notRun: true, unsent: true, err: err}
		}
	}
	s.spendCold(c.ID)
	ticket := s.opts.Table.Begin(c, s.opts.Clock(), q.model, q.service, q.prompt)
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	runs := q.runs + 1 // with this attempt
	timer := newWatchdog(q.patience(c), func() bool { return s.stalled(replica) }, func() bool { return q.mayMove(ctx, runs) },
		func() { cancel(errSlow) })
	defer timer.Stop()
	resp, err := s.opts.Pool.Do(attempt, q.upstream(c, replica))
	if err != nil {
		notSent := errors.Is(err, upstream.ErrNotSent)
		ticket.Done(s.opts.Clock(), q.http.Context().Err() == nil)
		if notSent {
			return q.attemptFailed(c, errkind.BackendUnreachable, true, err)
		}
		q.ran()
		return q.attemptFailed(c, errkind.OutcomeUnknown, false, errors.Join(err, context.Cause(attempt)))
	}
	defer resp.Close()
	answer := platform.ReadAnswer(resp.Status, resp.Header)
	if answer.NotRun {
		ticket.Done(s.opts.Clock(), false)
		q.drain(resp)
		return q.notRun(c, replica, resp, answer)
	}
	q.ran()
	r := q.relay(ctx, resp, answer, ticket, timer, c)
	ticket.Done(s.opts.Clock(), r.kind != errkind.None && q.http.Context().Err() == nil && ctx.Err() == nil)
	if r.kind != errkind.None {
		return q.attemptFailed(c, r.kind, false, errors.Join(r.err, context.Cause(attempt)))
	}
	return r
}

// stalled reports whether a server sends nothing for any request and its host does not report either.
func (s *Server) stalled(r *fleet.Replica) bool {
	now := s.opts.Clock()
	_, reporting := s.opts.Agents.Status(r, now)
	return !reporting && s.opts.Table.Stalled(r.ID, now)
}

// mayMove reports whether the request could go on at another server now, after as many runs. Silence alone ends no attempt: the server may
// still answer in time.
func (q *request) mayMove(ctx context.Context, runs int) bool {
	if ctx.Err() != nil || !q.route.Repeatable() || runs >= q.route.MaxAttempts {
		return false
	}
	list, _, _ := q.candidates(q.server.opts.Clock())
	at := dispatch.Choose(list, q.server.opts.DataCentre)
	if at < 0 || list[at].Predicted() > time.Duration(deadlineShare*float64(time.Until(q.end))) {
		return false
	}
	return q.reserveRetry()
}

// patience returns how long the request waits at a silent server.
func (q *request) patience(c *dispatch.Candidate) time.Duration {
	return max(leastPatience, patienceFactor*c.Predicted(), q.route.Target/2)
}

func (q *request) upstream(c *dispatch.Candidate, replica *fleet.Replica) upstream.Request {
	organisation := ""
	if q.org != nil {
		organisation = q.org.Name
	}
	return upstream.Request{
		Server: c.ID, Address: replica.Address, Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host,
		Header: platform.ForwardHeader(q.http.Header, platform.Forwarded{
			Replica: c.ID, Organisation: organisation, Remaining: time.Until(q.end),
			Priority: fleet.UrgencyOf(q.route, q.org), LastEvent: q.lastEvent,
		}),
		Body: q.body,
		Belongs: func(status int, h http.Header) bool {
			id := platform.ReadAnswer(status, h).RequestID
			return id == "" || id == q.caller.ID
		},
	}
}

func (q *request) attemptFailed(c *dispatch.Candidate, kind errkind.Kind, notRun bool, err error) result {
	q.server.opts.Log.Warn("attempt failed", "request_id", q.caller.ID, "server", c.ID, "outcome", kind.String(),
		"not_run", notRun, "last_event", q.lastEvent, "error", err)
	return result{kind: kind, notRun: notRun, err: errkind.Wrap(kind, err, "server %s", c.ID)}
}

// notRun interprets the answer of a server that did not run the request.
func (q *request) notRun(c *dispatch.Candidate, replica *fleet.Replica, resp *upstream.Response, answer platform.Answer) result {
	s := q.server
	kind := errkind.Overloaded
	if resp.Status == http.StatusMisdirectedRequest {
		kind = errkind.ModelNotResident
		if answer.Instance != "" && answer.Instance != c.ID {
			kind = errkind.BackendUnreachable // another server has the address
			s.absent.noteReplaced(replica, s.opts.Clock())
		} else if q.model != "" {
			s.absent.note(c.ID, q.model, s.opts.Clock())
			s.absent.note(c.ID, q.modelKey, s.opts.Clock())
		}
	}
	s.opts.Log.Warn("server did not run the request", "request_id", q.caller.ID, "server", c.ID, "status", resp.Status,
		"instance", answer.Instance, "outcome", kind.String())
	return result{kind: kind, notRun: true, err: errkind.New(kind, "server %s answered status %d, not run", c.ID, resp.Status)}
}

// drain reads a short body, so that the connection can be kept.
func (q *request) drain(resp *upstream.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp, maxBuffered)); err != nil {
		q.server.opts.Log.Debug("body of a refusal not read", "request_id", q.caller.ID, "error", err)
	}
}

// relay passes a server's answer on.
func (q *request) relay(ctx context.Context, resp *upstream.Response, answer platform.Answer, ticket *dispatch.Attempt,
	timer *watchdog, c *dispatch.Candidate) result {
	switch {
	case statusOK(resp.Status) && !answer.Signed:
		return result{kind: errkind.ProtocolError, err: errors.New("a success without a signature")}
	case resp.Header.Get("Content-Encoding") != "":
		return result{kind: errkind.ProtocolError, err: errors.New("the body has an encoding, so it is not the server's")}
	case resp.Status >= http.StatusInternalServerError && !q.started && q.couldRepeat(ctx):
		q.drain(resp)
		return result{kind: errkind.BackendFailed, err: fmt.Errorf("status %d", resp.Status)}
	case q.started && !statusOK(resp.Status):
		return result{kind: errkind.BackendFailed, err: fmt.Errorf("status %d on resuming", resp.Status)}
	case q.route.Repeat == fleet.Stream && statusOK(resp.Status):
		return q.relayStream(resp, ticket, timer)
	}
	return q.relayWhole(resp, ticket, timer)
}

// couldRepeat reports whether a failure of the server need not be the caller's answer.
func (q *request) couldRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && q.route.Repeatable() && q.runs < q.route.MaxAttempts
}

// relayWhole reads an answer before it passes it on, so that one that breaks off can be repeated or reported.
func (q *request) relayWhole(resp *upstream.Response, ticket *dispatch.Attempt, timer *watchdog) result {
	body, err := io.ReadAll(io.LimitReader(resp, maxBuffered))
	if err != nil {
		return result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("the answer broke off: %w", err)}
	}
	timer.Stop()
	ticket.RecordProgress(q.server.opts.Clock())
	q.first = time.Since(q.arrived)
	q.sendHead(resp.Status, resp.Header)
	if _, err := q.writer.Write(body); err != nil {
		return result{kind: errkind.CallerCancelled, err: err}
	}
	if len(body) < maxBuffered {
		return result{}
	}
	if _, err := io.Copy(q.writer, resp); err != nil {
		return result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("the answer broke off: %w", err)}
	}
	return result{}
}

// relayStream passes whole events on as they arrive.
func (q *request) relayStream(resp *upstream.Response, ticket *dispatch.Attempt, timer *watchdog) result {
	events := newEventReader(resp)
	var last time.Time // of the last event
	flush := http.NewResponseController(q.writer)
	for {
		event, err := events.next()
		switch {
		case err == io.EOF && !q.started:
			return result{kind: errkind.ProtocolError, err: errors.New("a stream without events")}
		case err == io.EOF:
			return result{}
		case err != nil:
			return result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("the stream broke off: %w", err)}
		}
		now := time.Now()
		if !last.IsZero() {
			q.gap = max(q.gap, now.Sub(last))
		}
		last = now
		ticket.RecordProgress(q.server.opts.Clock())
		timer.Reset(max(leastGap, gapFactor*q.route.GapTarget))
		if event.id != "" && !after(event.id, q.lastEvent) {
			continue // the caller has it from an earlier attempt
		}
		if !q.started {
			q.first = time.Since(q.arrived)
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
