package route

import (
	"fmt"
	"slices"
	"time"
)

// Policy is the rule by which Choose orders candidates.
type Policy string

// The policies. Requests are sent to the first candidate of a decision.
const (
	// PolicyLoad orders candidates by the estimated wait, adjusted by cached prefixes, loaded adapters and data centre.
	PolicyLoad Policy = "load"
	// PolicyProbe selects Request.Count random candidates; the caller probes them.
	PolicyProbe Policy = "probe"
	// PolicyLeastInFlight orders candidates by the requests that this process has in flight there.
	PolicyLeastInFlight Policy = "least_in_flight"
	// PolicyRoundRobin returns the next eligible replica in the order of addresses.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyRandom orders candidates at random.
	PolicyRandom Policy = "random"
)

const (
	// maxFullScan is the length up to which a list of replicas is considered in full. Longer lists are sampled, so that a
	// decision costs the same with 12 or with 1,900 replicas.
	maxFullScan = 16
	// sampleSize is the number of random replicas in a sample. With 8 it is unlikely that all of them are busy.
	sampleSize = 8
	// sampleLocal is how many replicas of a sample are in the data centre of this process, if it has that many.
	sampleLocal = 3
	// maxSampleTries bounds the draws for a sample. With 7 data centres of equal size, 40 draws find 3 replicas of one
	// data centre in 9 of 10 cases or more.
	maxSampleTries = 40
	// affinityPositions is how many positions of a sampled list are derived from the prefix hash alone, so that every
	// gateway sends a prefix to the same few replicas.
	affinityPositions = 2
	// occupancyCostMS is the cost of an occupancy of 1, in milliseconds; lower occupancies cost proportionally less. It
	// spreads requests among replicas below their limits.
	occupancyCostMS = 50
	// overLimitCostMS is the estimated wait, in milliseconds, for one full round of requests above the limit. It is also the
	// cost of a candidate whose answer to a probe says that the model is not resident.
	overLimitCostMS = 1000
	// remoteCostMS is the cost of a replica in another data centre, in milliseconds. The network takes 1 ms to 3 ms; the
	// rest keeps traffic off the links between data centres.
	remoteCostMS = 20
	// prefixSavingMS is the time that a cached prompt prefix saves, in milliseconds.
	prefixSavingMS = 80
	// adapterSavingMS is the time that an adapter which is already loaded saves, in milliseconds.
	adapterSavingMS = 5
	// affinityOccupancyRatio is the occupancy, relative to the mean of the candidates, above which the savings by a cached
	// prefix or a loaded adapter are not counted. They always count for replicas at up to half of their limit.
	affinityOccupancyRatio = 1.25
)

// Request describes a request to Choose.
type Request struct {
	Service         string
	Plain           bool
	Model           string        // empty for plain services
	Base            string        // base model if Model is an adapter
	DataCentre      string        // data centre of this process
	PrefixHash      string        // hash of the prompt prefix; empty if there is none
	MaxAge          time.Duration // status older than this must be refreshed before the replica is used
	MaxCandidateAge time.Duration // status older than this and than MaxAge excludes a replica; may be zero
	OutDataCentres  []string      // data centres that are out of service
	Tried           []string      // addresses used by earlier attempts
	Count           int           // candidates returned by the probe policy; at least 1
}

// Rand is the source of randomness. IntN returns a number in [0, n).
type Rand interface {
	IntN(n int) int
}

// Candidate is one candidate with its Cost; the candidate with the lowest cost is the best. Under PolicyLoad the cost
// is in milliseconds.
type Candidate struct {
	Address      string
	Cost         float64
	NeedsRefresh bool // the status is older than Request.MaxAge, so the caller must ask for a new one first
}

// Decision is the result of Choose. Candidates are ordered by cost, the best first. Reason is the criterion of the order,
// or says why there is no candidate.
type Decision struct {
	Candidates   []Candidate
	Reason       string
	ReplicaCount int // replicas that have the model or the service
}

// Chosen returns the address of the best candidate, or an empty string if there is none.
func (d Decision) Chosen() string {
	if len(d.Candidates) == 0 {
		return ""
	}
	return d.Candidates[0].Address
}

// candidate is an eligible replica with its cost, see Candidate.
type candidate struct {
	entry     *entry
	cost      float64
	prefixHit bool
}

// Parameters of the 64-bit FNV-1a hash, which gives the same value in every process.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func hash(s string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// Choose orders candidates for r by policy p. If no replica is eligible, the decision has no candidates and a reason. Access
// to rng must be serialised by the caller.
func (t *Table) Choose(now time.Time, r Request, p Policy, rng Rand) Decision {
	lists := t.listsFor(r)
	known := 0
	for _, l := range lists {
		if l != nil {
			known += len(l.entries)
		}
	}
	t.scratch = t.scratch[:0]
	for i, l := range lists {
		if l == nil || (i > 0 && lists[0] == l) {
			continue
		}
		if p == PolicyRoundRobin {
			if len(t.scratch) == 0 {
				t.addNextInTurn(now, r, l)
			}
		} else {
			t.addCandidates(now, r, l, p, rng)
		}
	}
	if len(t.scratch) == 0 {
		return Decision{Reason: t.noCandidateReason(now, r, lists), ReplicaCount: known}
	}
	reason := t.score(r, p, rng)
	return t.decide(now, r, p, reason, known)
}

// listsFor returns the lists that may hold candidates for r: of the plain service, or of the model and, for an adapter, of
// its base model. Missing lists are nil.
func (t *Table) listsFor(r Request) [2]*list {
	if r.Plain {
		return [2]*list{t.lists[listKey{plain: true, name: r.Service}]}
	}
	lists := [2]*list{t.lists[listKey{name: r.Model}]}
	if r.Base != "" {
		lists[1] = t.lists[listKey{name: r.Base}]
	}
	return lists
}

// addCandidates adds the eligible replicas of a list, or a sample of them if the list is long.
func (t *Table) addCandidates(now time.Time, r Request, l *list, p Policy, rng Rand) {
	if len(l.entries) <= maxFullScan {
		for _, e := range l.entries {
			t.addIfEligible(now, r, e)
		}
		return
	}
	if p == PolicyLoad && r.PrefixHash != "" {
		h := hash(r.PrefixHash)
		for range affinityPositions {
			t.addIfEligible(now, r, l.entries[h%uint64(len(l.entries))])
			h = h>>32 | h<<32
		}
	}
	if t.sample(now, r, l, rng) {
		return
	}
	// The sample contained only ineligible replicas, so go through the whole list.
	before := len(t.scratch)
	for _, e := range l.entries {
		t.addIfEligible(now, r, e)
		if len(t.scratch)-before >= sampleSize {
			return
		}
	}
}

// sample adds random eligible replicas. Once there are sampleSize of them, it adds only replicas of the data centre of
// this process until there are sampleLocal. It reports whether it found an eligible replica.
func (t *Table) sample(now time.Time, r Request, l *list, rng Rand) bool {
	found, local := 0, 0
	for range maxSampleTries {
		e := l.entries[rng.IntN(len(l.entries))]
		same := e.DataCentre == r.DataCentre
		if found >= sampleSize && !same {
			continue
		}
		before := len(t.scratch)
		t.addIfEligible(now, r, e)
		if len(t.scratch) == before {
			continue
		}
		found++
		if same {
			local++
		}
		if found >= sampleSize && local >= sampleLocal {
			break
		}
	}
	return found > 0
}

// addNextInTurn adds the first eligible replica at or after the list's cursor and moves the cursor past it.
func (t *Table) addNextInTurn(now time.Time, r Request, l *list) {
	n := len(l.entries)
	for i := range n {
		at := (l.cursor + i) % n
		before := len(t.scratch)
		t.addIfEligible(now, r, l.entries[at])
		if len(t.scratch) > before {
			l.cursor = (at + 1) % n
			return
		}
	}
}

// addIfEligible adds e to the candidates if it is eligible and not among them yet.
func (t *Table) addIfEligible(now time.Time, r Request, e *entry) {
	if ineligibleReason(now, r, e) != "" {
		return
	}
	for i := range t.scratch {
		if t.scratch[i].entry == e {
			return
		}
	}
	t.scratch = append(t.scratch, candidate{entry: e})
}

// ineligibleReason returns why e cannot take the request, or an empty string if it can.
func ineligibleReason(now time.Time, r Request, e *entry) string {
	switch {
	case now.Sub(e.StatusAt) > max(r.MaxAge, r.MaxCandidateAge):
		return "stale"
	case e.Draining:
		return "draining"
	case e.DataCentreOut || slices.Contains(r.OutDataCentres, e.DataCentre):
		return "data centre out"
	case !e.Ready:
		return "not ready"
	case e.Service != r.Service:
		return "other service"
	case slices.Contains(r.Tried, e.Address):
		return "tried"
	}
	return ""
}

// score sets the cost of each candidate and returns the criterion of the policy.
func (t *Table) score(r Request, p Policy, rng Rand) string {
	switch p {
	case PolicyLeastInFlight:
		for i := range t.scratch {
			t.scratch[i].cost = float64(t.scratch[i].entry.inFlight)
		}
		return "least in flight"
	case PolicyRandom, PolicyProbe:
		for i := range t.scratch {
			t.scratch[i].cost = float64(rng.IntN(1 << 20))
		}
		return "random"
	case PolicyRoundRobin:
		return "next in turn"
	}
	mean := 0.0
	for _, c := range t.scratch {
		mean += c.entry.occupancy() / float64(len(t.scratch))
	}
	for i := range t.scratch {
		c := &t.scratch[i]
		c.cost, c.prefixHit = c.entry.estimatedCost(r, mean)
		// Up to 1 ms at random orders equal replicas differently, so that gateways do not all choose the same one.
		c.cost += float64(rng.IntN(1024)) / 1024
	}
	return "least estimated wait"
}

// occupancy returns the requests at the replica relative to its concurrency limit.
func (e *entry) occupancy() float64 {
	return float64(e.load()) / float64(max(e.Limit, 1))
}

// load returns the number of requests at the replica: those in its status and those of this process sent since, but at
// least those of this process that are in flight.
func (e *entry) load() int64 { return max(e.Running+e.Queued+e.sentSinceStatus, e.inFlight) }

// estimatedCost returns the estimated wait in milliseconds, adjusted by affinity and data centre, and whether a cached
// prefix was counted.
func (e *entry) estimatedCost(r Request, mean float64) (cost float64, prefixHit bool) {
	limit := max(e.Limit, 1)
	cost = float64(e.QueueMS) + occupancyCostMS*min(e.occupancy(), 1)
	if over := e.load() + 1 - limit; over > 0 {
		cost += overLimitCostMS * float64(over) / float64(limit)
	}
	if e.DataCentre != r.DataCentre {
		cost += remoteCostMS
	}
	if e.load() >= limit || (mean > 0 && e.occupancy() > affinityOccupancyRatio*mean && e.occupancy() > 0.5) {
		return cost, false
	}
	if r.Base != "" && slices.Contains(e.Adapters, r.Model) {
		cost -= adapterSavingMS
	}
	if r.PrefixHash != "" && slices.Contains(e.Prefixes, r.PrefixHash) {
		return cost - prefixSavingMS, true
	}
	return cost, false
}

// decide sorts the candidates by cost and makes the decision.
func (t *Table) decide(now time.Time, r Request, p Policy, reason string, known int) Decision {
	slices.SortFunc(t.scratch, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return byAddress(a.entry, b.entry.Address)
	})
	ordered := t.scratch
	if p == PolicyProbe {
		ordered = ordered[:min(len(ordered), max(r.Count, 1))]
	}
	d := Decision{Candidates: make([]Candidate, len(ordered)), Reason: reason, ReplicaCount: known}
	for i, c := range ordered {
		d.Candidates[i] = Candidate{Address: c.entry.Address, Cost: c.cost, NeedsRefresh: now.Sub(c.entry.StatusAt) > r.MaxAge}
	}
	if ordered[0].prefixHit {
		d.Reason = "least estimated wait with prefix hit"
	}
	return d
}

// noCandidateReason returns why there is no candidate: the number of replicas by reason, if there are any.
func (t *Table) noCandidateReason(now time.Time, r Request, lists [2]*list) string {
	counts := make(map[string]int)
	for _, l := range lists {
		if l == nil {
			continue
		}
		for _, e := range l.entries {
			counts[ineligibleReason(now, r, e)]++
		}
	}
	if len(counts) == 0 {
		return "no replica has the model or service"
	}
	return fmt.Sprintf("no eligible replica: %v", counts)
}

// refusedCostMS is the cost of a candidate that answered a probe with a refusal, in milliseconds. It is above any queue
// wait and below the cost that the gateway gives to a candidate without an answer.
const refusedCostMS = 1e8

// ProbeCost returns the cost of a candidate, in milliseconds, from its answer to a probe: whether it takes the request,
// its estimated queue wait, and whether the model is resident and the prompt prefix cached there.
func ProbeCost(takes bool, queueMS int64, resident, prefixHit bool) float64 {
	cost := float64(queueMS)
	if !takes {
		cost += refusedCostMS
	}
	if !resident {
		cost += overLimitCostMS
	}
	if prefixHit {
		cost -= prefixSavingMS
	}
	return cost
}
