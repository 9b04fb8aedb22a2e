package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// peerServesTimeout bounds one status request to another sidecar.
const peerServesTimeout = 500 * time.Millisecond

// NewPeerServes returns an Options.PeerServes that sends status requests over pool. A sidecar does not serve a model if
// it does not answer, is draining or its data centre is out.
func NewPeerServes(pool *transport.Pool, self *wirepb.Identity) func(ctx context.Context, address, model string) bool {
	return func(ctx context.Context, address, model string) bool {
		ctx, cancel := context.WithTimeout(ctx, peerServesTimeout)
		defer cancel()
		request := &wirepb.Envelope{Message: &wirepb.Envelope_StatusRequest{StatusRequest: &wirepb.StatusRequest{Identity: self}}}
		reply, err := configsync.Exchange(ctx, pool, address, request)
		if err != nil {
			return false
		}
		status := reply.GetStatus()
		return status.GetReady() && !status.GetDraining() && !status.GetDataCentreOut() &&
			slices.Contains(status.GetResident(), model)
	}
}
