package sidecarclient

import "time"

// StatusAge returns the time since the last status of the sidecar at address was requested, and false if there is no status.
func (c *Client) StatusAge(address string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.table.Get(address)
	return time.Since(r.StatusAt), ok
}

// PollRound returns the time in which every sidecar with a status is polled once. It is at least the status interval.
func (c *Client) PollRound() time.Duration {
	round := time.Duration(float64(c.KnownCount()) / c.opts.StatusPolls * float64(time.Second))
	return max(round, c.opts.StatusInterval)
}
