package gateway

import (
	"context"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// PlainCall is one call of a plain service. It carries no key.
type PlainCall struct {
	RequestID      string
	Arrived        time.Time
	IdempotencyKey string
	HTTP           *wirepb.HTTPRequest
}

// PlainSink receives the response of a plain service. An error ends the request with
// kind CallerCancelled.
type PlainSink interface {
	// Head receives the HTTP status and the header fields. It is called once, before Data.
	Head(status int, headers []*wirepb.Header) error
	// Data receives the next bytes of the body.
	Data(b []byte) error
}

func (g *Gateway) runPlain(ctx context.Context, p *Principal, call PlainCall, sink PlainSink) (Result, error) {
	ctx, end, err := g.begin(ctx, p, call.Arrived)
	if err != nil {
		return Result{Ran: errkind.RanNo}, err
	}
	defer end()
	g.metrics.requests.Add(1)
	d := &dispatch{
		g: g, p: p, output: &plainReceiver{sink: sink},
		submit: &wirepb.Submit{
			RequestId: call.RequestID, Organisation: p.Organisation.Name, KeyId: p.KeyID,
			ConfigVersion: p.Snapshot.Version(), GatewayAddress: g.opts.Address, Service: p.Service.Name, Profile: p.Profile.Name,
			Http: call.HTTP, IdempotencyKey: call.IdempotencyKey,
			Repeatable: p.Service.Repeatable(call.HTTP.GetMethod()),
		},
		route: route.Request{
			Service: p.Service.Name, Plain: true, DataCentre: g.opts.DataCentre,
			OutDataCentres: g.outDataCentreNames(p.Snapshot), Count: g.opts.ProbeCount,
		},
	}
	err = d.run(ctx)
	return d.result, err
}

type plainReceiver struct {
	sink     PlainSink
	headSent bool
}

func (r *plainReceiver) chunk(c *wirepb.Chunk) error {
	if !r.headSent {
		r.headSent = true
		if err := r.sink.Head(int(c.GetHttpStatus()), c.GetHeaders()); err != nil {
			return err
		}
	}
	if len(c.GetData()) == 0 {
		return nil
	}
	return r.sink.Data(c.GetData())
}

// prepareRetry refuses another attempt once a part of the response was sent to the caller, because the output of two
// executions cannot be joined.
func (r *plainReceiver) prepareRetry(*wirepb.Submit) bool { return !r.headSent }
