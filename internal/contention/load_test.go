package contention_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/contention"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

// The simulated part of a fleet: the engines of one model, and gateways that tell each other their loads.
const (
	engines       = 6
	gateways      = 12
	slots         = 64
	chunkTokens   = 2048  // prompt tokens processed in one step
	tokensPerMS   = 38.0  // prompt tokens processed per millisecond
	stepMS        = 3.4   // a step without prompts
	slotMS        = 0.017 // added to a step by each request in the batch
	pairsMS       = 0.737 // for a million pairs of tokens in attention
	eventTokens   = 8
	cacheTokens   = 150_000
	exchangeEvery = 250 * time.Millisecond
	pollEvery     = 15 * time.Millisecond
	longestPause  = 500 * time.Millisecond
)

// kind is one kind of requests, with a rate in requests per second.
type kind struct {
	route  fleet.Route
	shared []int // tokens of the shared parts of a prompt
	topics int   // different values of the last shared part
	own    int   // tokens of the request's own part
	output int
	rate   float64
	org    string
}

func streamRoute(name string, priority int, target, timeout time.Duration) fleet.Route {
	return fleet.Route{
		Name: name, Repeat: fleet.Stream, Priority: priority, Target: target, Timeout: timeout, MaxEventGap: longestPause,
		Targets: []fleet.Target{{Service: "s", Weight: 1}},
	}
}

// arrival is one request in the simulation.
type arrival struct {
	kind      *kind
	at        time.Duration
	gateway   int
	parts     []fleetroute.Part
	prompt    fleetroute.Prompt
	total     int
	waiter    *contention.Waiter
	turn      bool
	attempt   *fleetroute.Attempt
	remaining float64 // prompt tokens still to be processed
	context   float64
	produced  int
	first     time.Duration
	last      time.Duration // of the last event
	pause     time.Duration // longest pause between events
}

// draw returns arrivals of the kinds over the given time.
func draw(seed uint64, kinds []*kind, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, seed))
	var list []arrival
	ids := engineIDs()
	for _, k := range kinds {
		for at := time.Duration(0); at < length; {
			at += time.Duration(rng.ExpFloat64() / k.rate * float64(time.Second))
			r := arrival{kind: k, at: at, gateway: rng.IntN(gateways)}
			for i, tokens := range k.shared {
				id := fmt.Sprint(k.shared[0], "/", i)
				if i == len(k.shared)-1 {
					id = fmt.Sprint(id, "/", rng.IntN(k.topics))
				}
				r.parts = append(r.parts, fleetroute.Part{ID: id, Tokens: tokens})
				r.total += tokens
			}
			r.parts = append(r.parts, fleetroute.Part{ID: fmt.Sprint(k.route.Name, at), Tokens: k.own})
			r.total += k.own
			r.prompt = fleetroute.NewPrompt("m", r.total, r.parts, ids)
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// work returns the tokens that the organisation's limit counts.
func (r *arrival) work() float64 { return float64(r.total + r.kind.output) }

func engineIDs() (ids []string) {
	for i := range engines {
		ids = append(ids, fmt.Sprint("i-", i))
	}
	return ids
}

// engine simulates steps, each of which processes a chunk of the waiting prompts and one token for every stream.
type engine struct {
	free    time.Duration // end of the last step
	waiting []*arrival
	running []*arrival
	cached  map[string]time.Duration // last use of the prompt up to and including a part
	sizes   map[string]float64
}

func (e *engine) add(r *arrival, now time.Duration) {
	key, known := "", true
	for i, part := range r.parts {
		key += "/" + part.ID
		if _, ok := e.cached[key]; !ok || !known {
			known = false
			r.remaining += float64(part.Tokens)
		}
		r.context += float64(part.Tokens)
		if i < len(r.parts)-1 {
			e.cached[key], e.sizes[key] = now, float64(part.Tokens)
		}
	}
	for total := math.Inf(1); total > cacheTokens; {
		total = 0
		oldest := ""
		for key, at := range e.cached {
			total += e.sizes[key]
			if oldest == "" || at < e.cached[oldest] {
				oldest = key
			}
		}
		if total > cacheTokens {
			delete(e.cached, oldest)
		}
	}
	e.waiting = append(e.waiting, r)
}

func (e *engine) step(now time.Duration, ended func(*arrival)) {
	budget, took := float64(chunkTokens), stepMS+slotMS*float64(len(e.running))
	var started []*arrival
	for budget > 0 && len(e.waiting) > 0 && len(e.running)+len(started) < slots {
		r := e.waiting[0]
		n := min(budget, r.remaining)
		budget -= n
		r.remaining -= n
		took += n/tokensPerMS + pairsMS*n*(r.context-r.remaining)/1e6
		if r.remaining > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		started = append(started, r)
	}
	end := now + time.Duration(took*float64(time.Millisecond))
	e.free = end
	e.running = slices.DeleteFunc(e.running, func(r *arrival) bool {
		r.produced++
		if r.produced%eventTokens == 0 {
			r.pause = max(r.pause, end-r.last)
			r.last = end
			r.attempt.RecordProgress(end)
		}
		if r.produced < r.kind.output {
			return false
		}
		r.attempt.Done(end, false)
		ended(r)
		return true
	})
	for _, r := range started {
		r.first, r.last = end, end
		r.attempt.RecordProgress(end)
		e.running = append(e.running, r)
	}
}

// outcome counts the requests of one kind and organisation.
type outcome struct{ inTime, late, paused, refused int }

// player plays a load with one way of admission.
type player struct {
	now      time.Duration
	policy   *contention.Policy // nil for admission by deadline
	tables   []*fleetroute.Table
	queues   []*contention.Queue
	waiting  [][]*arrival
	shares   *contention.Shares
	engines  []*engine
	outcomes map[string]*outcome
	rng      *rand.Rand
}

// play plays the load. It returns the outcomes by route and organisation.
func play(load []arrival, policy *contention.Policy) map[string]*outcome {
	load = slices.Clone(load)
	p := &player{rng: rand.New(rand.NewPCG(1, 2)), policy: policy, shares: contention.NewShares(), outcomes: make(map[string]*outcome), waiting: make([][]*arrival, gateways)}
	for range engines {
		p.engines = append(p.engines, &engine{cached: make(map[string]time.Duration), sizes: make(map[string]float64)})
	}
	for range gateways {
		p.tables = append(p.tables, fleetroute.NewTable())
		p.queues = append(p.queues, contention.NewQueue(0))
	}
	for next := 0; next < len(load) || p.busy(); p.now += time.Millisecond {
		for i := range p.tables {
			if (p.now+exchangeEvery*time.Duration(i)/gateways)%exchangeEvery < time.Millisecond {
				for j, to := range p.tables {
					if i != j {
						to.UpdatePeer(fmt.Sprint(i), p.now, p.tables[i].Loads(p.now), true)
					}
				}
			}
		}
		for _, e := range p.engines {
			for e.free <= p.now && len(e.waiting)+len(e.running) > 0 {
				e.step(max(e.free, p.now), p.end)
			}
		}
		for ; next < len(load) && load[next].at <= p.now; next++ {
			p.shares.Add(load[next].kind.org, load[next].work(), p.now)
			p.decide(&load[next])
		}
		for i := range p.waiting {
			p.poll(i)
		}
	}
	return p.outcomes
}

func (p *player) busy() bool {
	return slices.ContainsFunc(p.engines, func(e *engine) bool { return len(e.waiting)+len(e.running) > 0 }) ||
		slices.ContainsFunc(p.waiting, func(w []*arrival) bool { return len(w) > 0 })
}

func (p *player) outcome(r *arrival) *outcome {
	name := r.kind.route.Name + r.kind.org
	if p.outcomes[name] == nil {
		p.outcomes[name] = new(outcome)
	}
	return p.outcomes[name]
}

func (p *player) end(r *arrival) {
	o := p.outcome(r)
	switch {
	case r.first-r.at > r.kind.route.Target:
		o.late++
	case r.pause > longestPause:
		o.paused++
	default:
		o.inTime++
	}
}

// poll decides on the waiting requests of a gateway that are due.
func (p *player) poll(gateway int) {
	if (p.now+pollEvery*time.Duration(gateway)/gateways)%pollEvery < time.Millisecond {
		p.queues[gateway].StartRound(p.now)
	}
	for decided := true; decided; {
		decided = false
		for _, r := range slices.Clone(p.waiting[gateway]) {
			if r.turn || r.waiter.Due <= p.now {
				r.turn, decided = false, true
				p.decide(r)
			}
		}
	}
}

// decide decides on a request as the gateway does.
func (p *player) decide(r *arrival) {
	table, queue := p.tables[r.gateway], p.queues[r.gateway]
	var list []fleetroute.Candidate
	for _, id := range engineIDs() {
		c := fleetroute.Candidate{ID: id, DataCentre: "a", Slots: slots, CapacityTokens: 205_000}
		table.Fill(&c, p.now, "m", "s", r.prompt)
		c.NeededTokens = c.UncachedTokens + float64(r.kind.output)
		list = append(list, c)
	}
	at := fleetroute.Choose(list, "a")
	left := r.at + r.kind.route.Timeout - p.now
	if p.policy == nil && list[at].Predicted() > time.Duration(0.8*float64(left)) {
		p.refuse(r)
		return
	}
	if p.policy != nil {
		if at = p.seek(r, queue, list, at, left); at < 0 {
			return
		}
	}
	r.attempt = table.Begin(&list[at], p.now, "m", "s", r.prompt)
	p.engines[at].add(r, p.now)
	p.leave(r)
}

func (p *player) refuse(r *arrival) {
	p.outcome(r).refused++
	p.shares.Add(r.kind.org, -r.work(), p.now)
	p.leave(r)
}

func (p *player) leave(r *arrival) {
	if r.waiter != nil {
		p.waiting[r.gateway] = slices.DeleteFunc(p.waiting[r.gateway], func(w *arrival) bool { return w == r })
		p.queues[r.gateway].Remove(r.waiter, p.now)
	}
}

// seek returns the server to which the request may be sent, or -1 if it waits or was refused.
func (p *player) seek(r *arrival, queue *contention.Queue, list []fleetroute.Candidate, at int, left time.Duration) int {
	request := contention.Request{
		Rank: p.policy.Rank(r.kind.route.Priority), Target: r.kind.route.Target, Elapsed: p.now - r.at, Left: left, FairShare: 1,
	}
	served, factor := p.shares.Of(r.kind.org, p.now)
	if request.Served = served; !queue.Idle(p.now) {
		request.FairShare = factor
	}
	best := contention.ServerOf(&list[at])
	room := slices.ContainsFunc(list, func(c fleetroute.Candidate) bool { return p.policy.HasRoom(contention.ServerOf(&c)) })
	load := queue.Load(r.waiter, request, best, gateways, len(list), p.now)
	load.Draw = p.rng.Float64()
	v := p.policy.Decide(request, best, load)
	switch v.Action {
	case contention.Send:
		return at
	case contention.Refuse:
		queue.Observe(room, p.now)
		p.refuse(r)
		return -1
	}
	queue.Observe(room, p.now)
	if r.waiter == nil {
		r.waiter = &contention.Waiter{ArrivedAt: r.at, Wake: func() { r.turn = true }}
		queue.Add(r.waiter, p.now)
		p.waiting[r.gateway] = append(p.waiting[r.gateway], r)
	}
	queue.Failed(r.waiter, request, best, p.now+v.WaitFor, p.now)
	return -1
}
