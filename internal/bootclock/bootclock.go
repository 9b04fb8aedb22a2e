// Package bootclock reads the clock that goes on while the host is suspended. Leases and the age of what
// another process said are counted on it, because the monotonic clock stands still during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since some fixed moment. It never goes back.
type Clock func() time.Duration

// Now returns the time since the host started, suspensions included. It panics if the kernel has no such clock,
// which no supported kernel lacks.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
