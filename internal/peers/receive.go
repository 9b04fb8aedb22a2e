package peers

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// sentState records what was sent to a peer on one stream, so that only changes are sent.
type sentState struct {
	members          []string
	loads            map[string]*wirepb.ReplicaLoad
	storeUnreachable bool
	rowsHash         uint64
	use              map[string]int64
	demand           map[string]float64
	plannerEpoch     int64

	replicas, organisations nameEncoder
	usage                   sentUsage
	scale                   sentScale
}

func newSentState() *sentState {
	return &sentState{
		loads: make(map[string]*wirepb.ReplicaLoad), use: make(map[string]int64), demand: make(map[string]float64),
		replicas: make(nameEncoder), organisations: make(nameEncoder),
		usage: sentUsage{counts: make(map[usageKey]int64), sources: make(nameEncoder)},
		scale: sentScale{services: make(map[string]*wirepb.ServiceDemand), names: make(nameEncoder)},
	}
}

// nameEncoder assigns numbers to names on one stream. A name is sent only once, because names would be most of the data
// that gateways send each other several times a second.
type nameEncoder map[string]uint32

// encode returns the number of a name, and the name itself only the first time.
func (e nameEncoder) encode(name string) (number uint32, newName string) {
	if number, ok := e[name]; ok {
		return number, ""
	}
	number = uint32(len(e) + 1)
	e[name] = number
	return number, name
}

// nameDecoder maps the numbers that a peer assigned on its stream to names.
type nameDecoder map[uint32]string

// decode returns the name of a number. A name that is not empty is recorded for the number first. It reports false for an
// unknown number.
func (d nameDecoder) decode(number uint32, name string) (string, bool) {
	if name != "" {
		d[number] = name
	}
	name, ok := d[number]
	return name, ok
}

// nameDecoders are the name decoders of one stream.
type nameDecoders struct {
	replicas, organisations, sources nameDecoder
	incarnation                      string // of the sender
	scale                            receivedScale
}

// decodeNames replaces the numbers in an update by names. It reports false if the sender used a number without having sent
// its name.
func (d *nameDecoders) decodeNames(u *wirepb.PeerUpdate) bool {
	for _, l := range u.GetLoads() {
		name, ok := d.replicas.decode(l.GetNumber(), l.GetReplica())
		if !ok {
			return false
		}
		l.Replica = name
	}
	for _, o := range u.GetUse() {
		name, ok := d.organisations.decode(o.GetNumber(), o.GetOrganisation())
		if !ok {
			return false
		}
		o.Organisation = name
	}
	return d.decodeUsage(u) && d.scale.apply(u.GetScale())
}

// addChanges adds to u what changed since the last call. planner says that the peer holds the planner's lease and needs the
// demand.
func (s *sentState) addChanges(u *wirepb.PeerUpdate, own *ownState, planner bool) {
	if !slices.Equal(own.members, s.members) {
		u.Members, s.members = own.members, own.members
	}
	s.addChangedLoads(u, own.loads)
	for _, o := range own.use {
		if s.use[o.GetOrganisation()] == o.GetUsed() {
			continue
		}
		s.use[o.GetOrganisation()] = o.GetUsed()
		number, name := s.organisations.encode(o.GetOrganisation())
		changed := &wirepb.OrganisationUse{Number: number, Organisation: name, Used: o.GetUsed()}
		if u.GetIdentity() != nil {
			changed.Level = o.GetLevel() // needed only in the first update of a stream, by a gateway that has just started
		}
		u.Use = append(u.Use, changed)
	}
	if planner {
		for _, d := range own.demand {
			if s.demand[d.GetModel()] != d.GetWorkTokens() {
				s.demand[d.GetModel()] = d.GetWorkTokens()
				u.Demand = append(u.Demand, d)
			}
		}
	}
	u.PlannerEpoch, u.StoreAway, u.Knowledge = own.plannerEpoch, own.storeUnreachable, own.rowsHash
}

// addChangedLoads adds the loads that differ from those sent before. A load that ended is sent as zero.
func (s *sentState) addChangedLoads(u *wirepb.PeerUpdate, loads map[string]*wirepb.ReplicaLoad) {
	for id, l := range loads {
		if !sameLoad(l, s.loads[id]) {
			s.loads[id] = l
			u.Loads = append(u.Loads, s.encodeLoad(l))
		}
	}
	for id := range s.loads {
		if loads[id] == nil {
			delete(s.loads, id)
			u.Loads = append(u.Loads, s.encodeLoad(&wirepb.ReplicaLoad{Replica: id}))
		}
	}
}

// sameLoad reports whether two loads of one backend server are equal. b may be nil. A pace alone is not worth a message: it
// changes slowly, and is sent with the next load that differs.
func sameLoad(a, b *wirepb.ReplicaLoad) bool {
	return b != nil && a.GetInFlight() == b.GetInFlight() && a.GetPrefillTokens() == b.GetPrefillTokens() &&
		a.GetMemoryTokens() == b.GetMemoryTokens() && a.GetStalled() == b.GetStalled()
}

// encodeLoad returns a copy of a load with its name encoded. The original keeps its name, for the comparison with later
// loads.
func (s *sentState) encodeLoad(l *wirepb.ReplicaLoad) *wirepb.ReplicaLoad {
	number, name := s.replicas.encode(l.GetReplica())
	return &wirepb.ReplicaLoad{
		Number: number, Replica: name, InFlight: l.GetInFlight(), PrefillTokens: l.GetPrefillTokens(),
		MemoryTokens: l.GetMemoryTokens(), Stalled: l.GetStalled(), PacePermille: l.GetPacePermille(),
	}
}

// unchanged reports whether u contains nothing new since the last call.
func (s *sentState) unchanged(u *wirepb.PeerUpdate) bool {
	same := u.GetIdentity() == nil && len(u.GetMembers()) == 0 && len(u.GetRows()) == 0 && len(u.GetLoads()) == 0 &&
		len(u.GetOffers()) == 0 && u.GetFreshness() == nil && u.GetGuard() == nil && len(u.GetUse()) == 0 && len(u.GetDemand()) == 0 && u.GetUsage() == nil && u.GetScale() == nil &&
		u.GetAppointments() == nil && !u.GetLeaving() && u.GetPlannerEpoch() == s.plannerEpoch &&
		u.GetStoreAway() == s.storeUnreachable && u.GetKnowledge() == s.rowsHash
	s.plannerEpoch, s.storeUnreachable, s.rowsHash = u.GetPlannerEpoch(), u.GetStoreAway(), u.GetKnowledge()
	return same
}

// Serve handles a stream that a peer opened, whose first frame is given. It returns when the stream ends or ctx is done.
func (m *Mesh) Serve(ctx context.Context, stream *transport.Stream, first *wirepb.Envelope) {
	switch message := first.GetMessage().(type) {
	case *wirepb.Envelope_PeerUpdate:
		m.receive(ctx, stream, message.PeerUpdate)
	case *wirepb.Envelope_RowRequest:
		m.sendRow(stream, message.RowRequest)
	default:
		m.opts.Log.Warn("stream closed: its first message is neither a peer update nor a request for a row")
	}
}

// receive applies the updates of one peer until the stream fails or ctx ends. first is the update in the first frame of
// the stream. A peer whose address is empty or the same as this gateway's is refused.
func (m *Mesh) receive(ctx context.Context, stream *transport.Stream, first *wirepb.PeerUpdate) {
	identity := first.GetIdentity()
	if identity.GetAddress() == "" || identity.GetAddress() == m.opts.Identity.GetAddress() {
		m.opts.Log.Warn("peer refused: its address is empty or the same as this gateway's", "peer", identity.GetHost())
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	m.AddAddresses([]string{identity.GetAddress()})
	decoders := nameDecoders{
		replicas: make(nameDecoder), organisations: make(nameDecoder), sources: make(nameDecoder), incarnation: identity.GetIncarnation(),
		scale: receivedScale{services: make(map[string]*wirepb.ServiceDemand), names: make(nameDecoder)},
	}
	for u := first; ; {
		if !decoders.decodeNames(u) {
			m.opts.Log.Warn("stream from peer closed: unknown name number", "peer", identity.GetHost())
			return
		}
		if !m.applyUpdate(identity, u) {
			return
		}
		if decoders.scale.epoch != 0 && m.opts.OnScale != nil {
			m.opts.OnScale(identity, decoders.scale.epoch, decoders.scale.services)
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
			m.opts.Log.Warn("stream from peer closed: message is not a peer update", "peer", identity.GetHost())
			return
		}
	}
}

// applyUpdate applies one update. It reports false if the peer was removed and the stream should end.
func (m *Mesh) applyUpdate(identity *wirepb.Identity, u *wirepb.PeerUpdate) bool {
	m.mu.Lock()
	p := m.peers[identity.GetAddress()]
	if p == nil {
		m.mu.Unlock()
		return false
	}
	now := m.opts.Clock()
	newlyHeard := p.name == "" || p.lost || p.incarnation != identity.GetIncarnation()
	if u.GetIdentity() != nil {
		p.ignoresOffers, p.lacksEras = !u.GetRequestsRows(), !u.GetStoreEras()
	}
	if p.incarnation != identity.GetIncarnation() {
		// A new incarnation's first totals only set the base values: use and demand from before are not reported as changes.
		p.use, p.demand = make(map[string]float64), make(map[string]float64)
		for _, o := range u.GetUse() {
			p.use[o.GetOrganisation()] = float64(o.GetUsed())
		}
		for _, d := range u.GetDemand() {
			p.demand[d.GetModel()] = d.GetWorkTokens()
		}
	}
	p.name, p.incarnation, p.lastUpdateAt, p.lost = identity.GetHost(), identity.GetIncarnation(), now, false
	p.plannerEpoch, p.storeUnreachable, p.leaving = u.GetPlannerEpoch(), u.GetStoreAway(), u.GetLeaving()
	p.rowsHash = u.GetKnowledge()
	m.forgotten = false
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
	if newlyHeard {
		m.opts.Log.Info("receiving updates from peer", "peer", identity.GetHost(), "address", identity.GetAddress(),
			"incarnation", identity.GetIncarnation())
	}
	m.opts.Sink.Update(identity.GetHost(), u, use, demand)
	if u.GetUsage() != nil && m.opts.OnUsage != nil {
		m.opts.OnUsage(identity.GetIncarnation(), u.GetUsage())
	}
	if u.GetAppointments() != nil && m.opts.OnAppointments != nil {
		m.opts.OnAppointments(identity.GetHost(), u.GetAppointments())
	}
	m.receiveOffers(identity.GetAddress(), u.GetOffers())
	m.AddAddresses(u.GetMembers())
	return true
}
