package dispatch

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// defaultRate is the prompt tokens a millisecond that an engine is taken to read until it was measured, in the
	// range of the engines of the site files.
	defaultRate = 40
	// minRate and maxRate bound the measurement, in tokens a millisecond.
	minRate, maxRate = 2, 400
	// defaultServiceMS is the time of a plain request in milliseconds until it was measured.
	defaultServiceMS = 50
	// learn is the weight of a new measurement.
	learn = 0.1
	// learnSlowness is the weight of a new measurement of one server, higher because a server turns slow at once.
	learnSlowness = 0.25
	// maxSlowness bounds the slowness, so that one hung request does not exclude a server for good.
	maxSlowness = 20
	// recovery is the time after which half of a server's slowness is forgotten if it gets no requests.
	recovery = 4 * time.Second
	// firstTokenMS is the part of the time to the first token that does not depend on the prompt, in milliseconds.
	firstTokenMS = 8
	// failurePenaltyMS is the cost of a server after a failure in milliseconds; it doubles with each further one and
	// halves with each penaltyHalf.
	failurePenaltyMS = 120
	maxPenaltyMS     = 20_000
	penaltyHalf      = time.Second
	// peerAge is the age at which the loads that a peer reported are no longer counted.
	peerAge = 2 * time.Second
	// prefixAge is the time for which a prompt part is taken to stay in a server's cache after its last use.
	prefixAge = 20 * time.Second
	// stallAfter is the time beyond the predicted one without any event or answer after which a server with requests
	// counts as stalled, and the age of a peer's word on it. The longest pause between events that is on time is half of it.
	stallAfter = time.Second
	// maxPrefixes bounds the parts that are remembered for one server.
	maxPrefixes = 4096
)

// Load is what is under way at one server.
type Load struct {
	InFlight int
	Prefill  float64 // prompt tokens that wait for their first token
	Memory   float64 // prompt and output tokens
	Stalled  bool    // the requests are overdue and the server sent nothing for any of them
}

type server struct {
	load     Load
	slowness float64
	measured time.Duration
	penalty  float64
	failed   time.Duration
	due      time.Duration            // when the server should have sent something, if it has requests
	prefixes map[uint64]time.Duration // last use by hash of the prompt up to a part
}

// Table keeps the loads of the servers, own and reported, and what was measured of them. Times are readings of one
// clock. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[string]*server
	rates   map[string]float64 // by model
	service map[string]float64 // milliseconds by plain service
	peers   map[string]*peerLoads
}

type peerLoads struct {
	at    time.Duration
	loads map[string]Load
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		servers: make(map[string]*server), rates: make(map[string]float64), service: make(map[string]float64),
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

// Forget drops what is known of a server that is gone.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, id)
}

// UpdatePeer takes over the loads that changed at a peer, or all of them if whole is set.
func (t *Table) UpdatePeer(peer string, now time.Duration, loads map[string]Load, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peer]
	if p == nil || whole {
		p = &peerLoads{loads: make(map[string]Load, len(loads))}
		t.peers[peer] = p
	}
	p.at = now
	for id, l := range loads {
		if l == (Load{}) {
			delete(p.loads, id)
		} else {
			p.loads[id] = l
		}
	}
}

// DropPeer forgets the loads of a peer that is gone.
func (t *Table) DropPeer(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, peer)
}

// Loads returns the loads of this gateway that are not zero.
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

// Stalled reports whether requests at a server are overdue and it sends nothing, as far as this gateway and its peers
// see. A host that stands still accepts requests all the same. A server that works for some gateway is not stalled.
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
		if l := p.loads[id]; now-p.at < peerAge && l.InFlight > 0 {
			if !l.Stalled {
				return false
			}
			stalled = true
		}
	}
	return stalled
}

// Fill completes a candidate with what the table knows: loads, measured speed and the cached part of the prompt.
func (t *Table) Fill(c *Candidate, now time.Duration, model, service string, prompt Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(c.ID)
	load := s.load
	for _, p := range t.peers {
		if now-p.at < peerAge {
			l := p.loads[c.ID]
			load.InFlight += l.InFlight
			load.Prefill += l.Prefill
			load.Memory += l.Memory
		}
	}
	c.Stalled = t.stalled(c.ID, now)
	c.InFlight, c.Ahead, c.Memory = load.InFlight, load.Prefill, load.Memory
	c.Slowness = s.slownessAt(now)
	c.PenaltyMS = s.penaltyAt(now)
	if model == "" {
		c.ServiceMS = orDefault(t.service[service], defaultServiceMS)
		return
	}
	c.Rate = orDefault(t.rates[model], defaultRate)
	c.Uncached = prompt.uncached(s, c.ID, now)
}

func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}

func (s *server) slownessAt(now time.Duration) float64 {
	age := now - s.measured
	return 1 + (s.slowness-1)*math.Exp2(-float64(age)/float64(recovery))
}

func (s *server) penaltyAt(now time.Duration) float64 {
	return s.penalty * math.Exp2(-float64(now-s.failed)/float64(penaltyHalf))
}

// Rate returns the prompt tokens a millisecond at which a model is read.
func (t *Table) Rate(model string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return orDefault(t.rates[model], defaultRate)
}

// Ticket is one request under way at a server.
type Ticket struct {
	table   *Table
	id      string
	model   string
	service string
	prefill float64
	memory  float64
	started time.Duration
	waiting float64 // milliseconds predicted at the start, without slowness
	first   bool
	done    bool
}

// Begin records that a request goes to the chosen candidate.
func (t *Table) Begin(c *Candidate, now time.Duration, model, service string, prompt Prompt) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(c.ID)
	s.load.InFlight++
	ticket := &Ticket{table: t, id: c.ID, model: model, service: service, started: now}
	if c.Rate > 0 {
		ticket.prefill, ticket.memory = c.Uncached, c.Need
		s.load.Prefill += c.Uncached
		s.load.Memory += c.Need
	}
	plain := *c
	plain.Slowness = 1
	ticket.waiting = plain.predictedMS()
	s.due = max(s.due, now+stallAfter+time.Duration(ticket.waiting*float64(time.Millisecond)))
	if c.Rate > 0 {
		prompt.remember(s, now)
	}
	return ticket
}

// First records an event of a stream, or the answer of a plain service, and learns from the time that the first one took.
func (k *Ticket) First(now time.Duration) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(k.id)
	s.due = max(s.due, now+stallAfter)
	if k.first || k.done {
		return
	}
	k.first = true
	s.load.Prefill = math.Max(0, s.load.Prefill-k.prefill)
	took := float64(now-k.started) / float64(time.Millisecond)
	expected := k.waiting
	if k.model != "" {
		expected += firstTokenMS
		t.learnRate(k, took)
	} else {
		t.service[k.service] += learn * (took - orDefault(t.service[k.service], defaultServiceMS))
		if t.service[k.service] <= 0 {
			t.service[k.service] = took
		}
	}
	ratio := math.Min(math.Max(took/math.Max(expected, 1), 0.2), maxSlowness)
	s.slowness = s.slownessAt(now) + learnSlowness*(ratio-s.slownessAt(now))
	s.measured = now
	s.penalty = s.penaltyAt(now) / 2
	s.failed = now
}

// learnRate adapts the model's rate when the wait was dominated by reading prompts.
func (t *Table) learnRate(k *Ticket, took float64) {
	rate := orDefault(t.rates[k.model], defaultRate)
	const readMS = 20 // shorter waits say little of the rate
	if k.waiting < readMS || took <= firstTokenMS {
		return
	}
	measured := rate * k.waiting / (took - firstTokenMS)
	t.rates[k.model] = math.Min(math.Max(rate+learn*(measured-rate), minRate), maxRate)
}

// Done ends the request. failed says that the server broke off, answered out of protocol or did not answer.
func (k *Ticket) Done(now time.Duration, failed bool) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.done {
		return
	}
	k.done = true
	s := t.server(k.id)
	s.load.InFlight--
	s.load.Memory = math.Max(0, s.load.Memory-k.memory)
	if !k.first {
		s.load.Prefill = math.Max(0, s.load.Prefill-k.prefill)
	}
	if failed {
		s.penalty = math.Min(2*s.penaltyAt(now)+failurePenaltyMS, maxPenaltyMS)
		s.failed = now
	}
}

// Prune drops servers that are not listed and carry nothing.
func (t *Table) Prune(listed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(id string, s *server) bool { return s.load.InFlight == 0 && !listed(id) })
}
