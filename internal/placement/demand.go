package placement

import (
	"math"
	"time"
)

// DemandOptions configure how a Demand turns token rates into numbers of copies. TokensPerCopy and Smoothing must be
// positive.
type DemandOptions struct {
	TokensPerCopy float64       // tokens per second that one copy serves at its target load
	Smoothing     time.Duration // time constant of the smoothed rate
	// Hold is the time for which fewer copies must suffice before one is removed, so that a dip between two bursts does
	// not unload a model that takes seconds to load.
	Hold time.Duration
}

// scaleDownUtilisation is the utilisation of the remaining copies, as a fraction of TokensPerCopy, below which a copy may
// be removed. A copy is added above 1. The gap keeps a rate near the limit from adding and removing a copy alternately.
const scaleDownUtilisation = 0.7

// CopyEstimator keeps the smoothed token rate of each model and derives the number of copies to serve it. It is not safe for
// concurrent use.
type CopyEstimator struct {
	opts   DemandOptions
	models map[string]*modelDemand
}

type modelDemand struct {
	rate       float64 // tokens per second
	copies     int
	belowSince time.Duration // when below was last set
	below      bool          // one copy fewer would suffice
}

// NewCopyEstimator returns a Demand without observations.
func NewCopyEstimator(opts DemandOptions) *CopyEstimator {
	return &CopyEstimator{opts: opts, models: make(map[string]*modelDemand)}
}

// Observe records the tokens of a model that were served or requested during the elapsed time before now. It does
// nothing if elapsed is not positive.
func (d *CopyEstimator) Observe(now time.Duration, model string, tokens int64, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	m, ok := d.models[model]
	if !ok {
		m = new(modelDemand)
		d.models[model] = m
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/d.opts.Smoothing.Seconds())
	m.rate += weight * (float64(tokens)/elapsed.Seconds() - m.rate)
	d.adjust(now, m)
}

func (d *CopyEstimator) adjust(now time.Duration, m *modelDemand) {
	if needed := int(math.Ceil(m.rate / d.opts.TokensPerCopy)); needed > m.copies {
		m.copies, m.below = needed, false
		return
	}
	scaleDownRate := float64(m.copies-1) * d.opts.TokensPerCopy * scaleDownUtilisation
	below := m.copies > 0 && m.rate <= scaleDownRate
	if below && !m.below {
		m.belowSince = now
	}
	m.below = below
	if below && now >= m.belowSince+d.opts.Hold {
		m.copies--
		m.belowSince = now
	}
}

// Rate returns the smoothed rate of a model in tokens per second, or 0 if the model is unknown.
func (d *CopyEstimator) Rate(model string) float64 {
	if m, ok := d.models[model]; ok {
		return m.rate
	}
	return 0
}

// Copies returns the number of copies that the demand for a model requires, or 0 if the model is unknown. It does not
// include the model's minimum number of copies.
func (d *CopyEstimator) Copies(model string) int {
	if m, ok := d.models[model]; ok {
		return m.copies
	}
	return 0
}
