package fleetguard

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxRefusals bounds the refusals that are kept. The oldest are dropped.
	maxRefusals = 64
	// refusalRetention is how long a refusal is kept that has refused no request.
	refusalRetention = 24 * time.Hour
	// maxNamed bounds the servers and the requests that a refusal names.
	maxNamed = 8
	// A refusal is well-founded with this many ends at this many moments, and after two trials if the features were sound before.
	foundedEnds, foundedMoments = 5, 3
	// firstTrialDelay and secondTrialDelay are the times after the last end, or the last trial, at which one request is let through
	// to see whether a refusal that is not well-founded is right.
	firstTrialDelay, secondTrialDelay = 5 * time.Second, 20 * time.Second
	// foundedTrialDelay is that time for the first trial of a well-founded refusal. It doubles with each trial.
	foundedTrialDelay = 10 * time.Minute
	// maxFoundedTrials is the number of such trials. After them only an operator ends the refusal.
	maxFoundedTrials = 3
	// minRetryAfter and maxRetryAfter bound the time after which callers may return.
	minRetryAfter, maxRetryAfter = time.Second, time.Minute
)

// Refusal says that requests with all of its features are refused.
type Refusal struct {
	Features      []Feature
	Since         time.Duration
	FirstEnd      time.Duration // of the servers that it accounts for
	LastEnd       time.Duration
	Ends, Moments int           // how many servers, and at how many moments
	SoundBefore   bool          // answers to requests with the features were sound before
	Servers       []string      // IDs of some of them
	Requests      []string      // IDs of some requests that they broke off
	Trials        int           // requests that were let through
	FoundedTrials int           // of them, since the refusal is well-founded
	LastTrial     time.Duration // zero if there was none
	Refused       int           // requests that this gateway refused
	lastRefused   time.Duration
	change
}

// key identifies the refusal at all gateways.
func (r *Refusal) key() string {
	var b strings.Builder
	for _, f := range r.Features {
		b.WriteString(f.Model + "\x00" + f.Part + "\x00")
	}
	return b.String()
}

func (r *Refusal) explains(e *end) bool {
	return slices.ContainsFunc(e.exposures, func(x Exposure) bool { return x.hasAll(r.Features) })
}

func (r *Refusal) founded() bool {
	return r.Ends >= foundedEnds && r.Moments >= foundedMoments && (!r.SoundBefore || r.Trials >= 2)
}

// nextTrial returns when one request may be let through, and whether that is ever.
func (r *Refusal) nextTrial() (time.Duration, bool) {
	last := max(r.LastEnd, r.LastTrial, r.Since)
	switch {
	case r.founded():
		return last + foundedTrialDelay<<r.FoundedTrials, r.FoundedTrials < maxFoundedTrials
	case r.Trials == 0:
		return last + firstTrialDelay, true
	}
	return last + secondTrialDelay, true
}

// EventKind is a kind of Event.
type EventKind string

// The kinds of events.
const (
	RefusalBegan   EventKind = "began"
	RefusalChanged EventKind = "changed" // it has fewer features
	RefusalEnded   EventKind = "ended"
	TrialBegan     EventKind = "trial"
)

// Event is a change of a refusal.
type Event struct {
	Kind    EventKind
	Reason  string
	Refusal Refusal
}

// TakeEvents returns the changes of refusals since the last call.
func (g *Guard) TakeEvents() []Event {
	events := g.events
	g.events = nil
	return events
}

func (g *Guard) event(kind EventKind, reason string, r *Refusal) {
	g.events = append(g.events, Event{kind, reason, r.copy()})
}

func (r *Refusal) copy() Refusal {
	c := *r
	c.Features, c.Servers, c.Requests = slices.Clone(r.Features), slices.Clone(r.Servers), slices.Clone(r.Requests)
	return c
}

// Refusals returns all refusals, the oldest first.
func (g *Guard) Refusals() []Refusal {
	list := make([]Refusal, 0, len(g.refusals))
	for _, r := range g.refusals {
		list = append(list, r.copy())
	}
	return list
}

// refuse adds a refusal because of what speaks against its features.
func (g *Guard) refuse(features []Feature, t *tally, now time.Duration) {
	r := &Refusal{Features: features, Since: now, SoundBefore: t.wasSound}
	if g.insert(r) {
		// All gateways come to the same result. A few tell it to those that missed an end or start later.
		r.own = g.opts.Rank(r.key()) < sharersAtOnce
		r.count(t.ends)
		g.event(RefusalBegan, "servers ended", r)
	}
}

// insert adds a refusal unless another one covers it, and removes those that it covers.
func (g *Guard) insert(r *Refusal) bool {
	slices.SortFunc(r.Features, func(a, b Feature) int { return strings.Compare(a.String(), b.String()) })
	for _, other := range g.refusals {
		if coverAll(other.Features, r.Features) {
			return false
		}
	}
	g.refusals = slices.DeleteFunc(g.refusals, func(other *Refusal) bool { return coverAll(r.Features, other.Features) })
	if len(g.refusals) >= maxRefusals {
		g.event(RefusalEnded, "too many refusals", g.refusals[0])
		g.refusals = g.refusals[1:]
	}
	g.refusals = append(g.refusals, r)
	g.changed(&r.change)
	return true
}

// count updates what the refusal accounts for.
func (r *Refusal) count(ends []*end) {
	n, m := len(ends), moments(ends)
	if n <= r.Ends && m <= r.Moments {
		return
	}
	if r.Ends == 0 {
		r.FirstEnd = ends[0].at
	}
	r.Ends, r.Moments = max(r.Ends, n), max(r.Moments, m)
	r.LastEnd = max(r.LastEnd, ends[len(ends)-1].at)
	for _, e := range ends {
		for _, x := range e.exposures {
			if x.hasAll(r.Features) {
				r.Servers = addName(r.Servers, e.server.ID)
				r.Requests = addName(r.Requests, x.RequestID)
			}
		}
	}
}

func addName(names []string, name string) []string {
	if len(names) >= maxNamed || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// reviewRefusals ends the refusals that are no longer needed, takes features that have been sound out of the others, and counts the
// ends that they account for.
func (g *Guard) reviewRefusals(now time.Duration) {
	for _, r := range slices.Clone(g.refusals) {
		before := r.copy()
		if reason := g.review(r, now); reason != "" {
			g.refusals = slices.DeleteFunc(g.refusals, func(other *Refusal) bool { return other == r })
			g.event(RefusalEnded, reason, &before)
		}
	}
}

// review reviews one refusal and returns the reason why it ends, or an empty text.
func (g *Guard) review(r *Refusal, now time.Duration) string {
	features := len(r.Features)
	r.Features = g.stillBlamed(r)
	switch {
	case len(r.Features) == 0:
		return "an answer was sound, or an operator cleared it"
	case now-max(r.Since, r.LastEnd, r.lastRefused) > refusalRetention:
		return "no request was refused for long"
	case len(r.Features) < features:
		g.changed(&r.change)
		g.event(RefusalChanged, "an answer was sound", r)
	}
	ends := g.endsOf(r)
	r.count(ends)
	if len(ends) > 0 && !slices.ContainsFunc(ends, func(e *end) bool { return !g.explainedBetter(e, r) }) {
		return "other refusals account for its ends"
	}
	return ""
}

// endsOf returns the ends that a refusal accounts for.
func (g *Guard) endsOf(r *Refusal) []*end {
	var ends []*end
	for _, e := range g.ends {
		if r.explains(e) {
			ends = append(ends, e)
		}
	}
	return ends
}

// explainedBetter reports whether another refusal accounts for an end, and for enough ends for which r does not.
func (g *Guard) explainedBetter(e *end, r *Refusal) bool {
	return slices.ContainsFunc(g.refusals, func(other *Refusal) bool {
		if other == r || !other.explains(e) {
			return false
		}
		unexplained := slices.DeleteFunc(g.endsOf(other), r.explains)
		return len(unexplained) > suspectEnds
	})
}

// stillBlamed returns the features of a refusal without those that were sound after all its ends, and without those that were sound
// after some while others were not.
func (g *Guard) stillBlamed(r *Refusal) []Feature {
	var blamed, unsound []Feature
	for _, f := range r.Features {
		at, ok := g.sound.at(f)
		if !ok || at <= r.LastEnd {
			blamed = append(blamed, f)
		}
		if !ok || at < r.FirstEnd {
			unsound = append(unsound, f)
		}
	}
	if len(unsound) > 0 {
		return unsound
	}
	return blamed
}

// Verdict says what to do with a request.
type Verdict struct {
	Refused    bool
	Trial      bool          // the request is let through although it would be refused
	Features   []Feature     // of the refusal
	RetryAfter time.Duration // of a refused request
	// Suspect says that the request is not to be sent to a second server after a first one broke off.
	Suspect bool
}

// Refuses reports whether a request is refused.
func (g *Guard) Refuses(e Exposure) bool {
	return slices.ContainsFunc(g.refusals, func(r *Refusal) bool { return e.hasAll(r.Features) })
}

// Check returns the verdict on a request for which a server is to be chosen. It lets a trial through.
func (g *Guard) Check(e Exposure, now time.Duration) Verdict {
	for _, r := range g.refusals {
		if !e.hasAll(r.Features) {
			continue
		}
		next, ever := r.nextTrial()
		if ever && now >= next && g.opts.Rank(r.key()) == 0 {
			g.beginTrial(r, e, now)
			return Verdict{Trial: true, Suspect: true}
		}
		r.Refused++
		r.lastRefused = now
		wait := maxRetryAfter
		if ever {
			wait = min(max(next-now, minRetryAfter), maxRetryAfter)
		}
		return Verdict{Refused: true, Features: slices.Clone(r.Features), RetryAfter: wait}
	}
	if len(g.suspects) == 0 {
		return Verdict{}
	}
	suspect := false
	e.features(func(f Feature) { suspect = suspect || g.suspects[f] })
	return Verdict{Suspect: suspect}
}

func (g *Guard) beginTrial(r *Refusal, e Exposure, now time.Duration) {
	r.Trials++
	if r.founded() {
		r.FoundedTrials++
	}
	r.LastTrial, r.own, g.changedAt = now, true, now
	g.changed(&r.change)
	g.event(TrialBegan, e.RequestID, r)
}

// Clear ends the refusals with a part of a prompt, at all gateways, and acquits all requests that were broken off by the ends that
// these account for. It reports whether there were any.
func (g *Guard) Clear(part string, now time.Duration) bool {
	cleared := slices.DeleteFunc(slices.Clone(g.refusals), func(r *Refusal) bool {
		return !slices.ContainsFunc(r.Features, func(f Feature) bool { return f.Part == part })
	})
	for _, r := range cleared {
		for _, f := range r.Features {
			g.acquit(f, now)
		}
		for _, e := range g.endsOf(r) {
			for i := range e.exposures {
				e.exposures[i].features(func(f Feature) { g.acquit(f, now) })
			}
		}
	}
	g.update(now)
	return len(cleared) > 0
}

// acquit records, here and at the other gateways, that a feature is sound.
func (g *Guard) acquit(f Feature, at time.Duration) {
	g.sound.set(f, at, 0)
	g.setShared(f, at, true)
}
