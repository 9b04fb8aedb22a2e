package planner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestPlanner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "planner")
}

// leaseStore is a table store that holds only the lease row.
type leaseStore struct {
	row  tablestore.Row
	fail error // returned by the next calls; a write that returns ErrUnknown takes effect
}

func (s *leaseStore) Get(context.Context, tablestore.Key) (tablestore.Row, error) {
	if s.fail != nil && s.fail != tablestore.ErrUnknown {
		return tablestore.Row{}, s.fail
	}
	if s.row.Version == 0 {
		return tablestore.Row{}, tablestore.ErrNotFound
	}
	return s.row, nil
}

func (s *leaseStore) Query(context.Context, string, string, int) ([]tablestore.Row, error) {
	panic("unused")
}

func (s *leaseStore) Write(_ context.Context, _ string, ops ...tablestore.Op) error {
	if ops[0].IfVersion != s.row.Version {
		return &tablestore.PreconditionError{Keys: []tablestore.Key{ops[0].Key}}
	}
	s.row = tablestore.Row{Key: ops[0].Key, Version: s.row.Version + 1, Value: ops[0].Value}
	return s.fail
}

// fakeSidecars carry out orders at once, refuse orders of older epochs, and can lose orders or replies.
type fakeSidecars struct {
	mu        sync.Mutex
	epoch     int64
	statuses  []SidecarStatus
	orders    []string
	refusals  int
	loseReply bool
	loseOrder bool
}

func (s *fakeSidecars) Statuses() []SidecarStatus { return s.statuses }

func (s *fakeSidecars) Order(_ context.Context, address string, o *wirepb.ModelOrder) (*wirepb.OrderReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, fmt.Sprintf("%d %s %s %s", o.PlannerEpoch, o.Action, o.Model, address))
	if s.loseOrder {
		return nil, errors.New("order lost")
	}
	if o.PlannerEpoch < s.epoch {
		s.refusals++
		return &wirepb.OrderReply{Kind: int32(errkind.ProtocolError), Detail: "older epoch"}, nil
	}
	s.epoch = o.PlannerEpoch
	for _, x := range s.statuses {
		x.Status.PlannerEpoch = s.epoch
	}
	i := slices.IndexFunc(s.statuses, func(x SidecarStatus) bool { return x.Address == address })
	status := s.statuses[i].Status
	if o.Action == "load" {
		status.Resident = append(status.Resident, o.Model)
		status.MemoryFreeMb -= 40
	}
	if s.loseReply {
		return nil, errors.New("reply lost")
	}
	return &wirepb.OrderReply{}, nil
}

func (s *fakeSidecars) add(address, dc string, resident ...string) {
	s.statuses = append(s.statuses, SidecarStatus{Address: address, Status: &wirepb.Status{
		Identity: &wirepb.Identity{DataCentre: dc, Incarnation: "i1"}, Kind: "model", Ready: true,
		Resident: resident, MemoryTotalMb: 100, MemoryFreeMb: 100 - 40*int64(len(resident)),
	}})
}

var _ = Describe("a planner", func() {
	var store *leaseStore
	var sidecars *fakeSidecars
	var snapshot *config.Snapshot
	var copies map[string][]string
	var now time.Duration
	ctx := context.Background()

	newPlanner := func(address, incarnation string, offset time.Duration) *Planner {
		return New(Options{
			Address: address, Incarnation: incarnation, Interval: 2 * time.Second, LeaseTerm: 20 * time.Second,
			LoadRate: 1.5, MaxConcurrentLoads: 2, Store: store, Sidecars: sidecars, MaxWeightsFraction: 1,
			Snapshot: func() *config.Snapshot { return snapshot },
			Copies:   func(context.Context) (map[string][]string, error) { return copies, nil },
			Log:      slog.New(slog.DiscardHandler),
			Now:      func() time.Duration { return now + offset },
		})
	}
	runRounds := func(p *Planner, n int) {
		for range n {
			_ = p.Round(ctx)
			now += 2 * time.Second
		}
	}

	BeforeEach(func() {
		store, sidecars, now, copies = new(leaseStore), new(fakeSidecars), 0, nil
		snapshot = new(config.Snapshot)
		for i, v := range []any{
			config.DataCentre{Name: "a"}, config.DataCentre{Name: "b"},
			config.Model{Name: "x", MemoryMB: 40, MinCopies: 2}, config.Model{Name: "y", MemoryMB: 40, MinCopies: 2},
		} {
			e, err := config.NewEntity(v)
			Expect(err).NotTo(HaveOccurred())
			e.Version = int64(i + 1)
			snapshot, err = snapshot.Apply(e.Version, []config.Entity{e})
			Expect(err).NotTo(HaveOccurred())
		}
		sidecars.add("s1", "a", "x")
		sidecars.add("s2", "b")
	})

	It("guards against orders of a paused planner being carried out after another took over", func() {
		p1, p2 := newPlanner("g1", "i1", 0), newPlanner("g2", "i1", time.Hour)
		runRounds(p1, 1)
		runRounds(p2, 1)
		now += 22 * time.Second // p1 does not run during this time
		runRounds(p2, 2)
		Expect(sidecars.epoch).To(BeEquivalentTo(2))
		p1.lease.sentAt = now // as if p1 had been paused after it checked its lease
		sidecars.statuses[0].Status.Resident = nil
		sidecars.statuses[0].Status.MemoryFreeMb = 100
		runRounds(p1, 1)
		Expect(sidecars.refusals).To(BeNumerically(">", 0))
		Expect(sidecars.orders).To(ContainElement(HavePrefix("1 load")))
	})

	It("guards against loads faster than the weight store allows, and an order that is repeated while in progress", func() {
		sidecars.loseOrder = true
		p := newPlanner("g1", "i1", 0)
		_ = p.Round(ctx)
		Expect(sidecars.orders).To(BeEmpty(), "no load is due before the rate allows one")
		now += time.Second
		_ = p.Round(ctx)
		Expect(sidecars.orders).To(HaveLen(1))
		runRounds(p, 50)
		Expect(sidecars.orders).To(HaveLen(2), "two slots, and lost orders hold them until they expire")
		runRounds(p, 15)
		Expect(len(sidecars.orders)).To(BeNumerically(">", 2))
	})

	It("guards against a placement that stalls when replies are lost", func() {
		sidecars.loseReply = true
		runRounds(newPlanner("g1", "i1", 0), 10)
		for _, x := range sidecars.statuses {
			Expect(x.Status.Resident).To(ConsistOf("x", "y"))
		}
	})

	It("guards against planning without a lease while the table service is unavailable", func() {
		p := newPlanner("g1", "i1", 0)
		runRounds(p, 1)
		store.fail = tablestore.ErrUnavailable
		runRounds(p, 12)
		sent := len(sidecars.orders)
		sidecars.statuses[0].Status.Resident = nil
		runRounds(p, 5)
		Expect(sidecars.orders).To(HaveLen(sent))
	})

	It("guards against a lost reply that leaves the lease without a holder, and a wait for the term after a release", func() {
		p1, p2 := newPlanner("g1", "i1", 0), newPlanner("g2", "i1", 0)
		store.fail = tablestore.ErrUnknown
		runRounds(p1, 1)
		store.fail = nil
		runRounds(p1, 1)
		Expect(p1.lease.valid(now)).To(BeTrue())
		runRounds(p2, 1)
		Expect(p2.lease.held).To(BeFalse())
		Expect(p1.release(ctx)).To(Succeed())
		runRounds(p2, 1)
		Expect(p2.lease.row.Epoch).To(BeEquivalentTo(2))
	})

	It("guards against a new planner that loads what is resident at sidecars without a status yet", func() {
		sidecars.statuses = sidecars.statuses[1:]
		copies = map[string][]string{"x": {"s1", "s3"}, "y": {"s1", "s3"}}
		p := newPlanner("g1", "i1", 0)
		runRounds(p, 5)
		Expect(sidecars.orders).To(BeEmpty())
		runRounds(p, 3)
		Expect(sidecars.orders).To(HaveLen(2))
	})

	It("guards against every gateway reading the lease row at the planning interval", func() {
		holder, nonHolder := newPlanner("g1", "i1", 0), newPlanner("g2", "i2", 0)
		runRounds(holder, 1)
		runRounds(nonHolder, 1)
		for range 100 {
			Expect(holder.nextRoundDelay()).To(BeNumerically("<=", 3*time.Second))
			Expect(nonHolder.nextRoundDelay()).To(BeNumerically(">=", 2500*time.Millisecond))
			Expect(nonHolder.nextRoundDelay()).To(BeNumerically("<=", 7500*time.Millisecond))
		}
	})

	It("guards against a planner without usable sidecars in a fleet whose poll round is longer than the status age", func() {
		for i := range sidecars.statuses {
			sidecars.statuses[i].Age = time.Minute
		}
		p := newPlanner("g1", "i1", 0)
		runRounds(p, 4)
		Expect(sidecars.orders).To(BeEmpty())
		Expect(p.HoldsLease()).To(BeTrue())
		p.opts.PollRound = func() time.Duration { return 76 * time.Second }
		p.state.opts.PollRound = p.opts.PollRound
		runRounds(p, 4)
		Expect(sidecars.orders).NotTo(BeEmpty())
	})

	It("guards against demand that does not reach the plan, and a restarted sidecar counted as demand", func() {
		p := newPlanner("g1", "i1", 0)
		for i := range 30 {
			load := &wirepb.ModelLoad{Model: "x", Tokens: int64(i) * 1000}
			if i > 20 {
				sidecars.statuses[0].Status.Identity.Incarnation = "i2"
				load.Tokens = 1 << 40
			}
			sidecars.statuses[0].Status.ModelLoads = []*wirepb.ModelLoad{load}
			runRounds(p, 1)
			if i == 20 {
				Expect(p.state.demand.Rate("x")).To(BeNumerically("~", 500, 200))
			}
		}
		Expect(p.state.demand.Rate("x")).To(BeNumerically("<", 500))
	})

	// Guards against orders that all sidecars refuse, and against an epoch of two planners, because the lease row is an earlier one.
	DescribeTable("has a higher epoch than before when the table service was restored from a copy", func(holder bool) {
		first := newPlanner("g1", "i1", 0)
		runRounds(first, 1)
		taken := store.row
		now += time.Minute
		second := newPlanner("g2", "i2", 0)
		runRounds(second, 30)
		Expect(second.HoldsLease()).To(BeTrue())
		held := second.lease.row.Epoch
		store.row = taken
		p := newPlanner("g3", "i3", 0)
		if holder {
			p = second
		}
		runRounds(p, 30) // longer than two terms
		Expect(p.HoldsLease()).To(BeTrue())
		Expect(p.lease.row.Epoch).To(BeNumerically(">", held))
		Expect(sidecars.refusals).To(BeZero())
	}, Entry("the holder", true), Entry("another gateway", false))
})
