package gateway

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// maxNamedOrganisations limits how many organisations have counters under their own name. The rest share
	// otherOrganisations.
	maxNamedOrganisations = 1024
	otherOrganisations    = "(other)"
	openServices          = "(open)" // requests of open services, which have no organisation
)

// Timing holds the output times of one request as the gateway measured them. All durations are measured from the
// arrival of the request at the gateway.
type Timing struct {
	FirstToken time.Duration // zero if there was no output
	LastToken  time.Duration
	Total      time.Duration
	Tokens     int64 // output tokens
}

// Outcomes counts the ended requests of one organisation and class by outcome. A request that missed several
// targets is counted once, under the first of FirstToken, BetweenTokens and Deadline that it missed.
type Outcomes struct {
	Met           int64 `json:"met"`
	FirstToken    int64 `json:"missed_first_token"`
	BetweenTokens int64 `json:"missed_between_tokens"`
	Deadline      int64 `json:"missed_deadline"`
	Refused       int64 `json:"refused"`      // not run, although the request was valid and within the rate
	Failed        int64 `json:"failed"`       // ended without a complete response after it may have run
	RateLimited   int64 `json:"rate_limited"` // above the organisation's rate; excluded from Share
}

// Share returns the fraction, from 0 to 1, of the requests within the rate that met their targets. It returns false
// if there were no such requests.
func (s Outcomes) Share() (float64, bool) {
	total := s.Met + s.FirstToken + s.BetweenTokens + s.Deadline + s.Refused + s.Failed
	if total == 0 {
		return 0, false
	}
	return float64(s.Met) / float64(total), true
}

func (s *Outcomes) add(o Outcomes) {
	s.Met += o.Met
	s.FirstToken += o.FirstToken
	s.BetweenTokens += o.BetweenTokens
	s.Deadline += o.Deadline
	s.Refused += o.Refused
	s.Failed += o.Failed
	s.RateLimited += o.RateLimited
}

// Attainment counts requests by whether they met the targets of their profile. It is safe for concurrent use.
type Attainment struct {
	mu     sync.Mutex
	counts map[string]map[config.Class]*Outcomes
}

// NewAttainment returns an Attainment without counts.
func NewAttainment() *Attainment {
	return &Attainment{counts: make(map[string]map[config.Class]*Outcomes)}
}

// Record counts a request that ended with err, which is nil for a complete response. Requests that failed through
// an error of the caller, that the caller cancelled or whose key was withdrawn are not counted. Requests of open services
// have an empty organisation.
func (a *Attainment) Record(organisation string, p config.Profile, t Timing, ran errkind.Ran, err error) {
	if organisation == "" {
		organisation = openServices
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if counter := a.counter(organisation, p.Class).counterFor(p, t, ran, err); counter != nil {
		*counter++
	}
}

func (a *Attainment) counter(organisation string, class config.Class) *Outcomes {
	classes, ok := a.counts[organisation]
	if !ok && len(a.counts) >= maxNamedOrganisations {
		organisation = otherOrganisations
		classes, ok = a.counts[organisation]
	}
	if !ok {
		classes = make(map[config.Class]*Outcomes)
		a.counts[organisation] = classes
	}
	if classes[class] == nil {
		classes[class] = new(Outcomes)
	}
	return classes[class]
}

// counterFor returns the counter for a request, or nil if the request is not counted.
func (s *Outcomes) counterFor(p config.Profile, t Timing, ran errkind.Ran, err error) *int64 {
	kind := errkind.Of(err)
	switch {
	case err == nil:
		return s.counterForComplete(p, t)
	case kind == errkind.RateLimited:
		return &s.RateLimited
	case kind == errkind.DeadlineExceeded:
		return &s.Deadline
	case kind == errkind.CallerCancelled, kind == errkind.KeyWithdrawn:
		return nil
	case ran != errkind.RanNo:
		return &s.Failed
	case kind.Answer().Retry == errkind.RetryNever:
		return nil
	}
	return &s.Refused
}

// counterForComplete returns the counter for a request with a complete response. The time between tokens is the mean
// over the tokens after the first.
func (s *Outcomes) counterForComplete(p config.Profile, t Timing) *int64 {
	within := func(d time.Duration, targetMS int64) bool {
		return targetMS <= 0 || d <= time.Duration(targetMS)*time.Millisecond
	}
	var between time.Duration
	if t.Tokens > 1 {
		between = (t.LastToken - t.FirstToken) / time.Duration(t.Tokens-1)
	}
	switch {
	case !within(t.FirstToken, p.FirstTokenMS):
		return &s.FirstToken
	case !within(between, p.BetweenTokensMS):
		return &s.BetweenTokens
	case !within(t.Total, p.DeadlineMS):
		return &s.Deadline
	}
	return &s.Met
}

// AttainmentReport is the value of the metric "attainment".
type AttainmentReport struct {
	Share         *float64                             `json:"share"` // null before the first counted request
	Worst         string                               `json:"worst_organisation"`
	WorstShare    *float64                             `json:"worst_share"`
	Organisations map[string]map[config.Class]Outcomes `json:"organisations"`
}

// Report returns a copy of the counters and the organisation with the lowest share.
func (a *Attainment) Report() AttainmentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := AttainmentReport{Organisations: make(map[string]map[config.Class]Outcomes, len(a.counts))}
	var total Outcomes
	for _, name := range slices.Sorted(maps.Keys(a.counts)) {
		var sum Outcomes
		report.Organisations[name] = make(map[config.Class]Outcomes)
		for class, s := range a.counts[name] {
			report.Organisations[name][class] = *s
			sum.add(*s)
		}
		total.add(sum)
		if share, ok := sum.Share(); ok && (report.WorstShare == nil || share < *report.WorstShare) {
			report.Worst, report.WorstShare = name, &share
		}
	}
	if share, ok := total.Share(); ok {
		report.Share = &share
	}
	return report
}

func (a *Attainment) expvar() expvar.Func { return func() any { return a.Report() } }

// RunModel runs a model call, passes the generated text to sink and records whether the call met its targets.
// The Result is also valid with an error, whose kind errkind.Of returns.
func (g *Gateway) RunModel(ctx context.Context, p *Principal, call ModelCall, sink TextSink) (Result, error) {
	var t Timing
	result, err := g.runModel(ctx, p, call, func(text string) error {
		t.recordOutput(call.Arrived)
		return sink(text)
	})
	t.Tokens = result.OutputTokens
	g.recordEnd(p, call.Arrived, t, result, err)
	return result, err
}

// RunPlain runs a call of a plain service, passes its response to sink and records whether the call met its targets.
// The Result is also valid with an error, whose kind errkind.Of returns.
func (g *Gateway) RunPlain(ctx context.Context, p *Principal, call PlainCall, sink PlainSink) (Result, error) {
	measured := &timingSink{PlainSink: sink, arrived: call.Arrived}
	result, err := g.runPlain(ctx, p, call, measured)
	g.recordEnd(p, call.Arrived, measured.timing, result, err)
	return result, err
}

func (g *Gateway) recordEnd(p *Principal, arrived time.Time, t Timing, result Result, err error) {
	t.Total = time.Since(arrived)
	g.metrics.attainment.Record(p.Organisation.Name, p.Profile, t, result.Ran, err)
}

// recordOutput updates the output times when output arrives.
func (t *Timing) recordOutput(arrived time.Time) {
	t.LastToken = time.Since(arrived)
	if t.FirstToken == 0 {
		t.FirstToken = t.LastToken
	}
}

// timingSink is a PlainSink that records when the response of a plain service begins.
type timingSink struct {
	PlainSink
	arrived time.Time
	timing  Timing
}

// Head implements PlainSink.
func (s *timingSink) Head(status int, headers []*wirepb.Header) error {
	s.timing.recordOutput(s.arrived)
	return s.PlainSink.Head(status, headers)
}
