package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// servesTimeout bounds one question to another sidecar.
const servesTimeout = 500 * time.Millisecond

// AskServes returns an Options.Serves that asks over pool. A sidecar that does not answer, drains or whose
// data centre is out does not serve.
func AskServes(pool *transport.Pool, self *wirepb.Identity) func(ctx context.Context, address, model string) bool {
	return func(ctx context.Context, address, model string) bool {
		ctx, cancel := context.WithTimeout(ctx, servesTimeout)
		defer cancel()
		request := &wirepb.Envelope{Message: &wirepb.Envelope_StatusRequest{StatusRequest: &wirepb.StatusRequest{Identity: self}}}
		reply, err := configsync.Converse(ctx, pool, address, request)
		if err != nil {
			return false
		}
		status := reply.GetStatus()
		return status.GetReady() && !status.GetDraining() && !status.GetDataCentreOut() &&
			slices.Contains(status.GetResident(), model)
	}
}
