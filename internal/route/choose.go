package route

import (
	"fmt"
	"slices"
	"time"
)

// Policy names a way to choose.
type Policy string

// The policies.
const (
	PolicyLoad          Policy = "load"
	PolicyProbe         Policy = "probe"
	PolicyLeastInFlight Policy = "least_in_flight"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyRandom        Policy = "random"
)

const (
	// maxScan is the longest list that is looked at as a whole. Longer lists are sampled, so that a
	// decision costs the same with 12 or with 1,900 replicas.
	maxScan = 16
	// sampleSize random replicas leave a small chance that all of them are loaded.
	sampleSize = 8
	// sampleNear of them are in the same data centre if it has so many.
	sampleNear = 3
	// sampleTries bounds the search for them. With 7 data centres of equal size, 40 tries meet 3 near
	// replicas in 9 of 10 cases or more.
	sampleTries = 40
	// affinitySize positions of a long list depend only on the prefix, so that every gateway sends a
	// prefix to the same few replicas.
	affinitySize = 2
	// fillMS is the cost of a replica that is at its limit, milliseconds. It spreads load below the limit.
	fillMS = 50
	// overMS is the wait for one round of requests above the limit, milliseconds.
	overMS = 1000
	// remoteMS is the cost of another data centre, milliseconds. The network costs 1 ms to 3 ms; the
	// rest keeps the links between data centres free.
	remoteMS = 20
	// prefixMS is what a cached prompt prefix saves, milliseconds.
	prefixMS = 80
	// adapterMS is what a loaded adapter saves, milliseconds.
	adapterMS = 5
	// affinityLoad is the occupancy, relative to the mean of the candidates, above which a replica gets
	// no credit for affinity.
	affinityLoad = 1.25
)

// Request is what a decision depends on.
type Request struct {
	Service    string
	Plain      bool
	Model      string // empty for plain services
	Base       string // base model if Model is an adapter
	DataCentre string // of this process
	PrefixHash string
	MaxAge     time.Duration // status older than this is old
	KnownAge   time.Duration // status older than this and than MaxAge excludes a replica; zero if old ones are excluded
	OutCentres []string      // data centres that are out of service
	Tried      []string      // addresses that earlier attempts used
	Count      int           // candidates that the probe policy asks
}

// Rand is the random source.
type Rand interface {
	IntN(n int) int
}

// Scored is one candidate with the figure that decides; the lowest wins.
type Scored struct {
	Address string
	Figure  float64
	Old     bool // the status is older than Request.MaxAge, so the replica must be asked first
}

// Decision is the outcome of a choice. Candidates are ordered, the best first.
type Decision struct {
	Candidates []Scored
	Reason     string
	Known      int // replicas that have the model or the service
}

// Chosen returns the address of the best candidate, or "".
func (d Decision) Chosen() string {
	if len(d.Candidates) == 0 {
		return ""
	}
	return d.Candidates[0].Address
}

type scored struct {
	entry  *entry
	figure float64
	hit    bool
}

// Parameters of the 64-bit FNV-1a hash, which is equal in every process.
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

// Choose orders candidates for r by policy p.
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
				t.addNext(now, r, l)
			}
		} else {
			t.add(now, r, l, p, rng)
		}
	}
	if len(t.scratch) == 0 {
		return Decision{Reason: t.whyNone(now, r, lists), Known: known}
	}
	reason := t.score(r, p, rng)
	return t.decide(now, r, p, reason, known)
}

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

func (t *Table) add(now time.Time, r Request, l *list, p Policy, rng Rand) {
	if len(l.entries) <= maxScan {
		for _, e := range l.entries {
			t.consider(now, r, e)
		}
		return
	}
	if p == PolicyLoad && r.PrefixHash != "" {
		h := hash(r.PrefixHash)
		for range affinitySize {
			t.consider(now, r, l.entries[h%uint64(len(l.entries))])
			h = h>>32 | h<<32
		}
	}
	if t.sample(now, r, l, rng) {
		return
	}
	// The sample met only replicas that cannot take the request, so look at all of them.
	before := len(t.scratch)
	for _, e := range l.entries {
		t.consider(now, r, e)
		if len(t.scratch)-before >= sampleSize {
			return
		}
	}
}

// sample considers random replicas, and then only those of the same data centre until there are enough
// of them. It reports whether it found a candidate.
func (t *Table) sample(now time.Time, r Request, l *list, rng Rand) bool {
	found, near := 0, 0
	for range sampleTries {
		e := l.entries[rng.IntN(len(l.entries))]
		same := e.DataCentre == r.DataCentre
		if found >= sampleSize && !same {
			continue
		}
		before := len(t.scratch)
		t.consider(now, r, e)
		if len(t.scratch) == before {
			continue
		}
		found++
		if same {
			near++
		}
		if found >= sampleSize && near >= sampleNear {
			break
		}
	}
	return found > 0
}

func (t *Table) addNext(now time.Time, r Request, l *list) {
	n := len(l.entries)
	for i := range n {
		at := (l.cursor + i) % n
		before := len(t.scratch)
		t.consider(now, r, l.entries[at])
		if len(t.scratch) > before {
			l.cursor = (at + 1) % n
			return
		}
	}
}

func (t *Table) consider(now time.Time, r Request, e *entry) {
	if unfit(now, r, e) != "" {
		return
	}
	for i := range t.scratch {
		if t.scratch[i].entry == e {
			return
		}
	}
	t.scratch = append(t.scratch, scored{entry: e})
}

// unfit returns why e is no candidate, or "".
func unfit(now time.Time, r Request, e *entry) string {
	switch {
	case now.Sub(e.At) > max(r.MaxAge, r.KnownAge):
		return "stale"
	case e.Draining:
		return "draining"
	case e.Out || slices.Contains(r.OutCentres, e.DataCentre):
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

// score sets the figure of each candidate and returns the name of the figure.
func (t *Table) score(r Request, p Policy, rng Rand) string {
	switch p {
	case PolicyLeastInFlight:
		for i := range t.scratch {
			t.scratch[i].figure = float64(t.scratch[i].entry.inFlight)
		}
		return "least in flight"
	case PolicyRandom, PolicyProbe:
		for i := range t.scratch {
			t.scratch[i].figure = float64(rng.IntN(1 << 20))
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
		c.figure, c.hit = c.entry.loadFigure(r, mean)
		// Equal replicas are taken in random order, so that gateways do not all pick the same one.
		c.figure += float64(rng.IntN(1024)) / 1024
	}
	return "least estimated wait"
}

// occupancy returns running and queued requests relative to the limit.
func (e *entry) occupancy() float64 {
	return float64(e.load()) / float64(max(e.Limit, 1))
}

// load returns the requests that the replica holds, with those sent since its figures were taken.
func (e *entry) load() int64 { return max(e.Running+e.Queued+e.sent, e.inFlight) }

// loadFigure returns the estimated wait in milliseconds, adjusted by affinity and data centre.
func (e *entry) loadFigure(r Request, mean float64) (figure float64, hit bool) {
	limit := max(e.Limit, 1)
	figure = float64(e.QueueMS) + fillMS*min(e.occupancy(), 1)
	if over := e.load() + 1 - limit; over > 0 {
		figure += overMS * float64(over) / float64(limit)
	}
	if e.DataCentre != r.DataCentre {
		figure += remoteMS
	}
	if e.load() >= limit || (mean > 0 && e.occupancy() > affinityLoad*mean && e.occupancy() > 0.5) {
		return figure, false
	}
	if r.Base != "" && slices.Contains(e.Adapters, r.Model) {
		figure -= adapterMS
	}
	if r.PrefixHash != "" && slices.Contains(e.Prefixes, r.PrefixHash) {
		return figure - prefixMS, true
	}
	return figure, false
}

func (t *Table) decide(now time.Time, r Request, p Policy, reason string, known int) Decision {
	slices.SortFunc(t.scratch, func(a, b scored) int {
		switch {
		case a.figure < b.figure:
			return -1
		case a.figure > b.figure:
			return 1
		}
		return byAddress(a.entry, b.entry.Address)
	})
	chosen := t.scratch
	if p == PolicyProbe {
		chosen = chosen[:min(len(chosen), max(r.Count, 1))]
	}
	d := Decision{Candidates: make([]Scored, len(chosen)), Reason: reason, Known: known}
	for i, c := range chosen {
		d.Candidates[i] = Scored{Address: c.entry.Address, Figure: c.figure, Old: now.Sub(c.entry.At) > r.MaxAge}
	}
	if chosen[0].hit {
		d.Reason = "least estimated wait with prefix hit"
	}
	return d
}

func (t *Table) whyNone(now time.Time, r Request, lists [2]*list) string {
	counts := make(map[string]int)
	for _, l := range lists {
		if l == nil {
			continue
		}
		for _, e := range l.entries {
			counts[unfit(now, r, e)]++
		}
	}
	if len(counts) == 0 {
		return "no replica has it"
	}
	return fmt.Sprintf("no fit replica: %v", counts)
}

// refusedMS is the figure of a candidate that answered a probe with a refusal, milliseconds. It is above
// any queue wait and below the figure of a silent candidate.
const refusedMS = 1e8

// ProbeFigure returns the figure of a candidate from its answer to a probe.
func ProbeFigure(takes bool, queueMS int64, resident, prefixHit bool) float64 {
	figure := float64(queueMS)
	if !takes {
		figure += refusedMS
	}
	if !resident {
		figure += overMS
	}
	if prefixHit {
		figure -= prefixMS
	}
	return figure
}
