package placement

import (
	"math"
	"time"
)

// DemandOptions turn the demand for a model into a number of copies.
type DemandOptions struct {
	TokensPerCopy float64       // tokens a second that one copy serves at its target load
	Smoothing     time.Duration // time constant of the smoothed rate
	// Hold is the time for which fewer copies must suffice before one is given up, so that a dip between
	// two bursts does not unload a model that takes seconds to load.
	Hold time.Duration
}

// releaseLoad is the part of the remaining copies' rate below which a copy may be given up. The gap to 1,
// above which a copy is added, keeps a rate near a boundary from adding and removing a copy by turns.
const releaseLoad = 0.7

// Demand is the smoothed rate of each model and the copies that it asks for.
type Demand struct {
	opts   DemandOptions
	models map[string]*modelDemand
}

type modelDemand struct {
	rate     float64 // tokens a second
	copies   int
	lowSince time.Duration
	low      bool
}

// NewDemand returns a Demand without history.
func NewDemand(opts DemandOptions) *Demand {
	return &Demand{opts: opts, models: make(map[string]*modelDemand)}
}

// Observe adds the tokens of a model that were served or asked for in the elapsed time before now.
func (d *Demand) Observe(now time.Duration, model string, tokens int64, elapsed time.Duration) {
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

func (d *Demand) adjust(now time.Duration, m *modelDemand) {
	if needed := int(math.Ceil(m.rate / d.opts.TokensPerCopy)); needed > m.copies {
		m.copies, m.low = needed, false
		return
	}
	fewer := float64(m.copies-1) * d.opts.TokensPerCopy * releaseLoad
	low := m.copies > 0 && m.rate <= fewer
	if low && !m.low {
		m.lowSince = now
	}
	m.low = low
	if low && now >= m.lowSince+d.opts.Hold {
		m.copies--
		m.lowSince = now
	}
}

// Rate returns the smoothed rate of a model, tokens a second.
func (d *Demand) Rate(model string) float64 {
	if m, ok := d.models[model]; ok {
		return m.rate
	}
	return 0
}

// Copies returns the copies that the demand for a model asks for, without the least number of copies.
func (d *Demand) Copies(model string) int {
	if m, ok := d.models[model]; ok {
		return m.copies
	}
	return 0
}
