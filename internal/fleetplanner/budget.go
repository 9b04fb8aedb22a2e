package fleetplanner

import (
	"math"
	"time"
)

// maxLoadBurst is the capacity of the token bucket: how many loads from the weight store may start at once. In any time
// window the platform allows the store's rate, three more loads and an overage, so a bucket of three stays within the limit.
const maxLoadBurst = 3

// tokenBucket is a token bucket for the loads from the weight store that the fleet may start. It reads no clock: the
// time is passed in. A planner that takes over starts with an empty bucket, because its predecessor may have used all
// tokens just before it ended.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// availableLoads refills the bucket at loadsPerSecond and returns the number of loads that may start now.
func (b *tokenBucket) availableLoads(now time.Duration, loadsPerSecond float64) int {
	if elapsed := now - b.at; elapsed > 0 {
		b.tokens = math.Min(b.tokens+loadsPerSecond*elapsed.Seconds(), maxLoadBurst)
		b.at = now
	}
	return int(math.Max(b.tokens, 0))
}

// spend takes a token for a load that was ordered. A load whose answer is lost costs a token too.
func (b *tokenBucket) spend() { b.tokens-- }
