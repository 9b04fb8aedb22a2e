// Package peers connects the gateways of a fleet with each other. Each gateway opens one stream to every other one and
// tells it, several times a second, what changed of its knowledge, its load and what it admitted.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// baseInterval and intervalPerPeer give the pause between two updates to a peer. The pause grows with the number
	// of peers, so that what a gateway sends grows more slowly than the square of the fleet.
	baseInterval    = 60 * time.Millisecond
	intervalPerPeer = 10 * time.Millisecond
	maxInterval     = 250 * time.Millisecond
	// quietInterval is the longest pause when nothing changed.
	quietInterval = 200 * time.Millisecond
	// heardFor is the age of the last update at which a peer no longer counts as heard: three of the longest intervals.
	// Until then it may spend the same tokens of an organisation's limit as this gateway.
	heardFor = 750 * time.Millisecond
	// sendTimeout bounds the writing of one update.
	sendTimeout = time.Second
	// redial is the pause before another try to reach a peer.
	redial = 300 * time.Millisecond
	// forgetAfter is the time without a word after which a peer that does not answer is no longer called, longer than
	// a restart of its host.
	forgetAfter = 30 * time.Second
	// differFor is the time for which a peer's knowledge differs before it gets every row. Gateways that start together
	// read the store themselves within that time, and news on their way arrive.
	differFor = 400 * time.Millisecond
	// resendAfter is the pause before a peer gets every row again.
	resendAfter = 2 * time.Second
	// pendingRows bounds the rows that wait for one peer. A peer that misses some gets everything again.
	pendingRows = 4096
)

// Source tells what this gateway sends.
type Source interface {
	// Rows returns every row that is known.
	Rows() []*wirepb.StoreRow
	// Knowledge returns a hash of what the rows say, which is equal at gateways that know the same, or zero.
	Knowledge() uint64
	// Loads returns what is under way here.
	Loads() []*wirepb.ReplicaLoad
	// Use returns what was admitted since the start.
	Use() []*wirepb.OrganisationUse
	// Demand returns what callers asked for since the start.
	Demand() []*wirepb.ModelDemand
	// StoreAway reports whether this gateway cannot read the store.
	StoreAway() bool
	// PlannerEpoch returns the epoch of the planner's lease if this gateway holds it, or zero.
	PlannerEpoch() int64
}

// Sink takes what another gateway sent. Use and demand are the growth since the previous update.
type Sink interface {
	Update(peer string, u *wirepb.PeerUpdate, use, demand map[string]float64)
	// Lost says that a peer is no longer heard.
	Lost(peer string)
}

// Options configure a Mesh.
type Options struct {
	Identity *wirepb.Identity
	Seeds    func() []string
	Pool     *transport.Pool
	Clock    bootclock.Clock
	Source   Source
	Sink     Sink
	Log      *slog.Logger
}

type peer struct {
	address     string
	name        string // empty until the peer introduced itself
	incarnation string
	heardAt     time.Duration // zero if never
	knownAt     time.Duration
	lost        bool
	planner     bool // it plans, by its last update
	storeAway   bool // it cannot read the store, by its last update
	left        bool // it stops, by its last update
	knowledge   uint64
	rows        *duty.Ring[*wirepb.StoreRow]
	use         map[string]float64
	demand      map[string]float64
	stop        context.CancelFunc
}

// Mesh keeps the streams to the other gateways.
type Mesh struct {
	opts Options

	mu    sync.Mutex
	peers map[string]*peer // by address
	ctx   context.Context
	wg    sync.WaitGroup
	leave bool
}

// New returns a mesh. Run starts it.
func New(opts Options) *Mesh { return &Mesh{opts: opts, peers: make(map[string]*peer)} }

// Run calls the seeds and every gateway that is learned of, until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	defer m.wg.Wait()
	for {
		m.Meet(m.opts.Seeds())
		m.sweep()
		if err := duty.Sleep(ctx, quietInterval); err != nil {
			return err
		}
	}
}

// Meet calls gateways at addresses that are not known yet.
func (m *Mesh) Meet(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil {
		return
	}
	for _, a := range addresses {
		if a == "" || a == m.opts.Identity.GetAddress() || m.peers[a] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		p := &peer{
			address: a, knownAt: m.opts.Clock(), rows: duty.NewRing[*wirepb.StoreRow](pendingRows), stop: cancel,
		}
		m.peers[a] = p
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			m.call(ctx, p)
		}()
	}
}

// sweep notices peers that are no longer heard, and forgets those that were not for long.
func (m *Mesh) sweep() {
	now := m.opts.Clock()
	seeds := m.opts.Seeds()
	var lost []*peer
	m.mu.Lock()
	for a, p := range m.peers {
		if p.name != "" && !p.lost && now-p.heardAt > heardFor {
			p.lost = true
			lost = append(lost, p)
		}
		if now-max(p.heardAt, p.knownAt) > forgetAfter && !slices.Contains(seeds, a) {
			p.stop()
			delete(m.peers, a)
		}
	}
	m.mu.Unlock()
	for _, p := range lost {
		m.opts.Log.Warn("peer lost", "peer", p.name, "address", p.address, "silence", now-p.heardAt)
		m.opts.Pool.Drop(p.address)
		m.opts.Sink.Lost(p.name)
	}
}

// Count returns the number of gateways that are heard and of those that are known, this one included in both. One that
// said that it stops is no longer known once it is silent: it leaves its part to the others.
func (m *Mesh) Count() (heard, known int) {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, known = 1, 1
	for _, p := range m.peers {
		isHeard := now-p.heardAt <= heardFor
		if p.name == "" || (p.left && !isHeard) {
			continue
		}
		known++
		if isHeard {
			heard++
		}
	}
	return heard, known
}

// Rank returns the position of this gateway among the known ones in an order that depends on the key. Gateways that
// know the same ones agree on it.
func (m *Mesh) Rank(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank, own := 0, xxhash.Sum64String(key+"/"+m.opts.Identity.GetHost())
	for _, p := range m.peers {
		if p.name != "" && xxhash.Sum64String(key+"/"+p.name) > own {
			rank++
		}
	}
	return rank
}

// Reads reports whether this gateway is among the first n in an order of those that are heard and can read the store.
// The others learn the rows from them.
func (m *Mesh) Reads(n int) bool {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	before, own := 0, xxhash.Sum64String(m.opts.Identity.GetHost())
	for _, p := range m.peers {
		if p.name != "" && !p.storeAway && now-p.heardAt <= heardFor && xxhash.Sum64String(p.name) > own {
			before++
		}
	}
	return before < n
}

func (m *Mesh) knows(p *peer) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.knowledge
}

func (m *Mesh) plans(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.planner
}

// Addresses returns the number of gateways whose addresses are known, this one included, also those that were not heard
// yet.
func (m *Mesh) Addresses() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// Publish passes rows on to every peer.
func (m *Mesh) Publish(rows []*wirepb.StoreRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		for _, r := range rows {
			if !p.rows.Offer(r) {
				m.opts.Log.Warn("row not passed on, the peer takes none", "peer", p.address, "key", r.GetKey())
			}
		}
	}
}

// Leave tells the peers with their next update that this gateway admits nothing any more.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leave = true
}

func (m *Mesh) members() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []string{m.opts.Identity.GetAddress()}
	for a, p := range m.peers {
		if p.name != "" && !p.lost {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(baseInterval+time.Duration(len(m.peers))*intervalPerPeer, maxInterval)
}

// call keeps one stream to a peer until ctx ends.
func (m *Mesh) call(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		dial, cancel := context.WithTimeout(ctx, sendTimeout)
		stream, err := m.opts.Pool.Open(dial, p.address)
		cancel()
		if err == nil {
			err = m.tell(ctx, p, stream)
			_ = stream.Close()
			m.opts.Pool.Drop(p.address)
		}
		if ctx.Err() == nil {
			m.opts.Log.Debug("stream to peer ended", "peer", p.address, "error", err)
		}
		if duty.Sleep(ctx, redial/2+rand.N(redial)) != nil {
			return
		}
	}
}

// tell sends what changes, and every row once to a peer that lacks some.
func (m *Mesh) tell(ctx context.Context, p *peer, stream *transport.Stream) error {
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	for p.rows.Len() > 0 {
		<-p.rows.C() // from before the stream; the peer gets every row if it lacks them
	}
	source := m.opts.Source
	sent := newSent()
	u := &wirepb.PeerUpdate{Identity: m.opts.Identity}
	lastSend := time.Now()
	differs := time.Now()
	for {
		sent.changes(u, source, m.members(), m.plans(p))
		if u.GetKnowledge() == 0 || u.GetKnowledge() == m.knows(p) {
			differs = time.Now()
		} else if time.Since(differs) >= differFor {
			u.Rows = source.Rows()
			differs = time.Now().Add(resendAfter)
		}
		m.mu.Lock()
		u.Leaving = m.leave
		m.mu.Unlock()
		if !sent.quiet(u) || time.Since(lastSend) >= quietInterval {
			if err := stream.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
				return err
			}
			err := stream.Send(wire.PeerUpdate(u))
			if err != nil {
				return err
			}
			lastSend = time.Now()
		}
		u = new(wirepb.PeerUpdate)
		var err error
		if u.Rows, err = m.collect(ctx, p); err != nil {
			return err
		}
	}
}

// collect waits for the next update and returns the rows for it. Rows do not wait for the interval.
func (m *Mesh) collect(ctx context.Context, p *peer) ([]*wirepb.StoreRow, error) {
	var rows []*wirepb.StoreRow
	select {
	case r := <-p.rows.C():
		rows = append(rows, r)
		for p.rows.Len() > 0 {
			rows = append(rows, <-p.rows.C())
		}
	case <-time.After(m.interval()):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return rows, nil
}
