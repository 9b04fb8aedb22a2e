package peers

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// sent remembers what a peer was told, so that only changes are sent.
type sent struct {
	members []string
	loads   map[string]*wirepb.ReplicaLoad
	away    bool
	known   uint64
	use     map[string]int64
	demand  map[string]float64
	epoch   int64

	replicas, organisations numbers
}

func newSent() *sent {
	return &sent{
		loads: make(map[string]*wirepb.ReplicaLoad), use: make(map[string]int64), demand: make(map[string]float64),
		replicas: make(numbers), organisations: make(numbers),
	}
}

// numbers stand for names on one stream. Names are most of what gateways tell each other several times a second.
type numbers map[string]uint32

// shorten returns the number of a name, and the name only if the peer does not know the number yet.
func (n numbers) shorten(name string) (number uint32, shortened string) {
	if number, ok := n[name]; ok {
		return number, ""
	}
	number = uint32(len(n) + 1)
	n[name] = number
	return number, name
}

// names are the names that a peer gave numbers on its stream.
type names map[uint32]string

// resolve returns the name of a number, and learns it if it is given. It reports false for an unknown number.
func (n names) resolve(number uint32, name string) (string, bool) {
	if name != "" {
		n[number] = name
	}
	name, ok := n[number]
	return name, ok
}

// received are the names of one stream.
type received struct{ replicas, organisations names }

// complete puts the names into an update. It reports false if the sender left out a name that it never gave.
func (r *received) complete(u *wirepb.PeerUpdate) bool {
	for _, l := range u.GetLoads() {
		name, ok := r.replicas.resolve(l.GetNumber(), l.GetReplica())
		if !ok {
			return false
		}
		l.Replica = name
	}
	for _, o := range u.GetUse() {
		name, ok := r.organisations.resolve(o.GetNumber(), o.GetOrganisation())
		if !ok {
			return false
		}
		o.Organisation = name
	}
	return true
}

// changes completes u with what changed since the last call. planner says that the peer plans and needs the demand.
func (s *sent) changes(u *wirepb.PeerUpdate, source Source, members []string, planner bool) {
	if !slices.Equal(members, s.members) {
		u.Members, s.members = members, members
	}
	s.changedLoads(u, source.Loads())
	for _, o := range source.Use() {
		if s.use[o.GetOrganisation()] != o.GetUsed() {
			s.use[o.GetOrganisation()] = o.GetUsed()
			if u.GetIdentity() == nil {
				o.Level = 0 // only a gateway that has just started needs it
			}
			o.Number, o.Organisation = s.organisations.shorten(o.GetOrganisation())
			u.Use = append(u.Use, o)
		}
	}
	if planner {
		for _, d := range source.Demand() {
			if s.demand[d.GetModel()] != d.GetWorkTokens() {
				s.demand[d.GetModel()] = d.GetWorkTokens()
				u.Demand = append(u.Demand, d)
			}
		}
	}
	u.PlannerEpoch, u.StoreAway, u.Knowledge = source.PlannerEpoch(), source.StoreAway(), source.Knowledge()
}

// changedLoads adds the loads that differ from those sent before, also those that ended.
func (s *sent) changedLoads(u *wirepb.PeerUpdate, loads []*wirepb.ReplicaLoad) {
	present := make(map[string]bool, len(loads))
	for _, l := range loads {
		present[l.GetReplica()] = true
		if !proto.Equal(l, s.loads[l.GetReplica()]) {
			s.loads[l.GetReplica()] = l
			u.Loads = append(u.Loads, s.load(l))
		}
	}
	for id := range s.loads {
		if !present[id] {
			delete(s.loads, id)
			u.Loads = append(u.Loads, s.load(&wirepb.ReplicaLoad{Replica: id}))
		}
	}
}

// load returns a load as it is sent. The one that is kept for comparison has its name.
func (s *sent) load(l *wirepb.ReplicaLoad) *wirepb.ReplicaLoad {
	number, name := s.replicas.shorten(l.GetReplica())
	return &wirepb.ReplicaLoad{
		Number: number, Replica: name, InFlight: l.GetInFlight(), PrefillTokens: l.GetPrefillTokens(),
		MemoryTokens: l.GetMemoryTokens(), Stalled: l.GetStalled(),
	}
}

// quiet reports whether u says nothing new.
func (s *sent) quiet(u *wirepb.PeerUpdate) bool {
	same := u.GetIdentity() == nil && len(u.GetMembers()) == 0 && len(u.GetRows()) == 0 && len(u.GetLoads()) == 0 &&
		len(u.GetUse()) == 0 && len(u.GetDemand()) == 0 && !u.GetLeaving() && u.GetPlannerEpoch() == s.epoch &&
		u.GetStoreAway() == s.away && u.GetKnowledge() == s.known
	s.epoch, s.away, s.known = u.GetPlannerEpoch(), u.GetStoreAway(), u.GetKnowledge()
	return same
}

// Receive reads the updates of one peer. first is the first frame of the stream.
func (m *Mesh) Receive(ctx context.Context, stream *transport.Stream, first *wirepb.PeerUpdate) {
	identity := first.GetIdentity()
	if identity.GetAddress() == "" || identity.GetAddress() == m.opts.Identity.GetAddress() {
		m.opts.Log.Warn("peer refused, it has no address of its own", "peer", identity.GetHost())
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	m.Meet([]string{identity.GetAddress()})
	known := received{make(names), make(names)}
	for u := first; ; {
		if !known.complete(u) {
			m.opts.Log.Warn("peer left out a name that it never gave", "peer", identity.GetHost())
			return
		}
		if !m.take(identity, u) {
			return
		}
		if err := stream.SetReadDeadline(time.Now().Add(forgetAfter)); err != nil {
			return
		}
		frame, err := stream.Recv()
		if err != nil {
			m.opts.Log.Debug("stream from peer ended", "peer", identity.GetHost(), "error", err)
			return
		}
		if u = frame.GetPeerUpdate(); u == nil {
			m.opts.Log.Warn("peer sent another message than an update", "peer", identity.GetHost())
			return
		}
	}
}

// take merges one update. It reports whether the stream goes on.
func (m *Mesh) take(identity *wirepb.Identity, u *wirepb.PeerUpdate) bool {
	m.mu.Lock()
	p := m.peers[identity.GetAddress()]
	if p == nil {
		m.mu.Unlock()
		return false
	}
	now := m.opts.Clock()
	regained := p.name == "" || p.lost || p.incarnation != identity.GetIncarnation()
	if p.incarnation != identity.GetIncarnation() {
		// What the peer counted before this gateway knew it is not growth.
		p.use, p.demand = make(map[string]float64), make(map[string]float64)
		for _, o := range u.GetUse() {
			p.use[o.GetOrganisation()] = float64(o.GetUsed())
		}
		for _, d := range u.GetDemand() {
			p.demand[d.GetModel()] = d.GetWorkTokens()
		}
	}
	p.name, p.incarnation, p.heardAt, p.lost = identity.GetHost(), identity.GetIncarnation(), now, false
	p.planner, p.storeAway, p.left = u.GetPlannerEpoch() != 0, u.GetStoreAway(), u.GetLeaving()
	p.knowledge = u.GetKnowledge()
	use, demand := make(map[string]float64), make(map[string]float64)
	for _, o := range u.GetUse() {
		use[o.GetOrganisation()] = float64(o.GetUsed()) - p.use[o.GetOrganisation()] // negative after a refund
		p.use[o.GetOrganisation()] = float64(o.GetUsed())
	}
	for _, d := range u.GetDemand() {
		demand[d.GetModel()] = max(0, d.GetWorkTokens()-p.demand[d.GetModel()])
		p.demand[d.GetModel()] = d.GetWorkTokens()
	}
	m.mu.Unlock()
	if regained {
		m.opts.Log.Info("peer heard", "peer", identity.GetHost(), "address", identity.GetAddress(),
			"incarnation", identity.GetIncarnation())
	}
	m.opts.Sink.Update(identity.GetHost(), u, use, demand)
	m.Meet(u.GetMembers())
	return true
}
