package gateway

import (
	"math"
	"sync"
)

const (
	// minFactor and maxFactor limit the factor. A ratio outside them indicates wrongly reported usage rather than a
	// bad estimate: a tokenizer produces at most about one token per byte, four times the estimate for ASCII text.
	minFactor, maxFactor = 0.5, 4
	// raiseFraction and lowerFraction are the fractions of a deviation that one report corrects. The factor rises
	// fast and falls slowly, because an estimate that is too low becomes a debt and one that is too high is refunded.
	raiseFraction, lowerFraction = 1.0 / 4, 1.0 / 64
	// minLearnedTokens is the smallest estimate that changes the factor. In shorter prompts, the fixed overhead of
	// the prompt template dominates.
	minLearnedTokens = 32
)

// Correction is a bounded factor that corrects estimated prompt tokens towards reported ones. The zero value has
// factor 1. It is not safe for concurrent use.
type Correction struct {
	excess float64 // factor − 1
}

// Factor returns the factor, from minFactor to maxFactor.
func (c *Correction) Factor() float64 { return 1 + c.excess }

// Learn moves the factor towards reported/estimated, both in tokens.
func (c *Correction) Learn(estimated, reported int64) {
	if estimated < minLearnedTokens || reported <= 0 {
		return
	}
	deviation := min(max(float64(reported)/float64(estimated), minFactor), maxFactor) - c.Factor()
	if deviation > 0 {
		c.excess += deviation * raiseFraction
	} else {
		c.excess += deviation * lowerFraction
	}
}

// Apply returns the corrected estimate in tokens, rounded up.
func (c *Correction) Apply(estimated int64) int64 {
	return int64(math.Ceil(float64(estimated) * c.Factor()))
}

// corrections holds the correction of each model. It is safe for concurrent use.
type corrections struct {
	mu     sync.Mutex
	models map[string]*Correction
}

func newCorrections() *corrections { return &corrections{models: make(map[string]*Correction)} }

func (c *corrections) apply(model string, estimated int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.models[model]; ok {
		return m.Apply(estimated)
	}
	return estimated
}

func (c *corrections) learn(model string, estimated, reported int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.models[model]
	if !ok {
		m = new(Correction)
		c.models[model] = m
	}
	m.Learn(estimated, reported)
}
