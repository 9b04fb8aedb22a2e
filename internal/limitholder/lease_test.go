package limitholder

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// TestOneHolder guards against two valid leases of one row: lost answers, failed writes, pauses in the
// middle of a write, restarts, hand-backs and clocks that differ.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a")
		addresses := []string{"a1", "a2", "a3"}
		for i, address := range addresses {
			f.start("a", address, "i0", time.Duration(i)*11*time.Hour)
		}
		check := func() {
			valid := 0
			for _, h := range f.gateways {
				if h.Holds(0) {
					valid++
				}
			}
			if valid > 1 {
				t.Fatalf("%d gateways hold the lease", valid)
			}
		}
		advance := func() {
			minutes := rapid.SampledFrom([]int{0, 1, 10, 30, 59, 91}).Draw(t, "minutes")
			f.now += time.Duration(minutes) * time.Minute
		}
		f.store.fail = func() error {
			advance()
			check()
			return rapid.SampledFrom([]error{nil, nil, tablestore.ErrUnknown, tablestore.ErrUnavailable}).Draw(t, "write")
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			advance()
			check()
			address := rapid.SampledFrom(addresses).Draw(t, "gateway")
			h := f.gateways[address]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				f.start("a", address, time.Duration(step).String(), time.Duration(step)*time.Hour)
			case 1:
				_ = h.HandBack(context.Background())
				f.start("a", address, "b"+time.Duration(step).String(), 0)
			default:
				_ = h.Round(context.Background())
			}
			check()
		}
	})
}

// TestWaitOfLateRead guards against a wait for the lapse that starts before the row was read.
func TestWaitOfLateRead(t *testing.T) {
	f := newFleet("a")
	a1, a2 := f.start("a", "a1", "i1", 0), f.start("a", "a2", "i1", 0)
	ctx := context.Background()
	if err := errors.Join(a1.Round(ctx), a2.Round(ctx)); err != nil {
		t.Fatal(err)
	}
	f.now += 90*time.Minute + fleetLimit.Margin - 1
	if err := a2.Round(ctx); err != nil || a2.Holds(0) {
		t.Fatalf("taken over before the term and the margin: %v", err)
	}
	f.now++
	if err := a2.Round(ctx); err != nil || !a2.Holds(0) {
		t.Fatalf("not taken over after the term and the margin: %v", err)
	}
}

// TestRowSurvivesRemovalOfDataCentre guards against a row that names the smaller set of data centres
// before the shares have grown, which would let a successor skip the wait.
func TestRowSurvivesRemovalOfDataCentre(t *testing.T) {
	f := newFleet("a", "b")
	h := f.start("a", "a1", "i1", 0)
	ctx := context.Background()
	if err := h.Round(ctx); err != nil {
		t.Fatal(err)
	}
	f.remove(config.KindDataCentre, "b")
	_ = h.Round(ctx)
	f.now += 40 * time.Minute // a renewal is due at the first round that knows of the change
	_ = h.Round(ctx)
	if n := len(h.leases[0].row.DataCentres); n != 1 {
		t.Fatalf("row names %d data centres long after the change", n)
	}
	f.set(config.DataCentre{Name: "b"})
	f.now += 31 * time.Minute
	_ = h.Round(ctx)
	if n := len(h.leases[0].row.DataCentres); n != 1 {
		t.Fatalf("row names %d data centres at once", n)
	}
}

// TestRemovedDataCentre guards against grants of a removed data centre, and against a short quarantine
// when it is added again before the others have learnt of either change.
func TestRemovedDataCentre(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.start("a", "a1", "i1", 0), f.start("b", "b1", "i1", 0)
	ctx := context.Background()
	if err := errors.Join(a.Round(ctx), b.Round(ctx)); err != nil {
		t.Fatal(err)
	}
	f.remove(config.KindDataCentre, "b")
	if _, err := f.reserve(b, 1); err != nil {
		t.Fatalf("not served by the other data centre: %v", err)
	}
	if b.metrics.grants.Value() != 0 {
		t.Fatal("granted by a removed data centre")
	}
	_ = b.Round(ctx)
	f.set(config.DataCentre{Name: "b"})
	_ = b.Round(ctx)
	if l := b.leases[0]; !l.held || l.quarantine != fleetLimit.GrowthDelay() {
		t.Fatalf("held %t with a quarantine of %v", l.held, l.quarantine)
	}
}

// TestPausedDuringRemoval guards against the old share of a holder that was paused while its data centre
// was removed and added again, against grants with a stale configuration, and against a refund of a
// reservation of the old share.
func TestPausedDuringRemoval(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.start("a", "a1", "i1", 0), f.start("b", "b1", "i1", 0)
	ctx := context.Background()
	if err := errors.Join(a.Round(ctx), b.Round(ctx)); err != nil {
		t.Fatal(err)
	}
	r, err := f.reserve(b, 100)
	if err != nil {
		t.Fatal(err)
	}
	f.cut["a1"] = true
	f.stale = true
	if _, err = f.reserve(b, 1); err == nil {
		t.Fatal("granted with a stale configuration")
	}
	f.stale = false
	f.remove(config.KindDataCentre, "b")
	f.set(config.DataCentre{Name: "b"})
	f.now += fleetLimit.Propagation + 1
	if _, err = f.reserve(b, 1); err == nil {
		t.Fatal("granted from the old share")
	}
	f.now += fleetLimit.GrowthDelay() + time.Second
	if _, err = f.reserve(b, 10); err != nil {
		t.Fatalf("refused after the quarantine: %v", err)
	}
	before := b.leases[Partition("north", 2)].shares["north"].share.Level(f.now)
	r.Refund(100)
	if after := b.leases[Partition("north", 2)].shares["north"].share.Level(f.now); after != before {
		t.Fatalf("level %d after a refund across the reset, %d before", after, before)
	}
}
