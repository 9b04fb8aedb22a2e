package transport

import "time"

// ReloadInterval exports reloadInterval to external tests.
const ReloadInterval = reloadInterval

// SetClock replaces the clock that c uses.
func (c *Certificates) SetClock(now func() time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
}
