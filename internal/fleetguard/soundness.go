package fleetguard

import (
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

const (
	// settleTime is how long a server must not have ended after an answer, so that the answer counts as sound.
	settleTime = 500 * time.Millisecond
	// maxUnsettled bounds the answers that wait for that. Above it, the oldest are dropped.
	maxUnsettled = 4096
	// maxSoundFeatures bounds each of the two generations of features that are known to be sound.
	maxSoundFeatures = 8192
)

// soundness records when features were last known to be sound. When the newer generation is full it replaces the older one, so
// that features which are requested stay.
type soundness struct{ newer, older map[Feature]time.Duration }

func newSoundness() soundness { return soundness{newer: make(map[Feature]time.Duration)} }

// at returns when f was last known to be sound, and whether it ever was.
func (s *soundness) at(f Feature) (time.Duration, bool) {
	if at, ok := s.newer[f]; ok {
		return at, true
	}
	at, ok := s.older[f]
	return at, ok
}

func (s *soundness) set(f Feature, at time.Duration) {
	if last, ok := s.at(f); ok && last >= at {
		return
	}
	if _, ok := s.newer[f]; !ok {
		f = Feature{strings.Clone(f.Model), strings.Clone(f.Part)}
		if len(s.newer) >= maxSoundFeatures {
			s.newer, s.older = make(map[Feature]time.Duration), s.newer
		}
	}
	s.newer[f] = at
}

// unsettled is an answer that counts as sound unless its server ends soon.
type unsettled struct {
	server   serversigns.Server
	exposure Exposure
	at       time.Duration
}

// Answered records that a server answered a request at a time: completely, with a length or chunks, or for so long that it did not
// end as it began.
func (g *Guard) Answered(server serversigns.Server, e Exposure, now time.Duration) {
	g.settle(now)
	if len(e.Parts) == 0 {
		return
	}
	if len(g.unsettled) >= maxUnsettled {
		g.unsettled = g.unsettled[1:]
	}
	g.unsettled = append(g.unsettled, unsettled{server, e, now})
}

// settle counts the answers as sound whose servers have not ended within settleTime.
func (g *Guard) settle(now time.Duration) {
	n := 0
	for n < len(g.unsettled) && now-g.unsettled[n].at >= settleTime {
		u := &g.unsettled[n]
		n++
		if end := g.byServer[u.server]; end != nil && end.at <= u.at+settleTime {
			continue
		}
		u.exposure.features(func(f Feature) { g.sound.set(f, u.at) })
	}
	g.unsettled = g.unsettled[n:]
}
