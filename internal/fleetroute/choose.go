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
	"math/rand/v2"
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
	Occupancy      float64 // requests in flight at a plain server, those of other gateways averaged over smoothingTime
	Slots          int     // maximum number of concurrent requests
	QueuedTokens   float64 // prompt tokens of requests from all gateways that have not got their first token
	Memory         float64 // tokens held in memory for the requests in flight
	CapacityTokens float64 // memory capacity in tokens; zero if unknown
	UncachedTokens float64 // prompt tokens of this request that are not in the server's cache
	NeededTokens   float64 // tokens that this request adds to the memory
	PrefillRate    float64 // prompt tokens per millisecond; zero for a plain service
	ServiceMS      float64 // time of one request to a plain service in milliseconds
	Speed          float64 // learned speed relative to its peers, which PrefillRate and ServiceMS include
	Slowness       float64 // measured time over predicted time; 1 for a server that keeps its own speed
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

// cost returns the cost in milliseconds of sending the request to the candidate.
func (c *Candidate) cost(dataCentre string) float64 {
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
	return cost
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there are no candidates. Where costs are
// otherwise equal, it takes the candidate with fewer requests in flight, and then the first. dataCentre is the
// gateway's own; other data centres cost more.
func Choose(candidates []Candidate, dataCentre string) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		if cost := candidates[i].cost(dataCentre); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

const (
	// nearEqual is the number of candidates among which ChooseAtRandom chooses.
	nearEqual = 8
	// The weight of a candidate falls by a factor of e for each costUncertainty by which its cost exceeds the lowest.
	// That is costUncertaintyFactor of the request's own time, and at least minCostUncertaintyMS milliseconds, which is
	// about a step of an engine. Both are far below the cost of processing shared parts of a long prompt again.
	minCostUncertaintyMS, costUncertaintyFactor = 4, 0.25
	// maxUncertainties is the difference from the lowest cost, in units of costUncertainty, above which a candidate is
	// not chosen.
	maxUncertainties = 2
	// occupancyCost is the cost of a plain server whose slots are all in use, in times of a request. With a higher one
	// the load moves back and forth between servers; without it, servers that are slow at times get as much as others.
	occupancyCost = 0.4
)

// ChooseAtRandom is Choose for gateways that choose at the same time from the same loads, which are as old as the
// last exchange: it returns one of the candidates whose cost is near the lowest, at random, and more probably those
// of lower cost. Otherwise all of them choose the same server until they learn of each other's requests.
func ChooseAtRandom(candidates []Candidate, dataCentre string, random *rand.Rand) int {
	if len(candidates) < 2 {
		return len(candidates) - 1
	}
	if candidates[0].PrefillRate <= 0 {
		return choosePlain(candidates, dataCentre, random)
	}
	var at [nearEqual]int
	var costs [nearEqual]float64
	n := 0
	// The random first candidate decides between candidates of equal cost.
	start := random.IntN(len(candidates))
	for k := range candidates {
		i := start + k
		if i >= len(candidates) {
			i -= len(candidates)
		}
		cost := candidates[i].cost(dataCentre)
		if n == nearEqual && cost >= costs[n-1] {
			continue
		}
		if n < nearEqual {
			n++
		}
		j := n - 1
		for ; j > 0 && cost < costs[j-1]; j-- {
			at[j], costs[j] = at[j-1], costs[j-1]
		}
		at[j], costs[j] = i, cost
	}
	scale := candidates[at[0]].costUncertainty()
	var weights [nearEqual]float64
	total := 0.0
	for j := range n {
		if costs[j] > costs[0]+maxUncertainties*scale {
			n = j
			break
		}
		weights[j] = math.Exp(-(costs[j] - costs[0]) / scale)
		total += weights[j]
	}
	draw := random.Float64() * total
	for j := range n {
		if draw -= weights[j]; draw < 0 {
			return at[j]
		}
	}
	return at[0]
}

// choosePlain is ChooseAtRandom for a plain service. Its requests are shorter than the age of the loads, which
// therefore say little about a single server: a request goes to any server, with a probability that falls by a factor
// of e for each time of a request by which the server's cost is higher.
func choosePlain(candidates []Candidate, dataCentre string, random *rand.Rand) int {
	best, least := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		scale := max(1, c.ServiceMS*orOne(c.Speed))
		// The minimum of exponential variates that are divided by weights falls to each in proportion to its weight.
		if key := c.plainCost(dataCentre, scale)/scale + math.Log(random.ExpFloat64()); key < least {
			best, least = i, key
		}
	}
	return best
}

// plainCost returns the cost in milliseconds by which choosePlain weights a candidate. scale is the time of a request
// to the service.
func (c *Candidate) plainCost(dataCentre string, scale float64) float64 {
	cost := c.TurnWaitMS + c.PenaltyMS + c.ServiceMS*c.Slowness + occupancyCost*scale*c.Occupancy/float64(max(1, c.Slots))
	if c.Stalled && !c.HostReporting {
		cost += stalledCostMS
	}
	if c.DataCentre != dataCentre {
		cost += max(crossDataCentreCostMS, scale)
	}
	return cost
}

// costUncertainty returns the difference of costs, in milliseconds, that the requests which peers have sent since
// their last report make meaningless. It is a part of the time for a prompt like this one.
func (c *Candidate) costUncertainty() float64 {
	return minCostUncertaintyMS + costUncertaintyFactor*c.UncachedTokens/c.PrefillRate
}
