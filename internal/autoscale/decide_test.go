package autoscale_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/autoscale"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

var testBounds = fleet.Scaling{Min: 2, Max: 10, Boot: 6 * time.Second}

func constant(rate float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return rate }
}

func between(at, from, to time.Duration) bool { return at >= from && at < to }

const (
	// answerTime is the time from a jump of demand until the order that answers it. Work that arrives in it, and while
	// the servers boot, cannot be served in time by any order that follows the demand.
	answerTime = 3 * time.Second
	// missedWithoutJump is the fraction of work that may miss its time although no demand jumped.
	missedWithoutJump = 0.01
	modelDuration     = 5 * time.Minute
	peakFrom, peakTo  = time.Minute, 3 * time.Minute
)

// modelLoad is a load of each of two data centres. Jumps are changes that are faster than a boot time.
type modelLoad struct {
	rate  func(int, time.Duration) float64
	lost  func(int, time.Duration) bool
	deaf  func(time.Duration) bool
	boot  time.Duration
	peak  float64
	jumps float64
}

func stepLoad(base, peak float64) modelLoad {
	return modelLoad{peak: peak, jumps: 1, rate: func(_ int, at time.Duration) float64 {
		if between(at, peakFrom, peakTo) {
			return peak
		}
		return base
	}}
}

func rampLoad(base, peak float64, boot time.Duration) modelLoad {
	return modelLoad{peak: peak, boot: boot, rate: func(_ int, at time.Duration) float64 {
		return base + (peak-base)*max(0, 1-math.Abs(at.Seconds()-150)/90)
	}}
}

func spikeLoad(base, peak float64, width time.Duration) modelLoad {
	return modelLoad{peak: peak, jumps: 3, rate: func(_ int, at time.Duration) float64 {
		if at%(100*time.Second) >= 100*time.Second-width {
			return peak
		}
		return base
	}}
}

func lossLoad(rate float64) modelLoad {
	return modelLoad{rate: constant(rate), peak: 2 * rate, jumps: 1, lost: func(z int, at time.Duration) bool {
		return z == 1 && between(at, peakFrom, peakTo)
	}}
}

func (l modelLoad) model(start int) *queueModel {
	m := newModel(2, start, testBounds)
	m.rate, m.noise = l.rate, 0.2
	if l.lost != nil {
		m.lost = l.lost
	}
	if l.deaf != nil {
		m.deaf = l.deaf
	}
	m.boot = max(m.boot, l.boot)
	return m
}

// allowed returns the lowest share in time: all but what arrives until the servers for a jump can serve. Servers that boot
// more slowly than configured are ordered too late by the difference, once: a ramp cannot tell it before the first has booted.
func (l modelLoad) allowed(m *queueModel) float64 {
	missed := l.jumps * l.peak * (m.boot + answerTime).Seconds()
	missed += l.rate(0, peakFrom+m.boot+answerTime) * (m.boot - testBounds.Boot).Seconds()
	return 1 - missedWithoutJump - 2*missed/m.arrived
}

// fixed returns the model with the count that rate needs at the utilisation of 0.7 that the decision aims at.
func (l modelLoad) fixed(rate float64) *queueModel {
	count := int(math.Ceil(rate / modelCapacity / 0.7))
	m := l.model(count)
	m.fixed = count
	m.run(modelDuration)
	return m
}

// Guards against counts with which callers get less than with a fixed count for the mean demand, or that cost more than a fixed
// count for the peak, and against an answer to a jump that takes longer than a boot time and answerTime.
func TestCallersGetMoreThanWithAFixedCount(t *testing.T) {
	for name, load := range map[string]modelLoad{
		"step": stepLoad(15, 60), "ramp": rampLoad(15, 70, 0), "spikes": spikeLoad(12, 65, 20*time.Second),
		"a data centre lost": lossLoad(22), "slow boot": rampLoad(15, 70, 18*time.Second),
		"slow boot of few servers": rampLoad(9.125, 65, 18*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			m := load.model(4)
			m.run(modelDuration)
			mean, peak := load.fixed(m.arrived/modelDuration.Seconds()/2), load.fixed(load.peak)
			t.Logf("in time: %.3f, fixed for the mean (%d): %.3f, for the peak (%d): %.3f; server seconds: %.0f, %.0f, %.0f; %d up, %d down",
				m.share(), mean.fixed, mean.share(), peak.fixed, peak.share(), m.billed, mean.billed, peak.billed, m.ups, m.downs)
			if m.share() < load.allowed(m) || m.share() < mean.share() {
				t.Errorf("%.3f in time, lowest allowed %.3f, with the fixed count for the mean %.3f", m.share(), load.allowed(m), mean.share())
			}
			if m.billed >= peak.billed {
				t.Errorf("%.0f server seconds, %.0f with the fixed count for the peak", m.billed, peak.billed)
			}
		})
	}
}

// Guards against loads of another size or duration than those of the examples, and against growth that waits for missing
// news.
func TestDrawnLoadsAreServedAfterABootTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(5, 30).Draw(t, "base")
		peak := rapid.Float64Range(base, 65).Draw(t, "peak")
		var load modelLoad
		switch rapid.SampledFrom([]string{"step", "ramp", "spikes", "loss"}).Draw(t, "load") {
		case "step":
			load = stepLoad(base, peak)
		case "ramp":
			load = rampLoad(base, peak, time.Duration(rapid.IntRange(6, 18).Draw(t, "boot"))*time.Second)
		case "spikes":
			load = spikeLoad(base, peak, time.Duration(rapid.IntRange(3, 40).Draw(t, "width"))*time.Second)
		case "loss":
			load = lossLoad(base)
		}
		deafFrom := time.Duration(rapid.IntRange(0, 250).Draw(t, "news missing from")) * time.Second
		load.deaf = func(at time.Duration) bool { return between(at, deafFrom, deafFrom+30*time.Second) }
		m := load.model(max(2, int(math.Ceil(base/modelCapacity/0.7))))
		m.run(modelDuration)
		if m.share() < load.allowed(m) {
			t.Fatalf("%.3f in time, lowest allowed %.3f", m.share(), load.allowed(m))
		}
	})
}

// Guards against counts that follow the noise of a constant demand: once settled, a count only falls, or grows once.
func TestConstantDemandWithNoiseDoesNotOscillate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 3).Draw(t, "data centres"), rapid.IntRange(2, 10).Draw(t, "start"), testBounds)
		m.rate, m.noise = constant(rapid.Float64Range(0, 90).Draw(t, "rate")), 0.2
		m.run(10 * time.Minute)
		if zones := len(m.queue); m.reversals > zones {
			t.Fatalf("%d reversals in %d data centres, %d up, %d down", m.reversals, zones, m.ups, m.downs)
		}
	})
}

// Guards against counts outside the bounds, more than one step down at a time, and servers that are removed on missing or
// old news or although the models need their memory.
func TestBoundsAndNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := autoscale.NewDecider()
		low := rapid.IntRange(0, 5).Draw(t, "min")
		s := autoscale.Service{
			Name: "s", Bounds: fleet.Scaling{Min: low, Max: rapid.IntRange(max(1, low), 12).Draw(t, "max"), Boot: 6 * time.Second},
			Capacity: rapid.SampledFrom([]float64{0, 1, 10, math.NaN()}).Draw(t, "capacity"),
		}
		s.ModelReplicas = rapid.IntRange(0, 14).Draw(t, "servers for models")
		for _, name := range []string{"a", "b"}[:rapid.IntRange(1, 2).Draw(t, "data centres")] {
			s.DataCentres = append(s.DataCentres, autoscale.DataCentre{Name: name})
		}
		age := rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second, math.MaxInt64})
		demand := rapid.SampledFrom([]float64{0, 1, 5, 40, 300, math.Inf(1), math.NaN(), -1})
		now := time.Duration(0)
		for range 60 {
			now += time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Second
			s.News = autoscale.News{ListAge: age.Draw(t, "list"), DemandAge: age.Draw(t, "demand age"), Complete: rapid.Bool().Draw(t, "complete")}
			for i := range s.DataCentres {
				dc := &s.DataCentres[i]
				dc.Ready, dc.Lost = dc.Order.Count, rapid.IntRange(0, 9).Draw(t, "lost") == 0
				dc.Demand = autoscale.Demand{Rate: demand.Draw(t, "rate"), Waiting: demand.Draw(t, "waiting")}
			}
			removed := 0
			for i, dec := range d.Decide(now, s) {
				dc := &s.DataCentres[i]
				if dec.Count < s.Bounds.Min || dec.Count > s.Bounds.Max {
					t.Fatalf("count %d outside %+v", dec.Count, s.Bounds)
				}
				if dc.Order.Known && dec.Count < dc.Order.Count {
					removed += dc.Order.Count - dec.Count
					if !s.News.Complete || s.News.ListAge > 3*time.Second || s.News.DemandAge > 3*time.Second || dc.Lost {
						t.Fatalf("removed on news %+v, lost %t", s.News, dc.Lost)
					}
				}
				dc.Order = autoscale.Order{Known: true, Count: dec.Count, At: now}
			}
			total, usable, full := 0, 0, true
			for _, dc := range s.DataCentres {
				if !dc.Lost && dc.Order.Known {
					total, usable, full = total+dc.Order.Count, usable+1, full && dc.Order.Count == s.Bounds.Max
				}
			}
			if removed > 1 || usable > 0 && total < s.ModelReplicas && !full {
				t.Fatalf("%d removed; %d servers of %d for the models", removed, total, s.ModelReplicas)
			}
		}
	})
}

// Guards against a shrinking service while some gateways are not heard, whatever the demand of the others.
func TestNothingIsRemovedWhileGatewaysAreNotHeard(t *testing.T) {
	m := newModel(2, 8, testBounds)
	m.rate = constant(10)
	m.deaf = func(at time.Duration) bool { return at%(15*time.Second) < time.Second }
	m.run(5 * time.Minute)
	if m.downs != 0 {
		t.Fatalf("%d removed although the news was never complete for a whole window", m.downs)
	}
}

// Guards against a successor or a fresh start that takes servers away which it has not seen yet, and against an order that
// counts servers that drain.
func TestAFirstCountWaitsForTheList(t *testing.T) {
	d := autoscale.NewDecider()
	s := autoscale.Service{Name: "s", Bounds: testBounds, Capacity: 10, News: autoscale.News{Complete: true},
		DataCentres: []autoscale.DataCentre{{Name: "a", Ready: 3, Draining: 4, Demand: autoscale.Demand{Rate: 20}}}}
	if got := d.Decide(0, s); len(got) != 0 {
		t.Fatalf("decided at the first sight: %+v", got)
	}
	s.DataCentres[0].Ready = 5
	d.Decide(3*time.Second, s)
	s.DataCentres[0].Ready = 4
	if got := d.Decide(10*time.Second, s); len(got) != 1 || got[0].Count != 5 || got[0].Current != 5 {
		t.Fatalf("%+v", got)
	}
}

// Guards against demand that stays with a data centre that is out of service, or whose servers do not come.
func TestDemandMovesToTheOthers(t *testing.T) {
	for name, change := range map[string]func(*autoscale.DataCentre){
		"out of service": func(dc *autoscale.DataCentre) { dc.OutOfService = true },
		"lost":           func(dc *autoscale.DataCentre) { dc.Lost = true },
		"servers gone":   func(dc *autoscale.DataCentre) { dc.Ready = 0 },
	} {
		s := autoscale.Service{Name: "s", Bounds: testBounds, Capacity: 10, News: autoscale.News{Complete: true}}
		for _, dc := range []string{"a", "b"} {
			s.DataCentres = append(s.DataCentres, autoscale.DataCentre{
				Name: dc, Ready: 3, Order: autoscale.Order{Known: true, Count: 3}, Demand: autoscale.Demand{Rate: 21},
			})
		}
		change(&s.DataCentres[0])
		got := autoscale.NewDecider().Decide(time.Minute, s)
		if got[0].Count != 3 || got[1].Count != 6 {
			t.Fatalf("%s: %+v", name, got)
		}
	}
}

// Guards against a data centre whose servers are gone that counts as a place for models.
func TestServersThatAreGoneHoldNoModels(t *testing.T) {
	s := autoscale.Service{Name: "s", Bounds: testBounds, Capacity: 10, ModelReplicas: 8, News: autoscale.News{Complete: true}}
	for _, dc := range []string{"a", "b"} {
		s.DataCentres = append(s.DataCentres, autoscale.DataCentre{Name: dc, Order: autoscale.Order{Known: true, Count: 4}})
	}
	s.DataCentres[1].Ready = 4
	if got := autoscale.NewDecider().Decide(time.Minute, s); got[0].Count != 4 || got[1].Count != 8 {
		t.Fatalf("%+v", got)
	}
}

// Guards against a floor that counts memory without regard to what fits together on one server.
func TestServersForModels(t *testing.T) {
	e := &fleet.Engine{WeightsMB: 110, AdapterSlots: 2, Models: map[string]*fleet.Model{
		"a": {WeightsMB: 60}, "b": {WeightsMB: 60, AdapterMB: 5}, "c": {WeightsMB: 40}, "d": {WeightsMB: 40}, "e": {WeightsMB: 500},
	}}
	if n := autoscale.ModelReplicas(e, []string{"a", "b", "c", "d", "e", "unknown"}); n != 2 {
		t.Fatalf("%d servers, expected 2", n)
	}
	if n := autoscale.ModelReplicas(e, []string{"a", "b", "c"}); n != 2 {
		t.Fatalf("%d servers, expected 2", n)
	}
}

// Guards against growth that waits until the demand is there, when the servers for it are missed for a boot time.
func TestGrowthIsAheadOfARamp(t *testing.T) {
	e := autoscale.NewRateEstimator(-time.Second)
	for at := time.Duration(0); at <= 30*time.Second; at += time.Second {
		e.Add(10 + at.Seconds())
		e.Advance(at)
	}
	// After 30 s the rate is 40 and lags by the fast average's 2 s; the slope is 1 less what counts as noise.
	if e.Rate() < 37 || e.Rate() > 40 || e.Trend() < 0.5 || e.Trend() > 1 {
		t.Fatalf("rate %.1f, trend %.2f", e.Rate(), e.Trend())
	}
	s := autoscale.Service{Name: "s", Bounds: testBounds, Capacity: 10, News: autoscale.News{Complete: true},
		DataCentres: []autoscale.DataCentre{{
			Name: "a", Ready: 5, Order: autoscale.Order{Known: true, Count: 5}, Demand: autoscale.Demand{Rate: 30, Trend: 2},
		}}}
	// In 9 s, of which 6 s are the boot time, the rate is 48.
	if got := autoscale.NewDecider().Decide(time.Minute, s); got[0].Count != 7 || got[0].Reason != autoscale.ReasonDemand {
		t.Fatalf("%+v", got)
	}
}
