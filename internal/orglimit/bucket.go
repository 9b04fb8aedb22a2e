// Package orglimit keeps the fleet's use of each organisation's limit below its rate and burst. Every gateway runs
// the same bucket and subtracts what the other gateways report that they admitted. It is pure: the time is passed
// in.
//
// The load it answers: many short requests of a few large organisations through every gateway. What two gateways
// admit within one exchange interval is not yet known to each other, so the bucket can be exceeded by that much;
// gateways that are not heard keep their part of the rate.
package orglimit

import (
	"math"
	"time"
)

const (
	// smallPart of the burst is the size up to which a request may take the last tokens: a chat or a booking of the
	// smallest organisations of the site files, and a sixth of their long prompts.
	smallPart = 0.05
	// reservedPart of the burst is kept for such requests: a chat at each of a few gateways.
	reservedPart = 0.1
	// overloadedPart of the burst is kept for them while the organisation asks for more than its limit: gateways learn of
	// each other's prompts up to a quarter of a second late and overdraw together by about a quarter of the burst.
	overloadedPart = 0.3
	// overloadedFor is the time after a refusal for which an organisation counts as asking for more than its limit: a few
	// requests of such an organisation at each gateway.
	overloadedFor = 2 * time.Second
)

// Limit is an organisation's rate and burst in units of the limit; a rate of zero means no limit.
type Limit struct {
	Rate  float64 // a second, over all gateways
	Burst float64
}

// Bucket is the limit of one organisation at one gateway. It is not safe for concurrent use.
type Bucket struct {
	limit Limit
	level float64
	at    time.Duration
	// overloaded is when the organisation no longer counts as asking for more than its limit.
	overloaded time.Duration
}

// New returns a bucket that starts with the fraction of the burst that share names, 0 to 1.
func New(limit Limit, now time.Duration, share float64) *Bucket {
	return &Bucket{limit: limit, level: limit.Burst * share, at: now}
}

// Update accrues up to now. heard is the fraction of the gateways that report, this one included, since the last
// update. A changed limit is in force at once.
func (b *Bucket) Update(now time.Duration, limit Limit, heard float64) {
	if elapsed := now - b.at; elapsed > 0 {
		b.level = math.Min(b.level+b.limit.Rate*heard*elapsed.Seconds(), b.limit.Burst)
		b.at = now
	}
	b.limit = limit
	b.level = math.Min(b.level, limit.Burst)
}

// Take admits a request of the given size if the bucket holds it. Otherwise it returns the time until it will.
// A request above the burst waits for a full bucket. Small requests may take tokens that long ones must leave, so that
// the bookings and short questions of an organisation that sends more than its limit go on.
func (b *Bucket) Take(size float64) (ok bool, wait time.Duration) {
	if b.limit.Rate <= 0 {
		return true, 0
	}
	wait = b.until(b.need(size, reservedPart))
	if wait > 0 {
		// Only what the ordinary reserve refuses says so. Otherwise the larger reserve would keep itself up.
		b.overloaded = b.at + overloadedFor
	}
	if left := b.overloaded - b.at; left > 0 {
		wait = min(b.until(b.need(size, overloadedPart)), max(wait, left))
	}
	if wait > 0 {
		return false, wait
	}
	b.level -= size
	return true, 0
}

// until returns the time until the bucket holds need, 0 if it does.
func (b *Bucket) until(need float64) time.Duration {
	return time.Duration(math.Ceil(math.Max(0, need-b.level) / b.limit.Rate * float64(time.Second)))
}

// need returns the level that a request of the given size waits for when a part of the burst is kept for small ones.
func (b *Bucket) need(size, kept float64) float64 {
	if size <= smallPart*b.limit.Burst {
		return size
	}
	return math.Min(size+kept*b.limit.Burst, b.limit.Burst)
}

// Limit returns the limit in force.
func (b *Bucket) Limit() Limit { return b.limit }

// Split keeps the given fraction of what the bucket holds and leaves the rest to gateways that are no longer heard.
func (b *Bucket) Split(fraction float64) {
	if b.level > 0 {
		b.level *= fraction
	}
}

// Lower sets the level to one that another gateway knows, if that is lower.
func (b *Bucket) Lower(level float64) { b.level = math.Min(b.level, level) }

// Level returns what the bucket holds; it is negative while it owes what the others admitted.
func (b *Bucket) Level() float64 { return b.level }

// Refund returns what a request took that did not run.
func (b *Bucket) Refund(size float64) { b.level = math.Min(b.level+size, b.limit.Burst) }

// UsedElsewhere subtracts what another gateway admitted; a negative size is a refund there. The debt is bounded by one
// burst, so that a report after a long silence does not shut the organisation out.
func (b *Bucket) UsedElsewhere(size float64) {
	b.level = math.Min(math.Max(b.level-size, -b.limit.Burst), b.limit.Burst)
}
