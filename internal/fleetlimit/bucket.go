// Package fleetlimit keeps the fleet's use of each organisation's limit below its rate and burst. Every gateway runs the
// same token bucket and subtracts what the other gateways report as admitted; use it where a small, bounded excess is
// acceptable and requests must not wait for another gateway. It does no I/O and reads no clock: callers pass the time.
//
// It is made for many short requests of a few large organisations that arrive at every gateway. Two gateways do not
// yet know what the other admitted within one exchange interval, so the bucket can be exceeded by that much. Gateways
// that do not report keep their part of the rate.
package fleetlimit

import (
	"math"
	"time"
)

const (
	// smallRequestFraction of the burst is the size up to which a request may use the reserved part of the bucket:
	// a chat or a booking of the smallest organisations in the site files, and a sixth of their long prompts.
	smallRequestFraction = 0.05
	// reserveFraction of the burst is kept for such requests: a chat at each of a few gateways.
	reserveFraction = 0.1
	// overloadReserveFraction replaces reserveFraction while the organisation asks for more than its limit. It is
	// larger because gateways learn of each other's prompts up to 250 ms late and together overdraw the bucket by
	// about a quarter of the burst.
	overloadReserveFraction = 0.3
	// overloadDuration is the time after a refusal for which an organisation counts as asking for more than its limit:
	// the time of a few requests of such an organisation at each gateway.
	overloadDuration = 2 * time.Second
	// maxWait bounds the time that Take returns, so that a tiny rate does not make it overflow, which would admit the request.
	maxWait = 24 * time.Hour
)

// Limit is an organisation's rate and burst, in units of the limit. A rate of zero means no limit.
type Limit struct {
	Rate  float64 // units per second, over all gateways
	Burst float64 // units, over all gateways
}

// Bucket is one gateway's copy of an organisation's token bucket. It is not safe for concurrent use.
type Bucket struct {
	limit     Limit
	level     float64
	updatedAt time.Duration
	// overloadedUntil is when the organisation stops counting as asking for more than its limit.
	overloadedUntil time.Duration
}

// New returns a bucket that holds the given fraction of the burst, 0 to 1.
func New(limit Limit, now time.Duration, fraction float64) *Bucket {
	return &Bucket{limit: limit, level: limit.Burst * fraction, updatedAt: now}
}

// Update accrues the rate up to now. heardFraction is the fraction of the gateways, this one included, that have
// reported since the last update; only their part of the rate accrues. A changed limit takes effect at once.
func (b *Bucket) Update(now time.Duration, limit Limit, heardFraction float64) {
	if elapsed := now - b.updatedAt; elapsed > 0 {
		b.level = math.Min(b.level+b.limit.Rate*heardFraction*elapsed.Seconds(), b.limit.Burst)
		b.updatedAt = now
	}
	b.limit = limit
	b.level = math.Min(b.level, limit.Burst)
}

// Take admits a request of the given size, in units of the limit, if the bucket holds it. Otherwise it returns the
// time until it will. A request above the burst waits for a full bucket. Small requests may take tokens that large
// ones must leave, so that bookings and short chats of an organisation that sends more than its limit are still
// served.
func (b *Bucket) Take(size float64) (ok bool, wait time.Duration) {
	if b.limit.Rate <= 0 {
		return true, 0
	}
	wait = b.waitFor(b.requiredLevel(size, reserveFraction))
	if wait > 0 {
		// Only a refusal under reserveFraction starts or extends the overload period. If refusals under the larger
		// reserve counted too, the period would extend itself.
		b.overloadedUntil = b.updatedAt + overloadDuration
	}
	if remaining := b.overloadedUntil - b.updatedAt; remaining > 0 {
		wait = min(b.waitFor(b.requiredLevel(size, overloadReserveFraction)), max(wait, remaining))
	}
	if wait > 0 {
		return false, wait
	}
	b.level -= size
	return true, 0
}

// waitFor returns the time until the bucket holds the required level, or 0 if it already does. It is at most maxWait.
func (b *Bucket) waitFor(required float64) time.Duration {
	seconds := math.Max(0, required-b.level) / b.limit.Rate
	return time.Duration(math.Ceil(math.Min(seconds, maxWait.Seconds()) * float64(time.Second)))
}

// requiredLevel returns the level that a request of the given size waits for, when the given fraction of the burst is
// reserved for small requests.
func (b *Bucket) requiredLevel(size, reserve float64) float64 {
	if size <= smallRequestFraction*b.limit.Burst {
		return size
	}
	return math.Min(size+reserve*b.limit.Burst, b.limit.Burst)
}

// Limit returns the current limit.
func (b *Bucket) Limit() Limit { return b.limit }

// KeepFraction keeps the given fraction of what the bucket holds and leaves the rest to gateways that no longer report. A
// debt stays as it is.
func (b *Bucket) KeepFraction(fraction float64) {
	if b.level > 0 {
		b.level *= fraction
	}
}

// LowerTo sets the level to the one that another gateway reports, if that is lower. The debt is at most one burst, and a
// level that is not a number changes nothing.
func (b *Bucket) LowerTo(level float64) {
	if !math.IsNaN(level) {
		b.level = math.Min(b.level, math.Max(level, -b.limit.Burst))
	}
}

// Level returns what the bucket holds, in units of the limit. It is negative while the bucket owes what other gateways
// admitted.
func (b *Bucket) Level() float64 { return b.level }

// Refund credits the size of a request that did not run, up to the burst.
func (b *Bucket) Refund(size float64) { b.level = math.Min(b.level+size, b.limit.Burst) }

// ChargeRemote subtracts the size that another gateway admitted; a negative size is a refund there. The debt is at
// most one burst, so that a report after a long silence does not block the organisation.
func (b *Bucket) ChargeRemote(size float64) {
	b.level = math.Min(math.Max(b.level-size, -b.limit.Burst), b.limit.Burst)
}
