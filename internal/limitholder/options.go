// Package limitholder enforces the token limits of organisations across gateways. Organisations are divided
// into partitions; for each partition, one gateway of each data centre holds a lease, which is a row of the
// table service, and grants tokens from its shares of the organisations' buckets. A gateway runs one Holder to
// keep its leases and charges requests through a Client.
package limitholder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Caller sends one message to the gateway at address (IP:port) and returns its reply. A nil reply without an
// error means that the message has no reply.
type Caller interface {
	Call(ctx context.Context, address string, message *wirepb.Envelope) (*wirepb.Envelope, error)
}

// Options configures a Holder. Fields without a default are required, except Peers.
type Options struct {
	Address     string // IP:port on which this gateway listens for its peers
	DataCentre  string
	Incarnation string        // changes at each start of the process
	Partitions  int           // number of partitions of the organisations
	LeaseTerm   time.Duration // validity of a lease after its last renewal
	Limit       limitshare.Options

	Store    tablestore.Store
	Caller   Caller
	Snapshot func() *config.Snapshot
	Fresh    func() bool               // reports whether the snapshot contains every change older than Limit.Propagation
	Gateways func() []string           // addresses of the gateways in this gateway's data centre, in any order
	Removed  func(address string) bool // reports whether the host list contained the host and no longer does
	// Peers returns the known gateways of all data centres that are not leaving, and false if the host list has
	// not been read yet. If Peers is nil, no leases of other data centres are acquired.
	Peers func() ([]Peer, bool)
	Log   *slog.Logger

	Interval time.Duration // mean time between two rounds; default 10 s
	// TakeoverDelay is the time for which a host must be removed, or a data centre without a gateway, before its
	// leases are acquired; default 10 s.
	TakeoverDelay  time.Duration
	StoreTimeout   time.Duration        // timeout of one call to the table service; default 1 s
	BorrowTimeout  time.Duration        // timeout of a borrowing round; default 50 ms
	BorrowInterval time.Duration        // minimum time between two borrowing rounds of one organisation; default 250 ms
	CallTimeout    time.Duration        // timeout of one call to the holder at another gateway; default 150 ms
	ReadyTimeout   time.Duration        // longest time from the first configuration until Ready returns true; default 5 s
	HolderWait     time.Duration        // time for which a request waits for a holder to answer; default 500 ms
	Now            func() time.Duration // monotonic clock; default: time since New
}

func (o *Options) setDefaults() {
	setDefault(&o.Interval, 10*time.Second)
	setDefault(&o.TakeoverDelay, 10*time.Second)
	setDefault(&o.StoreTimeout, time.Second)
	setDefault(&o.BorrowTimeout, 50*time.Millisecond)
	setDefault(&o.BorrowInterval, 250*time.Millisecond)
	setDefault(&o.CallTimeout, 150*time.Millisecond)
	setDefault(&o.ReadyTimeout, 5*time.Second)
	setDefault(&o.HolderWait, 500*time.Millisecond)
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// jitter returns a random duration between half and one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// Partition returns the partition of an organisation, from 0 to partitions-1.
func Partition(organisation string, partitions int) int {
	return int(xxhash.Sum64String(organisation) % uint64(partitions))
}

// rank returns the position of address in the rendezvous order of the gateways for a partition. The gateway
// with rank zero tries first to acquire the lease. A gateway that is not in the list is last. The prefix gives
// each foreign data centre an order of its own.
func rank(address string, partition int, prefix string, gateways []string) int {
	weight := func(a string) uint64 { return xxhash.Sum64String(prefix + strconv.Itoa(partition) + "/" + a) }
	ownWeight, position := weight(address), 0
	for _, a := range gateways {
		if a != address && weight(a) > ownWeight {
			position++
		}
	}
	if !slices.Contains(gateways, address) {
		return len(gateways)
	}
	return position
}

// membership is the set of data centres between which the limits are divided. It includes data centres that
// are out of service: their holders may be partitioned from the network and not know it, so they keep their
// shares and lend them.
type membership struct {
	snapshot    *config.Snapshot
	dataCentres []string
	version     int64 // configuration version of the last change to a data centre
}

func membershipOf(s *config.Snapshot) membership {
	m := membership{snapshot: s}
	for _, dc := range s.DataCentres() {
		m.dataCentres = append(m.dataCentres, dc.Name)
	}
	for _, e := range s.Since(0) {
		if e.Kind == config.KindDataCentre {
			m.version = max(m.version, e.Version)
		}
	}
	return m
}

// membership returns the data centres in the current configuration, and resets shares if they changed.
// The caller holds mu.
func (h *Holder) membership() membership {
	now := h.opts.Now()
	paused := now-h.snapshotCheckedAt > h.opts.Limit.Propagation
	h.snapshotCheckedAt = now
	s := h.opts.Snapshot()
	if s == h.lastMembership.snapshot {
		return h.lastMembership
	}
	old := h.lastMembership.version
	h.lastMembership = membershipOf(s)
	if old != 0 && old != h.lastMembership.version {
		h.resetShares(now, paused)
	}
	return h.lastMembership
}

// dataCentresConfigured reports whether this gateway's data centre and that of the lease are in the
// configuration.
func (h *Holder) dataCentresConfigured(l *lease) bool {
	dataCentres := h.membership().dataCentres
	return slices.Contains(dataCentres, h.opts.DataCentre) && slices.Contains(dataCentres, l.dataCentre)
}

// resetShares replaces shares by new ones in quarantine: those of a removed data centre, and all of them if
// the holder was paused while the data centres changed. A paused holder may have missed that its data centre
// was removed and added again, and the shares of others may have grown in between.
func (h *Holder) resetShares(now time.Duration, paused bool) {
	for _, l := range h.allLeases() {
		if l.held && (paused || !h.dataCentresConfigured(l)) {
			l.shares = make(map[string]*orgShare)
			l.acquiredAt, l.quarantine = now, h.opts.Limit.GrowthDelay()
			l.generation++
			h.opts.Log.Warn("limit shares reset", "data_centre", l.dataCentre, "partition", l.partitionNumber,
				"epoch", l.row.Epoch, "quarantine", l.quarantine)
		}
	}
}

// usableLeases returns the valid leases of an organisation's partition at now, that of the own data centre
// first. It leaves out leases of data centres that are not configured, and returns none while the
// configuration is not fresh. The caller holds mu.
func (h *Holder) usableLeases(organisation string, now time.Duration) []*lease {
	if !h.opts.Fresh() {
		return nil
	}
	partition := Partition(organisation, h.opts.Partitions)
	var found []*lease
	if l := h.leases[partition]; l.valid(now) && h.dataCentresConfigured(l) {
		found = append(found, l)
	}
	for _, dc := range h.foreignDataCentres {
		if l := h.foreignLeases[dc][partition]; l.valid(now) && h.dataCentresConfigured(l) {
			found = append(found, l)
		}
	}
	return found
}
