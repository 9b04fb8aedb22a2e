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

// run starts a holder's duty and returns a function that ends it and waits. It reads the real clock, which
// is virtual in a synctest bubble.
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

// TestReadyAtStart guards against a gateway that is ready before it can have its first request charged, and
// that reads the lease rows only an interval after the configuration arrived.
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
		time.Sleep(configPause)
		synctest.Wait()
		g.Expect(h.Ready()).To(BeTrue())
		_, err := f.reserve(h, 10)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestReadyIsBounded guards against a gateway that never becomes ready because a partition has no holder or
// the table service is away.
func TestReadyIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a")
		h := f.start("a", "a1", "i1", 0)
		h.opts.Peers = nil
		h.opts.Gateways = func() []string { return []string{"a2", "a3", "a4"} } // so that it waits for them
		defer run(h)()
		synctest.Wait()
		g.Expect(h.Ready()).To(BeFalse())
		time.Sleep(5*time.Second + 1)
		g.Expect(h.Ready()).To(BeTrue())
		f.store.mu.Lock()
		f.store.away = true
		f.store.mu.Unlock()
		away := f.start("a", "a2", "i1", 0)
		away.opts.Peers = nil
		defer run(away)()
		synctest.Wait()
		g.Expect(away.Ready()).To(BeTrue())
	})
}

// TestNoHolderWaits guards against a request that is refused although the lease rows read next name a
// holder, and against one that waits without bound.
func TestNoHolderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a")
		a2 := f.start("a", "a2", "i1", 0)
		a2.opts.Gateways = func() []string { return []string{"a1", "a3", "a4", "a5", "a6"} }
		a2.opts.Peers = nil
		a2.opts.Interval = time.Hour // so that only callers ask for a read
		defer run(a2)()
		time.Sleep(6 * time.Second) // past the reads of the start
		a1 := f.start("a", "a1", "i1", 0)
		start := time.Now()
		g.Expect(kindOf(f.reserve(a2, 10))).To(Equal(errkind.LimitsUnavailable))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 500*time.Millisecond))
		g.Expect(a1.Round(context.Background())).To(Succeed())
		time.Sleep(4 * time.Second) // past the read that the refused request asked for
		a2.mu.Lock()
		a2.rows = nil // as if a1 had taken the lease only now
		a2.mu.Unlock()
		start = time.Now()
		_, err := f.reserve(a2, 10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically("<=", 500*time.Millisecond))
	})
}
