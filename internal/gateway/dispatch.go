package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Result describes how a request ended, whether it succeeded or failed.
type Result struct {
	Ran          errkind.Ran // over all attempts
	Attempts     int
	RetryAfter   time.Duration // zero if the error table's value applies
	FinishReason string
	PromptTokens int64
	OutputTokens int64
	Replayed     bool
}

// receiver consumes the chunks of an attempt.
type receiver interface {
	// chunk delivers a chunk to the caller. It returns the error of the write to the caller's connection.
	chunk(c *wirepb.Chunk) error
	// prepareRetry sets the resume fields of the next attempt. It reports whether the request can be repeated after
	// the chunks that were delivered so far.
	prepareRetry(s *wirepb.Submit) bool
}

// dispatch is the state of one request across its attempts.
type dispatch struct {
	g          *Gateway
	p          *Principal
	submit     *wirepb.Submit
	route      route.Request
	output     receiver
	result     Result
	completed  bool // an End frame without an error arrived, so the token counts are known
	handedOver bool // the last attempt was handed over to the backend server, regardless of the kind of its error
}

// run makes attempts until one succeeds, or until an error must not be retried or the retry budget, the attempt limit
// or the deadline of ctx is exhausted.
func (d *dispatch) run(ctx context.Context) error {
	d.result.Ran = errkind.RanNo
	d.g.budgets.recordFirstAttempt(d.p)
	var lastErr error
	for {
		choice := d.g.choose(ctx, d)
		address := choice.Chosen()
		if address == "" {
			d.logDecision(ctx, choice)
			return d.finalError(ctx, lastErr, errkind.New(errkind.NoCandidate, "%s", choice.Reason))
		}
		if lastErr != nil {
			if addsLoad(lastErr) && !d.g.budgets.take(d.p) {
				d.logDecision(ctx, choice)
				return lastErr
			}
			d.g.metrics.retries.Add(1)
		}
		d.result.Attempts++
		lastErr = d.attempt(ctx, choice)
		if lastErr == nil {
			return nil
		}
		if ctx.Err() != nil || d.result.Attempts >= d.g.opts.MaxAttempts || !d.mayRepeat(lastErr) {
			return d.finalError(ctx, lastErr, lastErr)
		}
		d.route.Tried = append(d.route.Tried, address)
	}
}

// finalError selects the most informative error: the cause of the context's end, else the error of the last attempt,
// else err.
func (d *dispatch) finalError(ctx context.Context, lastErr, err error) error {
	if ctx.Err() != nil {
		ended := cause(ctx)
		if d.result.Ran == errkind.RanNo && errkind.Of(ended) == errkind.DeadlineExceeded {
			return errkind.New(errkind.DeadlineUnreachable, "the deadline passed before a backend server accepted the request")
		}
		return ended
	}
	if lastErr != nil {
		return lastErr
	}
	return err
}

// addsLoad reports whether a retry after err must be charged to the retry budget, because it may add load to an
// overloaded system. A refusal that is unrelated to load costs a backend server nothing; charging it could fail
// requests of an organisation while hosts or a data centre are taken out of service.
func addsLoad(err error) bool {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.DataCentreOut, errkind.ModelNotResident, errkind.ConfigStale, errkind.NotReady,
		errkind.BackendUnreachable:
		return false
	}
	return true
}

// mayRepeat reports whether another attempt may follow err, and prepares it if so.
func (d *dispatch) mayRepeat(err error) bool {
	var writeErr callerWriteError
	if errors.As(err, &writeErr) {
		return false
	}
	kind := errkind.Of(err)
	if kind.NotRun() {
		answer := kind.Answer()
		retryElsewhere := answer.Retry == errkind.RetryAnother || kind == errkind.ConfigStale || kind == errkind.NotReady
		if d.handedOver && !d.submit.GetRepeatable() {
			return false
		}
		return retryElsewhere && d.output.prepareRetry(d.submit)
	}
	switch kind {
	case errkind.BackendFailed, errkind.OutcomeUnknown, errkind.ProtocolError, errkind.Internal:
		return d.submit.GetRepeatable() && d.output.prepareRetry(d.submit)
	}
	return false
}

// callerWriteError marks a failure to write to the caller.
type callerWriteError struct{ error }

// attempt runs the request once, at the chosen sidecar.
func (d *dispatch) attempt(ctx context.Context, choice route.Decision) error {
	deadline, _ := ctx.Deadline()
	remainingMS := time.Until(deadline).Milliseconds()
	if remainingMS <= 0 {
		d.logDecision(ctx, choice)
		return errkind.New(errkind.DeadlineUnreachable, "no time left before the deadline for an attempt")
	}
	d.submit.Attempt = uint32(d.result.Attempts)
	d.submit.DeadlineMs = remainingMS
	d.handedOver = false
	conversation, err := d.g.opts.Sidecars.Submit(ctx, choice.Chosen(), d.submit)
	// Logged after the submission, so that the write overlaps with the work of the sidecar.
	d.logDecision(ctx, choice)
	if err != nil {
		if !errkind.Of(err).NotRun() {
			d.recordRan(errkind.RanUnknown)
		}
		return err
	}
	defer conversation.Close()
	for {
		e, err := conversation.Next()
		if err != nil {
			d.recordRan(errkind.RanUnknown)
			return err
		}
		done, err := d.handleFrame(e)
		if done || err != nil {
			return err
		}
	}
}

// recordRan merges whether an attempt ran into the result over all attempts: yes overrides
// unknown, and unknown overrides no.
func (d *dispatch) recordRan(r errkind.Ran) {
	if r == errkind.RanYes || (r == errkind.RanUnknown && d.result.Ran == errkind.RanNo) {
		d.result.Ran = r
	}
}

// handleFrame processes one frame of an attempt. done is true if the frame ends the attempt.
func (d *dispatch) handleFrame(e *wirepb.Envelope) (done bool, err error) {
	switch m := e.GetMessage().(type) {
	case *wirepb.Envelope_Refused:
		kind := errkind.Kind(m.Refused.GetKind())
		d.recordRan(kind.Answer().Ran)
		d.result.RetryAfter = time.Duration(m.Refused.GetRetryAfterMs()) * time.Millisecond
		if kind == errkind.None {
			return true, errkind.New(errkind.ProtocolError, "the sidecar refused the request without an error kind")
		}
		if kind == errkind.DataCentreOut {
			// The sidecar has a newer configuration than this gateway. The other sidecars of the data centre would
			// refuse too, so the next attempt excludes the whole data centre.
			centre := m.Refused.GetStatus().GetIdentity().GetDataCentre()
			d.route.OutDataCentres = append(slices.Clone(d.route.OutDataCentres), centre)
		}
		return true, errkind.New(kind, "%s", m.Refused.GetDetail())
	case *wirepb.Envelope_Chunk:
		d.recordRan(errkind.RanYes)
		if err := d.output.chunk(m.Chunk); err != nil {
			return true, errkind.Wrap(errkind.CallerCancelled, callerWriteError{err}, "write to the caller")
		}
	case *wirepb.Envelope_End:
		return true, d.handleEnd(m.End)
	}
	return false, nil
}

func (d *dispatch) handleEnd(m *wirepb.End) error {
	kind := errkind.Kind(m.GetKind())
	if kind != errkind.None {
		// An End frame follows only a request that was handed over, so the request may have run even if the error
		// table says that this kind does not run.
		d.handedOver = true
		d.recordRan(errkind.RanUnknown)
		d.recordRan(kind.Answer().Ran)
		return errkind.New(kind, "%s", m.GetDetail())
	}
	d.completed = true
	d.recordRan(errkind.RanYes)
	d.result.FinishReason = m.GetFinishReason()
	d.result.PromptTokens = m.GetPromptTokens()
	d.result.OutputTokens = m.GetOutputTokens()
	d.result.Replayed = m.GetReplayed()
	return nil
}

// choose selects a backend server. The caller logs the decision.
func (g *Gateway) choose(ctx context.Context, d *dispatch) route.Decision {
	decision := g.opts.Sidecars.Select(ctx, d.route)
	if g.opts.Policy == route.PolicyProbe && len(decision.Candidates) > 1 {
		decision = g.probe(ctx, d, decision)
	}
	g.metrics.routingDecisions.Add(1)
	return decision
}

// logDecision logs one routing decision.
func (d *dispatch) logDecision(ctx context.Context, decision route.Decision) {
	d.g.opts.Log.LogAttrs(ctx, slog.LevelInfo, "routing decision",
		slog.String("request_id", d.submit.GetRequestId()),
		slog.String("organisation", d.p.Organisation.Name),
		slog.String("profile", d.p.Profile.Name),
		slog.String("model", d.submit.GetModel()),
		slog.Any("candidates", candidates(decision.Candidates)),
		slog.String("choice", decision.Chosen()),
		slog.String("reason", decision.Reason))
}

type candidates []route.Candidate

// LogValue implements slog.LogValuer, so that the text is built only if the line is written.
func (c candidates) LogValue() slog.Value {
	var b strings.Builder
	for i, s := range c {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%.1f", s.Address, s.Cost)
	}
	return slog.StringValue(b.String())
}

// probe queries the candidates concurrently and sorts them by their replies. Candidates that do not reply within
// ProbeTimeout come last, in their previous order.
func (g *Gateway) probe(ctx context.Context, d *dispatch, decision route.Decision) route.Decision {
	ctx, cancel := context.WithTimeout(ctx, g.opts.ProbeTimeout)
	defer cancel()
	const noReplyMS = 1e9
	probed := decision.Candidates
	var wg sync.WaitGroup
	for i := range probed {
		wg.Go(func() {
			probed[i].Cost = noReplyMS
			reply, err := g.opts.Sidecars.Probe(ctx, probed[i].Address, &wirepb.Probe{
				RequestId: d.submit.GetRequestId(), Organisation: d.submit.GetOrganisation(), Service: d.submit.GetService(),
				Profile: d.submit.GetProfile(), Model: d.submit.GetModel(), PrefixHash: d.submit.GetPrefixHash(),
				Tokens: d.submit.GetPromptTokens() + d.submit.GetMaxOutputTokens(),
			})
			if err == nil {
				probed[i].Cost = route.ProbeCost(reply.GetKind() == 0, reply.GetQueueMs(), reply.GetResident(),
					reply.GetPrefixHit())
			}
		})
	}
	wg.Wait()
	slices.SortStableFunc(probed, func(a, b route.Candidate) int {
		switch {
		case a.Cost < b.Cost:
			return -1
		case a.Cost > b.Cost:
			return 1
		}
		return 0
	})
	decision.Reason = "least wait as probed"
	return decision
}
