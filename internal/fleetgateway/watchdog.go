package fleetgateway

import (
	"sync"
	"time"
)

// watchdogRetryInterval is the time between two checks of a watchdog that may not act yet.
const watchdogRetryInterval = 100 * time.Millisecond

// watchdogEarlyDelay is the longest time after which a watchdog first checks whether it can act before its timeout.
const watchdogEarlyDelay = 500 * time.Millisecond

// watchdog calls a function when nothing was received within a timeout and the function is allowed to be called.
type watchdog struct {
	early    func() bool // reports whether waiting for the timeout is pointless
	allowed  func() bool
	act      func()
	checking sync.Mutex // held during a check

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Time // end of the timeout
	stopped bool
}

// newWatchdog returns a watchdog that calls act at most once: after timeout as soon as allowed returns true, and
// before that only if early returns true as well. It checks repeatedly until it is stopped.
func newWatchdog(timeout time.Duration, early, allowed func() bool, act func()) *watchdog {
	w := &watchdog{early: early, allowed: allowed, act: act, due: time.Now().Add(timeout)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(min(timeout, watchdogEarlyDelay), w.check)
	return w
}

func (w *watchdog) check() {
	w.checking.Lock()
	defer w.checking.Unlock()
	w.mu.Lock()
	stopped, due := w.stopped, !time.Now().Before(w.due)
	w.mu.Unlock()
	if stopped {
		return
	}
	if (!due && !w.early()) || !w.allowed() {
		w.reschedule()
		return
	}
	w.mu.Lock()
	stopped = w.stopped
	w.stopped = true
	w.mu.Unlock()
	if !stopped {
		w.act()
	}
}

func (w *watchdog) reschedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(watchdogRetryInterval)
	}
}

// Reset restarts the timeout.
func (w *watchdog) Reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.due = time.Now().Add(timeout)
		w.timer.Reset(min(timeout, watchdogEarlyDelay))
	}
}

// Stop ends the watchdog. It waits for a check in progress.
func (w *watchdog) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	w.checking.Lock()
	defer w.checking.Unlock()
}
