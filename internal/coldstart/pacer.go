package coldstart

import "time"

// minPerSecond is the rate below which a server counts as taking no requests. One turn at a rate near zero, or at one that is no
// number, would otherwise take the server from all gateways for years.
const minPerSecond = 0.01

// Pacer grants turns at one cold server to the requests of all gateways, in the order in which they ask. A turn is
// the time at which one request may be sent. The pacer runs beside the server, so that the gateways together use the
// server's whole rate, whichever of them has the requests. It is not safe for concurrent use.
//
// It is designed for a restart of the whole fleet: every server is cold, and the callers of a heavily used model
// come back through a few of many gateways. With fixed parts for the gateways, most turns would stay unused.
type Pacer struct {
	next time.Duration // time of the next free turn
}

// Reserve grants a turn if one is free within maxWait, and returns the time until it. Otherwise it returns the time
// until the next turn is free. perSecond is the number of requests that the server takes in a second; if it is not at
// least minPerSecond, no turn is granted.
func (p *Pacer) Reserve(now time.Duration, perSecond float64, maxWait time.Duration) (wait time.Duration, granted bool) {
	at := max(p.next, now)
	if wait = at - now; wait > maxWait || !(perSecond >= minPerSecond) {
		return wait, false
	}
	p.next = at + time.Duration(float64(time.Second)/perSecond)
	return wait, true
}
