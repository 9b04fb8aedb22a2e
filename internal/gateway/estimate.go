package gateway

import (
	"math"
	"sync"
)

const (
	// A factor outside these bounds says that usage is reported wrongly, not that the estimate is bad: a
	// tokenizer has at most about one token for each byte, which is four times the estimate for ASCII text.
	minFactor, maxFactor = 0.5, 4
	// raiseStep and lowerStep are the parts of a deviation that one report corrects. A low estimate becomes
	// a debt and a high one is refunded, so that the factor rises fast and falls slowly.
	raiseStep, lowerStep = 1.0 / 4, 1.0 / 64
	// minLearned is the smallest estimate that teaches, tokens. The fixed overhead of the prompt template
	// dominates shorter prompts.
	minLearned = 32
)

// Correction is a bounded factor between estimated and reported prompt tokens. The zero value is 1.
type Correction struct {
	excess float64 // factor − 1
}

// Factor returns the factor.
func (c *Correction) Factor() float64 { return 1 + c.excess }

// Learn moves the factor towards reported/estimated.
func (c *Correction) Learn(estimated, reported int64) {
	if estimated < minLearned || reported <= 0 {
		return
	}
	deviation := min(max(float64(reported)/float64(estimated), minFactor), maxFactor) - c.Factor()
	if deviation > 0 {
		c.excess += deviation * raiseStep
	} else {
		c.excess += deviation * lowerStep
	}
}

// Apply returns the corrected estimate in tokens, rounded up.
func (c *Correction) Apply(estimated int64) int64 {
	return int64(math.Ceil(float64(estimated) * c.Factor()))
}

// corrections holds the correction of each model.
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
