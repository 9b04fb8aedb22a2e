package limitholder

import (
	"slices"
	"time"
)

// Peer is a gateway that this gateway knows of.
type Peer struct {
	Address    string
	DataCentre string // empty if not known
}

// leasesOf returns the leases of a data centre, of its own or of another.
func (h *Holder) leasesOf(dataCentre string) []*lease {
	if dataCentre == h.opts.DataCentre {
		return h.leases
	}
	leases, ok := h.foreign[dataCentre]
	if !ok {
		leases = newLeases(dataCentre, h.opts.Partitions)
		h.foreign[dataCentre] = leases
		h.foreignOrder = append(h.foreignOrder, dataCentre)
		slices.Sort(h.foreignOrder)
	}
	return leases
}

// allLeases returns the leases of the own data centre and then those of the others in order of name. The
// caller holds mu.
func (h *Holder) allLeases() []*lease {
	all := slices.Clone(h.leases)
	for _, dc := range h.foreignOrder {
		all = append(all, h.foreign[dc]...)
	}
	return all
}

// findAbandoned notes since when each data centre is without a gateway. A gateway whose data centre is
// known neither from the host list nor from a lease row may be of any data centre.
func (h *Holder) findAbandoned(rows map[place]storedRow, now time.Duration) {
	known := h.opts.Peers != nil
	attended := map[string]bool{h.opts.DataCentre: true}
	if known {
		homes := make(map[string]string)
		for _, row := range rows {
			homes[row.Address] = row.Home
		}
		var peers []Peer
		peers, known = h.opts.Peers()
		for _, p := range peers {
			home := p.DataCentre
			if home == "" {
				home = homes[p.Address]
			}
			known = known && (home != "" || p.Address == h.opts.Address)
			attended[home] = true
		}
	}
	for _, dc := range h.membership().names {
		h.leasesOf(dc)
		since, ok := h.abandoned[dc]
		switch {
		case !known || attended[dc]:
			delete(h.abandoned, dc)
		case !ok || since > now:
			h.abandoned[dc] = now
		}
	}
	h.attended = attended
}

// adoptable reports whether this gateway may take over shares of another data centre, which has had no
// gateway for the settle time.
func (h *Holder) adoptable(dataCentre string, now time.Duration) bool {
	since, ok := h.abandoned[dataCentre]
	return ok && now >= since+h.opts.Settle
}

// rankFor returns the rendezvous place of this gateway among those that may take the lease.
func (h *Holder) rankFor(l *lease) int {
	if l.dataCentre == h.opts.DataCentre {
		return rank(h.opts.Address, l.number, "", h.opts.Gateways())
	}
	peers, _ := h.opts.Peers()
	addresses := []string{h.opts.Address}
	for _, p := range peers {
		if p.Address != h.opts.Address {
			addresses = append(addresses, p.Address)
		}
	}
	return rank(h.opts.Address, l.number, l.dataCentre+"/", addresses)
}

// likelyPerCentre is the number of gateways of a data centre that are asked while the lease rows are not
// known: the one that tries first for the lease, and the next one.
const likelyPerCentre = 2

// likelyHolders returns the gateways that try first for the leases of a partition.
func (h *Holder) likelyHolders(partition int) []holderRow {
	if h.opts.Peers == nil {
		return nil
	}
	peers, _ := h.opts.Peers()
	byCentre := make(map[string][]string)
	for _, p := range peers {
		byCentre[p.DataCentre] = append(byCentre[p.DataCentre], p.Address)
	}
	var found []holderRow
	for dc, addresses := range byCentre {
		slices.SortFunc(addresses, func(a, b string) int {
			return rank(a, partition, "", addresses) - rank(b, partition, "", addresses)
		})
		for _, address := range addresses[:min(likelyPerCentre, len(addresses))] {
			if address != h.opts.Address {
				found = append(found, holderRow{dc, address})
			}
		}
	}
	return found
}
