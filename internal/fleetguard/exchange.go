package fleetguard

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

const (
	// maxShared bounds the features whose soundness is shared.
	maxShared = 4096
	// sharersAtOnce is the number of gateways that share the soundness of a feature at the same time. The next ones follow after
	// sharePause if it is not known by then.
	sharersAtOnce = 8
	sharePause    = 300 * time.Millisecond
	// maxSharePauses bounds the pauses that a gateway waits for others.
	maxSharePauses = 5
	// shareInterval is the least time by which a feature must have been sound later than is known, to be shared again.
	shareInterval = time.Second
	// shareTime is how long after an end the soundness of features that it concerns is shared.
	shareTime = 30 * time.Second
	// maxReportedEnds bounds the ends in one report, so that it fits into an update between gateways.
	maxReportedEnds = 24
)

// sharedSoundness is what all gateways know of the soundness of a feature.
type sharedSoundness struct {
	at     time.Duration
	known  bool          // at is set
	needed time.Duration // since when this gateway knows more
	change
}

// Report is what one Guard tells another one. Times are readings of the sender's clock.
type Report struct {
	Ends     []EndReport
	Sound    []SoundReport
	Refusals []Refusal
}

// EndReport is the end of a server.
type EndReport struct {
	Server    serversigns.Server
	At        time.Duration
	Exposures []Exposure
}

// SoundReport says when a feature was last sound.
type SoundReport struct {
	Feature Feature
	At      time.Duration
}

// Empty reports whether there is nothing in the report.
func (r *Report) Empty() bool { return len(r.Ends)+len(r.Sound)+len(r.Refusals) == 0 }

// share shares the soundness of features that others may blame for ends.
func (g *Guard) share(now time.Duration) {
	for _, e := range g.ends {
		if now-e.at > shareTime || len(g.blamedFor(e)) > 0 {
			continue
		}
		for i := range e.exposures {
			e.exposures[i].features(func(f Feature) {
				at, ok := g.sound.at(f)
				if !ok {
					return
				}
				s := g.shared[f]
				if s != nil && s.known && (s.at >= e.at || at < e.at && at < s.at+shareInterval) {
					return // what is known acquits of this end, or this gateway does not know much more
				}
				if s == nil {
					s = &sharedSoundness{}
					g.shared[f] = s
				}
				if s.needed == 0 {
					s.needed = now
				}
				pauses := min(g.opts.Rank(f.Model+"\x00"+f.Part)/sharersAtOnce, maxSharePauses)
				if now-s.needed >= time.Duration(pauses)*sharePause {
					g.setShared(f, at, true)
				}
			})
		}
	}
	if len(g.shared) > maxShared {
		g.dropUnneededShared()
	}
}

// blamedFor returns the features that account for an end by themselves.
func (g *Guard) blamedFor(e *end) []Feature {
	var blamed []Feature
	for _, r := range g.refusals {
		if len(r.Features) == 1 && r.explains(e) {
			blamed = append(blamed, r.Features[0])
		}
	}
	return blamed
}

// setShared records that all gateways know, or get to know from this one, that a feature was sound.
func (g *Guard) setShared(f Feature, at time.Duration, own bool) {
	s := g.shared[f]
	if s == nil {
		s = &sharedSoundness{}
		g.shared[f] = s
	}
	if s.known && s.at >= at {
		return
	}
	s.at, s.known, s.needed, s.own = at, true, 0, own
	g.changed(&s.change)
}

// dropUnneededShared forgets shared features that are in no request which an end broke off.
func (g *Guard) dropUnneededShared() {
	needed := make(map[Feature]bool)
	for _, e := range g.ends {
		for i := range e.exposures {
			e.exposures[i].features(func(f Feature) { needed[f] = true })
		}
	}
	for f := range g.shared {
		if !needed[f] {
			delete(g.shared, f)
		}
	}
}

// Report returns what has changed after a position, and the position up to which it reports. Items that came from other gateways are
// left out unless relay is set. If there are more than maxReportedEnds ends, the rest follows with the next report, but all that
// acquits of them is in this one.
func (g *Guard) Report(after uint64, relay bool) (Report, uint64) {
	var r Report
	if g.seq <= after {
		return r, after
	}
	due := func(c change) bool { return c.seq > after && (c.own || relay) }
	for f, s := range g.shared {
		if due(s.change) {
			r.Sound = append(r.Sound, SoundReport{f, s.at})
		}
	}
	for _, refusal := range g.refusals {
		if due(refusal.change) {
			r.Refusals = append(r.Refusals, refusal.copy())
		}
	}
	ends := slices.DeleteFunc(slices.Clone(g.ends), func(e *end) bool { return !due(e.change) })
	slices.SortFunc(ends, func(a, b *end) int { return cmp.Compare(a.seq, b.seq) })
	until := g.seq
	if len(ends) > maxReportedEnds {
		ends = ends[:maxReportedEnds]
		until = ends[maxReportedEnds-1].seq
	}
	for _, e := range ends {
		r.Ends = append(r.Ends, EndReport{e.server, e.at, slices.Clone(e.exposures)})
	}
	return r, until
}

// Receive merges the report of another gateway. Its times are readings of this gateway's clock.
func (g *Guard) Receive(r Report, now time.Duration) {
	changed := false
	for _, s := range r.Sound {
		at := min(s.At, now)
		f := Feature{bounded(s.Feature.Model), bounded(s.Feature.Part)}
		if known := g.shared[f]; known != nil && known.known && known.at >= at || len(g.shared) >= 2*maxShared {
			continue
		}
		g.sound.set(f, at, 0)
		g.setShared(f, at, false)
		changed = true
	}
	for _, e := range r.Ends {
		exposures := make([]Exposure, 0, min(len(e.Exposures), maxExposures))
		for _, x := range e.Exposures[:min(len(e.Exposures), maxExposures)] {
			exposures = append(exposures, NewExposure(x.RequestID, x.Model, append(slices.Clone(x.Parts), x.Session)))
		}
		server := serversigns.Server{ID: bounded(e.Server.ID), Born: e.Server.Born}
		if now-e.At <= endRetention {
			changed = g.addEnd(server, exposures, min(e.At, now), false) || changed
		}
	}
	for _, refusal := range r.Refusals {
		changed = g.receiveRefusal(refusal, now) || changed
	}
	if changed {
		g.updateSoon(now)
	}
}

// receiveRefusal merges a refusal and reports whether it is new or has changed.
func (g *Guard) receiveRefusal(r Refusal, now time.Duration) bool {
	received := r.copy()
	received.change, received.Refused, received.lastRefused = change{}, 0, 0
	received.Since, received.LastTrial = min(r.Since, now), min(r.LastTrial, now)
	received.FirstEnd, received.LastEnd = min(r.FirstEnd, now), min(r.LastEnd, now)
	received.Features = g.stillBlamed(&received)
	if len(received.Features) == 0 || len(received.Features) > 2*maxParts {
		return false
	}
	for _, known := range g.refusals {
		if containsAll(known.Features, received.Features) && containsAll(received.Features, known.Features) {
			return g.mergeRefusal(known, &received)
		}
	}
	if !g.insert(&received) {
		return false
	}
	g.event(RefusalBegan, "received from another gateway", &received)
	return true
}

// mergeRefusal updates a refusal by what another gateway knows of it, and reports whether that is more.
func (g *Guard) mergeRefusal(known, received *Refusal) bool {
	before := known.copy()
	known.Ends, known.Moments = max(known.Ends, received.Ends), max(known.Moments, received.Moments)
	known.Trials, known.FoundedTrials = max(known.Trials, received.Trials), max(known.FoundedTrials, received.FoundedTrials)
	known.LastTrial = max(known.LastTrial, received.LastTrial)
	if known.Ends == before.Ends && known.Moments == before.Moments && known.Trials == before.Trials {
		return false
	}
	known.LastEnd = max(known.LastEnd, received.LastEnd)
	g.changed(&known.change)
	return true
}
