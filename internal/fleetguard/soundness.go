package fleetguard

import (
	"math"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

const (
	// BeginTime is how long after the begin of an answer its request may make the server end.
	BeginTime = time.Second
	// settleTime is how long after that an end of the server may become known.
	settleTime = 500 * time.Millisecond
	// assumedAnswers are sound answers that are assumed before any is known, one of them to a request with any given feature.
	assumedAnswers = 10
	// maxUnsettled bounds the answers that wait for that. Above it, the oldest are dropped.
	maxUnsettled = 4096
	// maxSoundFeatures bounds each of the two generations of features that are known to be sound.
	maxSoundFeatures = 8192
)

// soundness records when features were last known to be sound, and how common they are. When the newer generation is full it replaces
// the older one, so that features which are requested stay.
type soundness struct {
	newer, older map[Feature]soundFeature
	answers      float64 // sound answers that were counted
}

type soundFeature struct {
	at      time.Duration // when it was last known to be sound
	answers float64       // sound answers to requests with it that were counted
}

func newSoundness() soundness { return soundness{newer: make(map[Feature]soundFeature)} }

func (s *soundness) get(f Feature) (soundFeature, bool) {
	if known, ok := s.newer[f]; ok {
		return known, true
	}
	known, ok := s.older[f]
	return known, ok
}

// at returns when f was last known to be sound, and whether it ever was.
func (s *soundness) at(f Feature) (time.Duration, bool) {
	known, ok := s.get(f)
	return known.at, ok
}

// set records that f was sound, and adds to the number of its answers.
func (s *soundness) set(f Feature, at time.Duration, answers float64) {
	known, ok := s.get(f)
	if ok && known.at >= at && answers == 0 {
		return
	}
	if _, ok := s.newer[f]; !ok {
		f = Feature{strings.Clone(f.Model), strings.Clone(f.Part)}
		if len(s.newer) >= maxSoundFeatures {
			s.newer, s.older = make(map[Feature]soundFeature), s.newer
		}
	}
	if ok {
		at = max(at, known.at)
	}
	s.newer[f] = soundFeature{at, known.answers + answers}
}

// surprise says how little is expected, from the sound answers, that a request has f: the logarithm of the inverse of its share.
func (s *soundness) surprise(f Feature) float64 {
	known, _ := s.get(f)
	return math.Log((s.answers + assumedAnswers) / (known.answers + 1))
}

// unsettled is an answer that counts as sound unless its server ended as it began.
type unsettled struct {
	server   serversigns.Server
	exposure Exposure
	begun    time.Duration
}

// Answered records that a server answered a request: completely, with a length or chunks, or for longer than BeginTime. The answer
// had begun at the given time.
func (g *Guard) Answered(server serversigns.Server, e Exposure, begun, now time.Duration) {
	g.settle(now)
	if len(e.Parts) == 0 {
		return
	}
	if len(g.unsettled) >= maxUnsettled {
		g.unsettled = g.unsettled[1:]
	}
	g.unsettled = append(g.unsettled, unsettled{server, e, begun})
}

// settle counts the answers as sound whose servers did not end as they began.
func (g *Guard) settle(now time.Duration) {
	n := 0
	for n < len(g.unsettled) && now-g.unsettled[n].begun >= BeginTime+settleTime {
		u := &g.unsettled[n]
		n++
		if end := g.byServer[u.server]; end != nil && end.at >= u.begun && end.at < u.begun+BeginTime {
			continue
		}
		g.sound.answers++
		u.exposure.features(func(f Feature) { g.sound.set(f, u.begun, 1) })
	}
	g.unsettled = g.unsettled[n:]
}
