package sidecarclient

import (
	"context"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

const (
	// failuresBeforeDrop is the number of consecutive failed polls after which the session is closed. Its streams then
	// fail and requests may resume at another sidecar. A dead or hanging host is detected this way without keep-alive.
	failuresBeforeDrop = 3
	// unlistedRetention is the time without an answer after which a sidecar that is no longer listed is removed.
	unlistedRetention = time.Minute
	// maxConcurrentPolls is the maximum number of polls at the same time.
	maxConcurrentPolls = 64
	// defaultStatusPolls is the maximum number of polls per second if Options.StatusPolls is not set. With the default
	// interval it is enough to poll a fleet of 21 replicas every second.
	defaultStatusPolls = 25
)

// pollState is the state of polling one sidecar.
type pollState struct {
	failures    int               // consecutive failed polls
	running     bool              // a poll is in progress
	lastAnswer  time.Time         // last answer to a poll, or when the sidecar was first listed
	lastPoll    time.Time         // start of the last poll; zero if there was none
	tieBreak    uint64            // random order of first polls, so that gateways that start together poll different sidecars
	lastRequest time.Time         // when a request was last sent to the sidecar
	stream      *transport.Stream // open stream for the next status request; nil if there is none or it is in use
}

// Run polls the statuses of the listed sidecars within the poll budget until ctx ends, and returns the error of ctx.
func (c *Client) Run(ctx context.Context) error {
	slots := make(chan struct{}, maxConcurrentPolls)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(c.opts.StatusInterval)
	defer ticker.Stop()
	for {
		addresses, gap := c.due()
		for i, address := range addresses {
			if i > 0 && background.Sleep(ctx, gap) != nil {
				return ctx.Err()
			}
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			wg.Go(func() {
				defer func() { <-slots }()
				c.poll(ctx, address)
			})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// due returns the sidecars to poll in this round, and the time between two polls. It removes sidecars that are no longer
// listed and do not answer. A round above the budget, which gets the first statuses of a large fleet, is spread over half
// of the interval; the other half is a reserve for timers that fire late. The polls of other rounds start together: 25
// polls at separate times take twice the processor time of 25 that start together.
func (c *Client) due() (addresses []string, gap time.Duration) {
	listed := make(map[string]bool)
	for _, a := range c.opts.Static {
		listed[a] = true
	}
	if c.opts.HostList != nil {
		for _, a := range c.opts.HostList.Sidecars() {
			listed[a] = true
		}
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range listed {
		if c.polling[a] == nil {
			c.polling[a] = &pollState{lastAnswer: now, tieBreak: c.rng.Uint64()}
		}
	}
	candidates := make([]pollCandidate, 0, len(c.polling))
	for a, s := range c.polling {
		if !listed[a] && s.failures > 0 && now.Sub(s.lastAnswer) > unlistedRetention {
			c.removeSidecar(a, s)
			continue
		}
		r, known := c.table.Get(a)
		// A recent status, such as one in the reply to a request, makes the poll of this round unnecessary.
		if s.running || (known && now.Sub(r.StatusAt) < c.opts.StatusInterval/2) {
			continue
		}
		candidates = append(candidates, pollCandidate{
			address: a, lastPoll: s.lastPoll, tieBreak: s.tieBreak, noStatus: !known,
			urgent: known && (s.failures > 0 || r.StatusAt.IsZero() || now.Sub(s.lastRequest) < recentUsePeriod),
		})
	}
	pollsPerInterval := c.opts.StatusPolls * c.opts.StatusInterval.Seconds()
	c.largeFleet = float64(len(c.polling)) > pollsPerInterval
	budget := max(1, int(pollsPerInterval))
	addresses = pick(candidates, budget)
	for _, a := range addresses {
		c.polling[a].running, c.polling[a].lastPoll = true, now
	}
	if len(addresses) > budget {
		gap = c.opts.StatusInterval / 2 / time.Duration(max(1, len(addresses)))
	}
	return addresses, gap
}

// removeSidecar deletes all that is stored about a sidecar and closes its stream. c.mu must be held.
func (c *Client) removeSidecar(address string, s *pollState) {
	if s.stream != nil {
		_ = s.stream.Close()
	}
	delete(c.polling, address)
	delete(c.statuses, address)
	c.table.Remove(address)
}

// poll polls one sidecar. After failuresBeforeDrop consecutive failures it closes the session.
func (c *Client) poll(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StatusInterval)
	defer cancel()
	c.polls.Add(1)
	err := c.refresh(ctx, address, false)
	if err == nil {
		c.recordPoll(address, true)
		return
	}
	c.pollFailures.Add(1)
	c.opts.Log.Debug("status poll failed", "sidecar", address, "error", err)
	if c.recordPoll(address, false) {
		c.opts.Pool.Drop(address)
	}
}

// recordPoll records the outcome of a poll and reports whether the session must be closed. After a failure, a status
// older than StatusMaxAge is expired, so that Select does not try to refresh it.
func (c *Client) recordPoll(address string, ok bool) (drop bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.polling[address]
	if s == nil {
		return false
	}
	s.running = false
	if ok {
		s.failures = 0
		s.lastAnswer = time.Now()
		return false
	}
	s.failures++
	if r, known := c.table.Get(address); known && time.Since(r.StatusAt) > c.opts.StatusMaxAge {
		c.table.Expire(address)
	}
	return s.failures%failuresBeforeDrop == 0
}
