// Package limitholder runs the token shares of organisations in a gateway. For each partition of the
// organisations, one gateway of each data centre holds the shares under a lease row of the table service.
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
	"github.com/pomelowheel/pomelowheel/internal/limit"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Caller sends one message to the process at address (IP:port). A nil reply without an error means that
// the message has no answer.
type Caller interface {
	Call(ctx context.Context, address string, message *wirepb.Envelope) (*wirepb.Envelope, error)
}

// Options configure a Holder. Fields without a default are required.
type Options struct {
	Address     string // peers' listen address of this gateway, IP:port
	DataCentre  string
	Incarnation string // new at each start
	Partitions  int
	LeaseTerm   time.Duration
	Limit       limit.Options

	Store    tablestore.Store
	Caller   Caller
	Snapshot func() *config.Snapshot
	Fresh    func() bool               // the snapshot holds every change older than Limit.Propagation
	Gateways func() []string           // addresses of the data centre's gateways, in any order
	Removed  func(address string) bool // the host list listed the host and then removed it
	Log      *slog.Logger

	Interval      time.Duration        // between two reads of the lease rows, before jitter; default 10 s
	Settle        time.Duration        // for which Removed must hold before a takeover; default 10 s
	StoreTimeout  time.Duration        // of one call of the table service; default 1 s
	BorrowTimeout time.Duration        // longest wait for loans; default 50 ms
	BorrowPause   time.Duration        // between two rounds of borrowing for one organisation; default 250 ms
	CallTimeout   time.Duration        // of one reserve at another gateway; default 150 ms
	Now           func() time.Duration // the monotonic clock; default the time since New
}

func (o *Options) setDefaults() {
	setDefault(&o.Interval, 10*time.Second)
	setDefault(&o.Settle, 10*time.Second)
	setDefault(&o.StoreTimeout, time.Second)
	setDefault(&o.BorrowTimeout, 50*time.Millisecond)
	setDefault(&o.BorrowPause, 250*time.Millisecond)
	setDefault(&o.CallTimeout, 150*time.Millisecond)
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

// jitter returns a random duration from half to one and a half of d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// Partition returns the partition of an organisation.
func Partition(organisation string, partitions int) int {
	return int(xxhash.Sum64String(organisation) % uint64(partitions))
}

// rank returns the place of address in the rendezvous order of the gateways for a partition; zero tries
// first. A gateway that is not in the list is last.
func rank(address string, partition int, gateways []string) int {
	weight := func(a string) uint64 { return xxhash.Sum64String(strconv.Itoa(partition) + "/" + a) }
	own, place := weight(address), 0
	for _, a := range gateways {
		if a != address && weight(a) > own {
			place++
		}
	}
	if !slices.Contains(gateways, address) {
		return len(gateways)
	}
	return place
}

// membership is the set of data centres that share the limits: all of them, also those that are out. A
// data centre that is out keeps its share, which its holder lends, because a holder that is cut off may
// not know that it is out.
type membership struct {
	snapshot *config.Snapshot
	names    []string
	version  int64 // configuration version of the last change of a data centre
}

func membershipOf(s *config.Snapshot) membership {
	m := membership{snapshot: s}
	for _, dc := range s.DataCentres() {
		m.names = append(m.names, dc.Name)
	}
	for _, e := range s.Since(0) {
		if e.Kind == config.KindDataCentre {
			m.version = max(m.version, e.Version)
		}
	}
	return m
}

// membership returns the data centres in the current configuration and keeps the shares in step with it.
// The caller holds mu.
func (h *Holder) membership() membership {
	now := h.opts.Now()
	paused := now-h.checkedAt > h.opts.Limit.Propagation
	h.checkedAt = now
	s := h.opts.Snapshot()
	if s == h.members.snapshot {
		return h.members
	}
	old := h.members.version
	h.members = membershipOf(s)
	absent := !slices.Contains(h.members.names, h.opts.DataCentre)
	if old != 0 && old != h.members.version && (paused || absent) {
		h.resetShares(now)
	}
	return h.members
}

// resetShares starts the shares again in quarantine. A holder that was paused while the data centres
// changed may have missed that its own was removed and added again, and others may have grown meanwhile.
func (h *Holder) resetShares(now time.Duration) {
	for _, l := range h.leases {
		if l.held {
			l.shares = make(map[string]*orgShare)
			l.adoptedAt, l.quarantine = now, h.opts.Limit.GrowthDelay()
			l.generation++
			h.opts.Log.Warn("limit shares reset", "partition", l.number, "epoch", l.row.Epoch, "quarantine", l.quarantine)
		}
	}
}

// usable returns the lease of an organisation's partition and whether it may be used at now. A data
// centre that was removed has no share. The caller holds mu.
func (h *Holder) usable(organisation string, now time.Duration) (*lease, bool) {
	l := h.leases[Partition(organisation, h.opts.Partitions)]
	return l, l.valid(now) && h.opts.Fresh() && slices.Contains(h.membership().names, h.opts.DataCentre)
}
