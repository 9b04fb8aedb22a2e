package fleetplan_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetplan"
	"github.com/pomelowheel/pomelowheel/platform"
)

func TestFleetplan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetplan")
}

const soon = 12 * time.Second

// candidate is one gateway's part in the election.
type candidate struct {
	lease  *fleetplan.Lease
	demand map[string]float64
	stop   func()

	mu sync.Mutex
}

func (c *candidate) taken() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.demand
}

func join(address, name string) *candidate {
	c := new(candidate)
	c.lease = fleetplan.NewLease(fleetplan.LeaseOptions{
		Store: platform.NewStore(address), Host: name, Incarnation: fmt.Sprint(name, time.Now().UnixNano()),
		Clock:  bootclock.Now,
		Demand: func() map[string]float64 { return map[string]float64{"s\x00m": 7} },
		Taken: func(d map[string]float64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.demand = d
		},
		Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = c.lease.Run(ctx) })
	c.stop = func() { cancel(); done.Wait() }
	DeferCleanup(func() { c.stop() })
	return c
}

func holders(all ...*candidate) int {
	n := 0
	for _, c := range all {
		if c.lease.Epoch() != 0 {
			n++
		}
	}
	return n
}

var _ = Describe("the planner's lease", func() {
	var store *fake.Store
	var address string

	BeforeEach(func() {
		store = fake.NewStore()
		server := httptest.NewServer(store.Handler())
		DeferCleanup(server.Close)
		address = server.Listener.Addr().String()
	})

	// Guards against a stopping gateway that plans again until it ends, and against orders of two planners in turn.
	It("is not taken again by the gateway that released it", func() {
		one := join(address, "g1")
		Eventually(func() int { return holders(one) }, soon).Should(Equal(1))
		one.lease.Release(context.Background())
		Consistently(func() int { return holders(one) }, 2*time.Second).Should(Equal(0))
		other := join(address, "g2")
		Eventually(func() int { return holders(other) }, soon).Should(Equal(1))
	})

	It("is held by one of the gateways that start together", func() {
		all := []*candidate{join(address, "g1"), join(address, "g2"), join(address, "g3")}
		Eventually(func() int { return holders(all...) }, soon).Should(Equal(1))
		Consistently(func() int { return holders(all...) }, 2*time.Second).Should(Equal(1))
	})

	It("passes with the demand, and a higher epoch, after its holder died", func() {
		first := join(address, "g1")
		Eventually(func() int { return holders(first) }, soon).Should(Equal(1))
		epoch := first.lease.Epoch()
		first.stop()
		second := join(address, "g2")
		Consistently(func() int { return holders(second) }, 2*time.Second).Should(Equal(0), "the term is not over")
		Eventually(func() int { return holders(second) }, soon).Should(Equal(1))
		Expect(second.lease.Epoch()).To(BeNumerically(">", epoch))
		Expect(second.taken()).To(HaveKeyWithValue("s\x00m", 7.0))
	})

	It("passes at once when it is released or its holder's host starts again", func() {
		first := join(address, "g1")
		Eventually(func() int { return holders(first) }, soon).Should(Equal(1))
		first.stop()
		again := join(address, "g1")
		Eventually(func() int { return holders(again) }, 2*time.Second).Should(Equal(1))
		again.stop()
		again.lease.Release(context.Background())
		other := join(address, "g2")
		Eventually(func() int { return holders(other) }, 2*time.Second).Should(Equal(1))
	})

	It("ends by itself while the store is away, and is resolved when an answer was lost", func() {
		first := join(address, "g1")
		Eventually(func() int { return holders(first) }, soon).Should(Equal(1))
		store.SetFaults(fake.StoreFaults{Refuse: true})
		Eventually(func() int { return holders(first) }, soon).Should(Equal(0))
		store.SetFaults(fake.StoreFaults{Lose: 0.5})
		Eventually(func() int { return holders(first) }, soon).Should(Equal(1))
	})

	It("ends when a peer plans under a newer epoch", func() {
		first := join(address, "g1")
		Eventually(func() int { return holders(first) }, soon).Should(Equal(1))
		first.lease.Heard(first.lease.Epoch() + 1)
		Expect(holders(first)).To(Equal(0))
	})
})

// Guards against copies that stay with a model whose demand ended, and a shift that is noticed late.
func TestDemandFollowsAShiftWithinSeconds(t *testing.T) {
	a := fleetplan.NewAverages(0)
	now := time.Duration(0)
	run := func(d time.Duration, model string) {
		for end := now + d; now < end; {
			now += 100 * time.Millisecond
			a.Add(model, 1000)
			a.Advance(now)
		}
	}
	run(10*time.Second, "old")
	if rate := a.Rate("old"); rate < 9000 || rate > 11000 {
		t.Fatalf("rate %.0f of 10000", rate)
	}
	run(1500*time.Millisecond, "new")
	if a.Rate("new") < 7000 {
		t.Fatalf("after 1.5 s the new model counts for %.0f of 10000", a.Rate("new"))
	}
	if a.Rate("old") > 5000 {
		t.Fatalf("after 1.5 s the old model still counts for %.0f", a.Rate("old"))
	}
}

// Guards against a new planner that forgets the demand, or that never lets go of what it took over.
func TestAssumedDemandDecays(t *testing.T) {
	a := fleetplan.NewAverages(0)
	a.Assume(map[string]float64{"m": 5000})
	if a.Rate("m") != 5000 {
		t.Fatalf("rate %.0f of 5000", a.Rate("m"))
	}
	for now := time.Second; now <= 30*time.Second; now += time.Second {
		a.Advance(now)
	}
	if a.Rate("m") > 50 {
		t.Fatalf("after 30 s without requests still %.0f", a.Rate("m"))
	}
}
