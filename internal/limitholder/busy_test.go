package limitholder

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// TestBusyHolderIsAskedAgain guards against refusing a request within the rate with limits_unavailable because
// the only holder misses one call while the table service does not answer either, as happens on an overloaded
// host.
func TestBusyHolderIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a")
		f.start("a", "a1", "i1", 0)
		other := f.start("a", "a2", "i1", 0)
		other.setRunning(true)
		for _, address := range []string{"a1", "a2"} {
			g.Expect(f.gateways[address].Round(t.Context())).To(Succeed())
		}
		f.store.unavailable = true
		start := time.Now()
		other.opts.Caller = &busyCaller{f, start.Add(300 * time.Millisecond)}
		_, err := f.reserve(other, 10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically("~", 300*time.Millisecond, 60*time.Millisecond))

		other.opts.Caller = &busyCaller{f, start.Add(time.Hour)}
		g.Expect(errkind.Of(func() error { _, err := f.reserve(other, 10); return err }())).To(Equal(errkind.LimitsUnavailable))
		g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second),
			"a holder that never answers does not delay requests without bound")
	})
}

// busyCaller fails every call before until.
type busyCaller struct {
	Caller
	until time.Time
}

func (c *busyCaller) Call(ctx context.Context, address string, m *wirepb.Envelope) (*wirepb.Envelope, error) {
	if time.Now().Before(c.until) {
		return nil, errors.New("busy")
	}
	return c.Caller.Call(ctx, address, m)
}

// fleetWithoutHolder returns a fleet with one gateway, which acquires no lease because a1 ranks before it.
func fleetWithoutHolder() (*fleet, *Holder) {
	f := newFleet("a")
	other := f.start("a", "a2", "i1", 0)
	other.opts.Gateways = func() []string { return []string{"a1"} }
	return f, other
}

// TestANewHolderIsAskedBeforeTheNextRead guards against refusing requests with limits_unavailable because the partition's holder
// acquired its lease after this gateway had last read the lease rows.
func TestANewHolderIsAskedBeforeTheNextRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, other := fleetWithoutHolder()
		g.Expect(other.Round(t.Context())).To(Succeed())
		g.Expect(f.start("a", "a1", "i1", 0).Round(t.Context())).To(Succeed())
		other.setRunning(true)
		_, err := f.reserve(other, 10)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestARequestedReadIsInTimeForTheRequest guards against a request that waits for a holder, and is refused before the read that it
// requested, because a regular read ended shortly before.
func TestARequestedReadIsInTimeForTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, other := fleetWithoutHolder()
		other.opts.Peers = nil
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = other.Run(ctx) }()
		synctest.Wait()
		g.Expect(f.start("a", "a1", "i1", 0).Round(t.Context())).To(Succeed())
		_, err := f.reserve(other, 10)
		g.Expect(err).NotTo(HaveOccurred())
		cancel()
		<-done
	})
}
