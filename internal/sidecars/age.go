package sidecars

import "time"

// Age returns the age of the last status of the sidecar at address, and false if there is none.
func (c *Client) Age(address string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.table.Get(address)
	return time.Since(r.At), ok
}

// PollRound returns the time in which every known sidecar is polled once.
func (c *Client) PollRound() time.Duration {
	round := time.Duration(float64(c.Known()) / c.opts.StatusPolls * float64(time.Second))
	return max(round, c.opts.StatusInterval)
}
