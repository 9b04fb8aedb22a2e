package limitholder

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// outage sends the requests of one organisation to a fleet and compares them with exact buckets: one for the
// whole limit, and one for the shares whose holders run.
type outage struct {
	*fleet
	random           *rand.Rand
	org              config.Organisation
	totalBucket      exactBucket
	runningBucket    exactBucket // shares whose holders run
	grants           []grant
	granted          int64
	requests         map[string]int // by phase
	expectedRefusals map[string]int // by phase: refused by runningBucket, which is charged for what it grants
	wrongfulRefusals map[string]int // by phase and kind: refused although totalBucket had the tokens
}

// exactBucket is a token bucket with the given part of the organisation's rate and burst.
type exactBucket struct {
	part, level float64
	at          time.Duration
}

func (b *exactBucket) advance(org config.Organisation, now time.Duration) {
	b.level = min(b.part*float64(org.Burst), b.level+b.part*org.Rate*(now-b.at).Seconds())
	b.at = now
}

const third = 1.0 / 3 // share of each of the three holders

type grant struct {
	at  time.Duration
	net int64
}

func newOutage() *outage {
	o := &outage{
		fleet: newFleet("a", "b", "c"), random: rand.New(rand.NewPCG(1, 1)),
		org:      config.Organisation{Name: "dawn-crew", Rate: 300, Burst: 3000},
		requests: make(map[string]int), wrongfulRefusals: make(map[string]int), expectedRefusals: make(map[string]int),
	}
	o.setEntity(o.org)
	o.totalBucket = exactBucket{part: 1, level: float64(o.org.Burst)}
	o.runningBucket = o.totalBucket
	for _, number := range []string{"1", "2"} {
		for i, dc := range []string{"a", "b", "c"} {
			o.start(dc, dc+number, "i1", time.Duration(i)*time.Hour)
		}
		o.runRound() // the first gateway of each data centre acquires all partitions
	}
	return o
}

func (o *outage) runRound() {
	for address, h := range o.gateways {
		if !o.unreachable[address] {
			_ = h.Round(context.Background())
		}
	}
}

// run sends requests at 90% of the rate, four fifths of them to one data centre, until end.
func (o *outage) run(phase string, end time.Duration) {
	nextRound := o.now
	for o.now < end {
		tokens := 20 + o.random.Int64N(80)
		mean := float64(tokens) / (0.9 * o.org.Rate)
		o.now += time.Duration(o.random.ExpFloat64() * mean * float64(time.Second))
		if o.now >= nextRound {
			nextRound = o.now + 10*time.Second
			o.runRound()
		}
		o.request(phase, tokens)
	}
}

func (o *outage) request(phase string, tokens int64) {
	dc := []string{"a", "a", "a", "a", "a", "a", "a", "a", "b", "c"}[o.random.IntN(10)]
	address := dc + []string{"1", "2"}[o.random.IntN(2)]
	if o.unreachable[address] {
		address = dc + "2" // the load balancer uses the other gateway
	}
	o.requests[phase]++
	o.totalBucket.advance(o.org, o.now)
	o.runningBucket.advance(o.org, o.now)
	net := tokens
	if o.random.IntN(3) == 0 {
		net = o.random.Int64N(tokens + 1)
	}
	if o.runningBucket.level >= float64(tokens) {
		o.runningBucket.level -= float64(net)
	} else {
		o.expectedRefusals[phase]++
	}
	r, err := NewClient(o.gateways[address]).Reserve(context.Background(), "r", o.org, tokens)
	if err == nil {
		r.Refund(tokens - net)
		synctest.Wait() // a refund to another gateway is sent in the background
		o.grants = append(o.grants, grant{o.now, net})
		o.granted += net
		o.totalBucket.level -= float64(net)
		return
	}
	if o.totalBucket.level >= float64(tokens) {
		o.wrongfulRefusals[phase+": "+errkind.Of(err).String()]++
	}
}

// excess returns the largest excess, in tokens, of any window over burst + rate × window.
func (o *outage) excess() float64 {
	level, at, worst := float64(o.org.Burst), time.Duration(0), 0.0
	for _, g := range o.grants {
		level = min(float64(o.org.Burst), level+o.org.Rate*(g.at-at).Seconds()) - float64(g.net)
		at = g.at
		worst = max(worst, -level)
	}
	return worst
}

// TestOutageAtSkewedLoad guards against exceeding the limit in any window during an hour without the table
// service in which one holder crashes and restarts and another freezes; against refusals for lack of a holder;
// and against refusals due to skewed load while every holder runs.
func TestOutageAtSkewedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := newOutage()
		start := o.now
		o.run("before", start+5*time.Minute)
		o.store.unavailable = true
		o.run("outage", start+15*time.Minute)
		o.unreachable["a1"], o.runningBucket.part = true, 2*third
		o.run("holder crashed", start+16*time.Minute)
		delete(o.unreachable, "a1")
		restarted := o.fleet.start("a", "a1", "i2", 9*time.Hour)
		g.Expect(restarted.Round(context.Background())).NotTo(Succeed())
		o.run("holder restarted", start+40*time.Minute)
		o.unreachable["b1"], o.runningBucket.part = true, third
		o.run("another holder frozen", start+41*time.Minute)
		delete(o.unreachable, "b1")
		o.runningBucket.part = 2 * third
		o.run("resumed", start+65*time.Minute)
		o.store.unavailable = false
		o.run("table service back", start+66*time.Minute)
		o.runningBucket.part = 1
		o.run("after", start+75*time.Minute)

		t.Logf("granted %d tokens in %d grants, %.1f above burst + rate × window\nrequests %v\nwrongful refusals %v\nexpected %v",
			o.granted, len(o.grants), o.excess(), o.requests, o.wrongfulRefusals, o.expectedRefusals)
		g.Expect(o.excess()).To(BeNumerically("<", 1e-3))
		for phase := range o.requests {
			g.Expect(o.wrongfulRefusals[phase+": "+errkind.LimitsUnavailable.String()]).To(BeZero(), phase)
		}
		for _, phase := range []string{"before", "outage", "after"} {
			// Loans are made on demand, so a few refusals are allowed while no share is lost.
			g.Expect(o.wrongfulRefusals[phase+": "+errkind.RateLimited.String()]).To(BeNumerically("<", o.requests[phase]/100), phase)
		}
	})
}
