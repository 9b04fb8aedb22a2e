package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// lastFrameTimeout bounds sending the last frame to a gateway that reads slowly.
const lastFrameTimeout = time.Second

// task is one request, from its Submit frame to its last frame.
type task struct {
	submit   *wirepb.Submit
	stream   *transport.Stream
	deadline time.Time
	profile  config.Profile
	model    config.Model
	kvMB     int64
	item     *admission.Item
	runID    string        // identifies the run in the ledger
	accepted chan struct{} // closed after Accepted was sent, which comes before every other frame
	start    chan struct{} // closed when the task may start
	refusal  chan error    // receives the error that removed the task from the queue
	cancel   context.CancelCauseFunc

	started   bool // guarded by the server's lock
	startedAt time.Time
	sequence  uint64
	sendErr   error // of the first chunk that could not be sent; nothing is sent after it
	tokens    int64
}

// outcome is how a task ended. If notRun is set, the request certainly did not run and the last frame is a Refused.
type outcome struct {
	err          error
	notRun       bool
	finish       string // finish reason that the engine reported
	promptTokens int64
	outputTokens int64
	replayed     bool
}

func refusedOutcome(err error) outcome { return outcome{err: err, notRun: true} }

// submit serves the stream of a Submit.
func (s *Server) submit(ctx context.Context, stream *transport.Stream, r *wirepb.Submit) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &task{
		submit: r, stream: stream, runID: r.GetRequestId() + "/" + newID(), deadline: s.deadline(r),
		accepted: make(chan struct{}), start: make(chan struct{}), refusal: make(chan error, 1), cancel: cancel,
	}
	go t.receive()
	wait, err := s.admit(ctx, t)
	if err != nil {
		close(t.accepted)
		s.logAdmission(t, wait, err)
		s.end(t, refusedOutcome(err))
		return
	}
	defer s.closeRequest()
	// The hand-over does not wait for the Accepted frame and the log line, which together take about 40 µs.
	var accepting sync.WaitGroup
	accepting.Go(func() { s.sendAccepted(t, wait) })
	s.mu.Lock()
	s.dispatch()
	s.mu.Unlock()
	deadlineCtx, stop := context.WithDeadline(ctx, t.deadline)
	defer stop()
	o := s.serve(deadlineCtx, t)
	accepting.Wait()
	s.end(t, o)
}

// sendAccepted sends the Accepted frame of a queued task and logs its admission.
func (s *Server) sendAccepted(t *task, wait time.Duration) {
	r := t.submit
	accepted := &wirepb.Accepted{RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), QueueMs: wait.Milliseconds()}
	if err := t.stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Accepted{Accepted: accepted}}); err != nil {
		t.cancel(errkind.Wrap(errkind.CallerCancelled, err, "send Accepted"))
	}
	close(t.accepted)
	s.logAdmission(t, wait, nil)
}

func (s *Server) deadline(r *wirepb.Submit) time.Time {
	left := time.Duration(r.GetDeadlineMs()) * time.Millisecond
	if left <= 0 {
		left = defaultDeadline
	}
	return time.Now().Add(left)
}

// receive cancels the task when the gateway sends Cancel or closes the stream.
func (t *task) receive() {
	for {
		frame, err := t.stream.Recv()
		if err != nil {
			t.cancel(errkind.Wrap(errkind.CallerCancelled, err, "the stream was closed"))
			return
		}
		if frame.GetCancel() != nil {
			t.cancel(errkind.New(errkind.CallerCancelled, "the gateway cancelled the request"))
			return
		}
	}
}

// serve waits until the task may start, runs it and frees what it holds.
func (s *Server) serve(ctx context.Context, t *task) outcome {
	if err := s.awaitStart(ctx, t); err != nil {
		return refusedOutcome(err)
	}
	if err := s.recheck(ctx, t); err != nil {
		s.finish(t, true, 0)
		return refusedOutcome(err)
	}
	// A blocked write to the gateway must not outlive the request.
	unblock := context.AfterFunc(ctx, func() { _ = t.stream.SetWriteDeadline(time.Now()) })
	defer unblock()
	if s.isModel() {
		return s.serveModel(ctx, t)
	}
	return s.servePlain(ctx, t)
}

// awaitStart waits until the task may start. After an error the task holds neither a slot nor memory.
func (s *Server) awaitStart(ctx context.Context, t *task) error {
	select {
	case <-t.start:
		return nil
	case err := <-t.refusal:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case t.started:
		s.release(t, true, 0)
	case s.queue.Remove(t.item):
		delete(s.tasks, t.item)
	}
	s.dispatch()
	return contextError(ctx, "in the queue")
}

// dispatch starts the requests that may start. The caller holds the lock.
func (s *Server) dispatch() {
	s.queue.MarkLate(time.Now())
	if !s.suspectSince.IsZero() {
		return
	}
	for {
		var blocked *admission.Item
		var startErr error
		item := s.queue.Next(s.ramp.LimitAt(time.Now()), func(due *admission.Item) bool {
			if !s.isModel() {
				return true
			}
			t := s.tasks[due]
			startErr = s.ledger.StartRun(t.runID, t.kvMB)
			blocked = due
			return startErr == nil
		})
		if item == nil {
			if startErr != nil && s.queue.Running() == 0 {
				s.refuseQueued(blocked, startErr)
				continue
			}
			if s.ramp.NeedsConfirmation() && s.queue.Queued() > 0 {
				s.wakeResidency()
			}
			return
		}
		t := s.tasks[item]
		t.started, t.startedAt = true, time.Now()
		close(t.start)
	}
}

// finish frees the slot and the KV cache of a started task and starts the next one. freed says that the backend
// server holds no memory of the task any more. served is the service time; zero is not counted.
func (s *Server) finish(t *task, freed bool, served time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(t, freed, served)
	s.dispatch()
}

func (s *Server) release(t *task, freed bool, served time.Duration) {
	s.queue.Done(t.item, t.tokens, served)
	s.ledger.EndRun(t.runID, freed)
	delete(s.tasks, t.item)
}

// send sends the next chunk of the answer. After an error the stream may end in the middle of a frame, so nothing
// more is sent on it.
func (t *task) send(c *wirepb.Chunk) error {
	if t.sendErr != nil {
		return t.sendErr
	}
	<-t.accepted
	t.sequence++
	c.RequestId, c.Attempt, c.Sequence = t.submit.GetRequestId(), t.submit.GetAttempt(), t.sequence
	t.sendErr = t.stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Chunk{Chunk: c}})
	return t.sendErr
}

// end counts the outcome and sends the last frame, unless an earlier frame failed.
func (s *Server) end(t *task, o outcome) {
	kind := errkind.Of(o.err)
	s.countEnd(kind)
	if t.sendErr == nil {
		s.sendLastFrame(t, o, kind)
	}
}

func (s *Server) sendLastFrame(t *task, o outcome, kind errkind.Kind) {
	_ = t.stream.SetWriteDeadline(time.Now().Add(lastFrameTimeout))
	detail := ""
	var typed *errkind.Error
	if errors.As(o.err, &typed) {
		detail = typed.Detail
	}
	r := t.submit
	var frame *wirepb.Envelope
	if o.notRun {
		frame = &wirepb.Envelope{Message: &wirepb.Envelope_Refused{Refused: &wirepb.Refused{
			RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Kind: int32(kind), Detail: detail,
			RetryAfterMs: kind.Answer().RetryAfter.Milliseconds(), Status: s.Status(),
		}}}
	} else {
		frame = &wirepb.Envelope{Message: &wirepb.Envelope_End{End: &wirepb.End{
			RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Sequence: t.sequence + 1, Kind: int32(kind),
			Detail: detail, FinishReason: o.finish, PromptTokens: o.promptTokens, OutputTokens: o.outputTokens,
			Status: s.Status(), Replayed: o.replayed,
		}}}
	}
	err := t.stream.Send(frame)
	level := slog.LevelDebug
	if kind != errkind.None || err != nil {
		level = slog.LevelInfo
	}
	s.log.Log(context.Background(), level, "request ended", "request_id", r.GetRequestId(), "attempt", r.GetAttempt(),
		"organisation", r.GetOrganisation(), "profile", r.GetProfile(), "model", r.GetModel(), "kind", kind.String(),
		"handed_over", !o.notRun, "reason", detail, "error", err)
}

// logAdmission logs one admission decision.
func (s *Server) logAdmission(t *task, wait time.Duration, err error) {
	choice, reason := "queued", "all checks passed"
	if err != nil {
		choice, reason = errkind.Of(err).String(), err.Error()
	}
	r := t.submit
	s.log.Info("admission", "request_id", r.GetRequestId(), "attempt", r.GetAttempt(), "organisation", r.GetOrganisation(),
		"profile", r.GetProfile(), "model", r.GetModel(), "wait_ms", wait.Milliseconds(), "kv_mb", t.kvMB,
		"choice", choice, "reason", reason)
}
