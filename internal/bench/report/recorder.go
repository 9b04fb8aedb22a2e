// Package report gathers the figures of a run and writes them as text, JSON or a plot.
package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// Outcome is how one request ended. Times are from the caller's view.
type Outcome struct {
	Organisation  string
	Class         string
	Model         bool // of a model service
	Booking       bool
	Within        bool // the organisation's rate, judged against one exact bucket
	Met           bool // the profile's targets
	Ran           bool
	Kind          errkind.Kind
	At            time.Duration // arrival
	FirstToken    time.Duration // zero if there was none
	BetweenTokens time.Duration // mean; zero with fewer than two tokens
}

// Recorder gathers outcomes. It is not safe for concurrent use.
type Recorder struct {
	Retries, FellOver, PrefixHits  int
	Loads, Evictions               int
	AdapterLoads, AdapterEvictions int

	report  Report
	orgs    map[string]*Organisation
	classes map[string]*histograms
}

type histograms struct{ first, between *hdrhistogram.Histogram }

// longestMicros is the largest time that a histogram holds, microseconds.
const longestMicros = 3600e6

func newHistograms() *histograms {
	return &histograms{hdrhistogram.New(1, longestMicros, 3), hdrhistogram.New(1, longestMicros, 3)}
}

// NewRecorder returns a recorder for a run of the duration on a number of accelerators.
func NewRecorder(name string, seed uint64, duration time.Duration, accelerators int) *Recorder {
	seconds := int((duration + time.Second - 1) / time.Second)
	return &Recorder{
		orgs: make(map[string]*Organisation), classes: make(map[string]*histograms),
		report: Report{
			Scenario: name, Seed: seed, Seconds: duration.Seconds(), Accelerators: accelerators,
			WrongfulRefusals: make(map[string]int), Failures: make(map[string]int),
			Series: make([]Second, seconds),
		},
	}
}

// SetPolicies notes the policies of the run.
func (r *Recorder) SetPolicies(p scenario.Policies) { r.report.Policies = p }

// Mark notes an event.
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

// Arrived counts an arrival.
func (r *Recorder) Arrived(at time.Duration, organisation string, model, within bool) {
	o := r.org(organisation)
	o.Offered++
	r.report.Offered++
	r.second(at).Offered++
	if within {
		o.Within++
		r.report.Within++
		if model {
			o.ModelWithin++
		}
	}
}

// Ended counts an outcome.
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
			if out.Within {
				o.MetWithin++
			}
		}
	}
	switch {
	case out.Kind == errkind.None:
		r.report.Served++
		if !out.Within {
			r.report.ServedAbove++
		}
		if !out.Met {
			r.report.Late++
			second.Late++
		}
	case out.Kind.NotRun() && !out.Ran:
		r.refused(o, second, out)
	default:
		r.report.Failures[out.Kind.String()]++
		second.Lost++
	}
	r.latency(out)
}

func (r *Recorder) refused(o *Organisation, second *Second, out Outcome) {
	if !out.Within {
		r.report.Refused++
		return
	}
	o.Wrongful++
	r.report.Wrongful++
	r.report.WrongfulRefusals[out.Kind.String()]++
	second.Wrongful++
}

func (r *Recorder) latency(out Outcome) {
	if !out.Model || out.FirstToken == 0 {
		return
	}
	h, ok := r.classes[out.Class]
	if !ok {
		h = newHistograms()
		r.classes[out.Class] = h
	}
	// A time above the bound counts as the bound.
	_ = h.first.RecordValue(min(out.FirstToken.Microseconds(), longestMicros))
	if out.BetweenTokens > 0 {
		_ = h.between.RecordValue(min(out.BetweenTokens.Microseconds(), longestMicros))
	}
}
