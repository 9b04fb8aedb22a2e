package limitholder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// run starts Holder.Run and returns a function that stops it and waits for its end. The holder uses the real
// clock, which is virtual in a synctest bubble.
func run(h *Holder) (stop func()) {
	start := time.Now()
	h.opts.Now = func() time.Duration { return time.Since(start) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	return func() {
		cancel()
		<-done
	}
}

// TestReadyAtStart guards against a gateway that is ready before it can charge its first request, and against
// one that reads the lease rows only a full Interval after the configuration arrived.
func TestReadyAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a")
		h := f.start("a", "a1", "i1", 0)
		var snapshot atomic.Pointer[config.Snapshot]
		snapshot.Store(new(config.Snapshot))
		h.opts.Snapshot = snapshot.Load
		defer run(h)()
		time.Sleep(3*time.Second + 1)
		g.Expect(h.Ready()).To(BeFalse())
		snapshot.Store(f.snapshot)
		g.Expect(h.Ready()).To(BeFalse())
		time.Sleep(configPollInterval)
		synctest.Wait()
		g.Expect(h.Ready()).To(BeTrue())
		_, err := f.reserve(h, 10)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestReadyIsBounded guards against a gateway that never becomes ready because a partition has no holder or
// the table service does not answer.
func TestReadyIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a")
		h := f.start("a", "a1", "i1", 0)
		h.opts.Peers = nil
		h.opts.Gateways = func() []string { return []string{"a2", "a3", "a4"} } // so that it ranks last
		defer run(h)()
		synctest.Wait()
		g.Expect(h.Ready()).To(BeFalse())
		time.Sleep(5*time.Second + 1)
		g.Expect(h.Ready()).To(BeTrue())
		f.store.mu.Lock()
		f.store.unavailable = true
		f.store.mu.Unlock()
		unavailable := f.start("a", "a2", "i1", 0)
		unavailable.opts.Peers = nil
		defer run(unavailable)()
		synctest.Wait()
		g.Expect(unavailable.Ready()).To(BeTrue())
	})
}

// TestNoHolderWaits guards against refusing a request although the next read of the lease rows shows a holder,
// and against a request that waits without bound.
func TestNoHolderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a")
		a2 := f.start("a", "a2", "i1", 0)
		a2.opts.Gateways = func() []string { return []string{"a1", "a3", "a4", "a5", "a6"} }
		a2.opts.Peers = nil
		a2.opts.Interval = time.Hour // so that only callers request rounds
		defer run(a2)()
		time.Sleep(6 * time.Second) // after the rounds of the start
		a1 := f.start("a", "a1", "i1", 0)
		start := time.Now()
		g.Expect(kindOf(f.reserve(a2, 10))).To(Equal(errkind.LimitsUnavailable))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 500*time.Millisecond))
		g.Expect(a1.Round(context.Background())).To(Succeed())
		time.Sleep(4 * time.Second) // after the round that the refused request requested
		a2.mu.Lock()
		a2.rows = nil // as if a1 had acquired the lease only now
		a2.mu.Unlock()
		start = time.Now()
		_, err := f.reserve(a2, 10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically("<=", 500*time.Millisecond))
	})
}
