package duty_test

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
	"github.com/pomelowheel/pomelowheel/internal/duty"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/platform"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

const eventuallyTimeout = 12 * time.Second

// candidate is a gateway that takes part in the election of the planner.
type candidate struct {
	lease  *duty.Lease
	demand map[string]float64
	stop   func()

	mu sync.Mutex
}

func (c *candidate) inheritedDemand() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.demand
}

func newCandidate(address, name string) *candidate { return startCandidate(address, name, false) }

// startCandidate starts a candidate; restarted says that another process may have held the lease before.
func startCandidate(address, name string, restarted bool) *candidate {
	c := new(candidate)
	c.lease = duty.NewLease(duty.LeaseOptions{
		Store: platform.NewStore(address, nil), Host: name, Incarnation: fmt.Sprint(name, time.Now().UnixNano()),
		Clock:  bootclock.Now,
		Demand: func() map[string]float64 { return map[string]float64{"s\x00m": 7} },
		OnAcquired: func(d map[string]float64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.demand = d
		},
		Restarted: restarted, Log: slog.New(slog.DiscardHandler),
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
