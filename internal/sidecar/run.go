package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/pomelowheel/pomelowheel/internal/engineclient"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/idempotency"
	"github.com/pomelowheel/pomelowheel/internal/plainclient"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func newID() string { return uuid.NewString() }

// serveModel runs a started request on the model engine.
func (s *Server) serveModel(ctx context.Context, t *task) outcome {
	if t.model.Adapter() {
		if err := s.ensureAdapter(ctx, t.model); err != nil {
			s.finish(t, true, 0)
			return refusedOutcome(err)
		}
	}
	r := t.submit
	handedOver := time.Now()
	result, err := s.engine.Chat(ctx, engineclient.ChatRequest{
		RequestID: r.GetRequestId(), Model: r.GetModel(), Body: r.GetHttp().GetBody(), Priority: t.profile.Priority,
		ResumeText: r.GetResumeText(), ResumeTokens: r.GetResumeOffset(), MaxTokens: r.GetMaxOutputTokens(),
	}, func(c engineclient.Chunk) error { return s.sendText(t, c, handedOver) })
	o := outcome{
		err: err, finish: result.FinishReason,
		promptTokens: result.PromptTokens, outputTokens: max(result.OutputTokens, t.tokens),
	}
	t.tokens = max(t.tokens, result.OutputTokens) + result.PromptTokens
	if err != nil {
		o.err, o.notRun = s.classifyFailure(ctx, t, err)
	} else {
		s.recordServed(t, o.outputTokens)
	}
	s.finish(t, err == nil || o.notRun, servedTime(t, err))
	return o
}

func servedTime(t *task, err error) time.Duration {
	if err != nil {
		return 0
	}
	return time.Since(t.startedAt)
}

// sendText sends generated text to the gateway and reports it to the ledger and the ramp.
func (s *Server) sendText(t *task, c engineclient.Chunk, handedOver time.Time) error {
	first := t.tokens == 0
	t.tokens += c.Tokens
	now := time.Now()
	s.mu.Lock()
	s.ledger.RunProducedOutput(t.runID)
	if first {
		s.ramp.RecordFirstTokenLatency(now, now.Sub(handedOver), time.Duration(t.profile.FirstTokenMS)*time.Millisecond)
	} else {
		s.ramp.RecordSuccess(now)
	}
	s.dispatch()
	s.mu.Unlock()
	chunk := &wirepb.Chunk{Text: c.Text, Tokens: c.Tokens}
	if first {
		chunk.HttpStatus = http.StatusOK
	}
	return t.send(chunk)
}

// classifyFailure returns the error to answer with after a call of the backend server failed, and whether the request
// certainly did not run. A stream whose key was withdrawn ends as OutcomeUnknown, because its request was handed over.
func (s *Server) classifyFailure(ctx context.Context, t *task, err error) (error, bool) {
	kind := errkind.Of(err)
	if kind.NotRun() && t.sequence == 0 {
		if ctx.Err() != nil {
			return contextError(ctx, "before hand-over"), true
		}
		switch kind {
		case errkind.BackendUnreachable, errkind.Overloaded:
			s.recordFailure(t, err)
		case errkind.ModelNotResident:
			s.suspectRestart(t, err)
		}
		return err, true
	}
	if ctx.Err() != nil {
		cause := context.Cause(ctx)
		switch errkind.Of(cause) {
		case errkind.KeyWithdrawn, errkind.KeyUnknown, errkind.KeyMissing:
			return errkind.Wrap(errkind.OutcomeUnknown, cause, "the key was withdrawn while the request ran"), false
		case errkind.CallerCancelled:
			return cause, false
		}
		if !time.Now().Before(t.deadline) {
			return errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline passed after hand-over"), false
		}
		return err, false
	}
	if kind != errkind.CallerCancelled {
		s.recordFailure(t, err)
	}
	if kind.NotRun() {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "the call failed after a part of the answer was sent"), false
	}
	return err, false
}

// contextError returns the error for a request whose ctx ended before hand-over. when ends the error message,
// such as "before hand-over".
func contextError(ctx context.Context, when string) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineUnreachable, "the deadline passed %s", when)
	}
	return cause
}

// recordFailure reports a failure of the backend server to the ramp, which returns to the cold limit.
func (s *Server) recordFailure(t *task, err error) {
	s.mu.Lock()
	s.ramp.RecordFailure()
	s.mu.Unlock()
	s.suspectRestart(t, err)
	s.log.Warn("backend server failed; back to the cold concurrency limit",
		"request_id", t.submit.GetRequestId(), "organisation", t.submit.GetOrganisation(),
		"profile", t.submit.GetProfile(), "model", t.submit.GetModel(), "error", err)
}

// suspectRestart makes queued requests wait until the engine's state has been read, because err, an answer to t, may
// come from an engine that has restarted without its models. It does nothing beside a plain service.
func (s *Server) suspectRestart(t *task, err error) {
	if !s.isModel() {
		return
	}
	s.mu.Lock()
	s.suspectSince = time.Now()
	s.mu.Unlock()
	s.wakeResidency()
	s.log.Info("engine may have restarted; its state is read before the next request",
		"request_id", t.submit.GetRequestId(), "model", t.submit.GetModel(), "error", err)
}

// servePlain runs a started call of a plain service.
func (s *Server) servePlain(ctx context.Context, t *task) outcome {
	if t.submit.GetIdempotencyKey() == "" {
		return s.callService(ctx, t, &responseRelay{task: t})
	}
	claim, recorded, err := s.bookings.Claim(ctx, bookingRequest(t.submit))
	if err != nil {
		s.finish(t, true, 0)
		return refusedOutcome(err)
	}
	if recorded != nil {
		s.finish(t, true, 0)
		return replay(t, recorded)
	}
	if err := s.recheckAfterClaim(ctx, t); err != nil {
		s.bookings.Release(*claim)
		s.finish(t, true, 0)
		return refusedOutcome(err)
	}
	// The call continues if the gateway disconnects, so that its outcome is recorded for a repeat of the request.
	callCtx, stop := context.WithDeadline(context.WithoutCancel(ctx), t.deadline)
	defer stop()
	relay := &responseRelay{task: t, maxRecordedBytes: idempotency.DefaultMaxBodyBytes}
	o := s.callService(callCtx, t, relay)
	switch {
	case o.notRun:
		s.bookings.Release(*claim)
	case o.err == nil:
		s.bookings.Record(ctx, *claim, relay.outcome())
	}
	return o
}

// recheckAfterClaim repeats the checks whose result may have changed while the claim was written.
func (s *Server) recheckAfterClaim(ctx context.Context, t *task) error {
	if ctx.Err() != nil {
		return contextError(ctx, "while the idempotency key was claimed")
	}
	return s.recheck(ctx, t)
}

func bookingRequest(r *wirepb.Submit) idempotency.Request {
	scope := r.GetOrganisation()
	if scope == "" {
		scope = "open:" + r.GetService()
	}
	h := r.GetHttp()
	return idempotency.Request{
		Scope: scope, Key: r.GetIdempotencyKey(), AttemptID: newID(),
		BodyHash: idempotency.BodyHash([]byte(r.GetService()), []byte(h.GetMethod()), []byte(h.GetPath()),
			[]byte(h.GetQuery()), h.GetBody()),
	}
}

// callService calls the plain service, relays the answer through relay and frees the slot.
func (s *Server) callService(ctx context.Context, t *task, relay *responseRelay) outcome {
	h := t.submit.GetHttp()
	handedOver := time.Now()
	err := s.plainService.Do(ctx, plainclient.Request{
		RequestID: t.submit.GetRequestId(), Method: h.GetMethod(), Path: h.GetPath(), Query: h.GetQuery(),
		Headers: httpHeaders(h.GetHeaders()), Body: h.GetBody(),
		Repeatable: t.submit.GetRepeatable() && t.submit.GetIdempotencyKey() == "",
	}, relay)
	o := outcome{err: err}
	t.tokens = t.item.Tokens
	if err != nil {
		o.err, o.notRun = s.classifyFailure(ctx, t, err)
	} else {
		s.mu.Lock()
		s.ramp.RecordFirstTokenLatency(time.Now(), time.Since(handedOver), time.Duration(t.profile.FirstTokenMS)*time.Millisecond)
		s.mu.Unlock()
	}
	s.finish(t, true, servedTime(t, err))
	return o
}

// replay answers with a recorded outcome.
func replay(t *task, recorded *idempotency.Outcome) outcome {
	if recorded.Truncated {
		return outcome{replayed: true, err: errkind.New(errkind.OutcomeUnknown,
			"the call ran with status %d, and its answer was too large to record", recorded.Status)}
	}
	relay := &responseRelay{task: t}
	err := relay.Head(recorded.Status, recorded.Headers)
	if err == nil && len(recorded.Body) > 0 {
		err = relay.Data(recorded.Body)
	}
	if err != nil {
		err = errkind.Wrap(errkind.CallerCancelled, err, "send the recorded outcome")
	}
	return outcome{replayed: true, err: err}
}
