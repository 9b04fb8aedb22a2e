// Package dispatch chooses the backend server for a request by the time to its first token, or to its answer. The
// choice is pure; Table keeps what it depends on.
//
// The load it answers: prompts of thousands of tokens of which most are shared, so that a server that still caches
// them answers several times faster; a few hot models that move within seconds; servers that turn slow without
// saying so; and bursts in which the wait for prompts ahead outweighs everything else.
package dispatch

import (
	"math"
	"time"
)

const (
	// remoteMS is the cost of another data centre in milliseconds: a millisecond for the way there and back, and what
	// traffic between data centres costs its operators. It is below what a caller of a stream notices.
	remoteMS = 8
	// adapterMS is the cost of loading an adapter before the request in milliseconds: an order, a load of some
	// milliseconds and the report of it.
	adapterMS = 25
	// decodeShare is the slowdown of reading prompts by each request in the batch: every step computes one token for
	// each of them between two pieces of prompt.
	decodeShare = 0.004
	// batchMS is the cost of each request in a server's batch in milliseconds: all its streams get slower, those that run
	// and this one, whose events share the steps with the prompts of the others.
	batchMS = 3
	// evictShare is the cost of reading a token of a prompt in multiples of the time that it takes, beyond that time: what is
	// read anew takes the place of other prompts in the cache, which then have to be read anew too.
	evictShare = 1
	// stretchMS is the cost in milliseconds of reading a thousand tokens for each request in the batch, whose next event
	// waits meanwhile.
	stretchMS = 4
	// memoryWaitMS is the wait in milliseconds for a server's whole memory to be freed by requests that end: about
	// the duration of a request.
	memoryWaitMS = 1500
	// stalledMS is the cost of a server that sends nothing and whose host does not report either: about the rest of an
	// ordinary freeze of a host.
	stalledMS = 3000
	// slotWaitMS is the wait in milliseconds for one round of requests when every slot is taken.
	slotWaitMS = 1000
)

// Candidate is a server as the choice sees it.
type Candidate struct {
	ID         string
	Address    string
	DataCentre string
	InFlight   int     // requests of all gateways
	Slots      int     // requests at the same time
	Ahead      float64 // prompt tokens of all gateways that wait for their first token
	Memory     float64 // tokens of the requests in flight
	Capacity   float64 // memory in tokens; zero if unknown
	Uncached   float64 // prompt tokens of this request that the server must read
	Need       float64 // memory that this request adds, in tokens
	Rate       float64 // prompt tokens a millisecond; zero for a plain service
	ServiceMS  float64 // time of one request of a plain service in milliseconds
	Slowness   float64 // measured time over predicted time, 1 for an ordinary server
	NoAdapter  bool    // the adapter must be loaded first
	TurnMS     float64 // milliseconds until the server, which is cold, bears another request
	PenaltyMS  float64 // for recent failures
	Stalled    bool    // its requests are overdue and it sends nothing
	Reporting  bool    // a process on its host reports, so the host does not stand still
}

// Predicted returns the time to the first token, or to the answer of a plain service, without the penalties.
func (c *Candidate) Predicted() time.Duration {
	return time.Duration(c.predictedMS() * float64(time.Millisecond))
}

func (c *Candidate) predictedMS() float64 {
	if c.Rate <= 0 {
		rounds := math.Floor(float64(c.InFlight)/float64(max(1, c.Slots))) + 1
		return c.TurnMS + rounds*c.ServiceMS*c.Slowness
	}
	ms := c.TurnMS + (c.Ahead+c.Uncached)/c.Rate*(1+decodeShare*float64(c.InFlight))*c.Slowness
	if over := c.InFlight + 1 - c.Slots; over > 0 && c.Slots > 0 {
		ms += slotWaitMS * float64(over) / float64(c.Slots)
	}
	if over := c.Memory + c.Need - c.Capacity; over > 0 && c.Capacity > 0 {
		ms += memoryWaitMS * over / c.Capacity
	}
	if c.NoAdapter {
		ms += adapterMS
	}
	return ms
}

// Choose returns the index of the candidate with the least cost, or -1 if there is none. Equal costs go to the
// candidate with fewer requests, and then to the first.
func Choose(candidates []Candidate, dataCentre string) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		cost := c.predictedMS() + c.PenaltyMS + float64(c.InFlight)/float64(max(1, c.Slots))
		if c.Rate > 0 {
			cost += batchMS*float64(c.InFlight) + stretchMS*float64(c.InFlight)*c.Uncached/1000 + evictShare*c.Uncached/c.Rate
		}
		if c.Stalled && !c.Reporting {
			cost += stalledMS
		}
		if c.DataCentre != dataCentre {
			cost += remoteMS
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
