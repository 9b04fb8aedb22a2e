package peers

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// ProviderScore is exported for the tests.
var ProviderScore = providerScore

// MaxRowBytes is exported for the tests.
const MaxRowBytes = maxRowBytes

// RequestRow gets the operator's configuration from the gateway at address.
func (m *Mesh) RequestRow(ctx context.Context, address string) (*wirepb.StoreRow, error) {
	row, _, err := m.requestRow(ctx, address, rowKey{"op", "config"})
	return row, err
}

// UsageStream is the part of a stream to one peer that carries counts of requests.
type UsageStream struct {
	sent     *sentState
	decoders nameDecoders
}

// NewUsageStream returns a stream from the gateway with the given incarnation.
func NewUsageStream(incarnation string) *UsageStream {
	return &UsageStream{newSentState(), nameDecoders{replicas: make(nameDecoder), organisations: make(nameDecoder), sources: make(nameDecoder), incarnation: incarnation}}
}

// Next returns what the peer receives with the next update, or nil. The sender or the peer may hold the duties, and the peer may be
// the standby.
func (s *UsageStream) Next(report *wirepb.UsageReport, senderHolds, peerHolds, standby bool) *wirepb.UsageReport {
	own := &ownState{usage: report, holdsDuties: senderHolds}
	if standby {
		own.usageStandby = "peer"
	}
	u := new(wirepb.PeerUpdate)
	s.sent.addUsage(u, own, "peer", peerHolds)
	if !s.decoders.decodeUsage(u) {
		panic("a number without a name")
	}
	return u.GetUsage()
}

// ScaleStream passes the demand for services with scaling from one gateway to another as a stream between them does.
type ScaleStream struct {
	sent     *sentState
	received receivedScale
}

// NewScaleStream returns a new stream.
func NewScaleStream() *ScaleStream {
	return &ScaleStream{newSentState(), receivedScale{services: make(map[string]*wirepb.ServiceDemand), names: make(nameDecoder)}}
}

// Pass sends an update to a peer that holds the duties under the given epoch, or does not if that is zero. It returns the report in
// the update, the epoch and the demand that the peer has after it, and whether the peer understood it.
func (s *ScaleStream) Pass(demand []*wirepb.ServiceDemand, scaled bool, epoch int64) (
	report *wirepb.ScaleReport, known int64, services map[string]*wirepb.ServiceDemand, ok bool) {
	u := new(wirepb.PeerUpdate)
	s.sent.addScale(u, &ownState{serviceDemand: demand, scaled: scaled}, epoch)
	ok = s.received.apply(proto.CloneOf(u).GetScale()) // the names are decoded in place
	return u.GetScale(), s.received.epoch, s.received.services, ok
}
