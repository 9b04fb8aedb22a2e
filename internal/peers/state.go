package peers

import (
	"time"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// ownState is the state of this gateway that its updates carry. It is not changed after it was read.
type ownState struct {
	readAt           time.Time
	members          []string
	loads            map[string]*wirepb.ReplicaLoad // by backend server
	use              []*wirepb.OrganisationUse
	demand           []*wirepb.ModelDemand
	plannerEpoch     int64
	storeUnreachable bool
	rowsHash         uint64
	freshness        *wirepb.Freshness
	readsStore       bool
	usage            *wirepb.UsageReport // nil if no counts are sent
	holdsDuties      bool
	usageStandby     string // address of the gateway that gets the counts beside the holder
	serviceDemand    []*wirepb.ServiceDemand
	scaled           bool // there are services with scaling
}

// currentState returns the state to send. It is read again after a tenth of the update interval, and not for each of the
// peers: in a fleet of a hundred gateways, reading it for each took a fifth of the processor time of the exchange.
func (m *Mesh) currentState() *ownState {
	maxAge := m.updateInterval() / 10
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	if m.state == nil || time.Since(m.state.readAt) >= maxAge {
		source := m.opts.Source
		m.state = &ownState{
			readAt: time.Now(), members: m.memberAddresses(),
			loads: loadsByReplica(source.Loads()), use: source.Use(), demand: source.Demand(),
			plannerEpoch: source.PlannerEpoch(), storeUnreachable: source.StoreUnavailable(), rowsHash: source.RowsHash(),
		}
		m.state.freshness, m.state.readsStore = source.Freshness()
		if m.opts.Usage != nil {
			m.state.usage, m.state.holdsDuties = m.opts.Usage()
			m.state.usageStandby = m.usageStandby()
		}
		if m.opts.Scale != nil {
			m.state.serviceDemand, m.state.scaled = m.opts.Scale()
		}
	}
	return m.state
}

func loadsByReplica(list []*wirepb.ReplicaLoad) map[string]*wirepb.ReplicaLoad {
	loads := make(map[string]*wirepb.ReplicaLoad, len(list))
	for _, l := range list {
		loads[l.GetReplica()] = l
	}
	return loads
}
