package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// maxNotFound is the number of reads that find no row after which a release is abandoned.
const maxNotFound = 4

// Run retries outcomes and releases until ctx is done, and returns its error.
func (b *Claims) Run(ctx context.Context) error {
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

// retry executes a task with exponentially growing pauses until it is finished or ctx is done.
func (b *Claims) retry(ctx context.Context, t task) {
	pause, notFound := minRetryPause, 0
	for {
		done, err := b.execute(ctx, t)
		if errors.Is(err, tablestore.ErrNotFound) {
			notFound++
		}
		if done || notFound >= maxNotFound {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			b.opts.Log.Error("claim left without an outcome; repeats of the call may be refused as in progress",
				"row", t.claim.key.String(), "reason", "process is shutting down", "error", err)
			return
		case <-timer.C:
		}
		pause = min(2*pause, maxRetryPause)
	}
}
