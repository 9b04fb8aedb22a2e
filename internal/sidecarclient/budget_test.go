package sidecarclient

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPickIsFair guards against polls beyond the budget and against a sidecar that is never polled because urgent sidecars
// use the whole budget.
func TestPickIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(2, 30).Draw(t, "budget")
		n := rapid.IntRange(1, 200).Draw(t, "sidecars")
		urgent := rapid.IntRange(0, n).Draw(t, "urgent")
		all := make([]pollCandidate, n)
		for i := range all {
			all[i] = pollCandidate{address: fmt.Sprint("s", i), urgent: i < urgent}
		}
		now, polled := time.Unix(1000, 0), make(map[string]bool)
		// Each group has at least half of the budget, rounded down.
		for range n/(budget/2) + 1 {
			now = now.Add(time.Second)
			picked := pick(append([]pollCandidate(nil), all...), budget)
			if len(picked) > budget || len(picked) < min(n, budget) {
				t.Fatalf("%d polls with a budget of %d for %d sidecars", len(picked), budget, n)
			}
			for _, a := range picked {
				polled[a] = true
				for i := range all {
					if all[i].address == a {
						all[i].lastPoll = now
					}
				}
			}
		}
		if len(polled) != n {
			t.Fatalf("%d of %d sidecars were polled", len(polled), n)
		}
	})
}

// TestPickDiscoversFaster guards against a gateway that needs a whole poll round after its start to get the statuses
// of a fleet.
func TestPickDiscoversFaster(t *testing.T) {
	all := make([]pollCandidate, 1900)
	for i := range all {
		all[i] = pollCandidate{address: fmt.Sprint("s", i), noStatus: true}
	}
	if n := len(pick(all, 25)); n != 25*discoveryFactor {
		t.Fatalf("%d polls in the first second, expected %d", n, 25*discoveryFactor)
	}
}

// TestFirstPollsDiffer guards against gateways that start at the same time and poll the same sidecars at the same time.
func TestFirstPollsDiffer(t *testing.T) {
	addresses := make([]string, 1900)
	for i := range addresses {
		addresses[i] = fmt.Sprint("s", i)
	}
	first := make(map[string]int)
	for range 4 {
		polled, gap := New(Options{Static: addresses, StatusInterval: time.Second}).due()
		if gap <= 0 || gap*time.Duration(len(polled)) > time.Second {
			t.Fatalf("interval of %v between two of %d polls", gap, len(polled))
		}
		for _, a := range polled {
			first[a]++
		}
	}
	// 4 random choices of 250 among 1,900 have about 825 different ones.
	if len(first) < 700 {
		t.Fatalf("4 gateways poll %d different sidecars in the first second", len(first))
	}
}
