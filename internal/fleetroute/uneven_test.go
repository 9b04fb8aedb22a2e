package fleetroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

// earlierChoice is the rule before speeds were learned: the lowest cost, with all differences of speed in Slowness.
func earlierChoice(list []fleetroute.Candidate, _ *rand.Rand) int {
	for i := range list {
		list[i].PrefillRate /= list[i].Speed
		list[i].ServiceMS *= list[i].Speed
		list[i].Speed = 1
	}
	return fleetroute.Choose(list, "a")
}

func atRandom(list []fleetroute.Candidate, random *rand.Rand) int {
	return fleetroute.ChooseAtRandom(list, "a", random)
}

// speedsOf returns the speeds of n engines, which repeat the given ones.
func speedsOf(n int, repeated ...float64) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = repeated[i%len(repeated)]
	}
	return speeds
}

// busiest returns the requests of the engine with the most requests for its share of the capacity, as a multiple of
// the mean.
func (r streamResult) busiest(speeds []float64) float64 {
	requests, capacity := 0.0, 0.0
	for i, n := range r.sent {
		requests += n
		capacity += speeds[i]
	}
	worst := 0.0
	for i, n := range r.sent {
		worst = max(worst, n/requests/(speeds[i]/capacity))
	}
	return worst
}

// learned returns the speeds of the engines as the first gateway learned them.
func (r streamResult) learned(now time.Duration) []float64 {
	speeds := make([]float64, len(r.sent))
	for i := range speeds {
		c := fleetroute.Candidate{ID: fmt.Sprint("i-", i)}
		r.tables[0].Fill(&c, now, "m0", "s", fleetroute.Prompt{})
		speeds[i] = c.Speed
	}
	return speeds
}

// Guards against gateways that all send to the server that looked best 250 ms ago, and against engines of different
// speeds that get the same work. The loads are the drafts and chats of the second deployment at its normal rate and at
// twice that. The seeds that the constants were chosen by are 1 and 2.
func TestUnevenEnginesShareTheLoad(t *testing.T) {
	t.Parallel()
	speeds := speedsOf(51, 0.55, 1.2, 1.2, 1.2)
	for _, factor := range []float64{1, 2} {
		var long, chat, earlierLong, earlierChat float64
		for _, seed := range []uint64{101, 102} {
			load := streamLoad{seed: seed, gateways: 28, speeds: speeds, longs: 89 * factor, chats: 100 * factor, seconds: 10}
			load.choose = earlierChoice
			earlier := load.simulate()
			load.choose = atRandom
			now := load.simulate()
			long, chat = long+now.long/2, chat+now.chat/2
			earlierLong, earlierChat = earlierLong+earlier.long/2, earlierChat+earlier.chat/2
			t.Logf("load %.0f, seed %d: busiest %.2f times the mean, earlier %.2f", factor, seed, now.busiest(speeds), earlier.busiest(speeds))
			if busiest := now.busiest(speeds); busiest >= 1.6 {
				t.Errorf("load %.0f, seed %d: the busiest engine has %.2f times the mean, expected less than 1.6", factor, seed, busiest)
			}
		}
		t.Logf("load %.0f: long prompts %.3f and chats %.3f in time, earlier %.3f and %.3f", factor, long, chat, earlierLong, earlierChat)
		if long < earlierLong || chat < earlierChat {
			t.Errorf("load %.0f: long prompts %.3f and chats %.3f in time, earlier %.3f and %.3f", factor, long, chat, earlierLong, earlierChat)
		}
	}
}

// Guards against speeds that are learned from contention instead of from the engines, and against engines of different
// speeds that count as faulty.
func TestSpeedsAreThoseOfTheEngines(t *testing.T) {
	t.Parallel()
	for name, speeds := range map[string][]float64{
		"alike": speedsOf(51, 1), "uneven": speedsOf(51, 0.55, 1.2, 1.2, 1.2),
	} {
		load := streamLoad{seed: 103, gateways: 28, speeds: speeds, longs: 89, chats: 100, seconds: 20, choose: atRandom}
		r := load.simulate()
		for i, learned := range r.learned(20 * time.Second) {
			// The speeds are relative: those of most engines count as 1.
			if actual := speeds[i] / speeds[1]; learned/actual < 0.8 || learned/actual > 1.25 {
				t.Errorf("%s: engine %d has %.2f times the speed of the most, learned %.2f", name, i, actual, learned)
			}
		}
	}
}

// Guards against a choice by chance that gives up the caches: gateways still send a new prompt to the server that all
// of them prefer, and the next one with the same shared parts returns there.
func TestChanceKeepsPromptsAtTheirCaches(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	random := rand.New(rand.NewPCG(1, 1))
	for ward := range 20 {
		p := prompt(fmt.Sprint("ward-", ward), ids...)
		table := fleetroute.NewTable()
		fresh := fill(table, 0, p, ids...)
		preferred := fresh[fleetroute.Choose(fresh, "a")]
		for range 50 {
			if got := fresh[fleetroute.ChooseAtRandom(fresh, "a", random)].ID; got != preferred.ID {
				t.Fatalf("ward %d goes to %s, expected %s", ward, got, preferred.ID)
			}
		}
		table.Begin(&preferred, 0, "m0", "s", p).Done(400*ms, false)
		cached := fill(table, 500*ms, p, ids...)
		if got := cached[fleetroute.ChooseAtRandom(cached, "a", random)].ID; got != preferred.ID {
			t.Fatalf("ward %d goes to %s, expected %s, which caches it", ward, got, preferred.ID)
		}
	}
}

// Guards against servers of equal cost of which the first gets everything.
func TestEqualServersGetEqualShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	list := make([]fleetroute.Candidate, 40)
	for i := range list {
		list[i] = fleetroute.Candidate{DataCentre: "a", Slots: 6, ServiceMS: 20, Slowness: 1}
	}
	chosen := make([]int, len(list))
	for range 40_000 {
		chosen[fleetroute.ChooseAtRandom(list, "a", random)]++
	}
	for i, n := range chosen {
		if n < 800 || n > 1200 {
			t.Errorf("server %d of 40 equal ones was chosen %d times of 40000", i, n)
		}
	}
	if fleetroute.ChooseAtRandom(nil, "a", random) != -1 || fleetroute.ChooseAtRandom(list[:1], "a", random) != 0 {
		t.Error("no or one candidate is not handled")
	}
}
