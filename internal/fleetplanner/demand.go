package fleetplanner

import (
	"math"
	"time"
)

const (
	// fastTimeConstant and slowTimeConstant belong to the two exponential averages of demand. The fast average follows
	// a shift of demand within a second; the slow one keeps copies resident through a short gap in the requests.
	fastTimeConstant = time.Second
	slowTimeConstant = 4 * time.Second
	// slowWeight is the fraction of the slow average that counts as demand. At one half, the copies of a model can be
	// displaced by other models about a second after its demand ends.
	slowWeight = 0.5
	// maxDemandTokens bounds the demand that is added at a time, in prompt tokens. It is far above any fleet's demand. Sums stay
	// finite, which the row of the planner's lease requires.
	maxDemandTokens = 1e12
)

// DemandEstimator estimates the demand of each model in prompt tokens per second from a fast and a slow exponential
// average. Models are keyed by service and model name joined by a zero byte. It reads no clock: the caller passes the
// time as a duration on a monotonic clock. It is not safe for concurrent use.
type DemandEstimator struct {
	at     time.Duration
	models map[string]*demandAverage
}

// demandAverage holds the averages of one model in prompt tokens per second, and the prompt tokens added since the last
// Advance.
type demandAverage struct{ fast, slow, pending float64 }

// NewDemandEstimator returns an estimator without demand that starts at now.
func NewDemandEstimator(now time.Duration) *DemandEstimator {
	return &DemandEstimator{at: now, models: make(map[string]*demandAverage)}
}

// Add records prompt tokens requested from a model since the last Advance. It ignores a number that no fleet can reach.
func (a *DemandEstimator) Add(model string, tokens float64) {
	m := a.models[model]
	if m == nil {
		m = new(demandAverage)
		a.models[model] = m
	}
	if math.Abs(tokens) <= maxDemandTokens {
		m.pending += tokens
	}
}

// Advance updates the averages with the demand recorded up to now. It does nothing if now is not after the last update.
func (a *DemandEstimator) Advance(now time.Duration) {
	elapsed := now - a.at
	if elapsed <= 0 {
		return
	}
	a.at = now
	fast := 1 - math.Exp(-float64(elapsed)/float64(fastTimeConstant))
	slow := 1 - math.Exp(-float64(elapsed)/float64(slowTimeConstant))
	for _, m := range a.models {
		rate := m.pending / elapsed.Seconds()
		m.pending = 0
		m.fast += fast * (rate - m.fast)
		m.slow += slow * (rate - m.slow)
	}
}

// Rates returns the demand in whole prompt tokens per second of every model whose rounded demand is above zero.
func (a *DemandEstimator) Rates() map[string]float64 {
	rates := make(map[string]float64, len(a.models))
	for name := range a.models {
		if rate := math.Round(a.Rate(name)); rate > 0 {
			rates[name] = rate
		}
	}
	return rates
}

// InheritDemand raises the demand of each model to at least the given prompt tokens per second. The assumed part decays like
// demand that ends now.
func (a *DemandEstimator) InheritDemand(rates map[string]float64) {
	for name, rate := range rates {
		m := a.models[name]
		if m == nil {
			m = new(demandAverage)
			a.models[name] = m
		}
		if rate <= maxDemandTokens {
			m.slow = math.Max(m.slow, rate/slowWeight)
		}
	}
}

// Rate returns the demand of a model in prompt tokens per second: the fast average or the weighted slow average, whichever
// is higher. It is 0 for an unknown model.
func (a *DemandEstimator) Rate(model string) float64 {
	m := a.models[model]
	if m == nil {
		return 0
	}
	return math.Max(m.fast, slowWeight*m.slow)
}

// Copies returns the number of copies that serve the demand, where one copy serves capacity at the utilisation that
// leaves room for bursts. Both are in prompt tokens per second. The result is 0 if either is not positive.
func Copies(demand, capacity float64) int {
	if demand <= 0 || capacity <= 0 {
		return 0
	}
	return int(math.Ceil(demand / capacity))
}
