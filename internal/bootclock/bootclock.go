// Package bootclock reads the clock CLOCK_BOOTTIME, which advances while the host is suspended. Use it for leases and for
// the age of data from other processes, because the monotonic clock stops during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed moment. It never decreases.
type Clock func() time.Duration

// Now returns the time since the host started, including suspensions. It panics if the kernel does not have the clock;
// every supported kernel has it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
