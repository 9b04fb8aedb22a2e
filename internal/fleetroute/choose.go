// Package fleetroute predicts the time until each backend server would send the first token, or the response of a
// plain service, and chooses the server with the lowest cost. Use it in a gateway for every request. Choose has no
// side effects; Table keeps the loads and measurements that it needs.
//
// It is designed for prompts of thousands of tokens of which most are shared, so that a server that still caches
// them responds several times faster; for a few heavily used models whose load shifts between servers within
// seconds; for servers that become slow without reporting it; and for bursts in which the wait for earlier prompts
// outweighs everything else.
package fleetroute

import (
	"math"
	"time"
)

const (
	// crossDataCentreCostMS is the cost in milliseconds of sending a request to another data centre: a millisecond
	// for the round trip, and what traffic between data centres costs its operators. It is below what the caller of
	// a stream notices.
	crossDataCentreCostMS = 8
	// adapterLoadMS is the time in milliseconds to load an adapter before the request: an order to the agent, a load
	// of a few milliseconds and the report that it is loaded.
	adapterLoadMS = 25
	// decodeSlowdown is the relative slowdown of prompt processing for each request in the batch: every step
	// computes one token for each of them between two chunks of prompt.
	decodeSlowdown = 0.004
	// batchCostMS is the cost in milliseconds of each request already in a server's batch: the running streams
	// become slower, and so does this request, whose events share the steps with the prompts of the others.
	batchCostMS = 3
	// evictionCostFactor is the cost that each uncached prompt token adds to its processing time, as a multiple of
	// that time: caching the token evicts other prompts, which then have to be processed again.
	evictionCostFactor = 1
	// prefillDelayCostMS is the cost in milliseconds of processing a thousand uncached tokens, for each request in
	// the batch: the next event of each of them is delayed meanwhile.
	prefillDelayCostMS = 4
	// memoryWaitMS is the time in milliseconds in which running requests free as much memory as a server's capacity:
	// about the duration of a request. A request that exceeds the free memory waits for a proportional part of it.
	memoryWaitMS = 1500
	// stalledCostMS is the cost in milliseconds of a server that sends nothing and whose host does not report
	// either: about the remaining time of a typical freeze of a host.
	stalledCostMS = 3000
	// slotWaitMS is the time in milliseconds in which a server with no free slot frees as many slots as it has. A
	// request waits for a proportional part of it.
	slotWaitMS = 1000
)

// Candidate is a backend server that may get a request, with the inputs of the prediction and of the cost.
type Candidate struct {
	ID             string
	Address        string
	DataCentre     string
	InFlight       int     // requests in flight from all gateways
	Slots          int     // maximum number of concurrent requests
	QueuedTokens   float64 // prompt tokens of requests from all gateways that have not got their first token
	Memory         float64 // tokens held in memory for the requests in flight
	CapacityTokens float64 // memory capacity in tokens; zero if unknown
	UncachedTokens float64 // prompt tokens of this request that are not in the server's cache
	NeededTokens   float64 // tokens that this request adds to the memory
	PrefillRate    float64 // prompt tokens per millisecond; zero for a plain service
	ServiceMS      float64 // time of one request to a plain service in milliseconds
	Slowness       float64 // measured time over predicted time; 1 for a server of normal speed
	AdapterMissing bool    // the adapter must be loaded before the request
	TurnWaitMS     float64 // milliseconds until the server, which is cold, may take another request
	PenaltyMS      float64 // cost in milliseconds for recent failures
	Stalled        bool    // its requests are overdue and it sends nothing
	HostReporting  bool    // a process on its host reports, so the host is not frozen
}

// Predicted returns the predicted time to the first token, or to the response of a plain service. It leaves out the
// penalty for failures and the other costs that only Choose adds.
func (c *Candidate) Predicted() time.Duration {
	return time.Duration(c.predictedMS() * float64(time.Millisecond))
}

// WaitAhead returns the predicted time without what the request itself needs: the processing of its prompt and the load
// of its adapter or, at a plain service, one request's time.
func (c *Candidate) WaitAhead() time.Duration {
	ahead := *c
	ahead.UncachedTokens, ahead.AdapterMissing = 0, false
	ms := ahead.predictedMS()
	if c.PrefillRate <= 0 {
		ms -= c.ServiceMS * c.Slowness
	}
	return time.Duration(max(0, ms) * float64(time.Millisecond))
}

func (c *Candidate) predictedMS() float64 {
	if c.PrefillRate <= 0 {
		rounds := math.Floor(float64(c.InFlight)/float64(max(1, c.Slots))) + 1
		return c.TurnWaitMS + rounds*c.ServiceMS*c.Slowness
	}
	ms := c.TurnWaitMS + (c.QueuedTokens+c.UncachedTokens)/c.PrefillRate*(1+decodeSlowdown*float64(c.InFlight))*c.Slowness
	if over := c.InFlight + 1 - c.Slots; over > 0 && c.Slots > 0 {
		ms += slotWaitMS * float64(over) / float64(c.Slots)
	}
	if over := c.Memory + c.NeededTokens - c.CapacityTokens; over > 0 && c.CapacityTokens > 0 {
		ms += memoryWaitMS * over / c.CapacityTokens
	}
	if c.AdapterMissing {
		ms += adapterLoadMS
	}
	return ms
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there are no candidates. Where costs are
// otherwise equal, it takes the candidate with fewer requests in flight, and then the first. dataCentre is the
// gateway's own; other data centres cost more.
func Choose(candidates []Candidate, dataCentre string) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		cost := c.predictedMS() + c.PenaltyMS + float64(c.InFlight)/float64(max(1, c.Slots))
		if c.PrefillRate > 0 {
			cost += batchCostMS*float64(c.InFlight) + prefillDelayCostMS*float64(c.InFlight)*c.UncachedTokens/1000 +
				evictionCostFactor*c.UncachedTokens/c.PrefillRate
		}
		if c.Stalled && !c.HostReporting {
			cost += stalledCostMS
		}
		if c.DataCentre != dataCentre {
			cost += crossDataCentreCostMS
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
