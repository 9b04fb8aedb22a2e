package fleetplanner_test

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
	"github.com/pomelowheel/pomelowheel/internal/fleetplanner"
	"github.com/pomelowheel/pomelowheel/platform"
)

func TestFleetplan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetplan")
}

const eventuallyTimeout = 12 * time.Second

// candidate is a gateway that takes part in the election of the planner.
type candidate struct {
	lease  *fleetplanner.Lease
	demand map[string]float64
	stop   func()

	mu sync.Mutex
}

func (c *candidate) inheritedDemand() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.demand
}

func newCandidate(address, name string) *candidate {
	c := new(candidate)
	c.lease = fleetplanner.NewLease(fleetplanner.LeaseOptions{
		Store: platform.NewStore(address, nil), Host: name, Incarnation: fmt.Sprint(name, time.Now().UnixNano()),
		Clock:  bootclock.Now,
		Demand: func() map[string]float64 { return map[string]float64{"s\x00m": 7} },
		OnAcquired: func(d map[string]float64) {
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

	// Guards against a stopping gateway that acquires the lease again and plans until its process ends, and so against
	// orders from two planners alternately.
	It("is not taken again by the gateway that released it", func() {
		one := newCandidate(address, "g1")
		Eventually(func() int { return holders(one) }, eventuallyTimeout).Should(Equal(1))
		one.lease.Release(context.Background())
		Consistently(func() int { return holders(one) }, 2*time.Second).Should(Equal(0))
		other := newCandidate(address, "g2")
		Eventually(func() int { return holders(other) }, eventuallyTimeout).Should(Equal(1))
	})

	It("is held by one of the gateways that start together", func() {
		all := []*candidate{newCandidate(address, "g1"), newCandidate(address, "g2"), newCandidate(address, "g3")}
		Eventually(func() int { return holders(all...) }, eventuallyTimeout).Should(Equal(1))
		Consistently(func() int { return holders(all...) }, 2*time.Second).Should(Equal(1))
	})

	It("passes with the demand, and a higher epoch, after its holder died", func() {
		first := newCandidate(address, "g1")
		Eventually(func() int { return holders(first) }, eventuallyTimeout).Should(Equal(1))
		epoch := first.lease.Epoch()
		first.stop()
		second := newCandidate(address, "g2")
		Consistently(func() int { return holders(second) }, 2*time.Second).Should(Equal(0), "the lease has not expired")
		Eventually(func() int { return holders(second) }, eventuallyTimeout).Should(Equal(1))
		Expect(second.lease.Epoch()).To(BeNumerically(">", epoch))
		Expect(second.inheritedDemand()).To(HaveKeyWithValue("s\x00m", 7.0))
	})

	It("passes at once when it is released or its holder's host starts again", func() {
		first := newCandidate(address, "g1")
		Eventually(func() int { return holders(first) }, eventuallyTimeout).Should(Equal(1))
		first.stop()
		again := newCandidate(address, "g1")
		Eventually(func() int { return holders(again) }, 2*time.Second).Should(Equal(1))
		again.stop()
		again.lease.Release(context.Background())
		other := newCandidate(address, "g2")
		Eventually(func() int { return holders(other) }, 2*time.Second).Should(Equal(1))
	})

	It("expires while the store refuses calls, and is acquired although answers are lost", func() {
		first := newCandidate(address, "g1")
		Eventually(func() int { return holders(first) }, eventuallyTimeout).Should(Equal(1))
		store.SetFaults(fake.StoreFaults{Refuse: true})
		Eventually(func() int { return holders(first) }, eventuallyTimeout).Should(Equal(0))
		store.SetFaults(fake.StoreFaults{Lose: 0.5})
		Eventually(func() int { return holders(first) }, eventuallyTimeout).Should(Equal(1))
	})

	It("ends when a peer plans under a newer epoch", func() {
		first := newCandidate(address, "g1")
		Eventually(func() int { return holders(first) }, eventuallyTimeout).Should(Equal(1))
		first.lease.ObserveEpoch(first.lease.Epoch() + 1)
		Expect(holders(first)).To(Equal(0))
	})
})

// Guards against copies that stay allocated to a model whose demand ended, and against a shift of demand that is
// detected late.
func TestDemandFollowsAShiftWithinSeconds(t *testing.T) {
	a := fleetplanner.NewDemandEstimator(0)
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
		t.Fatalf("estimated rate %.0f, expected about 10000", rate)
	}
	run(1500*time.Millisecond, "new")
	if a.Rate("new") < 7000 {
		t.Fatalf("after 1.5 s the rate of the new model is %.0f, expected at least 7000 of 10000", a.Rate("new"))
	}
	if a.Rate("old") > 5000 {
		t.Fatalf("after 1.5 s the rate of the old model is %.0f, expected at most 5000", a.Rate("old"))
	}
}

// Guards against a new planner that loses the demand handed over to it, or whose estimate of it never decays.
func TestAssumedDemandDecays(t *testing.T) {
	a := fleetplanner.NewDemandEstimator(0)
	a.InheritDemand(map[string]float64{"m": 5000})
	if a.Rate("m") != 5000 {
		t.Fatalf("rate %.0f, expected 5000", a.Rate("m"))
	}
	for now := time.Second; now <= 30*time.Second; now += time.Second {
		a.Advance(now)
	}
	if a.Rate("m") > 50 {
		t.Fatalf("rate after 30 s without requests %.0f, expected at most 50", a.Rate("m"))
	}
}
