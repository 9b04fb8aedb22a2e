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
	// maxAttainmentOrgs bounds the organisations that are counted by name. The rest share one name.
	maxAttainmentOrgs = 1024
	otherOrgs         = "(other)"
	openOrg           = "(open)" // requests of open services, which have no organisation
)

// Timing is what the gateway saw of one request. Durations count from its arrival at the gateway.
type Timing struct {
	FirstToken time.Duration // zero if no output came
	LastToken  time.Duration
	Total      time.Duration
	Tokens     int64
}

// Served counts the ended requests of one organisation and class. A request that misses several targets counts
// once, at the first of FirstToken, BetweenTokens and Deadline that it missed.
type Served struct {
	Met           int64 `json:"met"`
	FirstToken    int64 `json:"missed_first_token"`
	BetweenTokens int64 `json:"missed_between_tokens"`
	Deadline      int64 `json:"missed_deadline"`
	Refused       int64 `json:"refused"`      // not run, although the request was valid and within the rate
	Failed        int64 `json:"failed"`       // ended without a whole answer after it may have run
	RateLimited   int64 `json:"rate_limited"` // above the organisation's rate; not in the share
}

// Share returns the part of the requests within the rate that met their targets, and false if there were none.
func (s Served) Share() (float64, bool) {
	all := s.Met + s.FirstToken + s.BetweenTokens + s.Deadline + s.Refused + s.Failed
	if all == 0 {
		return 0, false
	}
	return float64(s.Met) / float64(all), true
}

func (s *Served) add(o Served) {
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
	counts map[string]map[config.Class]*Served
}

// NewAttainment returns counters at zero.
func NewAttainment() *Attainment {
	return &Attainment{counts: make(map[string]map[config.Class]*Served)}
}

// Note counts a request that ended with err. Requests that are the caller's fault or that the caller cancelled
// are not counted.
func (a *Attainment) Note(organisation string, p config.Profile, t Timing, ran errkind.Ran, err error) {
	if organisation == "" {
		organisation = openOrg
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if counter := a.counter(organisation, p.Class).of(p, t, ran, err); counter != nil {
		*counter++
	}
}

func (a *Attainment) counter(organisation string, class config.Class) *Served {
	classes, ok := a.counts[organisation]
	if !ok && len(a.counts) >= maxAttainmentOrgs {
		organisation = otherOrgs
		classes, ok = a.counts[organisation]
	}
	if !ok {
		classes = make(map[config.Class]*Served)
		a.counts[organisation] = classes
	}
	if classes[class] == nil {
		classes[class] = new(Served)
	}
	return classes[class]
}

// of returns the counter for a request, or nil if it is not counted.
func (s *Served) of(p config.Profile, t Timing, ran errkind.Ran, err error) *int64 {
	kind := errkind.Of(err)
	switch {
	case err == nil:
		return s.whole(p, t)
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

// whole judges a whole answer. The time between tokens is the mean after the first one.
func (s *Served) whole(p config.Profile, t Timing) *int64 {
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
	Share         *float64                           `json:"share"` // null before the first request
	Worst         string                             `json:"worst_organisation"`
	WorstShare    *float64                           `json:"worst_share"`
	Organisations map[string]map[config.Class]Served `json:"organisations"`
}

// Report returns the counters and the organisation with the least share.
func (a *Attainment) Report() AttainmentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := AttainmentReport{Organisations: make(map[string]map[config.Class]Served, len(a.counts))}
	var all Served
	for _, name := range slices.Sorted(maps.Keys(a.counts)) {
		var sum Served
		report.Organisations[name] = make(map[config.Class]Served)
		for class, s := range a.counts[name] {
			report.Organisations[name][class] = *s
			sum.add(*s)
		}
		all.add(sum)
		if share, ok := sum.Share(); ok && (report.WorstShare == nil || share < *report.WorstShare) {
			report.Worst, report.WorstShare = name, &share
		}
	}
	if share, ok := all.Share(); ok {
		report.Share = &share
	}
	return report
}

func (a *Attainment) expvar() expvar.Func { return func() any { return a.Report() } }

// RunModel runs a model call, passes its text to sink and counts whether it met its targets.
func (g *Gateway) RunModel(ctx context.Context, p *Principal, call ModelCall, sink TextSink) (Result, error) {
	var t Timing
	result, err := g.runModel(ctx, p, call, func(text string) error {
		t.seen(call.Arrived)
		return sink(text)
	})
	t.Tokens = result.OutputTokens
	g.noteEnd(p, call.Arrived, t, result, err)
	return result, err
}

// RunPlain runs a call of a plain service, passes its response to sink and counts whether it met its targets.
func (g *Gateway) RunPlain(ctx context.Context, p *Principal, call PlainCall, sink PlainSink) (Result, error) {
	timed := &timedSink{PlainSink: sink, arrived: call.Arrived}
	result, err := g.runPlain(ctx, p, call, timed)
	g.noteEnd(p, call.Arrived, timed.timing, result, err)
	return result, err
}

func (g *Gateway) noteEnd(p *Principal, arrived time.Time, t Timing, result Result, err error) {
	t.Total = time.Since(arrived)
	g.metrics.attainment.Note(p.Organisation.Name, p.Profile, t, result.Ran, err)
}

// seen notes that output arrived.
func (t *Timing) seen(arrived time.Time) {
	t.LastToken = time.Since(arrived)
	if t.FirstToken == 0 {
		t.FirstToken = t.LastToken
	}
}

// timedSink notes when the response of a plain service begins.
type timedSink struct {
	PlainSink
	arrived time.Time
	timing  Timing
}

// Head implements PlainSink.
func (s *timedSink) Head(status int, headers []*wirepb.Header) error {
	s.timing.seen(s.arrived)
	return s.PlainSink.Head(status, headers)
}
