package fleetplanner

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against starting more loads than the weight store allows, including when planners take over from each other
// within the window. The limit is the platform's: in any 5 s at most 1.1 times the rate, plus three loads.
func TestLoadsStayBelowTheCeilingThroughTakeovers(t *testing.T) {
	const window = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 10).Draw(t, "per second")
		b := &tokenBucket{tokens: maxLoadBurst}
		var loads []time.Duration
		now := time.Duration(0)
		for now < 30*time.Second {
			now += time.Duration(rapid.IntRange(10, 1500).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "takeover") == 0 {
				b = &tokenBucket{at: now}
			}
			for range b.availableLoads(now, perSecond) {
				b.spend()
				loads = append(loads, now)
			}
		}
		for i, from := range loads {
			n := 0
			for _, at := range loads[i:] {
				if at < from+window {
					n++
				}
			}
			if most := perSecond*window.Seconds()*1.1 + 3; float64(n) > most {
				t.Fatalf("%d loads started within 5 s, expected at most %.1f", n, most)
			}
		}
	})
}
