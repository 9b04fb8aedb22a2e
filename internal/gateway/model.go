package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// ModelCall is one call of a model. It carries no key.
type ModelCall struct {
	RequestID       string
	Arrived         time.Time
	Model           string
	PromptTokens    int64 // estimate from the text, without the model's correction
	MaxOutputTokens int64
	Stream          bool
	PrefixHash      string
	HTTP            *wirepb.HTTPRequest
}

// TextSink receives generated text in order. An error ends the request with kind
// CallerCancelled.
type TextSink func(text string) error

// OutputTokens returns the limit on the output tokens of a call that requests the given number, or the profile's
// limit if requested is 0. The error has kind BadRequest if requested is negative or above the profile's limit.
func (p *Principal) OutputTokens(requested int64) (int64, error) {
	limit := p.Profile.MaxOutputTokens
	switch {
	case requested < 0:
		return 0, errkind.New(errkind.BadRequest, "the number of output tokens is negative")
	case requested > limit:
		return 0, errkind.New(errkind.BadRequest, "%d output tokens exceed the %d that profile %s allows",
			requested, limit, p.Profile.Name)
	case requested == 0:
		return limit, nil
	}
	return requested, nil
}

// Model returns the configuration of a model of the principal's service. The error has kind ModelUnknown if the
// service has no such model.
func (p *Principal) Model(name string) (config.Model, error) {
	m, ok := p.Snapshot.Model(name)
	if !ok || m.Service != p.Service.Name {
		return config.Model{}, errkind.New(errkind.ModelUnknown, "service %s has no model %q", p.Service.Name, name)
	}
	return m, nil
}

func (g *Gateway) runModel(ctx context.Context, p *Principal, call ModelCall, sink TextSink) (Result, error) {
	model, err := p.Model(call.Model)
	if err != nil {
		return Result{Ran: errkind.RanNo}, err
	}
	ctx, end, err := g.begin(ctx, p, call.Arrived)
	if err != nil {
		return Result{Ran: errkind.RanNo}, err
	}
	defer end()
	g.metrics.requests.Add(1)
	estimate := g.estimates.apply(model.Name, call.PromptTokens)
	reserved := reservedTokens(call, estimate, p.Organisation.Burst)
	reservation, err := g.reserve(ctx, p, call, reserved)
	if err != nil {
		return Result{Ran: errkind.RanNo}, err
	}
	output := &modelReceiver{g: g, sink: sink}
	d := &dispatch{
		g: g, p: p, output: output,
		submit: &wirepb.Submit{
			RequestId: call.RequestID, Organisation: p.Organisation.Name, KeyId: p.KeyID,
			ConfigVersion: p.Snapshot.Version(), GatewayAddress: g.opts.Address, Service: p.Service.Name, Profile: p.Profile.Name,
			Model: model.Name, PromptTokens: estimate, MaxOutputTokens: call.MaxOutputTokens,
			Stream: call.Stream, Http: call.HTTP, PrefixHash: call.PrefixHash, Repeatable: true,
		},
		route: route.Request{
			Service: p.Service.Name, Model: model.Name, Base: model.Base, DataCentre: g.opts.DataCentre,
			PrefixHash: call.PrefixHash, OutDataCentres: g.outDataCentreNames(p.Snapshot), Count: g.opts.ProbeCount,
		},
	}
	err = d.run(ctx)
	d.result.OutputTokens = output.tokens
	if d.completed && d.result.Attempts == 1 && !d.result.Replayed {
		g.estimates.learn(model.Name, call.PromptTokens, d.result.PromptTokens)
	}
	if d.result.PromptTokens == 0 {
		d.result.PromptTokens = estimate
	}
	settleReservation(reservation, reserved, d)
	return d.result, err
}

// reservedTokens returns the number of tokens to reserve for a call. The correction of the estimate alone does not
// raise it above the organisation's burst, because the request would then be refused permanently.
func reservedTokens(call ModelCall, estimate, burst int64) int64 {
	return min(estimate+call.MaxOutputTokens, max(call.PromptTokens+call.MaxOutputTokens, burst))
}

// settleReservation refunds the reserved tokens that the request did not use and charges those that it used beyond
// the reservation. A request with an unknown outcome is charged the whole reservation, because the tokens that it used
// cannot be known.
func settleReservation(r Reservation, reserved int64, d *dispatch) {
	var unused int64
	switch {
	case d.completed:
		unused = reserved - d.result.PromptTokens - d.result.OutputTokens
		if d.result.Attempts > 1 {
			unused = max(0, unused) // the organisation is not charged for a prompt that a retry processes again
		}
	case d.result.Ran == errkind.RanNo:
		unused = reserved
	}
	if unused != 0 {
		r.Refund(unused)
	}
}

// modelReceiver delivers generated text and keeps it, so that another replica can resume the generation.
type modelReceiver struct {
	g      *Gateway
	sink   TextSink
	tokens int64
	text   strings.Builder
}

func (m *modelReceiver) chunk(c *wirepb.Chunk) error {
	m.tokens += c.GetTokens()
	m.text.WriteString(c.GetText())
	if c.GetText() == "" {
		return nil
	}
	return m.sink(c.GetText())
}

// resumeMarginBytes is the part of a frame that is reserved for fields other than the resume text and the body.
const resumeMarginBytes = 64 << 10

// prepareRetry reports false if the text so far and the body do not fit into one frame.
func (m *modelReceiver) prepareRetry(s *wirepb.Submit) bool {
	if m.text.Len()+len(s.GetHttp().GetBody())+resumeMarginBytes > wire.MaxFrameBytes {
		return false
	}
	if m.tokens > 0 {
		m.g.metrics.resumes.Add(1)
	}
	s.ResumeOffset = m.tokens
	s.ResumeText = m.text.String()
	return true
}
