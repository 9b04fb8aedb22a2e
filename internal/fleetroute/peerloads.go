package fleetroute

import (
	"math"
	"time"
)

// smoothingTime is the time over which the requests in flight at a plain server are averaged. Single reports are older
// than most of the requests that they count, and gateways that follow them move the load back and forth.
const smoothingTime = 300 * time.Millisecond

// peerLoads are the loads that one peer reported.
type peerLoads struct {
	receivedAt time.Duration
	loads      map[string]Load
	counted    bool // the loads are part of the servers' sums
}

// peerSum is the load at one server that all peers with recent reports have. The sum makes the cost of a choice
// independent of the number of peers.
type peerSum struct {
	load      Load
	reporting int // peers with requests at the server
	stalled   int // those of them that see it stalled

	smoothed   float64 // moving average of the requests in flight
	smoothedAt time.Duration
}

// smoothedInFlight returns the requests in flight, averaged over smoothingTime.
func (s *peerSum) smoothedInFlight(now time.Duration) float64 {
	current := float64(s.load.InFlight)
	return current + (s.smoothed-current)*math.Exp(-float64(now-s.smoothedAt)/float64(smoothingTime))
}

func (s *peerSum) add(l Load, sign int) {
	s.reporting += sign
	if l.Stalled {
		s.stalled += sign
	}
	s.load.InFlight += sign * l.InFlight
	s.load.Prefill += float64(sign) * l.Prefill
	s.load.Memory += float64(sign) * l.Memory
	if s.reporting == 0 {
		s.load = Load{} // no rounding errors remain
	}
}

func (s *peerSum) allStalled() bool { return s.reporting > 0 && s.stalled == s.reporting }

// UpdatePeer applies the loads reported by a peer: those that changed, or all of them if full is set. A load without
// requests in flight removes the entry.
func (t *Table) UpdatePeer(peer string, now time.Duration, loads map[string]Load, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peer]
	if p == nil {
		p = &peerLoads{loads: make(map[string]Load, len(loads))}
		t.peers[peer] = p
	}
	earlier := p.loads
	if full {
		t.count(p, false)
		p.loads = make(map[string]Load, len(loads))
	}
	t.count(p, true)
	p.receivedAt = now
	t.peersExpire = min(t.peersExpire, now+maxPeerLoadAge)
	for id, l := range loads {
		s := t.server(id)
		s.peers.smoothed, s.peers.smoothedAt = s.peers.smoothedInFlight(now), now
		if old, ok := p.loads[id]; ok {
			s.peers.add(old, -1)
		}
		if l.InFlight <= 0 {
			delete(p.loads, id)
			continue
		}
		if l.Pace > 0 && l.Pace != earlier[id].Pace {
			s.observePeerPace(l.Pace)
		}
		p.loads[id] = l
		s.peers.add(l, 1)
	}
}

// count adds the loads of a peer to the servers' sums, or takes them out.
func (t *Table) count(p *peerLoads, counted bool) {
	if p.counted == counted {
		return
	}
	p.counted = counted
	sign := 1
	if !counted {
		sign = -1
	}
	for id, l := range p.loads {
		t.server(id).peers.add(l, sign)
	}
}

// expirePeers takes the loads of peers that have not reported for maxPeerLoadAge out of the sums.
func (t *Table) expirePeers(now time.Duration) {
	if now < t.peersExpire {
		return
	}
	t.peersExpire = now + maxPeerLoadAge
	for _, p := range t.peers {
		if now-p.receivedAt >= maxPeerLoadAge {
			t.count(p, false)
		} else if p.counted {
			t.peersExpire = min(t.peersExpire, p.receivedAt+maxPeerLoadAge)
		}
	}
}

// DropPeer removes the loads of a peer that is no longer a member.
func (t *Table) DropPeer(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[peer]; p != nil {
		t.count(p, false)
		delete(t.peers, peer)
	}
}
