package arrivals

// Idle returns the number of connections that are idle after a request.
func (a *Tracker) Idle() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for c := range a.conns {
		if c.used && !c.serving {
			n++
		}
	}
	return n
}
