package fleetgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
	"github.com/pomelowheel/pomelowheel/internal/upstream"
	"github.com/pomelowheel/pomelowheel/platform"
)

// relayBytes is the size of the parts in which a response is relayed that is too long to be read first.
const relayBytes = 32 << 10

// attempt is one sending of a request to a server. A goroutine of its own reads the response and passes it on in messages.
type attempt struct {
	number    int
	silentAt  time.Duration // when the server counts as silent, on the clock of the request's race
	candidate *fleetroute.Candidate
	replica   *fleet.Replica
	server    serversigns.Server // the incarnation that the request is sent to
	begunAt   time.Duration      // on Options.Clock
	load      *fleetroute.Attempt
	cancel    context.CancelCauseFunc
	stream    bool                // a successful response is a stream
	lastRun   bool                // the request may not run once more
	sending   atomic.Int32        // sendUndecided, sendAllowed or sendForbidden
	responded atomic.Bool         // the head of the response has arrived
	buffer    *memorybudget.Lease // of a response that is not a stream; used by the goroutine that reads it
	goesOn    atomic.Bool         // the answer has gone on for fleetguard.BeginTime

	lastEventAt time.Time // when the last event was relayed; used by the request's goroutine only
}

// States of attempt.sending. Only sendUndecided changes.
const (
	sendUndecided int32 = iota
	sendAllowed         // the server may get the request
	sendForbidden       // nothing was sent to the server, and nothing will be
)

// allowSending reports whether the request may be sent: forbidSending has not returned true.
func (a *attempt) allowSending() bool { return a.sending.CompareAndSwap(sendUndecided, sendAllowed) }

// forbidSending reports whether nothing was sent to the server and nothing will be.
func (a *attempt) forbidSending() bool { return a.sending.CompareAndSwap(sendUndecided, sendForbidden) }

// message is a part of a server's response, or the end of an attempt.
type message struct {
	attempt  *attempt
	status   int // zero if there was no response
	header   http.Header
	instance string // server that responded, if it said so
	event    event  // of a stream
	body     []byte // of a response that is not a stream
	ended    bool   // the last message of the attempt
	result   result // of an attempt that has ended
}

// exchange sends the request of an attempt and passes on the response until it ends or ctx ends. A panic ends only the attempt.
func (q *request) exchange(ctx context.Context, a *attempt, r upstream.Request) {
	var last message
	defer func() {
		if cause := recover(); cause != nil {
			q.server.opts.Log.Error("panic in the exchange with a server", "request_id", q.caller.ID, "server", a.candidate.ID,
				"panic", cause, "stack", string(debug.Stack()))
			last = message{result: result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("panic: %v", cause)}}
		}
		last.ended = true
		_ = q.pass(ctx, a, last) // fails only if nobody waits for it
		a.buffer.Release()
	}()
	last = q.transfer(ctx, a, r)
}

// pass gives a message to the request's goroutine and ends a choice that is in progress there. It returns the cause of ctx if that
// ends first.
func (q *request) pass(ctx context.Context, a *attempt, m message) error {
	m.attempt = a
	select {
	case q.messages <- m:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if interrupt := q.interrupt.Load(); interrupt != nil {
		(*interrupt)()
	}
	return nil
}

// transfer sends the request of an attempt, passes on the response and returns the last message. The connection has been given back
// then, so that the end of the attempt does not close it.
func (q *request) transfer(ctx context.Context, a *attempt, r upstream.Request) message {
	resp, err := q.server.opts.Pool.Do(ctx, r)
	if err != nil {
		return message{result: unanswered(err)}
	}
	defer resp.Close()
	a.responded.Store(true)
	q.server.observeHead(a)
	answer := platform.ParseResponse(resp.Status, resp.Header)
	ok := statusOK(resp.Status)
	last := message{status: resp.Status, header: resp.Header, instance: answer.Instance}
	if !a.stream && !answer.NotRun && (ok || q.model == "") {
		q.countBegun()
	}
	switch {
	case answer.NotRun:
		q.readRest(resp)
		last.result = result{kind: errkind.Overloaded, notRun: true}
	case ok && !answer.Signed:
		last.result = result{kind: errkind.ProtocolError, err: errors.New("successful response without a signature")}
	case resp.Header.Get("Content-Encoding") != "":
		last.result = result{kind: errkind.ProtocolError,
			err: errors.New("the response has a content encoding, which servers do not use")}
	case resp.Status >= http.StatusInternalServerError && !a.lastRun:
		last.body = q.readRest(resp)
		last.result = result{kind: errkind.BackendFailed, err: fmt.Errorf("status %d", resp.Status)}
	case a.stream && ok:
		last.result = q.passEvents(ctx, a, resp)
	default:
		last.body, last.result = q.passBody(ctx, a, resp)
	}
	return last
}

// countBegun counts the request, once, as one that began to run for its organisation.
func (q *request) countBegun() {
	if count := q.server.opts.CountBegun; count != nil && q.org != nil && !q.begunCounted.Swap(true) {
		count(q.org.Name)
	}
}

// unanswered returns the result of an attempt whose request got no response.
func unanswered(err error) result {
	switch {
	case errors.Is(err, upstream.ErrWithdrawn):
		return result{kind: errkind.NoCandidate, notRun: true, unsent: true, err: err}
	case errors.Is(err, upstream.ErrNotSent):
		return result{kind: errkind.BackendUnreachable, notRun: true, err: err}
	}
	return result{kind: errkind.OutcomeUnknown, err: err}
}

// readRest reads a short body, so that the connection can be reused, and returns it. It returns nil if the body did not arrive whole.
func (q *request) readRest(resp *upstream.Response) []byte {
	body, err := resp.ReadRest(maxBufferedBytes, restTimeout)
	if err != nil {
		q.server.opts.Log.Debug("response body not read; the connection is closed", "request_id", q.caller.ID, "error", err)
		return nil
	}
	return body
}

// passEvents passes on the complete events of a stream as they arrive.
func (q *request) passEvents(ctx context.Context, a *attempt, resp *upstream.Response) result {
	lease := q.server.opts.Answers.Lease(shortEventBytes)
	defer lease.Release()
	events := newEventReader(resp, lease)
	begun := q.server.opts.Clock()
	for first := true; ; {
		event, err := events.next()
		if err == io.EOF {
			q.server.observeAnswer(a, q.exposure, resp.Framed, begun)
			return result{}
		}
		if err == nil {
			if event.hasData {
				now := q.server.opts.Clock()
				if first {
					first, begun = false, now
					q.countBegun()
				}
				a.load.RecordProgress(now)
				q.server.observeProgress(a, q.exposure, begun)
			}
			err = q.pass(ctx, a, message{status: resp.Status, header: resp.Header, event: event})
		}
		if err != nil {
			return result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("the stream broke off: %w", err)}
		}
	}
}

// passBody reads a response before it is relayed, so that an incomplete one can be retried or reported, and returns it. Of one
// longer than maxBufferedBytes, or than relayBytes if there is no memory for more, it passes on all but the last part as it arrives.
func (q *request) passBody(ctx context.Context, a *attempt, resp *upstream.Response) ([]byte, result) {
	begun := q.server.opts.Clock()
	part, err := io.ReadAll(io.LimitReader(resp, relayBytes))
	if len(part) == relayBytes && err == nil && a.buffer.Exactly(maxBufferedBytes) {
		var more []byte
		more, err = io.ReadAll(io.LimitReader(resp, maxBufferedBytes-relayBytes))
		part = append(part, more...)
	}
	if err == nil {
		a.load.RecordProgress(q.server.opts.Clock())
	}
	for err == nil && len(part) > 0 && len(part)%relayBytes == 0 {
		if err = q.pass(ctx, a, message{status: resp.Status, header: resp.Header, body: part}); err == nil {
			part, err = io.ReadAll(io.LimitReader(resp, relayBytes))
		}
	}
	if err != nil {
		return nil, result{kind: errkind.OutcomeUnknown, err: fmt.Errorf("the response broke off: %w", err)}
	}
	if statusOK(resp.Status) {
		q.server.observeAnswer(a, q.exposure, resp.Framed, begun)
	}
	return part, result{}
}
