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

// Result describes how a request ended, also when it failed.
type Result struct {
	Ran          errkind.Ran // over all attempts
	Attempts     int
	RetryAfter   time.Duration // zero if the table's advice holds
	FinishReason string
	PromptTokens int64
	OutputTokens int64
	Replayed     bool
}

// receiver consumes the frames of an attempt.
type receiver interface {
	// chunk delivers a chunk to the caller. Its error is that of the caller's connection.
	chunk(c *wirepb.Chunk) error
	// prepare sets the resume fields of the next attempt and reports whether an attempt that broke after
	// hand-over may be repeated.
	prepare(s *wirepb.Submit) bool
}

// dispatch runs attempts of a request until one ends it.
type dispatch struct {
	g      *Gateway
	p      *Principal
	submit *wirepb.Submit
	route  route.Request
	to     receiver
	result Result
	ended  bool // an End frame closed the request, so its token count is known
	handed bool // the last attempt was handed to the backend server, whatever kind its error has
}

// run makes attempts within the retry budget, the attempt limit and the deadline of ctx.
func (d *dispatch) run(ctx context.Context) error {
	d.result.Ran = errkind.RanNo
	d.g.budgets.first(d.p)
	var last error
	for {
		choice := d.g.choose(ctx, d)
		address := choice.Chosen()
		if address == "" {
			d.log(ctx, choice)
			return d.giveUp(ctx, last, errkind.New(errkind.NoCandidate, "%s", choice.Reason))
		}
		if last != nil {
			if addsLoad(last) && !d.g.budgets.take(d.p) {
				d.log(ctx, choice)
				return last
			}
			d.g.metrics.retries.Add(1)
		}
		d.result.Attempts++
		last = d.attempt(ctx, choice)
		if last == nil {
			return nil
		}
		if ctx.Err() != nil || d.result.Attempts >= d.g.opts.MaxAttempts || !d.mayRepeat(last) {
			return d.giveUp(ctx, last, last)
		}
		d.route.Tried = append(d.route.Tried, address)
	}
}

// giveUp selects the error that says most: why the context ended, else the failure of the last attempt,
// else that there was no candidate.
func (d *dispatch) giveUp(ctx context.Context, last, err error) error {
	if ctx.Err() != nil {
		ended := cause(ctx)
		if d.result.Ran == errkind.RanNo && errkind.Of(ended) == errkind.DeadlineExceeded {
			return errkind.New(errkind.DeadlineUnreachable, "the deadline passed before a backend server took the request")
		}
		return ended
	}
	if last != nil {
		return last
	}
	return err
}

// addsLoad reports whether an attempt after err adds load where there is too much already. A refusal that has
// nothing to do with load costs a backend server nothing, and must not cost an organisation a request while
// hosts or a data centre leave.
func addsLoad(err error) bool {
	switch errkind.Of(err) {
	case errkind.Draining, errkind.DataCentreOut, errkind.ModelNotResident, errkind.ConfigStale, errkind.NotReady,
		errkind.BackendUnreachable:
		return false
	}
	return true
}

// mayRepeat reports whether another attempt may follow after err.
func (d *dispatch) mayRepeat(err error) bool {
	var gone callerGone
	if errors.As(err, &gone) {
		return false
	}
	kind := errkind.Of(err)
	if kind.NotRun() {
		answer := kind.Answer()
		another := answer.Retry == errkind.RetryAnother || kind == errkind.ConfigStale || kind == errkind.NotReady
		if d.handed && !d.submit.GetRepeatable() {
			return false
		}
		return another && d.to.prepare(d.submit)
	}
	switch kind {
	case errkind.BackendFailed, errkind.OutcomeUnknown, errkind.ProtocolError, errkind.Internal:
		return d.submit.GetRepeatable() && d.to.prepare(d.submit)
	}
	return false
}

// callerGone marks a failure to write to the caller.
type callerGone struct{ error }

// attempt runs the request at the chosen sidecar.
func (d *dispatch) attempt(ctx context.Context, choice route.Decision) error {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline).Milliseconds()
	if left <= 0 {
		d.log(ctx, choice)
		return errkind.New(errkind.DeadlineUnreachable, "no time left for an attempt")
	}
	d.submit.Attempt = uint32(d.result.Attempts)
	d.submit.DeadlineMs = left
	d.handed = false
	v, err := d.g.opts.Sidecars.Submit(ctx, choice.Chosen(), d.submit)
	// The line is written while the sidecar works.
	d.log(ctx, choice)
	if err != nil {
		if !errkind.Of(err).NotRun() {
			d.ran(errkind.RanUnknown)
		}
		return err
	}
	defer v.Close()
	for {
		e, err := v.Next()
		if err != nil {
			d.ran(errkind.RanUnknown)
			return err
		}
		done, err := d.frame(e)
		if done || err != nil {
			return err
		}
	}
}

// ran records what is known about the request over all attempts: yes outweighs unknown, and unknown no.
func (d *dispatch) ran(r errkind.Ran) {
	if r == errkind.RanYes || (r == errkind.RanUnknown && d.result.Ran == errkind.RanNo) {
		d.result.Ran = r
	}
}

func (d *dispatch) frame(e *wirepb.Envelope) (done bool, err error) {
	switch m := e.GetMessage().(type) {
	case *wirepb.Envelope_Refused:
		kind := errkind.Kind(m.Refused.GetKind())
		d.ran(kind.Answer().Ran)
		d.result.RetryAfter = time.Duration(m.Refused.GetRetryAfterMs()) * time.Millisecond
		if kind == errkind.None {
			return true, errkind.New(errkind.ProtocolError, "refused without a kind")
		}
		if kind == errkind.DataCentreOut {
			// The sidecar has a newer configuration than this gateway; its neighbours refuse too.
			centre := m.Refused.GetStatus().GetIdentity().GetDataCentre()
			d.route.OutCentres = append(slices.Clone(d.route.OutCentres), centre)
		}
		return true, errkind.New(kind, "%s", m.Refused.GetDetail())
	case *wirepb.Envelope_Chunk:
		d.ran(errkind.RanYes)
		if err := d.to.chunk(m.Chunk); err != nil {
			return true, errkind.Wrap(errkind.CallerCancelled, callerGone{err}, "write to the caller")
		}
	case *wirepb.Envelope_End:
		return true, d.end(m.End)
	}
	return false, nil
}

func (d *dispatch) end(m *wirepb.End) error {
	kind := errkind.Kind(m.GetKind())
	if kind != errkind.None {
		// End comes only after hand-over, so the request may have run even if the table says otherwise.
		d.handed = true
		d.ran(errkind.RanUnknown)
		d.ran(kind.Answer().Ran)
		return errkind.New(kind, "%s", m.GetDetail())
	}
	d.ended = true
	d.ran(errkind.RanYes)
	d.result.FinishReason = m.GetFinishReason()
	d.result.PromptTokens = m.GetPromptTokens()
	d.result.OutputTokens = m.GetOutputTokens()
	d.result.Replayed = m.GetReplayed()
	return nil
}

// choose picks a backend server. The caller logs the decision.
func (g *Gateway) choose(ctx context.Context, d *dispatch) route.Decision {
	decision := g.opts.Sidecars.Select(ctx, d.route)
	if g.opts.Policy == route.PolicyProbe && len(decision.Candidates) > 1 {
		decision = g.probe(ctx, d, decision)
	}
	g.metrics.decisions.Add(1)
	return decision
}

// log writes the line of one routing decision.
func (d *dispatch) log(ctx context.Context, decision route.Decision) {
	d.g.opts.Log.LogAttrs(ctx, slog.LevelInfo, "routing decision",
		slog.String("request_id", d.submit.GetRequestId()),
		slog.String("organisation", d.p.Organisation.Name),
		slog.String("profile", d.p.Profile.Name),
		slog.String("model", d.submit.GetModel()),
		slog.Any("candidates", candidates(decision.Candidates)),
		slog.String("choice", decision.Chosen()),
		slog.String("reason", decision.Reason))
}

type candidates []route.Scored

// LogValue implements slog.LogValuer, so that the text is only made if the line is written.
func (c candidates) LogValue() slog.Value {
	var b strings.Builder
	for i, s := range c {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%.1f", s.Address, s.Figure)
	}
	return slog.StringValue(b.String())
}

// probe asks the candidates and orders them by their answers. Candidates that do not answer in time come
// last in their old order.
func (g *Gateway) probe(ctx context.Context, d *dispatch, decision route.Decision) route.Decision {
	ctx, cancel := context.WithTimeout(ctx, g.opts.ProbeTimeout)
	defer cancel()
	const silentMS = 1e9
	asked := decision.Candidates
	var wg sync.WaitGroup
	for i := range asked {
		wg.Go(func() {
			asked[i].Figure = silentMS
			reply, err := g.opts.Sidecars.Probe(ctx, asked[i].Address, &wirepb.Probe{
				RequestId: d.submit.GetRequestId(), Organisation: d.submit.GetOrganisation(), Service: d.submit.GetService(),
				Profile: d.submit.GetProfile(), Model: d.submit.GetModel(), PrefixHash: d.submit.GetPrefixHash(),
				Tokens: d.submit.GetPromptTokens() + d.submit.GetMaxOutputTokens(),
			})
			if err == nil {
				asked[i].Figure = route.ProbeFigure(reply.GetKind() == 0, reply.GetQueueMs(), reply.GetResident(), reply.GetPrefixHit())
			}
		})
	}
	wg.Wait()
	slices.SortStableFunc(asked, func(a, b route.Scored) int {
		switch {
		case a.Figure < b.Figure:
			return -1
		case a.Figure > b.Figure:
			return 1
		}
		return 0
	})
	decision.Reason = "least wait as probed"
	return decision
}
