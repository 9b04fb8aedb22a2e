// Package report collects the outcomes of a benchmark run in a Recorder and writes the resulting Report as text, JSON
// or an SVG plot.
package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// Outcome is the result of one request. Times are as the caller sees them.
type Outcome struct {
	Organisation  string
	Class         string // interactive or batch
	Model         bool   // for a model service
	Booking       bool   // has an idempotency key
	WithinRate    bool   // the organisation's exact bucket granted it
	Met           bool   // the targets of its profile were met
	Ran           bool   // a backend server started to run it
	Kind          errkind.Kind
	At            time.Duration // arrival, since the start of the run
	FirstToken    time.Duration // time from the arrival; zero if there was no token
	BetweenTokens time.Duration // mean; zero with fewer than two tokens
}

// Recorder collects the outcomes of a run. It is not safe for concurrent use.
type Recorder struct {
	Retries, FellOver, PrefixHits  int
	Loads, Evictions               int
	AdapterLoads, AdapterEvictions int

	report  Report
	orgs    map[string]*Organisation
	classes map[string]*histograms
}

type histograms struct{ first, between *hdrhistogram.Histogram }

// maxMicros is the largest time that a histogram can hold, in microseconds.
const maxMicros = 3600e6

func newHistograms() *histograms {
	return &histograms{hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)}
}

// NewRecorder returns a Recorder for a run of the given duration with the given number of accelerators.
func NewRecorder(name string, seed uint64, duration time.Duration, accelerators int) *Recorder {
	seconds := int((duration + time.Second - 1) / time.Second)
	return &Recorder{
		orgs: make(map[string]*Organisation), classes: make(map[string]*histograms),
		report: Report{
			Scenario: name, Seed: seed, Seconds: duration.Seconds(), Accelerators: accelerators,
			RefusedWithinRateByCause: make(map[string]int), FailuresByCause: make(map[string]int),
			Series: make([]Second, seconds),
		},
	}
}

// SetPolicies sets the policies that the report names.
func (r *Recorder) SetPolicies(p scenario.Policies) { r.report.Policies = p }

// Mark records an event of the scenario.
func (r *Recorder) Mark(at time.Duration, text string) {
	r.report.Events = append(r.report.Events, Event{at.Seconds(), text})
}

func (r *Recorder) org(name string) *Organisation {
	o, ok := r.orgs[name]
	if !ok {
		o = &Organisation{Name: name}
		r.orgs[name] = o
	}
	return o
}

func (r *Recorder) second(at time.Duration) *Second {
	i := min(int(at/time.Second), len(r.report.Series)-1)
	return &r.report.Series[i]
}

// Arrived records the arrival of a request.
func (r *Recorder) Arrived(at time.Duration, organisation string, model, within bool) {
	o := r.org(organisation)
	o.Offered++
	r.report.Offered++
	r.second(at).Offered++
	if within {
		o.WithinRate++
		r.report.WithinRate++
		if model {
			o.ModelWithinRate++
		}
	}
}

// Ended records the outcome of a request.
func (r *Recorder) Ended(out Outcome) {
	o := r.org(out.Organisation)
	second := r.second(out.At)
	if out.Booking {
		r.report.Bookings.Offered++
		if out.Kind == errkind.None {
			r.report.Bookings.Done++
		}
	}
	if out.Met {
		second.Met++
		if out.Model {
			o.Met++
			r.report.Met++
			if out.WithinRate {
				o.MetWithinRate++
			}
		}
	}
	switch {
	case out.Kind == errkind.None:
		r.report.Served++
		if !out.WithinRate {
			r.report.ServedAboveRate++
		}
		if !out.Met {
			r.report.Late++
			second.Late++
		}
	case out.Kind.NotRun() && !out.Ran:
		r.recordRefusal(o, second, out)
	default:
		r.report.FailuresByCause[out.Kind.String()]++
		second.Lost++
	}
	r.recordLatency(out)
}

func (r *Recorder) recordRefusal(o *Organisation, second *Second, out Outcome) {
	if !out.WithinRate {
		r.report.RefusedAboveRate++
		return
	}
	o.RefusedWithinRate++
	r.report.RefusedWithinRate++
	r.report.RefusedWithinRateByCause[out.Kind.String()]++
	second.RefusedWithinRate++
}

func (r *Recorder) recordLatency(out Outcome) {
	if !out.Model || out.FirstToken == 0 {
		return
	}
	h, ok := r.classes[out.Class]
	if !ok {
		h = newHistograms()
		r.classes[out.Class] = h
	}
	// Times above the limit are recorded as the limit.
	_ = h.first.RecordValue(min(out.FirstToken.Microseconds(), maxMicros))
	if out.BetweenTokens > 0 {
		_ = h.between.RecordValue(min(out.BetweenTokens.Microseconds(), maxMicros))
	}
}
