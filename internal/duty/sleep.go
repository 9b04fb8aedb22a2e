package duty

import (
	"context"
	"time"
)

// Sleep waits for d, or returns the context's error when ctx ends first. A d that is not positive does not wait.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
