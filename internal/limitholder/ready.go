package limitholder

import (
	"context"
	"time"
)

const (
	// configPollInterval is the time between two checks for the first configuration.
	configPollInterval = 50 * time.Millisecond
	// startupRoundInterval is the mean time between two rounds until the holder is ready. With the default
	// ReadyTimeout a start needs about ten reads at most.
	startupRoundInterval = 500 * time.Millisecond
	// requestedRoundInterval is the mean time between rounds that callers requested. While a partition has no
	// holder every gateway requests rounds, and 400 gateways must not use up the 2,000 reads a second of the table
	// service.
	requestedRoundInterval = time.Second
)

// Ready reports whether the gateway can take requests: every partition has a known holder, or the table
// service does not answer, or ReadyTimeout has passed since the first configuration. Once true it stays true,
// because a partition that loses its holder later must not take every gateway out of service.
func (h *Holder) Ready() bool {
	if h.opts.Snapshot().Version() == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if !h.configurationSeen {
		h.configurationSeen, h.configurationSeenAt = true, now
	}
	h.ready = h.ready || h.storeUnavailable || now >= h.configurationSeenAt+h.opts.ReadyTimeout || h.allPartitionsHeld(now)
	return h.ready
}

// allPartitionsHeld reports whether every partition has a known holder in at least one data centre. The caller
// holds mu.
func (h *Holder) allPartitionsHeld(now time.Duration) bool {
	held := make([]bool, h.opts.Partitions)
	for _, l := range h.allLeases() {
		held[l.partitionNumber] = held[l.partitionNumber] || l.valid(now)
	}
	for p, row := range h.rows {
		if p.partition < len(held) && !row.Released && row.Address != h.opts.Address && !h.opts.Removed(row.Address) {
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

// nextRoundDelay returns the time until the next scheduled round.
func (h *Holder) nextRoundDelay() time.Duration {
	h.mu.Lock()
	first := !h.roundCompleted
	h.mu.Unlock()
	switch {
	case first:
		return configPollInterval
	case !h.Ready():
		return jitter(startupRoundInterval)
	}
	return jitter(h.opts.Interval)
}

// requestedRoundDelay returns the time until a requested round: short enough for the caller to wait, but
// longer if another requested round was recent.
func (h *Holder) requestedRoundDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	delay := jitter(h.opts.HolderWait / 2)
	if h.roundWasRequested && now < h.requestedRoundAt+requestedRoundInterval {
		delay = jitter(requestedRoundInterval)
	}
	h.roundWasRequested, h.requestedRoundAt = true, now+delay
	return delay
}

// completeRound wakes the callers that wait for a round.
func (h *Holder) completeRound() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roundCompleted = true
	close(h.roundDone)
	h.roundDone = make(chan struct{})
}

// awaitRound requests an early round, and reports whether one ended before ctx was done and its read
// succeeded.
func (h *Holder) awaitRound(ctx context.Context) bool {
	h.mu.Lock()
	running, done := h.running, h.roundDone
	h.mu.Unlock()
	h.RequestRound()
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
	return !h.storeUnavailable
}

func (h *Holder) setRunning(running bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = running
}
