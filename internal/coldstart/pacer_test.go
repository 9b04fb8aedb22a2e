package coldstart_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/coldstart"
)

// Guards against turns that together exceed the server's rate.
func TestTurnsStayBelowTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 40).Draw(t, "per second")
		var pacer coldstart.Pacer
		var turns []time.Duration
		for now := time.Duration(0); now < 5*time.Second; {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			if wait, granted := pacer.Reserve(now, perSecond, time.Second); granted {
				turns = append(turns, now+wait)
			} else if wait <= time.Second {
				t.Fatalf("no turn granted although one is free in %v", wait)
			}
		}
		for i, from := range turns {
			n := 0
			for _, at := range turns[i:] {
				if at < from+time.Second {
					n++
				}
			}
			if float64(n) > perSecond+1.001 {
				t.Fatalf("%d turns in a second, the server's rate is %.1f", n, perSecond)
			}
		}
	})
}

// Guards against cold servers that stay idle while callers wait at gateways that have no part of their rate. The
// load is one model on 12 servers that take 8 requests a second each, requested through 21 gateways with unequal
// traffic: 80 requests a second and a backlog of the 1.5 s before. The target is that callers use nine tenths of the
// servers' rate.
func TestCallersUseTheRateOfColdServers(t *testing.T) {
	const (
		servers   = 12
		gateways  = 21
		perSecond = 8
		seconds   = 3
		arrivals  = 80
		backlog   = 120
	)
	rng := rand.New(rand.NewPCG(3, 3))
	pacers := make([]coldstart.Pacer, servers)
	freeAt := [gateways][servers]time.Duration{} // according to the last reply to each gateway
	served := 0
	ask := func(now time.Duration) {
		gateway := min(rng.IntN(gateways), rng.IntN(gateways)) // the first ones have more traffic
		for range servers {
			best := 0
			for s := range servers {
				if freeAt[gateway][s] < freeAt[gateway][best] {
					best = s
				}
			}
			wait, granted := pacers[best].Reserve(now, perSecond, 1500*time.Millisecond)
			freeAt[gateway][best] = now + wait + time.Second/perSecond
			if granted {
				if now+wait < seconds*time.Second {
					served++
				}
				return
			}
		}
	}
	for range backlog {
		ask(0)
	}
	for now := time.Duration(0); now < seconds*time.Second; now += time.Second / arrivals {
		ask(now)
	}
	if capacity := servers * perSecond * seconds; float64(served) < 0.9*float64(capacity) {
		t.Fatalf("%d requests were served, the servers' rate allows %d", served, capacity)
	}
}
