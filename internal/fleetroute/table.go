package fleetroute

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// defaultPrefillRate is the prompt tokens per millisecond assumed for a model until its rate is measured. It is
	// within the range of the engines in the site files.
	defaultPrefillRate = 40
	// minPrefillRate and maxPrefillRate bound the measured rate, in prompt tokens per millisecond.
	minPrefillRate, maxPrefillRate = 2, 400
	// defaultServiceMS is the time in milliseconds assumed for a request to a plain service until it is measured.
	defaultServiceMS = 50
	// sampleWeight is the weight of a new sample in the moving averages of a model's rate and of a service's time.
	sampleWeight = 0.1
	// slownessSampleWeight is the weight of a new sample of one server's slowness. It is higher because a server can
	// become slow from one moment to the next.
	slownessSampleWeight = 0.25
	// maxSlowness bounds a sample, so that one hung request does not exclude a server permanently.
	maxSlowness = 20
	// slownessHalfLife is the time in which a server's excess slowness halves while it gets no requests.
	slownessHalfLife = 4 * time.Second
	// firstTokenOverheadMS is the part of the time to the first token, in milliseconds, that does not depend on the
	// prompt.
	firstTokenOverheadMS = 8
	// failurePenaltyMS is the cost in milliseconds added by a failure of a server. Each further failure doubles the
	// penalty and adds this cost again, up to maxPenaltyMS; the penalty halves every penaltyHalfLife.
	failurePenaltyMS = 120
	maxPenaltyMS     = 20_000
	penaltyHalfLife  = time.Second
	// maxPeerLoadAge is the age from which the loads reported by a peer are no longer counted.
	maxPeerLoadAge = 2 * time.Second
	// prefixTTL is the time after its last use for which a prompt part is assumed to stay in a server's cache.
	prefixTTL = 20 * time.Second
	// stallTimeout is how long after the predicted time, or after its last event or response, a server with requests
	// in flight may send nothing before it counts as stalled. It is twice the longest pause between events that is
	// still on time. A peer's report of a stall counts until it is maxPeerLoadAge old.
	stallTimeout = time.Second
	// maxPrefixes is the number of prompt parts of one server above which old ones are removed.
	maxPrefixes = 4096
)

// Load is the work in flight at one server.
type Load struct {
	InFlight int
	Prefill  float64 // prompt tokens of requests that have not got their first token
	Memory   float64 // prompt and output tokens
	Stalled  bool    // the requests are overdue and the server sent nothing for any of them
}

type server struct {
	load         Load
	slowness     float64
	slownessAsOf time.Duration // when slowness was last updated
	penalty      float64
	failed       time.Duration            // when penalty was last updated
	due          time.Duration            // when the server should have sent something at the latest, if it has requests
	prefixes     map[uint64]time.Duration // last use, by the hash of the prompt up to and including a part
}

// Table keeps the loads of the servers, from this gateway and from its peers' reports, and the measured rates, times
// and slowness. All times are readings of one monotonic clock. It is safe for concurrent use.
type Table struct {
	mu           sync.Mutex
	servers      map[string]*server
	prefillRates map[string]float64 // prompt tokens per millisecond, by model
	service      map[string]float64 // time of a request in milliseconds, by plain service
	peers        map[string]*peerLoads
}

type peerLoads struct {
	receivedAt time.Duration
	loads      map[string]Load
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		servers: make(map[string]*server), prefillRates: make(map[string]float64), service: make(map[string]float64),
		peers: make(map[string]*peerLoads),
	}
}

func (t *Table) server(id string) *server {
	s := t.servers[id]
	if s == nil {
		s = &server{slowness: 1, prefixes: make(map[uint64]time.Duration)}
		t.servers[id] = s
	}
	return s
}

// Forget removes a server that is no longer listed.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, id)
}

// UpdatePeer applies the loads reported by a peer: those that changed, or all of them if full is set. A zero Load
// removes the entry.
func (t *Table) UpdatePeer(peer string, now time.Duration, loads map[string]Load, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peer]
	if p == nil || full {
		p = &peerLoads{loads: make(map[string]Load, len(loads))}
		t.peers[peer] = p
	}
	p.receivedAt = now
	for id, l := range loads {
		if l == (Load{}) {
			delete(p.loads, id)
		} else {
			p.loads[id] = l
		}
	}
}

// DropPeer removes the loads of a peer that is no longer a member.
func (t *Table) DropPeer(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, peer)
}

// Loads returns this gateway's own loads by server, without those that are zero.
func (t *Table) Loads(now time.Duration) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]Load)
	for id, s := range t.servers {
		if s.load.InFlight > 0 {
			load := s.load
			load.Stalled = now > s.due
			loads[id] = load
		}
	}
	return loads
}

// Stalled reports whether the requests at a server are overdue and it sends nothing, as seen by this gateway or, if
// it has no requests there, by its peers. Connecting successfully does not rule it out, because a frozen
// host still accepts connections. A server that still sends something to another gateway is not stalled for a gateway
// without requests there.
func (t *Table) Stalled(id string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stalled(id, now)
}

func (t *Table) stalled(id string, now time.Duration) bool {
	if s := t.servers[id]; s != nil && s.load.InFlight > 0 {
		return now > s.due
	}
	stalled := false
	for _, p := range t.peers {
		if l := p.loads[id]; now-p.receivedAt < maxPeerLoadAge && l.InFlight > 0 {
			if !l.Stalled {
				return false
			}
			stalled = true
		}
	}
	return stalled
}

// Fill sets the candidate's fields that the table knows: loads, measured speed, penalty and the uncached part of the
// prompt. An empty model means a plain service.
func (t *Table) Fill(c *Candidate, now time.Duration, model, service string, prompt Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(c.ID)
	load := s.load
	for _, p := range t.peers {
		if now-p.receivedAt < maxPeerLoadAge {
			l := p.loads[c.ID]
			load.InFlight += l.InFlight
			load.Prefill += l.Prefill
			load.Memory += l.Memory
		}
	}
	c.Stalled = t.stalled(c.ID, now)
	c.InFlight, c.QueuedTokens, c.Memory = load.InFlight, load.Prefill, load.Memory
	c.Slowness = s.slownessAt(now)
	c.PenaltyMS = s.penaltyAt(now)
	if model == "" {
		c.ServiceMS = orDefault(t.service[service], defaultServiceMS)
		return
	}
	c.PrefillRate = orDefault(t.prefillRates[model], defaultPrefillRate)
	c.UncachedTokens = prompt.uncachedTokens(s, c.ID, now)
}

func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}

func (s *server) slownessAt(now time.Duration) float64 {
	age := now - s.slownessAsOf
	return 1 + (s.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

func (s *server) penaltyAt(now time.Duration) float64 {
	return s.penalty * math.Exp2(-float64(now-s.failed)/float64(penaltyHalfLife))
}

// InFlight returns the requests in flight at a server from this gateway and, as far as they reported lately, from the others.
func (t *Table) InFlight(id string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	inFlight := 0
	if s := t.servers[id]; s != nil {
		inFlight = s.load.InFlight
	}
	for _, p := range t.peers {
		if now-p.receivedAt < maxPeerLoadAge {
			inFlight += p.loads[id].InFlight
		}
	}
	return inFlight
}

// PrefillRate returns the rate at which a model's prompts are processed, in prompt tokens per millisecond.
func (t *Table) PrefillRate(model string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return orDefault(t.prefillRates[model], defaultPrefillRate)
}

// Attempt tracks one request in flight at a server. Its methods are safe for concurrent use.
type Attempt struct {
	table         *Table
	id            string
	model         string
	service       string
	prefillTokens float64
	memoryTokens  float64
	started       time.Duration
	expectedMS    float64 // predicted at the start, in milliseconds, for a server of normal speed
	progressed    bool
	done          bool
}

// Begin records that a request is sent to the chosen candidate.
func (t *Table) Begin(c *Candidate, now time.Duration, model, service string, prompt Prompt) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(c.ID)
	s.load.InFlight++
	a := &Attempt{table: t, id: c.ID, model: model, service: service, started: now}
	if c.PrefillRate > 0 {
		a.prefillTokens, a.memoryTokens = c.UncachedTokens, c.NeededTokens
		s.load.Prefill += c.UncachedTokens
		s.load.Memory += c.NeededTokens
	}
	nominal := *c
	nominal.Slowness = 1
	a.expectedMS = nominal.predictedMS()
	s.due = max(s.due, now+stallTimeout+time.Duration(a.expectedMS*float64(time.Millisecond)))
	if c.PrefillRate > 0 {
		prompt.recordCached(s, now)
	}
	return a
}

// RecordProgress records an event of a stream or the response of a plain service. The first call also updates the
// measured rate or time and the server's slowness.
func (a *Attempt) RecordProgress(now time.Duration) {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(a.id)
	s.due = max(s.due, now+stallTimeout)
	if a.progressed || a.done {
		return
	}
	a.progressed = true
	s.load.Prefill = math.Max(0, s.load.Prefill-a.prefillTokens)
	took := float64(now-a.started) / float64(time.Millisecond)
	expected := a.expectedMS
	if a.model != "" {
		expected += firstTokenOverheadMS
		t.updatePrefillRate(a, took)
	} else {
		t.service[a.service] += sampleWeight * (took - orDefault(t.service[a.service], defaultServiceMS))
		if t.service[a.service] <= 0 {
			t.service[a.service] = took
		}
	}
	ratio := math.Min(math.Max(took/math.Max(expected, 1), 0.2), maxSlowness)
	s.slowness = s.slownessAt(now) + slownessSampleWeight*(ratio-s.slownessAt(now))
	s.slownessAsOf = now
	s.penalty = s.penaltyAt(now) / 2
	s.failed = now
}

// updatePrefillRate updates the model's rate if the predicted time was long enough to depend on it.
func (t *Table) updatePrefillRate(a *Attempt, took float64) {
	rate := orDefault(t.prefillRates[a.model], defaultPrefillRate)
	const minSampleMS = 20 // shorter waits say little about the rate
	if a.expectedMS < minSampleMS || took <= firstTokenOverheadMS {
		return
	}
	measured := rate * a.expectedMS / (took - firstTokenOverheadMS)
	t.prefillRates[a.model] = math.Min(math.Max(rate+sampleWeight*(measured-rate), minPrefillRate), maxPrefillRate)
}

// Done ends the attempt; further calls do nothing. failed says that the server broke off, violated the protocol or
// did not respond.
func (a *Attempt) Done(now time.Duration, failed bool) {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	s := t.server(a.id)
	s.load.InFlight--
	s.load.Memory = math.Max(0, s.load.Memory-a.memoryTokens)
	if !a.progressed {
		s.load.Prefill = math.Max(0, s.load.Prefill-a.prefillTokens)
	}
	if failed {
		s.penalty = math.Min(2*s.penaltyAt(now)+failurePenaltyMS, maxPenaltyMS)
		s.failed = now
	}
}

// Prune removes servers that are not listed and have no requests in flight.
func (t *Table) Prune(listed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(id string, s *server) bool { return s.load.InFlight == 0 && !listed(id) })
}
