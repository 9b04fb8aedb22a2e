package fleetgateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// receive handles a message of an attempt. The result is that of the request's last attempt if done is set: the response is
// complete, the caller cannot be reached, or no attempt is left.
func (q *request) receive(m message) (r result, done bool) {
	a := m.attempt
	if q.live[a.number] != a {
		return result{}, false // it was cancelled meanwhile
	}
	failed := m.ended && m.result.kind != errkind.None
	switch {
	case failed && m.result.unsent:
		return q.end(a, q.withdrawn(a.candidate), false)
	case failed && m.result.notRun && m.status != 0:
		return q.rejected(a, m)
	case failed:
		q.keepFailure(m)
		return q.fail(a, m.result.kind, m.result.notRun, m.result.err)
	case a != q.answering && q.headSent && !statusOK(m.status):
		return q.fail(a, errkind.BackendFailed, false, fmt.Errorf("status %d when resuming the stream", m.status))
	case a != q.answering && len(q.live) > 1 && !statusOK(m.status):
		q.keepFailure(m)
		return q.fail(a, errkind.BackendFailed, false, fmt.Errorf("status %d", m.status))
	case m.ended && a.stream && statusOK(m.status) && (!q.headSent || a != q.answering && len(q.live) > 1):
		return q.fail(a, errkind.ProtocolError, false, errNoEvent)
	}
	if err := q.relay(a, m); err != nil {
		r, _ = q.fail(a, errkind.CallerCancelled, false, err)
		return r, true
	}
	if !m.ended {
		return result{}, false
	}
	q.replace(a, q.race.Answer(a.number))
	return q.end(a, result{server: a.candidate.ID}, false)
}

// rejected ends an attempt whose server did not run the request.
func (q *request) rejected(a *attempt, m message) (result, bool) {
	s, id := q.server, a.candidate.ID
	kind := errkind.Overloaded
	if m.status == http.StatusMisdirectedRequest {
		kind = errkind.ModelNotResident
		if m.instance != "" && m.instance != id {
			kind = errkind.BackendUnreachable // another server has the address
			s.excluded.markReplaced(a.replica, s.opts.Clock())
		} else if q.model != "" {
			s.excluded.add(id, q.model, s.opts.Clock())
			s.excluded.add(id, q.modelKey, s.opts.Clock())
		}
	}
	s.opts.Log.Warn("server did not run the request", "request_id", q.caller.ID, "server", id, "status", m.status,
		"instance", m.instance, "outcome", kind.String())
	return q.end(a, result{server: id, kind: kind, notRun: true,
		err: errkind.New(kind, "server %s responded with status %d and did not run the request", id, m.status)}, false)
}

// replace cancels attempts in favour of a. The server of one that was only late, not silent, is not avoided for it.
func (q *request) replace(a *attempt, replaced []int) {
	for _, number := range replaced {
		earlier := q.live[number]
		late := number < a.number && q.hedge == a && q.elapsed() < earlier.silentAt
		if late {
			q.server.opts.Metrics.hedges.Add("answered_first", 1)
			earlier.load.RecordReplaced(q.server.opts.Clock())
		}
		q.cancel(earlier, errReplaced, number < a.number && !late)
	}
}

// keepFailure keeps the whole response of a server that failed or refused, in case that no other server answers the request.
func (q *request) keepFailure(m message) {
	if m.ended && m.status != 0 && !statusOK(m.status) && m.body != nil && q.failure == nil {
		q.failure = &m
	}
}

// giveUp ends the request: with the response of a server that failed, if there is one, or else with the error response for err.
func (q *request) giveUp(err error) errkind.Kind {
	m := q.failure
	if m == nil || q.headSent || errkind.Of(err) == errkind.CallerCancelled {
		return q.refuse(err)
	}
	q.ensureHead(m.attempt, *m)
	if _, writeErr := q.writer.Write(m.body); writeErr != nil {
		return q.refuse(errkind.Wrap(errkind.CallerCancelled, writeErr, "write the response of a server that failed"))
	}
	q.log(errkind.None, slog.String("server", m.attempt.candidate.ID), slog.Int("status", m.status), slog.Any("error", err))
	return errkind.None
}

// relay writes a part of a response to the caller. It returns the error of the write.
func (q *request) relay(a *attempt, m message) error {
	if a.stream && statusOK(m.status) {
		if len(m.event.raw) == 0 {
			return nil
		}
		return q.relayEvent(a, m)
	}
	q.replace(a, q.race.Answer(a.number))
	q.ensureHead(a, m)
	_, err := q.writer.Write(m.body)
	return err
}

// relayEvent writes an event to the caller, unless that got it from an earlier attempt.
func (q *request) relayEvent(a *attempt, m message) error {
	e := m.event
	if e.hasData {
		now := time.Now()
		if !a.lastEventAt.IsZero() {
			q.longestGap = max(q.longestGap, now.Sub(a.lastEventAt))
		}
		a.lastEventAt = now
		q.replace(a, q.race.Progress(a.number, q.elapsed(), q.gapTimeout(), q.maxEventInterval()))
	}
	switch {
	case e.id != "" && !eventIDAfter(e.id, q.lastEvent):
		return nil // the caller got it from another attempt
	case e.id == "" && !e.hasData && len(q.live) > 1:
		return nil // a comment, which is not a part of the answer
	case e.id == "":
		q.replace(a, q.race.Answer(a.number)) // nothing shows whether another attempt's events follow this one
	}
	q.ensureHead(a, m)
	if _, err := q.writer.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		return err
	}
	if e.id != "" {
		q.lastEvent = e.id
	}
	return nil
}

// ensureHead sends the head of the response before its first part.
func (q *request) ensureHead(a *attempt, m message) {
	q.answering = a
	if !q.headSent {
		q.firstEvent = q.elapsed()
		q.sendHead(m.status, m.header)
	}
}
