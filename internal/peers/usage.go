package peers

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// usageKey identifies a count of requests.
type usageKey struct {
	window               int64
	organisation, source string
}

// sentUsage records which counts were sent to a peer on one stream.
type sentUsage struct {
	report  *wirepb.UsageReport // last compared
	relayed bool                // with the counts of other gateways
	counts  map[usageKey]int64
	closed  int64
	settled int64
	sources nameEncoder
}

// usageStandby returns the address of the gateway that gets the counts of requests beside the holder of the duties, so that they
// outlive the holder: the first one, in a fixed order, of those that were heard recently and do not hold the duties.
func (m *Mesh) usageStandby() string {
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	address, best := "", uint64(0)
	for _, p := range m.peers {
		if p.name == "" || p.plannerEpoch != 0 || p.leaving || now-p.lastUpdateAt > peerTimeout {
			continue
		}
		if score := xxhash.Sum64String("usage/" + p.name); address == "" || score > best {
			address, best = p.address, score
		}
	}
	return address
}

// addUsage adds to u the counts of requests that the peer at address lacks: this gateway's own if the peer is the standby, those of
// all gateways if it holds the duties. The holder tells all gateways which windows are settled.
func (s *sentState) addUsage(u *wirepb.PeerUpdate, own *ownState, address string, holder bool) {
	report, sent := own.usage, &s.usage
	recipient := holder || address == own.usageStandby
	if report == nil || (!recipient && !own.holdsDuties) || (report == sent.report && (sent.relayed || !holder)) {
		return
	}
	if recipient {
		sent.report, sent.relayed = report, holder
	}
	next := &wirepb.UsageReport{}
	if own.holdsDuties && report.GetSettled() != sent.settled {
		next.Settled, sent.settled = report.GetSettled(), report.GetSettled()
	}
	if recipient {
		s.addCounts(next, report, holder)
		if report.GetClosed() != sent.closed {
			next.Closed, sent.closed = report.GetClosed(), report.GetClosed()
		}
	}
	if len(next.Counts) > 0 || next.Closed != 0 || next.Settled != 0 {
		u.Usage = next
	}
}

// addCounts adds the counts of a report that were not sent before. Counts of other gateways are added if relay is set.
func (s *sentState) addCounts(next, report *wirepb.UsageReport, relay bool) {
	sent := &s.usage
	for k := range sent.counts {
		if k.window <= report.GetSettled() {
			delete(sent.counts, k)
		}
	}
	for _, c := range report.GetCounts() {
		k := usageKey{c.GetWindow(), c.GetOrganisation(), c.GetSource()}
		if (k.source != "" && !relay) || sent.counts[k] == c.GetCount() {
			continue
		}
		sent.counts[k] = c.GetCount()
		number, name := s.organisations.encode(k.organisation)
		changed := &wirepb.UsageCount{Window: k.window, Number: number, Organisation: name, Count: c.GetCount()}
		if k.source != "" {
			changed.SourceNumber, changed.Source = sent.sources.encode(k.source)
		}
		next.Counts = append(next.Counts, changed)
	}
}

// decodeUsage replaces the numbers in the counts of requests by names. It reports false for an unknown number.
func (d *nameDecoders) decodeUsage(u *wirepb.PeerUpdate) bool {
	for _, c := range u.GetUsage().GetCounts() {
		name, ok := d.organisations.decode(c.GetNumber(), c.GetOrganisation())
		if !ok {
			return false
		}
		c.Organisation = name
		if c.GetSourceNumber() == 0 {
			c.Source = d.incarnation
			continue
		}
		if c.Source, ok = d.sources.decode(c.GetSourceNumber(), c.GetSource()); !ok {
			return false
		}
	}
	return true
}
