package limitholder

import (
	"context"
	"time"
)

const (
	// configPause is the time between two looks for the first configuration.
	configPause = 50 * time.Millisecond
	// startPause is the time between two reads of the lease rows, before jitter, until every partition has
	// a known holder. With the default of ReadyWithin a start costs about ten reads at most.
	startPause = 500 * time.Millisecond
	// kickSpacing is the mean time between reads that callers asked for. While a partition has no holder
	// every gateway asks, and 400 of them may not take the table service's 2,000 reads a second.
	kickSpacing = time.Second
)

// Ready reports whether the holder knew a holder of every partition, or found that the table service did
// not answer, or has waited for ReadyWithin. Once ready it stays ready: a partition that loses its holder
// later is no reason to take every gateway out.
func (h *Holder) Ready() bool {
	if h.opts.Snapshot().Version() == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if !h.configured {
		h.configured, h.configuredAt = true, now
	}
	h.ready = h.ready || h.away || now >= h.configuredAt+h.opts.ReadyWithin || h.allHeld(now)
	return h.ready
}

// allHeld reports whether every partition has a known holder in some data centre.
func (h *Holder) allHeld(now time.Duration) bool {
	held := make([]bool, h.opts.Partitions)
	for _, l := range h.allLeases() {
		held[l.number] = held[l.number] || l.valid(now)
	}
	for p, row := range h.rows {
		if p.partition < len(held) && !row.Returned && row.Address != h.opts.Address && !h.opts.Removed(row.Address) {
			held[p.partition] = true
		}
	}
	for _, ok := range held {
		if !ok {
			return false
		}
	}
	return true
}

// pause returns the time until the next round.
func (h *Holder) pause() time.Duration {
	h.mu.Lock()
	first := !h.tried
	h.mu.Unlock()
	switch {
	case first:
		return configPause
	case !h.Ready():
		return jitter(startPause)
	}
	return jitter(h.opts.Interval)
}

// kickPause returns the time until a round that a caller asked for: short enough for the caller to wait,
// but longer if the last round was lately.
func (h *Holder) kickPause() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.opts.Now() < h.readAt+kickSpacing {
		return jitter(kickSpacing)
	}
	return jitter(h.opts.NoHolderWait / 2)
}

// finished wakes the callers that wait for a read of the lease rows.
func (h *Holder) finished() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tried = true
	h.readAt = h.opts.Now()
	close(h.roundDone)
	h.roundDone = make(chan struct{})
}

// awaitRound asks for an early read of the lease rows, and reports whether one ended well before ctx did.
func (h *Holder) awaitRound(ctx context.Context) bool {
	h.mu.Lock()
	running, done := h.running, h.roundDone
	h.mu.Unlock()
	h.Refresh()
	if !running {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-done:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.away
}

func (h *Holder) setRunning(running bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = running
}
