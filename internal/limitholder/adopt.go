package limitholder

import (
	"slices"
	"time"
)

// Peer is a gateway, this one or another.
type Peer struct {
	Address    string
	DataCentre string // empty if unknown
}

// leasesOf returns the leases of a data centre by partition, and creates them for a new data centre. The
// caller holds mu.
func (h *Holder) leasesOf(dataCentre string) []*lease {
	if dataCentre == h.opts.DataCentre {
		return h.leases
	}
	leases, ok := h.foreignLeases[dataCentre]
	if !ok {
		leases = newLeases(dataCentre, h.opts.Partitions)
		h.foreignLeases[dataCentre] = leases
		h.foreignDataCentres = append(h.foreignDataCentres, dataCentre)
		slices.Sort(h.foreignDataCentres)
	}
	return leases
}

// allLeases returns the leases of the own data centre, followed by those of the others in order of name. The
// caller holds mu.
func (h *Holder) allLeases() []*lease {
	all := slices.Clone(h.leases)
	for _, dc := range h.foreignDataCentres {
		all = append(all, h.foreignLeases[dc]...)
	}
	return all
}

// updateGatewayPresence records since when each data centre has had no gateway. A gateway whose data centre is
// given neither by the host list nor by a lease row may belong to any data centre.
func (h *Holder) updateGatewayPresence(rows map[leaseID]storedRow, now time.Duration) {
	known := h.opts.Peers != nil
	hasGateway := map[string]bool{h.opts.DataCentre: true}
	if known {
		holderDataCentres := make(map[string]string)
		for _, row := range rows {
			holderDataCentres[row.Address] = row.HolderDataCentre
		}
		var peers []Peer
		peers, known = h.opts.Peers()
		for _, p := range peers {
			dataCentre := p.DataCentre
			if dataCentre == "" {
				dataCentre = holderDataCentres[p.Address]
			}
			known = known && (dataCentre != "" || p.Address == h.opts.Address)
			hasGateway[dataCentre] = true
		}
	}
	for _, dc := range h.membership().dataCentres {
		h.leasesOf(dc)
		since, ok := h.noGatewaySince[dc]
		switch {
		case !known || hasGateway[dc]:
			delete(h.noGatewaySince, dc)
		case !ok || since > now:
			h.noGatewaySince[dc] = now
		}
	}
	h.hasGateway = hasGateway
}

// mayAdopt reports whether this gateway may acquire leases of another data centre: that data centre must have
// had no gateway for TakeoverDelay.
func (h *Holder) mayAdopt(dataCentre string, now time.Duration) bool {
	since, ok := h.noGatewaySince[dataCentre]
	return ok && now >= since+h.opts.TakeoverDelay
}

// ownRank returns this gateway's rendezvous rank among the gateways that may acquire the lease.
func (h *Holder) ownRank(l *lease) int {
	if l.dataCentre == h.opts.DataCentre {
		return rank(h.opts.Address, l.partitionNumber, "", h.opts.Gateways())
	}
	peers, _ := h.opts.Peers()
	addresses := []string{h.opts.Address}
	for _, p := range peers {
		if p.Address != h.opts.Address {
			addresses = append(addresses, p.Address)
		}
	}
	return rank(h.opts.Address, l.partitionNumber, l.dataCentre+"/", addresses)
}

// likelyHoldersPerDataCentre is the number of gateways of each data centre that are asked while the lease rows
// are unknown: the one with the first rank for the lease, and the next one.
const likelyHoldersPerDataCentre = 2

// likelyHolders returns the gateways that rank first for the leases of a partition, other than this one.
func (h *Holder) likelyHolders(partition int) []holderRow {
	if h.opts.Peers == nil {
		return nil
	}
	peers, _ := h.opts.Peers()
	byDataCentre := make(map[string][]string)
	for _, p := range peers {
		byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p.Address)
	}
	var found []holderRow
	for dc, addresses := range byDataCentre {
		slices.SortFunc(addresses, func(a, b string) int {
			return rank(a, partition, "", addresses) - rank(b, partition, "", addresses)
		})
		for _, address := range addresses[:min(likelyHoldersPerDataCentre, len(addresses))] {
			if address != h.opts.Address {
				found = append(found, holderRow{dc, address})
			}
		}
	}
	return found
}
