package peers

import (
	"context"

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
	return &UsageStream{newSentState(), nameDecoders{make(nameDecoder), make(nameDecoder), make(nameDecoder), incarnation}}
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
