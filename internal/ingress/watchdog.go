package ingress

import (
	"sync"
	"time"
)

// watchdogRepeat is the pause between two tries of a watchdog that may not act.
const watchdogRepeat = 100 * time.Millisecond

// watchdogEarly is how long a watchdog waits before it asks whether it need not wait for its patience.
const watchdogEarly = 500 * time.Millisecond

// watchdog acts when nothing was heard for a while and something can be done about it.
type watchdog struct {
	early   func() bool // there is no use in waiting on
	allowed func() bool
	act     func()
	looking sync.Mutex // held while it looks

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Time // end of the patience
	stopped bool
}

// newWatchdog returns a watchdog that looks after patience, and then again and again, whether it is allowed to act.
// Before that it acts only if early says so.
func newWatchdog(patience time.Duration, early, allowed func() bool, act func()) *watchdog {
	w := &watchdog{early: early, allowed: allowed, act: act, due: time.Now().Add(patience)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(min(patience, watchdogEarly), w.look)
	return w
}

func (w *watchdog) look() {
	w.looking.Lock()
	defer w.looking.Unlock()
	w.mu.Lock()
	stopped, due := w.stopped, !time.Now().Before(w.due)
	w.mu.Unlock()
	if stopped {
		return
	}
	if (!due && !w.early()) || !w.allowed() {
		w.again()
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

func (w *watchdog) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(watchdogRepeat)
	}
}

// Reset starts the wait again.
func (w *watchdog) Reset(patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.due = time.Now().Add(patience)
		w.timer.Reset(min(patience, watchdogEarly))
	}
}

// Stop ends the watch. It waits for a look that is under way.
func (w *watchdog) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	w.looking.Lock()
	defer w.looking.Unlock()
}
