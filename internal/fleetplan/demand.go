package fleetplan

import (
	"math"
	"time"
)

const (
	// fastDecay and slowDecay are the time constants of the two averages of demand. The fast one follows a shift of
	// demand within a second; the slow one keeps copies through a short lull.
	fastDecay = time.Second
	slowDecay = 4 * time.Second
	// slowWeight of the slow average counts. At one half, the copies of a model whose demand ends are free for others
	// within about a second.
	slowWeight = 0.5
)

// Averages are the demand of the models in units a second. It is pure: the time is passed in.
type Averages struct {
	at     time.Duration
	models map[string]*average
}

type average struct{ fast, slow, pending float64 }

// NewAverages returns averages of no demand.
func NewAverages(now time.Duration) *Averages {
	return &Averages{at: now, models: make(map[string]*average)}
}

// Add counts demand since the last Advance.
func (a *Averages) Add(model string, work float64) {
	m := a.models[model]
	if m == nil {
		m = new(average)
		a.models[model] = m
	}
	m.pending += work
}

// Advance updates the averages to now.
func (a *Averages) Advance(now time.Duration) {
	elapsed := now - a.at
	if elapsed <= 0 {
		return
	}
	a.at = now
	fast := 1 - math.Exp(-float64(elapsed)/float64(fastDecay))
	slow := 1 - math.Exp(-float64(elapsed)/float64(slowDecay))
	for _, m := range a.models {
		rate := m.pending / elapsed.Seconds()
		m.pending = 0
		m.fast += fast * (rate - m.fast)
		m.slow += slow * (rate - m.slow)
	}
}

// Rates returns the demand of all models that have some.
func (a *Averages) Rates() map[string]float64 {
	rates := make(map[string]float64, len(a.models))
	for name := range a.models {
		if rate := math.Round(a.Rate(name)); rate > 0 {
			rates[name] = rate
		}
	}
	return rates
}

// Assume sets the demand of models for which less is known. It decays like demand that ended now.
func (a *Averages) Assume(rates map[string]float64) {
	for name, rate := range rates {
		m := a.models[name]
		if m == nil {
			m = new(average)
			a.models[name] = m
		}
		m.slow = math.Max(m.slow, rate/slowWeight)
	}
}

// Rate returns the demand of a model that copies should be there for.
func (a *Averages) Rate(model string) float64 {
	m := a.models[model]
	if m == nil {
		return 0
	}
	return math.Max(m.fast, slowWeight*m.slow)
}

// Copies returns how many copies the demand of a model asks for, if one server serves capacity units a second at the
// use that leaves room for bursts.
func Copies(rate, capacity float64) int {
	if rate <= 0 || capacity <= 0 {
		return 0
	}
	return int(math.Ceil(rate / capacity))
}
