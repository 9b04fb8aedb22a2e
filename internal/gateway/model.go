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
	PromptTokens    int64 // estimate from the text alone
	MaxOutputTokens int64
	Stream          bool
	PrefixHash      string
	HTTP            *wirepb.HTTPRequest
}

// TextSink takes generated text in order.
type TextSink func(text string) error

// OutputTokens returns the largest number of output tokens for a call that asks for asked tokens, or for
// the default if asked is 0. The error is BadRequest if the profile allows fewer.
func (p *Principal) OutputTokens(asked int64) (int64, error) {
	limit := p.Profile.MaxOutputTokens
	switch {
	case asked < 0:
		return 0, errkind.New(errkind.BadRequest, "a negative number of output tokens")
	case asked > limit:
		return 0, errkind.New(errkind.BadRequest, "%d output tokens exceed the %d that profile %s allows", asked, limit, p.Profile.Name)
	case asked == 0:
		return limit, nil
	}
	return asked, nil
}

// Model returns the configuration of a model of the principal's service, or ModelUnknown.
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
	to := &modelReceiver{g: g, sink: sink}
	d := &dispatch{
		g: g, p: p, to: to,
		submit: &wirepb.Submit{
			RequestId: call.RequestID, Organisation: p.Organisation.Name, KeyId: p.KeyID,
			ConfigVersion: p.Snapshot.Version(), GatewayAddress: g.opts.Address, Service: p.Service.Name, Profile: p.Profile.Name,
			Model: model.Name, PromptTokens: estimate, MaxOutputTokens: call.MaxOutputTokens,
			Stream: call.Stream, Http: call.HTTP, PrefixHash: call.PrefixHash, Repeatable: true,
		},
		route: route.Request{
			Service: p.Service.Name, Model: model.Name, Base: model.Base, DataCentre: g.opts.DataCentre,
			PrefixHash: call.PrefixHash, OutCentres: g.out(p.Snapshot), Count: g.opts.ProbeCount,
		},
	}
	err = d.run(ctx)
	d.result.OutputTokens = to.tokens
	if d.ended && d.result.Attempts == 1 && !d.result.Replayed {
		g.estimates.learn(model.Name, call.PromptTokens, d.result.PromptTokens)
	}
	if d.result.PromptTokens == 0 {
		d.result.PromptTokens = estimate
	}
	settle(reservation, reserved, d)
	return d.result, err
}

// reservedTokens returns what a call reserves. The correction alone does not make a request larger than the
// burst, which would refuse it for good.
func reservedTokens(call ModelCall, estimate, burst int64) int64 {
	return min(estimate+call.MaxOutputTokens, max(call.PromptTokens+call.MaxOutputTokens, burst))
}

// settle refunds what the request did not use, and charges what it used beyond the reservation. A request
// with an unknown outcome is charged what it reserved, because the tokens that it used cannot be known.
func settle(r Reservation, reserved int64, d *dispatch) {
	var unused int64
	switch {
	case d.ended:
		unused = reserved - d.result.PromptTokens - d.result.OutputTokens
		if d.result.Attempts > 1 {
			unused = max(0, unused) // a prompt that was read again is not the organisation's doing
		}
	case d.result.Ran == errkind.RanNo:
		unused = reserved
	}
	if unused != 0 {
		r.Refund(unused)
	}
}

// modelReceiver delivers generated text and remembers it, so that another replica can continue it.
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

// resumeRoom is kept free in a frame for its other fields, bytes.
const resumeRoom = 64 << 10

func (m *modelReceiver) prepare(s *wirepb.Submit) bool {
	if m.text.Len()+len(s.GetHttp().GetBody())+resumeRoom > wire.MaxFrameBytes {
		return false
	}
	if m.tokens > 0 {
		m.g.metrics.resumes.Add(1)
	}
	s.ResumeOffset = m.tokens
	s.ResumeText = m.text.String()
	return true
}
