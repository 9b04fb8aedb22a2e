// Package coldshare bounds the requests that the gateways together send to a server that has just started. It is pure:
// the time is passed in.
//
// The load it answers: servers that come back cold while every gateway has requests waiting for them. A cold server
// crashes above its bound, counted over all gateways, so each gateway may send only its own part.
package coldshare

import "time"

const (
	// eligibleShare of a server's requests a second is the number of gateways that may use it while it is cold, so that
	// their first requests together, each sent at once, stay below the bound.
	eligibleShare = 0.75
	// atOnce is how many requests a gateway may send without a pause.
	atOnce = 1
)

// Shares are the parts of one gateway in the cold servers. They are not safe for concurrent use.
type Shares struct{ servers map[string]*server }

type server struct {
	notice int64         // last notice that said it is cold
	until  time.Duration // end of the cold time
	tokens float64
	at     time.Duration
}

// New returns shares without cold servers.
func New() *Shares { return &Shares{servers: make(map[string]*server)} }

// Notice records that a server stays cold for left from now. notice tells notices apart: one that was seen before
// changes nothing.
func (s *Shares) Notice(id string, notice int64, left, now time.Duration) {
	c := s.servers[id]
	if c == nil {
		if left <= 0 {
			return
		}
		c = &server{at: now}
		s.servers[id] = c
	}
	if c.notice == notice {
		return
	}
	c.notice = notice
	if left > 0 && now >= c.until {
		c.tokens, c.at = 0, now
	}
	c.until = max(c.until, now+left)
}

// Cold reports whether a server is cold.
func (s *Shares) Cold(id string, now time.Duration) bool {
	c := s.servers[id]
	return c != nil && now < c.until
}

// Part returns the rate at which one gateway may send requests to a cold server that bears perSecond from all gateways
// together. rank is the gateway's position in an order that all gateways agree on, from zero.
func Part(perSecond float64, gateways, rank int) float64 {
	eligible := max(1, min(gateways, int(perSecond*eligibleShare)))
	if rank >= eligible {
		return 0
	}
	return perSecond / float64(eligible)
}

// Free reports whether another request may go to a cold server at the given rate.
func (s *Shares) Free(id string, rate float64, now time.Duration) bool {
	c := s.servers[id]
	if c == nil {
		return true
	}
	c.tokens = min(c.tokens+(now-c.at).Seconds()*rate, atOnce)
	c.at = now
	return c.tokens >= 1
}

// Spend counts a request.
func (s *Shares) Spend(id string) {
	if c := s.servers[id]; c != nil {
		c.tokens = max(0, c.tokens-1)
	}
}

// Forget drops a server that is gone.
func (s *Shares) Forget(id string) { delete(s.servers, id) }
