package fleetroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

// benchmarkFleets calls decide for fleets of the sizes that are served, with the loads of the gateways' peers. Half of
// the engines have requests from each peer.
func benchmarkFleets(b *testing.B, decide func(list []fleetroute.Candidate) int) {
	for _, size := range [][2]int{{51, 28}, {180, 103}, {1900, 400}} {
		b.Run(fmt.Sprintf("engines=%d/gateways=%d", size[0], size[1]), func(b *testing.B) {
			table := fleetroute.NewTable()
			ids := make([]string, size[0])
			for i := range ids {
				ids[i] = fmt.Sprint("server-", i)
			}
			for peer := range size[1] - 1 {
				loads := make(map[string]fleetroute.Load)
				for i := peer % 2; i < len(ids); i += 2 {
					loads[ids[i]] = fleetroute.Load{InFlight: 1, Prefill: 100, Memory: 1000}
				}
				table.UpdatePeer(fmt.Sprint(peer), 0, loads, true)
			}
			p := prompt("ward", ids...)
			list := make([]fleetroute.Candidate, len(ids))
			for b.Loop() {
				for i, id := range ids {
					list[i] = fleetroute.Candidate{ID: id, DataCentre: "a", Slots: 64, CapacityTokens: 240_000}
					table.Fill(&list[i], time.Second, "m0", "s", p)
					list[i].NeededTokens = list[i].UncachedTokens
				}
				decide(list)
			}
		})
	}
}

func BenchmarkLowestCost(b *testing.B) {
	benchmarkFleets(b, func(list []fleetroute.Candidate) int { return fleetroute.Choose(list, "a") })
}

func BenchmarkAtRandom(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	benchmarkFleets(b, func(list []fleetroute.Candidate) int { return fleetroute.ChooseAtRandom(list, "a", random) })
}
