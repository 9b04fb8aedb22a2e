package ingress

import (
	"sync"
	"time"
)

// watchdogRepeat is the pause between two tries of a watchdog that may not act.
const watchdogRepeat = 100 * time.Millisecond

// watchdog acts when nothing was heard for a while and something can be done about it.
type watchdog struct {
	allowed func() bool
	act     func()
	looking sync.Mutex // held while it looks

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// newWatchdog returns a watchdog that looks after patience, and then again and again, whether it is allowed to act.
func newWatchdog(patience time.Duration, allowed func() bool, act func()) *watchdog {
	w := &watchdog{allowed: allowed, act: act}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(patience, w.look)
	return w
}

func (w *watchdog) look() {
	w.looking.Lock()
	defer w.looking.Unlock()
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	if !w.allowed() {
		w.Reset(watchdogRepeat)
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

// Reset starts the wait again.
func (w *watchdog) Reset(patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(patience)
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
