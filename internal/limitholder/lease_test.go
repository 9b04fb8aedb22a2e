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

// TestOneHolder guards against two valid leases of one row under lost answers, failed writes, pauses during a
// write, restarts, releases, differing clocks, and adoption by a gateway of another data centre while the
// gateways of this one leave and rejoin the host list.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a", "b")
		addresses := []string{"a1", "a2", "a3", "b1"}
		for i, address := range addresses {
			f.start(address[:1], address, "i0", time.Duration(i)*11*time.Hour)
		}
		check := func() {
			for _, dc := range []string{"a", "b"} {
				valid := 0
				for _, h := range f.gateways {
					if h.leasesOf(dc)[0].valid(h.opts.Now()) {
						valid++
					}
				}
				if valid > 1 {
					t.Fatalf("%d gateways hold the lease of data centre %s", valid, dc)
				}
			}
		}
		advance := func() {
			minutes := rapid.SampledFrom([]int{0, 1, 10, 30, 59, 91}).Draw(t, "minutes")
			f.now += time.Duration(minutes) * time.Minute
		}
		f.store.onWrite = func() error {
			advance()
			check()
			return rapid.SampledFrom([]error{nil, nil, tablestore.ErrUnknown, tablestore.ErrUnavailable}).Draw(t, "write")
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			advance()
			check()
			address := rapid.SampledFrom(addresses).Draw(t, "gateway")
			h := f.gateways[address]
			switch rapid.IntRange(0, 10).Draw(t, "action") {
			case 10:
				hidden := rapid.Bool().Draw(t, "unlisted")
				f.unlisted["a1"], f.unlisted["a2"], f.unlisted["a3"] = hidden, hidden, hidden
			case 0:
				f.start(address[:1], address, time.Duration(step).String(), time.Duration(step)*time.Hour)
			case 1:
				_ = h.Release(context.Background())
				f.start(address[:1], address, "b"+time.Duration(step).String(), 0)
			default:
				_ = h.Round(context.Background())
			}
			check()
		}
	})
}

// TestWaitOfLateRead guards against counting the term of a lease from before its row was read.
func TestWaitOfLateRead(t *testing.T) {
	f := newFleet("a")
	a1, a2 := f.start("a", "a1", "i1", 0), f.start("a", "a2", "i1", 0)
	ctx := context.Background()
	if err := errors.Join(a1.Round(ctx), a2.Round(ctx)); err != nil {
		t.Fatal(err)
	}
	f.now += 90*time.Minute + fleetLimit.LoanReturnMargin - 1
	if err := a2.Round(ctx); err != nil || a2.Holds(0) {
		t.Fatalf("acquired before the term and the margin: %v", err)
	}
	f.now++
	if err := a2.Round(ctx); err != nil || !a2.Holds(0) {
		t.Fatalf("not acquired after the term and the margin: %v", err)
	}
}

// TestRowSurvivesRemovalOfDataCentre guards against a row with the smaller set of data centres before the
// shares have grown, which would let a successor skip its quarantine.
func TestRowSurvivesRemovalOfDataCentre(t *testing.T) {
	f := newFleet("a", "b")
	h := f.start("a", "a1", "i1", 0)
	ctx := context.Background()
	if err := h.Round(ctx); err != nil {
		t.Fatal(err)
	}
	f.removeEntity(config.KindDataCentre, "b")
	_ = h.Round(ctx)
	f.now += 40 * time.Minute // a renewal is due at the first round that knows of the change
	_ = h.Round(ctx)
	if n := len(h.leases[0].row.DataCentres); n != 1 {
		t.Fatalf("row names %d data centres long after the change", n)
	}
	f.setEntity(config.DataCentre{Name: "b"})
	f.now += 31 * time.Minute
	_ = h.Round(ctx)
	if n := len(h.leases[0].row.DataCentres); n != 1 {
		t.Fatalf("row names %d data centres at once", n)
	}
}

// TestRemovedDataCentre guards against grants by a removed data centre, and against too short a quarantine
// when it is added again before the other data centres have received either change.
func TestRemovedDataCentre(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.start("a", "a1", "i1", 0), f.start("b", "b1", "i1", 0)
	ctx := context.Background()
	if err := errors.Join(a.Round(ctx), b.Round(ctx)); err != nil {
		t.Fatal(err)
	}
	f.removeEntity(config.KindDataCentre, "b")
	if _, err := f.reserve(b, 1); err != nil {
		t.Fatalf("not served by the other data centre: %v", err)
	}
	if b.metrics.grants.Value() != 0 {
		t.Fatal("granted by a removed data centre")
	}
	_ = b.Round(ctx)
	f.setEntity(config.DataCentre{Name: "b"})
	_ = b.Round(ctx)
	if l := b.leases[0]; !l.held || l.quarantine != fleetLimit.GrowthDelay() {
		t.Fatalf("held %t with a quarantine of %v", l.held, l.quarantine)
	}
}

// TestPausedDuringRemoval guards against the use of an outdated share by a holder that was paused while its
// data centre was removed and added again, against grants with a stale configuration, and against refunding a
// reservation of the outdated share.
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
	f.unreachable["a1"] = true
	f.staleConfig = true
	if _, err = f.reserve(b, 1); err == nil {
		t.Fatal("granted with a stale configuration")
	}
	f.staleConfig = false
	f.removeEntity(config.KindDataCentre, "b")
	f.setEntity(config.DataCentre{Name: "b"})
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
