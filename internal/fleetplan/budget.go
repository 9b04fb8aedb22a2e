package fleetplan

import (
	"math"
	"time"
)

// loadBurst loads from the weight store may start at once beyond its rate. The platform allows three in any window beyond
// the rate and an overage, so a bucket of three keeps the bound in every window.
const loadBurst = 3

// budget counts the loads from the weight store that the fleet may start. It is pure: the time is passed in. A planner that
// takes over starts with an empty one, because its predecessor may have used all just before it ended.
type budget struct {
	tokens float64
	at     time.Duration
}

// available returns the loads that may start now at a rate a second.
func (b *budget) available(now time.Duration, perSecond float64) int {
	if elapsed := now - b.at; elapsed > 0 {
		b.tokens = math.Min(b.tokens+perSecond*elapsed.Seconds(), loadBurst)
		b.at = now
	}
	return int(math.Max(b.tokens, 0))
}

// spend counts a load that was ordered, also if the answer is lost.
func (b *budget) spend() { b.tokens-- }
