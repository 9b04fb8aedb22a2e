package coldshare

import "time"

// Pacer gives turns at one cold server to the requests of all gateways, in the order in which they ask. It stands beside
// the server, so that the gateways together use all of what the server bears, whichever of them has the requests. It is not
// safe for concurrent use.
//
// The load it answers: the whole fleet starts again at once, every server is cold, and the callers of a hot model come
// back through a few of many gateways. Fixed parts of the gateways then leave most turns unused.
type Pacer struct {
	next time.Duration // when the next turn is free
}

// Ask gives a turn if one is free within most, and returns the time until it. Otherwise it returns the time until a
// turn will be free. The server bears perSecond requests.
func (p *Pacer) Ask(now time.Duration, perSecond float64, most time.Duration) (wait time.Duration, granted bool) {
	at := max(p.next, now)
	if wait = at - now; wait > most || perSecond <= 0 {
		return wait, false
	}
	p.next = at + time.Duration(float64(time.Second)/perSecond)
	return wait, true
}
