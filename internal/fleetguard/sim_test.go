package fleetguard_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetguard"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

// policy decides for all gateways of a simulated fleet.
type policy interface {
	check(gateway int, e fleetguard.Exposure, now time.Duration) fleetguard.Verdict
	ended(gateway int, s serversigns.Server, e fleetguard.Exposure, now time.Duration)
	answered(gateway int, s serversigns.Server, e fleetguard.Exposure, begun, now time.Duration)
	tick(now time.Duration)
}

// guards is the policy of this package. Without exchange, each gateway decides alone.
type guards struct {
	all      []*fleetguard.Guard
	sent     [][]uint64
	exchange bool
	reports  int // not empty
}

func newGuards(n int, exchange bool) *guards {
	g := &guards{exchange: exchange}
	for i := range n {
		g.all = append(g.all, fleetguard.New(fleetguard.Options{Rank: func(key string) int { return (i + len(key)) % n }}))
		g.sent = append(g.sent, make([]uint64, n))
	}
	return g
}

func (g *guards) check(i int, e fleetguard.Exposure, now time.Duration) fleetguard.Verdict {
	return g.all[i].Check(e, now)
}

func (g *guards) ended(i int, s serversigns.Server, e fleetguard.Exposure, now time.Duration) {
	g.all[i].Ended(s, e, now, now)
}

func (g *guards) answered(i int, s serversigns.Server, e fleetguard.Exposure, begun, now time.Duration) {
	g.all[i].Answered(s, e, begun, now)
}

func (g *guards) tick(now time.Duration) {
	for _, one := range g.all {
		one.Tick(now)
	}
	if !g.exchange {
		return
	}
	for i, from := range g.all {
		for j, to := range g.all {
			if i == j {
				continue
			}
			r, next := from.Report(g.sent[i][j], len(g.all) <= 5)
			g.sent[i][j] = next
			if !r.Empty() {
				g.reports++
				to.Receive(r, now)
			}
		}
	}
}

// counting refuses a part that was in requests at five servers that ended, whatever else is known of it.
type counting struct {
	servers map[string]map[serversigns.Server]bool
}

func (c *counting) check(_ int, e fleetguard.Exposure, _ time.Duration) fleetguard.Verdict {
	return fleetguard.Verdict{Refused: slices.ContainsFunc(e.Parts, func(p string) bool { return len(c.servers[p]) >= 5 })}
}

func (c *counting) ended(_ int, s serversigns.Server, e fleetguard.Exposure, _ time.Duration) {
	for _, p := range e.Parts {
		if c.servers[p] == nil {
			c.servers[p] = make(map[serversigns.Server]bool)
		}
		c.servers[p][s] = true
	}
}

func (c *counting) answered(int, serversigns.Server, fleetguard.Exposure, time.Duration, time.Duration) {
}
func (c *counting) tick(time.Duration) {}

// scenario is a day of a simulated fleet, without or with faulty parts and with servers that are lost together.
type scenario struct {
	gateways, servers int
	soundPerSecond    float64
	faultyPerSecond   float64
	faulty            func(rng *rand.Rand, i int) (parts []string, faulty string) // shared parts of a request that crashes its server
	soundUntil        time.Duration                                               // the faulty part crashes no server before
	lostAt            []time.Duration                                             // a third of the servers is lost
	until             time.Duration
	byHand            bool // too long for each run of the tests
}

type outcome struct {
	crashes, late  int // ends by a faulty part; arrivals later than 3 s after the fifth
	sound, refused int // requests
	refusedAfter3s int // sound requests that were refused later than 3 s after the last loss
	reports        int
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simRun struct {
	gateway  int
	exposure fleetguard.Exposure
	faulty   bool
	attempts int
	begunAt  time.Duration // zero until the answer begins
}

type simServer struct {
	id   serversigns.Server
	down bool
	runs map[*simRun]bool
}

type fleetSim struct {
	scenario
	policy  policy
	rng     *rand.Rand
	now     time.Duration
	queue   events
	servers []*simServer
	out     outcome
	fifth   time.Duration
	lastID  int
}

func (s scenario) run(p policy, seed uint64) outcome {
	f := &fleetSim{scenario: s, policy: p, rng: rand.New(rand.NewPCG(seed, 31))}
	for i := range s.servers {
		f.servers = append(f.servers, &simServer{id: serversigns.Server{ID: fmt.Sprintf("i-%d", i), Born: 1}, runs: make(map[*simRun]bool)})
	}
	f.at(0, f.tick)
	f.at(0, func() { f.arrive(s.soundPerSecond, f.soundRequest) })
	if s.faultyPerSecond > 0 {
		f.at(3*time.Second, func() { f.arrive(s.faultyPerSecond, f.faultyRequest) })
	}
	for _, at := range s.lostAt {
		f.at(at, func() {
			for _, server := range f.servers[:len(f.servers)/3] {
				f.crash(server)
			}
		})
	}
	for len(f.queue) > 0 && f.queue[0].at < s.until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	if g, ok := p.(*guards); ok {
		f.out.reports = g.reports
	}
	return f.out
}

func (f *fleetSim) at(at time.Duration, run func()) { heap.Push(&f.queue, event{at, run}) }

func (f *fleetSim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(f.rng.Int64N(int64(hi-lo)))
}

func (f *fleetSim) tick() {
	f.policy.tick(f.now)
	f.at(f.now+250*time.Millisecond, f.tick)
}

func (f *fleetSim) arrive(rate float64, next func() *simRun) {
	f.send(next())
	f.at(f.now+time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() { f.arrive(rate, next) })
}

func (f *fleetSim) request(parts []string, faulty bool) *simRun {
	f.lastID++
	id := fmt.Sprint(f.lastID)
	return &simRun{gateway: f.rng.IntN(f.gateways), faulty: faulty,
		exposure: fleetguard.NewExposure(id, fmt.Sprint("m", int(f.rng.ExpFloat64()*4)), append(parts, "own"+id))}
}

// soundRequest shares its first part with half of the others, and a rare part with few or none.
func (f *fleetSim) soundRequest() *simRun {
	return f.request([]string{fmt.Sprint("a", f.rng.IntN(2)), fmt.Sprint("d", int(f.rng.ExpFloat64()*20))}, false)
}

func (f *fleetSim) faultyRequest() *simRun {
	f.lastID++
	parts, _ := f.faulty(f.rng, f.lastID)
	return f.request(parts, true)
}

func (f *fleetSim) send(r *simRun) {
	v := f.policy.check(r.gateway, r.exposure, f.now)
	if r.attempts == 0 && !r.faulty {
		f.out.sound++
	}
	if v.Refused {
		if !r.faulty {
			f.out.refused++
			if len(f.lostAt) > 0 && f.now > f.lostAt[len(f.lostAt)-1]+3*time.Second {
				f.out.refusedAfter3s++
			}
		}
		return
	}
	var up []*simServer
	for _, s := range f.servers {
		if !s.down {
			up = append(up, s)
		}
	}
	if len(up) == 0 || v.Suspect && r.attempts > 0 {
		return
	}
	server := up[f.rng.IntN(len(up))]
	if r.faulty && f.out.crashes >= 5 && f.now > f.fifth+3*time.Second {
		f.out.late++
	}
	r.attempts++
	r.begunAt = 0
	server.runs[r] = true
	f.at(f.now+f.between(30*time.Millisecond, 400*time.Millisecond), func() { f.begin(server, r) })
}

func (f *fleetSim) begin(server *simServer, r *simRun) {
	if !server.runs[r] {
		return
	}
	r.begunAt = f.now
	if r.faulty && f.now >= f.soundUntil {
		f.at(f.now+f.between(40*time.Millisecond, 100*time.Millisecond), func() {
			if server.runs[r] {
				f.out.crashes++
				if f.out.crashes == 5 {
					f.fifth = f.now
				}
				f.crash(server)
			}
		})
		return
	}
	begun := f.now
	f.at(f.now+f.between(300*time.Millisecond, 3*time.Second), func() {
		if server.runs[r] {
			delete(server.runs, r)
			f.policy.answered(r.gateway, server.id, r.exposure, begun, f.now)
		}
	})
}

func (f *fleetSim) crash(server *simServer) {
	runs := server.runs
	server.runs, server.down = make(map[*simRun]bool), true
	id := server.id
	var broken []*simRun
	for r := range runs {
		broken = append(broken, r)
	}
	slices.SortFunc(broken, func(a, b *simRun) int { return strings.Compare(a.exposure.RequestID, b.exposure.RequestID) })
	for _, r := range broken {
		if r.begunAt == 0 || f.now-r.begunAt < time.Second {
			f.policy.ended(r.gateway, id, r.exposure, f.now)
		} else {
			f.policy.answered(r.gateway, id, r.exposure, r.begunAt, f.now)
		}
		if r.attempts < 2 {
			f.send(r)
		}
	}
	f.at(f.now+f.between(1500*time.Millisecond, 6*time.Second), func() {
		server.id.ID, server.down = server.id.ID+"'", false
	})
}

func secondOfTwo(rng *rand.Rand, _ int) ([]string, string) {
	return []string{fmt.Sprint("a", rng.IntN(2)), "f00d"}, "f00d"
}

func firstOfTwo(rng *rand.Rand, _ int) ([]string, string) {
	return []string{"f00d", fmt.Sprint("d", int(rng.ExpFloat64()*20))}, "f00d"
}

func withCompanion(rng *rand.Rand, _ int) ([]string, string) {
	return []string{fmt.Sprint("a", rng.IntN(2)), "new", "f00d"}, "f00d"
}

func twoFaulty(rng *rand.Rand, i int) ([]string, string) {
	faulty := fmt.Sprint("f00d", i%2)
	return []string{fmt.Sprint("a", rng.IntN(2)), faulty}, faulty
}

var scenarios = []struct {
	name string
	scenario
	maxLate int
}{
	{"second of two parts", scenario{gateways: 5, servers: 18, soundPerSecond: 20, faultyPerSecond: 4, faulty: secondOfTwo}, 3},
	{"first of two parts", scenario{gateways: 5, servers: 18, soundPerSecond: 20, faultyPerSecond: 4, faulty: firstOfTwo}, 3},
	{"always with another new part", scenario{gateways: 5, servers: 18, soundPerSecond: 20, faultyPerSecond: 4, faulty: withCompanion}, 3},
	{"two faulty parts", scenario{gateways: 5, servers: 18, soundPerSecond: 20, faultyPerSecond: 6, faulty: twoFaulty}, 6},
	{"one every three seconds", scenario{gateways: 5, servers: 18, soundPerSecond: 20, faultyPerSecond: 0.33, faulty: secondOfTwo, until: 60 * time.Second}, 3},
	{"60 gateways", scenario{gateways: 60, servers: 60, soundPerSecond: 60, faultyPerSecond: 4, faulty: secondOfTwo}, 3},
	{"103 gateways", scenario{gateways: 103, servers: 180, soundPerSecond: 100, faultyPerSecond: 4, faulty: secondOfTwo}, 3},
	{"400 gateways", scenario{gateways: 400, servers: 600, soundPerSecond: 200, faultyPerSecond: 4, faulty: secondOfTwo, byHand: true}, 3},
	{"a part that was sound before", scenario{gateways: 5, servers: 18, soundPerSecond: 20, faultyPerSecond: 4, faulty: secondOfTwo, soundUntil: 8 * time.Second, until: 30 * time.Second}, 3},
	{"servers lost twice", scenario{gateways: 5, servers: 18, soundPerSecond: 20, lostAt: []time.Duration{4 * time.Second, 7 * time.Second}}, 0},
	{"servers lost as the fleet starts", scenario{gateways: 5, servers: 18, soundPerSecond: 20, lostAt: []time.Duration{300 * time.Millisecond}}, 0},
	{"servers lost beside a faulty part", scenario{gateways: 5, servers: 18, soundPerSecond: 20, faultyPerSecond: 4, faulty: secondOfTwo, lostAt: []time.Duration{4 * time.Second}}, 3},
}

// Guards against requests that go on crashing servers, and against the refusal of sound ones beside them or after a loss of servers.
func TestSimulatedFleets(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			seeds := uint64(20)
			switch {
			case c.byHand && !testing.Verbose():
				return
			case c.byHand:
				seeds = 3
			case c.gateways > 5 && !testing.Verbose():
				seeds = 2
			}
			for _, kind := range []string{"counting", "alone", "chosen"} {
				if kind != "chosen" && !testing.Verbose() {
					continue
				}
				var sum outcome
				worstLate, worstRefused := 0, 0.0
				for seed := range seeds {
					s := c.scenario
					s.until = max(s.until, 20*time.Second)
					var p policy
					switch kind {
					case "counting":
						p = &counting{make(map[string]map[serversigns.Server]bool)}
					case "alone":
						p = newGuards(s.gateways, false)
					default:
						p = newGuards(s.gateways, true)
					}
					o := s.run(p, seed)
					sum.crashes += o.crashes
					sum.late += o.late
					sum.sound += o.sound
					sum.refused += o.refused
					sum.reports += o.reports
					worstLate = max(worstLate, o.late)
					worstRefused = max(worstRefused, float64(o.refused)/float64(o.sound))
					if kind == "chosen" && (o.late > c.maxLate || o.refused*100 > o.sound) {
						t.Errorf("seed %d: %+v", seed, o)
					}
				}
				t.Logf("%-9s %3d seeds: %5.1f crashes, %5.2f late arrivals (worst %d), %5.2f%% of sound requests refused (worst %.1f%%), %.0f reports",
					kind, seeds, float64(sum.crashes)/float64(seeds), float64(sum.late)/float64(seeds), worstLate,
					100*float64(sum.refused)/float64(sum.sound), 100*worstRefused, float64(sum.reports)/float64(seeds))
			}
		})
	}
}
