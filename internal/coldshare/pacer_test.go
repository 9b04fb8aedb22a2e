package coldshare_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/coldshare"
)

// Guards against turns that together exceed what the server bears.
func TestTurnsStayBelowTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 40).Draw(t, "per second")
		var pacer coldshare.Pacer
		var turns []time.Duration
		for now := time.Duration(0); now < 5*time.Second; {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			if wait, granted := pacer.Ask(now, perSecond, time.Second); granted {
				turns = append(turns, now+wait)
			} else if wait <= time.Second {
				t.Fatalf("refused although a turn is free in %v", wait)
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
				t.Fatalf("%d turns in a second, the server bears %.1f", n, perSecond)
			}
		}
	})
}

// Guards against cold servers that stand idle while callers wait at gateways without a part in them. The load is a hot
// model on 12 servers that bear 8 requests a second each, asked for through 21 gateways of unequal traffic, 80 requests a
// second and those of 1.5 s before. The target is that callers use nine tenths of what the servers bear.
func TestCallersUseWhatColdServersBear(t *testing.T) {
	const (
		servers   = 12
		gateways  = 21
		perSecond = 8
		seconds   = 3
		arrivals  = 80
		backlog   = 120
	)
	rng := rand.New(rand.NewPCG(3, 3))
	pacers := make([]coldshare.Pacer, servers)
	freeAt := [gateways][servers]time.Duration{} // as each gateway was told
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
			wait, granted := pacers[best].Ask(now, perSecond, 1500*time.Millisecond)
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
	if most := servers * perSecond * seconds; float64(served) < 0.9*float64(most) {
		t.Fatalf("%d requests are served, the servers bear %d", served, most)
	}
}
