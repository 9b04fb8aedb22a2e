package fleetprocess_test

import (
	"context"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
)

// Guards against a process that ends right after a pause, before it has read the requests that arrived during the pause.
func TestAPauseDoesNotCountAsIdleTime(t *testing.T) {
	const quiet, pause = 200 * time.Millisecond, time.Second
	paused := false
	var resumed time.Time
	idle := fleetprocess.WaitIdle(context.Background(), 5*time.Second, quiet, func() bool {
		if !paused {
			paused = true
			time.Sleep(pause)
			resumed = time.Now()
		}
		return true
	})
	if took := time.Since(resumed); !idle || took < quiet {
		t.Fatalf("idle %v after %v, expected true after at least %v", idle, took, quiet)
	}
}
