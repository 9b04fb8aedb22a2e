// Package fleetguard decides which prompts are refused because servers end when they begin to answer them. Use a Guard in each
// gateway: it gets the ends of servers with the requests that they broke off and the answers that were sound, and exchanges what
// matters with the Guards of the other gateways. It has no side effects, and times are passed in as readings of one clock.
//
// A feature of a request is a part of its prompt, for one model or for all. An end speaks against a feature if a request with it broke
// off and no answer to a request with it was sound since. The feature against which most speaks is refused, as soon as there are
// enough ends, in enough sessions, at enough different moments; then the one against which most speaks at the other ends.
// Features that no request has had one without the other are refused only together.
package fleetguard

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

const (
	// maxEnds bounds the ends of servers that are kept. The oldest are dropped.
	maxEnds = 256
	// maxExposures bounds the requests that are kept for each end.
	maxExposures = 32
	// endRetention is how long the end of a server is kept.
	endRetention = time.Hour
	// updateInterval is the least time between two updates that reports cause. Ends come in bursts.
	updateInterval = 40 * time.Millisecond
	// quietInterval is the time between two updates when nothing has changed for long.
	quietInterval = 5 * time.Second
)

// Options configure a Guard.
type Options struct {
	// Rank returns this gateway's position, from zero, in an order of all gateways that depends on key.
	Rank func(key string) int
}

// end is the end of one incarnation of a server.
type end struct {
	server    serversigns.Server
	at        time.Duration
	exposures []Exposure // requests that it broke off
	change
}

// change says when something changed last, as a position in the order of all changes, and whether this gateway saw it itself.
type change struct {
	seq uint64
	own bool
}

// Guard is the state of one gateway. It is not safe for concurrent use.
type Guard struct {
	opts      Options
	ends      []*end // oldest first
	byServer  map[serversigns.Server]*end
	sound     soundness
	unsettled []unsettled
	shared    map[Feature]*sharedSoundness
	refusals  []*Refusal
	suspects  map[Feature]bool // features that no second server is exposed to for the same request
	seq       uint64
	updatedAt time.Duration
	changedAt time.Duration // when an end or a report brought something new
	events    []Event
}

// New returns a Guard that refuses nothing.
func New(opts Options) *Guard {
	return &Guard{
		opts: opts, byServer: make(map[serversigns.Server]*end), sound: newSoundness(), shared: make(map[Feature]*sharedSoundness),
	}
}

// Ended records that a server ended at a time, and a request that it broke off. Several gateways may report the same end.
func (g *Guard) Ended(server serversigns.Server, e Exposure, at, now time.Duration) {
	if g.addEnd(server, []Exposure{e}, at, true) {
		g.updateSoon(now)
	}
}

// addEnd merges the end of a server and reports whether anything is new.
func (g *Guard) addEnd(server serversigns.Server, exposures []Exposure, at time.Duration, own bool) bool {
	known := g.byServer[server]
	if known == nil {
		known = &end{server: server, at: at}
		g.byServer[server] = known
		g.ends = append(g.ends, known)
		if len(g.ends) > maxEnds {
			delete(g.byServer, g.ends[0].server)
			g.ends = g.ends[1:]
		}
	}
	changed := false
	for _, e := range exposures {
		same := func(other Exposure) bool { return other.RequestID == e.RequestID }
		if len(e.Parts) > 0 && len(known.exposures) < maxExposures && !slices.ContainsFunc(known.exposures, same) {
			known.exposures = append(known.exposures, e.clone())
			changed = true
		}
	}
	if changed {
		known.at = min(known.at, at)
		known.own = known.own || own
		g.changed(&known.change)
	}
	slices.SortStableFunc(g.ends, func(a, b *end) int { return cmp.Compare(a.at, b.at) })
	return changed
}

func (g *Guard) changed(c *change) {
	g.seq++
	c.seq = g.seq
}

// Tick does what is due. Call it several times a second.
func (g *Guard) Tick(now time.Duration) {
	g.settle(now)
	if len(g.ends)+len(g.refusals) == 0 || now-g.changedAt > shareTime && now-g.updatedAt < quietInterval {
		return
	}
	g.ends = slices.DeleteFunc(g.ends, func(e *end) bool {
		old := now-e.at > endRetention
		if old {
			delete(g.byServer, e.server)
		}
		return old
	})
	g.update(now)
}

// updateSoon updates now, or with the next Tick if the last update was a moment ago.
func (g *Guard) updateSoon(now time.Duration) {
	g.changedAt = now
	if now-g.updatedAt >= updateInterval {
		g.update(now)
	}
}

// update brings refusals and what is to be shared in line with the ends and the sound features.
func (g *Guard) update(now time.Duration) {
	g.updatedAt = now
	g.share(now)
	g.reviewRefusals(now)
	g.blame(now)
}
