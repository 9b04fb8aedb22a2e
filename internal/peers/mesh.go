// Package peers exchanges state between the gateways of a fleet. Each gateway opens one stream to every other gateway and
// sends it, several times a second, the changes of its store rows, its loads and the use that it admitted.
package peers

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// baseInterval, intervalPerPeer and maxInterval give the pause between two updates to a peer. The pause grows with the
	// number of peers, so that the fleet's traffic grows more slowly than the square of the number of gateways.
	baseInterval    = 60 * time.Millisecond
	intervalPerPeer = 10 * time.Millisecond
	maxInterval     = 250 * time.Millisecond
	// keepaliveInterval is the longest pause between two updates when nothing changed. It is also the interval at which Run
	// checks for new seeds and lost peers.
	keepaliveInterval = 200 * time.Millisecond
	// peerTimeout is the age of the last update above which a peer counts as lost: three of the longest update intervals.
	// Until then the peer may spend the same tokens of an organisation's limit as this gateway.
	peerTimeout = 750 * time.Millisecond
	// sendTimeout bounds the opening of a stream and the write of one update.
	sendTimeout = time.Second
	// redialPause is the mean of the random pause before the next attempt to reach a peer.
	redialPause = 300 * time.Millisecond
	// forgetAfter is the time without an update after which a peer that is not a seed is removed. It is longer than a
	// restart of the peer's host. It is also the read timeout of a stream from a peer.
	forgetAfter = 30 * time.Second
	// freshnessInterval is the pause between two reports of the age of the operator's rows to a peer.
	freshnessInterval = 200 * time.Millisecond
	// resyncPause is the additional pause before all rows are sent to a peer again.
	resyncPause = 2 * time.Second
	// maxPendingRows bounds the rows that are queued for one peer. A peer that misses some gets all rows again.
	maxPendingRows = 4096
	// maxPeers bounds the gateways that are known. Each costs a goroutine, and a queue, also if its address is not one of a gateway.
	maxPeers = 4096
)

// Source provides the state that this gateway sends to its peers.
type Source interface {
	// Rows returns all store rows that this gateway has.
	Rows() []*wirepb.StoreRow
	// Row returns the row with the given table and key, or nil if this gateway does not have it.
	Row(table, key string) *wirepb.StoreRow
	// HasRow reports whether this gateway has the row in the given version or a newer one. Of two versions of different eras the
	// row's value may tell which one is newer, so that it has to be requested.
	HasRow(table, key string, version int64) bool
	// RowsHash returns a hash of the rows, or zero. Gateways with the same rows return the same hash.
	RowsHash() uint64
	// Loads returns the load that this gateway's requests in flight put on each backend server.
	Loads() []*wirepb.ReplicaLoad
	// Use returns for each organisation how much of its limit this gateway has admitted since the gateway's start.
	Use() []*wirepb.OrganisationUse
	// Demand returns the demand for each model from this gateway's callers since its start.
	Demand() []*wirepb.ModelDemand
	// StoreUnavailable reports whether this gateway cannot read the store.
	StoreUnavailable() bool
	// Freshness returns what this gateway knows about the age of the operator's rows, or nil, and whether all peers need it,
	// because this gateway reads the store.
	Freshness() (f *wirepb.Freshness, toAll bool)
	// Guard returns what has changed, after a position that it returned before or zero, about prompts under which backend servers
	// end, and the position up to which it reports. It returns nil if nothing has. Without relay, what came from other gateways
	// is left out.
	Guard(after uint64, relay bool) (*wirepb.GuardReport, uint64)
	// PlannerEpoch returns the epoch of the planner's lease if this gateway holds it, or zero.
	PlannerEpoch() int64
}

// Sink receives the updates of other gateways.
type Sink interface {
	// Update is called for each update of a peer. use, by organisation in units of its limit, and demand, by model in work
	// tokens, are the changes since the previous update. use is negative after a refund.
	Update(peer string, u *wirepb.PeerUpdate, use, demand map[string]float64)
	// ReceiveRow is called for each large row that this gateway requested from a peer.
	ReceiveRow(row *wirepb.StoreRow)
	// PeerLost is called when no update has arrived from a peer within the time limit.
	PeerLost(peer string)
}

// Options configure a Mesh.
type Options struct {
	Identity *wirepb.Identity
	Seeds    func() []string
	Pool     *transport.Pool
	Clock    bootclock.Clock
	Source   Source
	Sink     Sink
	// Usage returns the counts of requests that this gateway knows, each with its source, and whether this gateway holds the duties.
	// The result is not changed later. If Usage is nil, no counts are sent.
	Usage func() (report *wirepb.UsageReport, holder bool)
	// OnUsage receives the counts of requests that the gateway with the given incarnation sent, each with its source. It may be nil.
	OnUsage func(incarnation string, report *wirepb.UsageReport)
	// Scale returns the demand for services with scaling from this gateway's callers, and whether there are such services. The result
	// is not changed later. If Scale is nil, no demand is sent.
	Scale func() (demand []*wirepb.ServiceDemand, scaled bool)
	// OnScale receives, with each update of a gateway that has reported to this one as the holder of the duties, all demand that it
	// reported, by service. epoch is that of this gateway for which it reports. The map must not be used after the call. OnScale may
	// be nil.
	OnScale func(from *wirepb.Identity, epoch int64, demand map[string]*wirepb.ServiceDemand)
	// Appointments returns this gateway's changes of appointments after a position that it returned before or zero, or nil, and the
	// position up to which it reports. If it is nil, none are sent.
	Appointments func(after uint64) (*wirepb.Appointments, uint64)
	// OnAppointments receives the changes of appointments that a peer sent. It may be nil.
	OnAppointments func(peer string, changes *wirepb.Appointments)
	Log            *slog.Logger
}

type peer struct {
	address          string
	name             string // empty until the first update of the peer
	incarnation      string
	lastUpdateAt     time.Duration // zero if never
	addedAt          time.Duration
	lost             bool
	plannerEpoch     int64  // of the planner's lease if the peer holds it, by its last update
	storeUnreachable bool   // cannot read the store, by its last update
	leaving          bool   // is shutting down, by its last update
	rowsHash         uint64 // of the peer's rows, by its last update
	ignoresOffers    bool   // runs an earlier release, which ignores offers of rows
	lacksEras        bool   // runs an earlier release, whose rows have no era
	provided         bool   // this gateway is one of the peer's providers, as of providedAt
	providedAt       time.Duration
	rows             *background.Queue[*wirepb.StoreRow] // to be sent to the peer
	use              map[string]float64
	demand           map[string]float64
	stop             context.CancelFunc // of the stream; nil if none was started
}

// Mesh maintains the streams to the other gateways. It is safe for concurrent use.
type Mesh struct {
	opts Options

	mu      sync.Mutex
	peers   map[string]*peer // by address
	fetches map[rowKey]*rowFetch
	ctx     context.Context
	wg      sync.WaitGroup
	ended   bool // Run waits for wg, so that no stream may start
	leaving bool
	// forgotten says that a peer was removed that had not announced its shutdown, and that no update has arrived since.
	forgotten bool

	stateMu sync.Mutex
	state   *ownState // as last read, shared by the streams to all peers

	compressMu     sync.Mutex
	lastCompressed compressedRow
}

// New returns a mesh that connects to no gateway until Run is called.
func New(opts Options) *Mesh {
	return &Mesh{opts: opts, peers: make(map[string]*peer), fetches: make(map[rowKey]*rowFetch)}
}

// Run maintains streams to the seeds and to every gateway whose address becomes known, until ctx ends. It returns the
// context's error.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	for _, p := range m.peers {
		m.startStream(p)
	}
	m.mu.Unlock()
	defer m.awaitStreams()
	for {
		m.AddAddresses(m.opts.Seeds())
		m.expirePeers()
		if err := background.Sleep(ctx, keepaliveInterval); err != nil {
			return err
		}
	}
}

// awaitStreams waits until all streams have ended. No other starts meanwhile.
func (m *Mesh) awaitStreams() {
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	m.wg.Wait()
}

// AddAddresses starts a stream to each gateway in addresses, HOST:PORT, that is not known yet. Before Run is called, it only
// records the addresses.
func (m *Mesh) AddAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a == "" || a == m.opts.Identity.GetAddress() || m.peers[a] != nil {
			continue
		}
		if len(m.peers) >= maxPeers {
			m.opts.Log.Warn("addresses of gateways ignored: too many are known", "known", len(m.peers), "address", a)
			return
		}
		p := &peer{
			address: a, addedAt: m.opts.Clock(), rows: background.NewQueue[*wirepb.StoreRow](maxPendingRows),
			use: make(map[string]float64), demand: make(map[string]float64),
		}
		m.peers[a] = p
		if m.ctx != nil {
			m.startStream(p)
		}
	}
}

// startStream starts the stream to p, unless Run is about to return. The caller holds m.mu.
func (m *Mesh) startStream(p *peer) {
	if m.ended {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	p.stop = cancel
	m.wg.Go(func() { m.maintainStream(ctx, p) })
}

// expirePeers marks peers without a recent update as lost and removes those, seeds excepted, that have sent none for
// forgetAfter.
func (m *Mesh) expirePeers() {
	// lostPeer is a copy, because an update of the peer may arrive as soon as m.mu is released.
	type lostPeer struct {
		name, address string
		silence       time.Duration
	}
	now := m.opts.Clock()
	seeds := m.opts.Seeds()
	var lost []lostPeer
	m.mu.Lock()
	for a, p := range m.peers {
		if p.name != "" && !p.lost && now-p.lastUpdateAt > peerTimeout {
			p.lost = true
			lost = append(lost, lostPeer{p.name, p.address, now - p.lastUpdateAt})
		}
		if now-max(p.lastUpdateAt, p.addedAt) > forgetAfter && !slices.Contains(seeds, a) {
			if p.stop != nil {
				p.stop()
			}
			delete(m.peers, a)
			m.forgotten = m.forgotten || (p.name != "" && !p.leaving)
		}
	}
	m.mu.Unlock()
	for _, p := range lost {
		m.opts.Log.Warn("no update from peer; peer counts as lost",
			"peer", p.name, "address", p.address, "silence", p.silence)
		m.opts.Pool.Drop(p.address)
		m.opts.Sink.PeerLost(p.name)
	}
}

// Count returns the number of gateways that sent a recent update (heard) and of all known gateways, both including this one.
// A gateway that announced its shutdown is not counted as known once its updates stop, so that its share of the limits
// goes to the others.
func (m *Mesh) Count() (heard, known int) {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, known = 1, 1
	for _, p := range m.peers {
		recent := now-p.lastUpdateAt <= peerTimeout
		if p.name == "" || (p.leaving && !recent) {
			continue
		}
		known++
		if recent {
			heard++
		}
	}
	return heard, known
}

// HearsOnlyEarlierReleases reports whether some gateway sent a recent update, and all that did run an earlier release, which
// neither requests rows nor reports their age.
func (m *Mesh) HearsOnlyEarlierReleases() bool {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := false
	for _, p := range m.peers {
		if p.name == "" || now-p.lastUpdateAt > peerTimeout {
			continue
		}
		if !p.ignoresOffers {
			return false
		}
		heard = true
	}
	return heard
}

// HearsPeerWithoutEras reports whether a gateway sent a recent update that runs an earlier release, whose rows have no era of the store.
func (m *Mesh) HearsPeerWithoutEras() bool {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.name != "" && !p.leaving && p.lacksEras && now-p.lastUpdateAt <= peerTimeout {
			return true
		}
	}
	return false
}

// Alone reports whether no other gateway may be alive: every known one was heard and has announced its shutdown.
func (m *Mesh) Alone() bool {
	_, known := m.Count()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.name == "" {
			return false
		}
	}
	return known == 1 && !m.forgotten
}

// Rank returns the position, from zero, of this gateway among the known ones in an order that depends on key. Gateways
// that know the same gateways compute the same order.
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

// IsStoreReader reports whether this gateway is one of the n gateways that read the store: the first n, in a fixed order, of the
// gateways that have sent a recent update and can read the store. The others get the rows from these.
func (m *Mesh) IsStoreReader(n int) bool {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	before, own := 0, xxhash.Sum64String(m.opts.Identity.GetHost())
	for _, p := range m.peers {
		if p.name != "" && !p.storeUnreachable && now-p.lastUpdateAt <= peerTimeout && xxhash.Sum64String(p.name) > own {
			before++
		}
	}
	return before < n
}

func (m *Mesh) peerRowsHash(p *peer) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.rowsHash
}

// peerRequestsRows reports whether a peer requests the large rows that are offered to it. Until its first update it is
// assumed to.
func (m *Mesh) peerRequestsRows(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !p.ignoresOffers
}

func (m *Mesh) peerPlannerEpoch(p *peer) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.plannerEpoch
}

// KnownCount returns the number of gateways whose addresses are known, including this one and those that have not sent an
// update yet.
func (m *Mesh) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// AnnounceShutdown announces to the peers, with the next update to each, that this gateway is shutting down and admits no more
// requests.
func (m *Mesh) AnnounceShutdown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

func (m *Mesh) memberAddresses() []string {
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

func (m *Mesh) updateInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(baseInterval+time.Duration(len(m.peers))*intervalPerPeer, maxInterval)
}
