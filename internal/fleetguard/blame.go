package fleetguard

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// momentInterval is the least time between two ends that count as different moments. Servers that are lost together, with
	// their data centre for example, end within less.
	momentInterval = 400 * time.Millisecond
	// exchangeTime is the time within which gateways tell each other of the requests that an end broke off, and of the soundness of
	// their parts. Younger ends do not count.
	exchangeTime = 600 * time.Millisecond
	// suspectEnds is the number of ends from which on a feature that was never sound is a suspect.
	suspectEnds = 2
	// minWeight is the least weight of what speaks against a feature that is refused.
	minWeight = 6.5
	// soundTime is the time within which answers that begin after an end are known to be sound at all gateways, with a second to begin.
	soundTime = 2800 * time.Millisecond
	// clearFactor is the factor by which more must speak against features than against others that account for the same ends.
	clearFactor = 1.5
	// ambiguousTime is the time after the first end at which features are refused although others account for the same ends.
	ambiguousTime = 2500 * time.Millisecond
)

// evidence counts what speaks against a feature: ends, sessions of the requests that these broke off, and moments.
type evidence struct{ ends, sessions, moments int }

var (
	// newEvidence is what suffices against a feature that was never sound: any of these.
	newEvidence = []evidence{{3, 3, 2}, {4, 2, 3}}
	// soundEvidence is what it takes against a feature that was sound before.
	soundEvidence = evidence{4, 3, 4}
)

func (e evidence) reaches(least evidence) bool {
	return e.ends >= least.ends && e.sessions >= least.sessions && e.moments >= least.moments
}

// tally is what speaks against a feature.
type tally struct {
	feature   Feature
	ends      []*end // oldest first
	exposures []*Exposure
	wasSound  bool // before these ends, also for another model
	surprise  float64
}

// weight is how much speaks against the feature. A common one is in requests at most servers that end, whatever the cause is.
func (t *tally) weight() float64 { return float64(len(t.ends)) * t.surprise }

func (t *tally) add(e *end, x *Exposure) {
	if len(t.ends) == 0 || t.ends[len(t.ends)-1] != e {
		t.ends = append(t.ends, e)
	}
	t.exposures = append(t.exposures, x)
}

// sessions returns the number of different sessions of the requests.
func (t *tally) sessions() int {
	seen := make(map[string]bool)
	for _, x := range t.exposures {
		seen[x.Session] = true
	}
	return len(seen)
}

// moments returns the number of ends that are at least momentInterval apart.
func moments(ends []*end) int {
	n := 0
	var last time.Duration
	for _, e := range ends {
		if n == 0 || e.at-last >= momentInterval {
			n++
			last = e.at
		}
	}
	return n
}

// enough reports whether the feature may be refused. One that was sound before may have been in requests at servers that ended by
// another cause, and then answers show within soundTime that it still is.
func (t *tally) enough(now time.Duration) bool {
	if len(t.ends) <= suspectEnds || t.weight() < minWeight {
		return false
	}
	found := evidence{len(t.ends), t.sessions(), moments(t.ends)}
	if t.wasSound {
		return found.reaches(soundEvidence) && now-t.ends[0].at >= soundTime
	}
	return slices.ContainsFunc(newEvidence, found.reaches)
}

// sameEnds reports whether two features account for the same ends.
func (t *tally) sameEnds(other *tally) bool { return slices.Equal(t.ends, other.ends) }

// alwaysWith reports whether each request with the feature has the other one, too.
func (t *tally) alwaysWith(other *tally) bool {
	return !slices.ContainsFunc(t.exposures, func(x *Exposure) bool { return !other.feature.in(x) })
}

// tallies returns what speaks against each feature at the given ends, the most weight first. An end that is accounted for speaks
// only against features of which the one to blame is a special case.
func (g *Guard) tallies(ends []*end) []*tally {
	byFeature := make(map[Feature]*tally)
	for _, e := range ends {
		blamed := g.blamedFor(e)
		for i := range e.exposures {
			x := &e.exposures[i]
			x.features(func(f Feature) {
				at, wasSound := g.sound.at(f)
				if wasSound && at >= e.at || !f.mayReplace(blamed) {
					return
				}
				if byFeature[f] == nil {
					_, soundElsewhere := g.sound.at(Feature{"", f.Part})
					byFeature[f] = &tally{feature: f, wasSound: wasSound || soundElsewhere, surprise: g.sound.surprise(f)}
				}
				byFeature[f].add(e, x)
			})
		}
	}
	list := make([]*tally, 0, len(byFeature))
	for _, t := range byFeature {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(len(b.ends), len(a.ends)),
			strings.Compare(a.feature.Part, b.feature.Part), strings.Compare(a.feature.Model, b.feature.Model))
	})
	return list
}

// blame refuses the features against which most speaks, then those against which most speaks at the other ends, and so on, and sets
// the suspects.
func (g *Guard) blame(now time.Duration) {
	remaining := slices.DeleteFunc(slices.Clone(g.ends), func(e *end) bool { return now-e.at < exchangeTime })
	for {
		list := g.tallies(remaining)
		first := slices.IndexFunc(list, func(t *tally) bool { return t.enough(now) })
		if first < 0 {
			break
		}
		top := list[first]
		for _, features := range culprits(list, top, now) {
			g.refuse(features, top, now)
		}
		remaining = slices.DeleteFunc(remaining, func(e *end) bool { return slices.Contains(top.ends, e) })
	}
	g.suspects = make(map[Feature]bool)
	for _, t := range g.tallies(slices.DeleteFunc(slices.Clone(g.ends), g.explained)) {
		if len(t.ends) >= suspectEnds && !t.wasSound {
			g.suspects[t.feature] = true
		}
	}
}

// culprits returns the sets of features that may account for the ends of top, each to be refused together. It returns none for a
// time while different requests could be to blame.
func culprits(list []*tally, top *tally, now time.Duration) [][]Feature {
	var sets [][]Feature
	for _, t := range list {
		if !t.sameEnds(top) || !t.enough(now) || t.weight()*clearFactor <= top.weight() {
			continue
		}
		var set []Feature
		for _, other := range list {
			if other.sameEnds(top) && other.enough(now) && t.alwaysWith(other) {
				set = append(set, other.feature)
			}
		}
		if !slices.ContainsFunc(sets, func(s []Feature) bool { return slices.Equal(s, set) }) {
			sets = append(sets, set)
		}
	}
	// A set that is a part of another one would refuse requests for which the other one would do.
	sets = slices.DeleteFunc(slices.Clone(sets), func(s []Feature) bool {
		return slices.ContainsFunc(sets, func(other []Feature) bool { return len(other) > len(s) && containsAll(other, s) })
	})
	if len(sets) > 1 && now-top.ends[0].at < ambiguousTime {
		return nil
	}
	return sets
}

func containsAll(set, subset []Feature) bool {
	return !slices.ContainsFunc(subset, func(f Feature) bool { return !slices.Contains(set, f) })
}

// explained reports whether a request that is refused now accounts for an end.
func (g *Guard) explained(e *end) bool {
	return slices.ContainsFunc(g.refusals, func(r *Refusal) bool { return r.explains(e) })
}
