package sidecars

import (
	"context"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

const (
	// dropAfter failed polls in a row the session is closed. Its conversations then break and may
	// resume elsewhere, which is how a dead or frozen host is noticed without keep-alive.
	dropAfter = 3
	// forgetAfter is the time without an answer after which an unlisted sidecar is forgotten.
	forgetAfter = time.Minute
	// maxPolls bounds the polls at once.
	maxPolls = 64
	// defaultStatusPolls covers a fleet of 21 replicas every second with the default interval.
	defaultStatusPolls = 25
)

type pollState struct {
	failures  int
	running   bool
	last      time.Time         // last answer, or first sight
	attempted time.Time         // last poll
	order     uint64            // of the first poll; random, so that gateways that start together go different ways
	used      time.Time         // last request
	stream    *transport.Stream // left open by the last poll; nil if there is none or it is in use
}

// Run polls the status of the known sidecars within the poll budget until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	slots := make(chan struct{}, maxPolls)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(c.opts.StatusInterval)
	defer ticker.Stop()
	for {
		addresses, gap := c.due()
		for i, address := range addresses {
			if i > 0 && duty.Sleep(ctx, gap) != nil {
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

// due returns the sidecars to poll in this round, and the time between two polls. It forgets those that
// left the lists and do not answer. A round above the budget, which learns a large fleet, is spread over half of the interval;
// the rest is for timers that are late. Other rounds start at once: 25 separate polls take twice the processor
// time of 25 together.
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
			c.polling[a] = &pollState{last: now, order: c.rng.Uint64()}
		}
	}
	candidates := make([]dueSidecar, 0, len(c.polling))
	for a, s := range c.polling {
		if !listed[a] && s.failures > 0 && now.Sub(s.last) > forgetAfter {
			c.forget(a, s)
			continue
		}
		r, known := c.table.Get(a)
		// A status that came with a reply makes the poll of this round unnecessary.
		if s.running || (known && now.Sub(r.At) < c.opts.StatusInterval/2) {
			continue
		}
		candidates = append(candidates, dueSidecar{
			address: a, attempted: s.attempted, order: s.order, unknown: !known,
			urgent: known && (s.failures > 0 || r.At.IsZero() || now.Sub(s.used) < usedFor),
		})
	}
	rounds := c.opts.StatusPolls * c.opts.StatusInterval.Seconds()
	c.large = float64(len(c.polling)) > rounds
	budget := max(1, int(rounds))
	addresses = pick(candidates, budget)
	for _, a := range addresses {
		c.polling[a].running, c.polling[a].attempted = true, now
	}
	if len(addresses) > budget {
		gap = c.opts.StatusInterval / 2 / time.Duration(max(1, len(addresses)))
	}
	return addresses, gap
}

func (c *Client) forget(address string, s *pollState) {
	if s.stream != nil {
		_ = s.stream.Close()
	}
	delete(c.polling, address)
	delete(c.statuses, address)
	c.table.Remove(address)
}

func (c *Client) poll(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StatusInterval)
	defer cancel()
	c.polls.Add(1)
	err := c.refresh(ctx, address, false)
	if err == nil {
		c.polled(address, true)
		return
	}
	c.pollFailures.Add(1)
	c.opts.Log.Debug("status poll failed", "sidecar", address, "error", err)
	if c.polled(address, false) {
		c.opts.Pool.Drop(address)
	}
}

// polled records the outcome of a poll and reports whether the session is to be dropped.
func (c *Client) polled(address string, ok bool) (drop bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.polling[address]
	if s == nil {
		return false
	}
	s.running = false
	if ok {
		s.failures = 0
		s.last = time.Now()
		return false
	}
	s.failures++
	if r, known := c.table.Get(address); known && time.Since(r.At) > c.opts.StatusMaxAge {
		c.table.Expire(address)
	}
	return s.failures%dropAfter == 0
}
