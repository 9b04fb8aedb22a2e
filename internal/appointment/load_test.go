package appointment_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/appointment"
	"github.com/pomelowheel/pomelowheel/internal/contention"
)

// The drawn load: chats and drafts of docs/hard-load.md, a little above the rate of the servers.
const (
	loadGateways, loadServers = 4, 6
	tokensPerMS               = 38.0 // of each server
	overload                  = 1.15
	step                      = 5 * time.Millisecond
	exchangeEvery             = 100 * time.Millisecond
)

type drawn struct {
	request   contention.Request
	tokens    float64
	arrivedAt time.Duration
	deadline  time.Duration
	key       appointment.Request // its Key is zero if the prompt isn't described
	returned  bool
	gateway   int
}

type gatewayState struct {
	book     *appointment.Book
	waiting  []*drawn
	lastRoom time.Duration
}

// play is one run of the load. It counts the returned requests and those of them that begin within their target, by whether they have
// appointments.
type play struct {
	random   *rand.Rand // of arrivals
	retries  *rand.Rand // of the gateways that callers return to
	without  bool
	policy   *contention.Policy
	servers  [loadServers]float64 // outstanding prompt tokens
	gateways [loadGateways]gatewayState
	later    []*drawn // callers that return

	returned, inTime [2]int
	fresh, freshOK   [2]int // by rank
}

func (p *play) best() (int, float64) {
	at := 0
	for i := range p.servers {
		if p.servers[i] < p.servers[at] {
			at = i
		}
	}
	return at, p.servers[at] / tokensPerMS
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func keyed(d *drawn) int {
	if d.key.Key != 0 {
		return 1
	}
	return 0
}

// decide decides on a request and reports whether it waits on.
func (p *play) decide(now time.Duration, d *drawn) bool {
	g := &p.gateways[d.gateway]
	d.request.Elapsed, d.request.Left = now-d.arrivedAt, d.deadline-now
	at, wait := p.best()
	s := contention.Server{WaitAhead: ms(wait), Predicted: ms(wait + d.tokens/tokensPerMS), Running: true}
	if p.policy.HasRoom(s) {
		g.lastRoom = now
	}
	if g.book.Known() > 0 {
		kept := p.policy.KeepRoom(d.request, s, g.book.Due(now, queue, tokensPerMS*loadServers))
		s.WaitAhead, s.Predicted = s.WaitAhead+kept, s.Predicted+kept
	}
	var backlog float64
	for _, w := range g.waiting {
		if w.request.CanMeetTarget(ms(w.tokens / tokensPerMS)) {
			backlog += w.tokens / tokensPerMS / loadServers * loadGateways
		}
	}
	// The requests of a gateway are decided on in their order, and loads are exact, so none leaves its room to another gateway.
	v := p.policy.Decide(d.request, s, contention.Load{NoRoomFor: now - g.lastRoom, Backlog: ms(backlog), First: true})
	if v.Action == contention.Wait && len(g.waiting) >= 128 {
		v.Action = contention.Refuse
	}
	switch v.Action {
	case contention.Wait:
		return true
	case contention.Send:
		p.servers[at] += d.tokens
		p.count(d, d.request.Elapsed+ms(p.servers[at]/tokensPerMS) <= d.request.Target)
		return false
	}
	p.count(d, false)
	after := min(max(v.RetryAfter, 100*time.Millisecond), 3*time.Second)
	if d.key.Key != 0 {
		r := d.key
		r.CapacityIn, r.Left, r.Peers = v.RetryAfter, d.request.Left, loadGateways-1
		if in, _, outcome := g.book.Make(now, r); outcome != appointment.None {
			after = in
		}
	}
	if after <= d.request.Left/3 && !d.returned {
		next := *d
		next.arrivedAt, next.returned, next.gateway = now+after, true, p.retries.IntN(loadGateways)
		p.later = append(p.later, &next)
	}
	return false
}

func (p *play) count(d *drawn, ok bool) {
	n, all := &p.inTime[keyed(d)], &p.returned[keyed(d)]
	if !d.returned {
		n, all = &p.freshOK[d.request.Rank], &p.fresh[d.request.Rank]
	}
	*all++
	if ok {
		*n++
	}
}

func (p *play) arrive(now time.Duration, d *drawn) {
	g := &p.gateways[d.gateway]
	if d.key.Key != 0 {
		_, _, outcome := g.book.Redeem(now, d.arrivedAt, d.key.Key)
		d.request.Returned = outcome == appointment.Redeemed
	}
	g.waiting = append(g.waiting, d)
}

func (p *play) draw(now time.Duration, number int) *drawn {
	d := &drawn{arrivedAt: now, gateway: p.random.IntN(loadGateways), tokens: 826, deadline: now + 15*time.Second}
	d.request = contention.Request{Target: 500 * time.Millisecond, FairShare: 1}
	if p.random.IntN(2) == 0 {
		d.tokens, d.deadline = 2890+float64(p.random.IntN(2))*6300, now+6*time.Second
		d.request.Rank, d.request.Target = 1, 800*time.Millisecond
	}
	if organisation := fmt.Sprint(p.random.IntN(8)); p.random.IntN(2) == 0 && !p.without {
		d.key = refused(organisation, fmt.Sprint(number), d.tokens)
		d.key.Rate = tokensPerMS * loadServers
	}
	return d
}

// playLoad plays a drawn load. Without appointments, the callers with a described prompt are refused and return like the others.
func playLoad(seed uint64, length time.Duration, without bool) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 1)), retries: rand.New(rand.NewPCG(seed, 2)), without: without, policy: &contention.Policy{ShortestTarget: 500 * time.Millisecond}}
	for i := range p.gateways {
		p.gateways[i].book = appointment.New(seed + uint64(i))
	}
	var positions [loadGateways][loadGateways]uint64
	const meanTokens = (826 + 2890 + 3150) / 2
	mean := float64(meanTokens) / (tokensPerMS * loadServers * overload) // milliseconds between arrivals
	next := time.Duration(0)
	for now, number := time.Duration(0), 0; now < length; now += step {
		for ; next <= now; number++ {
			p.arrive(now, p.draw(now, number))
			next += ms(p.random.ExpFloat64() * mean)
		}
		p.later = slices.DeleteFunc(p.later, func(d *drawn) bool {
			if d.arrivedAt <= now {
				p.arrive(now, d)
			}
			return d.arrivedAt <= now
		})
		for i := range p.gateways {
			g := &p.gateways[i]
			slices.SortStableFunc(g.waiting, func(a, b *drawn) int {
				standing := func(d *drawn) contention.Standing {
					return contention.NewStanding(d.request, ms(d.tokens/tokensPerMS))
				}
				return contention.Compare(standing(a), standing(b))
			})
			g.waiting = slices.DeleteFunc(g.waiting, func(d *drawn) bool { return !p.decide(now, d) })
		}
		if now%exchangeEvery == 0 {
			for from := range p.gateways {
				for to := range p.gateways {
					if m, position := p.gateways[from].book.After(now, positions[from][to]); from != to && m != nil {
						positions[from][to] = position
						if err := p.gateways[to].book.Receive(now, m); err != nil {
							panic(err)
						}
					}
				}
			}
		}
		for i := range p.servers {
			p.servers[i] = max(0, p.servers[i]-tokensPerMS*float64(step)/float64(time.Millisecond))
		}
	}
	return p
}

// Guards against appointments that don't help, in one load above the rate of the servers: callers that return at the advised time must be in time
// more often with an appointment than without. And guards against appointments that stop new urgent requests: of these, at least 0.95
// of those must be in time that are without any appointments.
func TestReturningCallersAreServed(t *testing.T) {
	for seed := range uint64(3) {
		with, without := playLoad(seed, 40*time.Second, false), playLoad(seed, 40*time.Second, true)
		share := func(n, all int) float64 { return float64(n) / float64(max(1, all)) }
		t.Logf("seed %d: returned callers in time: %d of %d with appointments, %d of %d without; new chats %d of %d, new drafts %d of %d; "+
			"without any appointments: returned callers %d of %d, new chats %d of %d, new drafts %d of %d", seed,
			with.inTime[1], with.returned[1], with.inTime[0], with.returned[0], with.freshOK[0], with.fresh[0], with.freshOK[1], with.fresh[1],
			without.inTime[0], without.returned[0], without.freshOK[0], without.fresh[0], without.freshOK[1], without.fresh[1])
		if share(with.inTime[1], with.returned[1]) <= share(with.inTime[0], with.returned[0]) {
			t.Error("callers with appointments are not in time more often")
		}
		if share(with.freshOK[0], with.fresh[0]) < 0.95*share(without.freshOK[0], without.fresh[0]) {
			t.Error("appointments stop new chats")
		}
	}
}
