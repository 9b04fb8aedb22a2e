package transport

import "time"

// ReloadInterval is the shortest time between two looks at the files.
const ReloadInterval = reloadInterval

// SetClock replaces the clock of c.
func (c *Certificates) SetClock(now func() time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
}
