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
	// Pace is the server's measured time relative to the mean of all servers, as far as it is not due to contention.
	// It is 0 if unknown.
	Pace float64
}

type server struct {
	load         Load
	peers        peerSum
	ownPace      estimate // logarithm of its times, relative to those of all servers, as measured by this gateway
	pace         estimate // the same as measured by all gateways
	reference    *reference
	band         float64 // differences of pace up to band count as noise
	speed        float64
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
	prefillRates map[string]float64    // prompt tokens per millisecond, by model
	service      map[string]float64    // time of a request in milliseconds, by plain service
	paces        map[string]*reference // by model or plain service
	usual        map[string]*usualTime // by plain service
	peers        map[string]*peerLoads
	peersExpire  time.Duration // before then, the loads of all peers in the sums are recent
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		servers: make(map[string]*server), prefillRates: make(map[string]float64), service: make(map[string]float64),
		paces: make(map[string]*reference), usual: make(map[string]*usualTime), peers: make(map[string]*peerLoads),
	}
}

func (t *Table) server(id string) *server {
	s := t.servers[id]
	if s == nil {
		s = &server{slowness: 1, speed: 1, band: streamSpeedBand, prefixes: make(map[uint64]time.Duration)}
		t.servers[id] = s
	}
	return s
}

// Forget removes a server that is no longer listed.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		peers := s.peers
		delete(t.servers, id)
		if peers.reporting > 0 {
			t.server(id).peers = peers
		}
	}
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
			if s.ownPace.samples > 0 {
				load.Pace = math.Round(1000*math.Exp(s.ownPace.value-s.median())) / 1000
			}
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
	t.expirePeers(now)
	s := t.servers[id]
	return s != nil && s.stalled(now)
}

func (s *server) stalled(now time.Duration) bool {
	if s.load.InFlight > 0 {
		return now > s.due
	}
	return s.peers.allStalled()
}

// Fill sets the candidate's fields that the table knows: loads, measured speed, penalty and the uncached part of the
// prompt. An empty model means a plain service.
func (t *Table) Fill(c *Candidate, now time.Duration, model, service string, prompt Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(c.ID)
	t.expirePeers(now)
	c.Stalled = s.stalled(now)
	c.InFlight = s.load.InFlight + s.peers.load.InFlight
	c.QueuedTokens = s.load.Prefill + s.peers.load.Prefill
	c.Memory = s.load.Memory + s.peers.load.Memory
	c.Speed = s.speed
	c.Slowness = s.slownessAt(now)
	c.PenaltyMS = s.penaltyAt(now)
	s.band = streamSpeedBand
	if model == "" {
		s.band = plainSpeedBand
		c.Occupancy = float64(s.load.InFlight) + s.peers.smoothedInFlight(now)
		c.ServiceMS = orDefault(t.service[service], defaultServiceMS) / s.speed
		return
	}
	c.PrefillRate = orDefault(t.prefillRates[model], defaultPrefillRate) * s.speed
	c.UncachedTokens = prompt.uncachedTokens(s, c.ID, now)
}

func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}

func (s *server) slownessAt(now time.Duration) float64 {
	if s.slowness == 1 {
		return 1
	}
	age := now - s.slownessAsOf
	return 1 + (s.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// observeSlowness adds a measured time, as a multiple of the predicted time.
func (s *server) observeSlowness(now time.Duration, ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.2), maxSlowness)
	s.slowness = s.slownessAt(now) + slownessSampleWeight*(ratio-s.slownessAt(now))
	s.slownessAsOf = now
}

func (s *server) penaltyAt(now time.Duration) float64 {
	if s.penalty == 0 {
		return 0
	}
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
	expectedMS    float64 // predicted at the start, in milliseconds, for a server that keeps its own speed
	speed         float64 // the server's speed in the prediction
	hadSlot       bool    // the server of a plain service had a free slot at the start
	progressed    bool
	done          bool
	pauses        pauses
}

// Begin records that a request is sent to the chosen candidate.
func (t *Table) Begin(c *Candidate, now time.Duration, model, service string, prompt Prompt) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(c.ID)
	s.load.InFlight++
	a := &Attempt{table: t, id: c.ID, model: model, service: service, started: now, speed: c.Speed, hadSlot: c.InFlight < c.Slots}
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
	if a.done {
		return
	}
	if a.model != "" {
		t.observePause(s, a, now)
	}
	if a.progressed {
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
		nominal := took * orOne(a.speed)
		t.service[a.service] += sampleWeight * (nominal - orDefault(t.service[a.service], defaultServiceMS))
		if t.service[a.service] <= 0 {
			t.service[a.service] = nominal
		}
		t.observeUsual(a, now-a.started)
		if a.hadSlot {
			t.observePace(s, a.service, took, now)
		}
	}
	s.observeSlowness(now, took/math.Max(expected, 1))
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

// Prune removes servers that are not listed and have no requests in flight from any gateway.
func (t *Table) Prune(listed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(id string, s *server) bool { return s.load.InFlight == 0 && s.peers.reporting == 0 && !listed(id) })
}
