// Package coldstart limits the rate of requests to a backend server that has just started and is still cold. Shares
// is for a gateway that has to keep to its own part of the rate; Pacer is for the agent beside the server, which
// grants turns to all gateways. Neither reads a clock: the time is passed in.
//
// It is designed for servers that restart while every gateway has requests waiting for them. A cold server crashes
// above its maximum rate, counted over all gateways, so each gateway may send only its own part.
package coldstart

import "time"

const (
	// eligibleFactor times a cold server's maximum requests per second is the number of gateways that may send it
	// requests, so that the first requests of all of them, sent at the same time, stay below the maximum.
	eligibleFactor = 0.75
	// burst is the capacity of a token bucket: the number of requests that a gateway may send without a pause.
	burst = 1
)

// Shares tracks one gateway's parts of the rates of cold servers, with a token bucket for each server. It is not
// safe for concurrent use.
type Shares struct{ servers map[string]*server }

type server struct {
	notice     int64         // ID of the last notice
	coldUntil  time.Duration // end of the time for which it is cold
	tokens     float64
	refilledAt time.Duration
}

// New returns Shares without cold servers.
func New() *Shares { return &Shares{servers: make(map[string]*server)} }

// Notice records that the server id stays cold for the duration left, counted from now. notice is the ID of this
// notice; a call with the ID of the server's last notice changes nothing.
func (s *Shares) Notice(id string, notice int64, left, now time.Duration) {
	c := s.servers[id]
	if c == nil {
		if left <= 0 {
			return
		}
		c = &server{refilledAt: now}
		s.servers[id] = c
	}
	if c.notice == notice {
		return
	}
	c.notice = notice
	if left > 0 && now >= c.coldUntil {
		c.tokens, c.refilledAt = 0, now
	}
	c.coldUntil = max(c.coldUntil, now+left)
}

// Cold reports whether a server is cold.
func (s *Shares) Cold(id string, now time.Duration) bool {
	c := s.servers[id]
	return c != nil && now < c.coldUntil
}

// Part returns the rate, in requests per second, at which one gateway may send requests to a cold server that takes
// perSecond from all gateways together. rank is the gateway's position, from zero, in an order that all gateways
// agree on.
func Part(perSecond float64, gateways, rank int) float64 {
	eligible := max(1, min(gateways, int(perSecond*eligibleFactor)))
	if rank >= eligible {
		return 0
	}
	return perSecond / float64(eligible)
}

// Free reports whether another request may be sent to a cold server at the given rate in requests per second. A
// server without a notice is not limited.
func (s *Shares) Free(id string, rate float64, now time.Duration) bool {
	c := s.servers[id]
	if c == nil {
		return true
	}
	c.tokens = min(c.tokens+(now-c.refilledAt).Seconds()*rate, burst)
	c.refilledAt = now
	return c.tokens >= 1
}

// Spend counts a request that is sent to a server.
func (s *Shares) Spend(id string) {
	if c := s.servers[id]; c != nil {
		c.tokens = max(0, c.tokens-1)
	}
}

// Forget removes a server that is no longer listed.
func (s *Shares) Forget(id string) { delete(s.servers, id) }
