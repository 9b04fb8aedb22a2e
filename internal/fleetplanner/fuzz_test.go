package fleetplanner_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetplanner"
)

// FuzzDemand guards against demand of a peer, or of the stored lease, that cannot be written into the lease: that ended the
// process.
func FuzzDemand(f *testing.F) {
	f.Fuzz(func(t *testing.T, tokens, inherited float64) {
		e := fleetplanner.NewDemandEstimator(0)
		e.InheritDemand(map[string]float64{"m": inherited})
		for now := time.Duration(0); now < time.Second; now += 120 * time.Millisecond {
			e.Add("m", tokens)
			e.Add("m", tokens)
			e.Advance(now)
			if _, err := json.Marshal(e.Rates()); err != nil || math.IsNaN(e.Rate("m")) {
				t.Fatalf("rate %v: %v", e.Rate("m"), err)
			}
		}
		if copies := fleetplanner.Copies(e.Rate("m"), 1e-3); copies < 0 {
			t.Fatalf("%d copies", copies)
		}
	})
}
