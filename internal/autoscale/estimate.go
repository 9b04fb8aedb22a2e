package autoscale

import (
	"math"
	"time"
)

const (
	// fastTimeConstant and slowTimeConstant belong to the two averages of a rate. The fast one follows a step within
	// seconds, so that it is answered while servers boot; the difference of both is the trend.
	fastTimeConstant = 2 * time.Second
	slowTimeConstant = 10 * time.Second
	// trendDeadBand is the difference of the averages, as a fraction of the slow one, that counts as noise. Samples that
	// vary by 20% either way make the averages of a constant rate differ by 5% (standard deviation).
	trendDeadBand = 0.1
	// maxWork bounds the work that is added at a time, so that sums stay finite.
	maxWork = 1e12
	// capacityTimeConstant belongs to the average of a server's capacity.
	capacityTimeConstant = 10 * time.Second
	// minBusy is the fraction of busy slots from which a capacity is learned. Below it, a batch is so small that requests
	// take much less time than under load.
	minBusy = 0.3
)

// RateEstimator estimates a rate and its trend. It is not safe for concurrent use.
type RateEstimator struct {
	at         time.Duration
	started    bool
	fast, slow float64 // work per second
	pending    float64 // work since the last Advance
}

// NewRateEstimator returns an estimator that starts at now.
func NewRateEstimator(now time.Duration) *RateEstimator { return &RateEstimator{at: now} }

// Add records work since the last Advance. It ignores negative values and values that no fleet reaches.
func (e *RateEstimator) Add(work float64) {
	if work >= 0 && work <= maxWork {
		e.pending += work
	}
}

// Shift adds a rate that was there before but not known. It changes the rate and not the trend.
func (e *RateEstimator) Shift(rate float64) {
	if rate >= 0 && rate <= maxWork {
		e.started = true
		e.fast += rate
		e.slow += rate
	}
}

// Advance updates the averages. It does nothing if now is not after the last update.
func (e *RateEstimator) Advance(now time.Duration) {
	elapsed := now - e.at
	if elapsed <= 0 {
		return
	}
	rate := e.pending / elapsed.Seconds()
	e.at, e.pending = now, 0
	if !e.started {
		e.Shift(rate) // what came before is not known, so there is no trend
		e.started = true
		return
	}
	e.fast += weight(elapsed, fastTimeConstant) * (rate - e.fast)
	e.slow += weight(elapsed, slowTimeConstant) * (rate - e.slow)
}

// Rate returns the rate in work per second.
func (e *RateEstimator) Rate() float64 { return e.fast }

// Trend returns the change of the rate per second. The averages lag behind a ramp by their time constants, so their
// difference is the slope times the difference of the constants. Differences within the dead band count as none.
func (e *RateEstimator) Trend() float64 {
	difference := e.fast - e.slow
	noise := trendDeadBand * e.slow
	return (max(0, difference-noise) + min(0, difference+noise)) / (slowTimeConstant - fastTimeConstant).Seconds()
}

func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// CapacityEstimator learns the work per second that one server can take. It is not safe for concurrent use.
type CapacityEstimator struct {
	at    time.Duration
	value float64
}

// Observe records that servers took work at a rate per second while a fraction of their slots was busy. Servers that
// are all busy take as much as they can; with half of the slots busy, half of it.
func (e *CapacityEstimator) Observe(now time.Duration, taken float64, servers int, busy float64) {
	elapsed := min(now-e.at, capacityTimeConstant)
	if elapsed <= 0 || servers <= 0 || !(taken > 0) || taken > maxWork || !(busy >= minBusy) {
		return
	}
	e.at = now
	busy = min(busy, 1)
	sample := taken / float64(servers) / busy
	if e.value == 0 {
		e.value = sample
		return
	}
	e.value += busy * weight(elapsed, capacityTimeConstant) * (sample - e.value)
}

// Value returns the learned capacity in work per second, or zero if it is not known yet.
func (e *CapacityEstimator) Value() float64 { return e.value }
