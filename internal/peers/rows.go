package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// rowProviders is the number of gateways that send rows to a given one. Each gateway passes on the rows that are new to
	// it, so all gateways get a row in a few hops. If every gateway sent a changed configuration to every other one, the
	// copies would fill the links of a large fleet for seconds.
	rowProviders = 4
	// unheardTimeout is the time after which a gateway that never sent an update no longer counts as a provider of rows.
	unheardTimeout = 3 * time.Second
	// resyncDelay is the time for which a peer's hash of its rows must differ before its first providers send it all rows.
	// Gateways that start together read the store themselves within that time, and rows in transit arrive.
	resyncDelay = 400 * time.Millisecond
)

// Publish queues rows for the peers that this gateway provides with rows. If a peer's queue is full, the row is dropped
// for that peer.
func (m *Mesh) Publish(rows []*wirepb.StoreRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if m.providerRank(p) >= rowProviders {
			continue
		}
		for _, r := range rows {
			if !p.rows.Offer(r) {
				m.opts.Log.Warn("row not sent to peer: its queue is full", "peer", p.address, "key", r.GetKey())
			}
		}
	}
}

// provides reports whether this gateway is one of p's providers of rows. The answer may be a second old.
func (m *Mesh) provides(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := m.opts.Clock(); p.providedAt == 0 || now-p.providedAt >= time.Second {
		p.provided, p.providedAt = m.providerRank(p) < rowProviders, now
	}
	return p.provided
}

// providerRank returns this gateway's position, from zero, among the gateways that may provide peer p with rows, in an order
// that depends on p. Gateways that know the same gateways compute the same order. The caller holds m.mu.
func (m *Mesh) providerRank(p *peer) int {
	now := m.opts.Clock()
	rank, own := 0, providerScore(m.opts.Identity.GetAddress(), p.address)
	for _, other := range m.peers {
		alive := !other.lost && (other.name != "" || now-other.addedAt < unheardTimeout)
		if other != p && alive && providerScore(other.address, p.address) > own {
			rank++
		}
	}
	return rank
}

func providerScore(provider, receiver string) uint64 {
	return xxhash.Sum64String(provider + ">" + receiver)
}

// resyncDelayFor returns the time for which the hash of p's rows must differ before this gateway sends it all rows. It grows
// with the gateway's rank as a provider of p, so that the next gateways follow only if the first ones cannot reach p.
func (m *Mesh) resyncDelayFor(p *peer) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return resyncDelay * time.Duration(1+m.providerRank(p)/rowProviders)
}

// RelaysRows reports whether gateways have to pass on the rows that they get from peers: in a small fleet the gateways that
// read the store send them to all others.
func (m *Mesh) RelaysRows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) > rowProviders
}

func rowBytes(rows []*wirepb.StoreRow) int {
	n := 0
	for _, r := range rows {
		n += len(r.GetValue())
	}
	return n
}
