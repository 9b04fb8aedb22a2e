package booking

import (
	"context"
	"errors"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// maxAbsent is how many times a release looks for a row that isn't there before it gives up.
const maxAbsent = 4

// Run retries outcomes and releases until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case t := <-b.backlog.C():
			b.retry(ctx, t)
			b.pending.Add(-1)
		}
	}
}

// retry tries a task with growing pauses until it is done or ctx ends.
func (b *Book) retry(ctx context.Context, t task) {
	pause, absent := retryMin, 0
	for {
		done, err := b.settle(ctx, t)
		if errors.Is(err, tablestore.ErrNotFound) {
			absent++
		}
		if done || absent >= maxAbsent {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			b.opts.Log.Error("claim left without an outcome", "row", t.claim.key.String(), "reason", "process ends", "error", err)
			return
		case <-timer.C:
		}
		pause = min(2*pause, retryMax)
	}
}
