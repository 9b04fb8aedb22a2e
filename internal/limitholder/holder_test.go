package limitholder

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestLimitHolder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limitholder")
}

// testStore is an in-memory table service whose writes and reads can be made to fail.
type testStore struct {
	mu          sync.Mutex
	rows        map[string]tablestore.Row
	writes      int
	onWrite     func() error // called before each write; ErrUnknown is returned after the write took effect
	unavailable bool
}

func (s *testStore) Get(context.Context, tablestore.Key) (tablestore.Row, error) { panic("unused") }

func (s *testStore) Query(_ context.Context, _, after string, limit int) ([]tablestore.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, tablestore.ErrUnavailable
	}
	var rows []tablestore.Row
	for _, r := range s.rows {
		if r.Key.Sort > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return cmp.Compare(a.Key.Sort, b.Key.Sort) })
	return rows[:min(limit, len(rows))], nil
}

func (s *testStore) Write(_ context.Context, _ string, ops ...tablestore.Op) error {
	s.writes++
	var result error
	if s.onWrite != nil {
		result = s.onWrite()
	}
	if result != nil && result != tablestore.ErrUnknown {
		return result
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []tablestore.Key
	for _, op := range ops {
		if s.rows[op.Key.Sort].Version != op.IfVersion {
			conflicts = append(conflicts, op.Key)
		}
	}
	if conflicts != nil {
		return &tablestore.PreconditionError{Keys: conflicts}
	}
	for _, op := range ops {
		s.rows[op.Key.Sort] = tablestore.Row{Key: op.Key, Version: op.IfVersion + 1, Value: op.Value}
	}
	return result
}

// fleet is a set of gateways that share a table service. The clock of each gateway is now plus its offset.
type fleet struct {
	store       *testStore
	now         time.Duration
	gateways    map[string]*Holder
	unreachable map[string]bool
	removed     map[string]bool
	unlisted    map[string]bool // missing from the host list but not known to be removed
	staleConfig bool
	callDelay   time.Duration // added to now by every call
	snapshot    *config.Snapshot
}

func newFleet(dataCentres ...string) *fleet {
	f := &fleet{
		store: &testStore{rows: make(map[string]tablestore.Row)}, gateways: make(map[string]*Holder),
		unreachable: make(map[string]bool), removed: make(map[string]bool), unlisted: make(map[string]bool),
		snapshot: new(config.Snapshot),
	}
	f.setEntity(config.Organisation{Name: "north", Rate: 30, Burst: 300})
	for _, dc := range dataCentres {
		f.setEntity(config.DataCentre{Name: dc})
	}
	return f
}

func (f *fleet) setEntity(value any) {
	e, err := config.NewEntity(value)
	if err != nil {
		panic(err)
	}
	e.Version = f.snapshot.Version() + 1
	if f.snapshot, err = f.snapshot.Apply(e.Version, []config.Entity{e}); err != nil {
		panic(err)
	}
}

func (f *fleet) removeEntity(kind config.Kind, name string) {
	e := config.Entity{Kind: kind, Name: name, Version: f.snapshot.Version() + 1, Deleted: true}
	f.snapshot, _ = f.snapshot.Apply(e.Version, []config.Entity{e})
}

// Call implements Caller.
func (f *fleet) Call(ctx context.Context, address string, m *wirepb.Envelope) (*wirepb.Envelope, error) {
	if f.unreachable[address] || f.gateways[address] == nil {
		return nil, fmt.Errorf("%s: unreachable", address)
	}
	reply := f.gateways[address].Serve(ctx, m)
	if f.callDelay > 0 {
		f.now += f.callDelay
	}
	return reply, nil
}

var fleetLimit = limitshare.Options{MaxLoanDuration: 5 * time.Second, LoanReturnMargin: time.Second,
	Propagation: 16 * time.Second}

func (f *fleet) start(dc, address, incarnation string, offset time.Duration) *Holder {
	h := New(Options{
		Address: address, DataCentre: dc, Incarnation: incarnation, Partitions: 2, LeaseTerm: 90 * time.Minute,
		Limit: fleetLimit, Store: f.store, Caller: f, Log: slog.New(slog.DiscardHandler),
		Snapshot: func() *config.Snapshot { return f.snapshot },
		Fresh:    func() bool { return !f.staleConfig },
		Gateways: func() []string { return []string{address} },
		Peers:    f.peers,
		Removed:  func(a string) bool { return f.removed[a] },
		Now:      func() time.Duration { return f.now + offset },
	})
	f.gateways[address] = h
	return h
}

// peers returns the gateways in the host list.
func (f *fleet) peers() (list []Peer, known bool) {
	for address, h := range f.gateways {
		if !f.removed[address] && !f.unlisted[address] {
			list = append(list, Peer{address, h.opts.DataCentre})
		}
	}
	return list, true
}

func (f *fleet) runRounds() {
	for range 2 { // in the second round each gateway reads the rows of the others
		for _, h := range f.gateways {
			Expect(h.Round(context.Background())).To(Succeed())
		}
	}
}

func (f *fleet) reserve(h *Holder, tokens int64) (Reservation, error) {
	org, _ := f.snapshot.Organisation("north")
	return NewClient(h).Reserve(context.Background(), "r", org, tokens)
}

func kindOf(_ Reservation, err error) errkind.Kind { return errkind.Of(err) }

var _ = Describe("a limit holder", func() {
	var f *fleet
	var a, b, c *Holder

	BeforeEach(func() {
		f = newFleet("a", "b", "c")
		a = f.start("a", "a1", "i1", 0)
		b = f.start("b", "b1", "i1", time.Hour)
		c = f.start("c", "c1", "i1", 7*time.Minute)
		f.runRounds()
	})

	It("guards against more than the burst, and against refusing a request that all shares together could grant", func() {
		_, err := f.reserve(a, 300)
		Expect(err).NotTo(HaveOccurred())
		for _, h := range []*Holder{a, b, c} {
			Expect(kindOf(f.reserve(h, 1))).To(Equal(errkind.RateLimited))
		}
		Expect(kindOf(f.reserve(a, 301))).To(Equal(errkind.RequestTooLarge))
		_, err = f.reserve(a, 10)
		var refusal *RateLimitError
		Expect(err).To(BeAssignableToTypeOf(refusal))
		refusal = err.(*RateLimitError)
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		f.now += refusal.RetryAfter
		_, err = f.reserve(a, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Vars().String()).To(ContainSubstring(`"loans_taken": 2`))
	})

	It("guards against one write for each partition and against renewals in every round", func() {
		Expect(f.store.writes).To(Equal(3))
		f.now += 29 * time.Minute
		f.runRounds()
		Expect(f.store.writes).To(Equal(3))
		f.now += 2 * time.Minute
		f.runRounds()
		Expect(f.store.writes).To(Equal(6))
		Expect(a.leases[0].row.Epoch).To(BeEquivalentTo(1))
	})

	It("guards against refusals during a table service outage of an hour, and grants after the lease expired", func() {
		f.store.unavailable = true
		f.now += time.Hour
		Expect(a.Round(context.Background())).NotTo(Succeed())
		_, err := f.reserve(a, 300)
		Expect(err).NotTo(HaveOccurred())
		f.now += 30 * time.Minute // paused until the lease has expired
		Expect(kindOf(f.reserve(a, 1))).To(Equal(errkind.LimitsUnavailable))
		Expect(a.lend(&wirepb.LimitBorrow{Organisation: "north", Tokens: 1, DurationMs: 1000}).GetTokens()).To(BeZero())
	})

	It("guards against acquiring a lease before it expired, was released, or its host was removed", func() {
		a2 := f.start("a", "a2", "i1", 0)
		f.runRounds()
		f.now += 20 * time.Minute // a1 is paused: no renewal
		Expect(a2.Round(context.Background())).To(Succeed())
		Expect(a2.Holds(0)).To(BeFalse())
		f.removed["a1"] = true
		Expect(a2.Round(context.Background())).To(Succeed())
		Expect(a2.Holds(0)).To(BeFalse(), "before TakeoverDelay")
		f.now += 10 * time.Second
		Expect(a2.Round(context.Background())).To(Succeed())
		Expect(a2.Holds(0)).To(BeTrue())
		Expect(a.Round(context.Background())).To(Succeed())
		Expect(a.Holds(0)).To(BeFalse())

		Expect(a2.Release(context.Background())).To(Succeed())
		Expect(a2.Holds(0)).To(BeFalse())
		Expect(a2.Round(context.Background())).To(Succeed())
		Expect(a2.Holds(0)).To(BeFalse(), "a holder that shuts down acquires no lease")
		Expect(a.Round(context.Background())).To(Succeed())
		Expect(a.Holds(0)).To(BeTrue())
		Expect(a.leases[0].row.Epoch).To(BeEquivalentTo(3))
	})

	It("guards against a new holder that spends what its predecessor lent, and a refund across the change", func() {
		r, err := f.reserve(a, 300)
		Expect(err).NotTo(HaveOccurred())
		old := r.(*reservation)
		a = f.start("a", "a1", "i2", time.Minute)
		f.now += time.Second
		f.unreachable["b1"], f.unreachable["c1"] = true, true
		Expect(a.Round(context.Background())).To(Succeed())
		Expect(a.Holds(0)).To(BeTrue(), "a new incarnation at the same address need not wait")
		f.now += 6*time.Second - 1
		Expect(kindOf(f.reserve(a, 1))).To(Equal(errkind.RateLimited))
		f.now += time.Second + 1
		_, err = f.reserve(a, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(kindOf(f.reserve(a, 1))).To(Equal(errkind.RateLimited))
		// The reservations of both epochs have the same number.
		a.refund(&wirepb.LimitRefund{
			ReservationId: old.grant.ReservationId, Organisation: "north", Epoch: old.grant.Epoch, Unused: 300,
		})
		Expect(kindOf(f.reserve(a, 1))).To(Equal(errkind.RateLimited))
	})

	It("guards against a data centre that is added with a full share while the others still have theirs", func() {
		f.setEntity(config.DataCentre{Name: "d"})
		d := f.start("d", "d1", "i1", 0)
		Expect(d.Round(context.Background())).To(Succeed())
		Expect(d.Holds(0)).To(BeTrue())
		f.unreachable["a1"], f.unreachable["b1"], f.unreachable["c1"] = true, true, true
		f.now += fleetLimit.GrowthDelay() - 1
		Expect(kindOf(f.reserve(d, 1))).To(Equal(errkind.RateLimited))
	})

	It("guards against a lost answer that leaves a lease without a holder", func() {
		a2 := f.start("a", "a2", "i1", 0)
		Expect(a.Release(context.Background())).To(Succeed())
		f.store.onWrite = func() error { return tablestore.ErrUnknown }
		Expect(a2.Round(context.Background())).NotTo(Succeed())
		Expect(a2.Holds(0)).To(BeFalse())
		f.store.onWrite = nil
		f.now += time.Minute
		Expect(a2.Round(context.Background())).To(Succeed())
		Expect(a2.Holds(0)).To(BeTrue())
		f.now += 89 * time.Minute // the term counts from before the first attempt
		Expect(a2.Holds(0)).To(BeFalse())
	})

	It("guards against a grant that is used long after it was asked for", func() {
		a2 := f.start("a", "a2", "i1", 0)
		f.runRounds()
		f.callDelay = time.Second
		Expect(kindOf(f.reserve(a2, 10))).To(Equal(errkind.LimitsUnavailable))
		f.callDelay = time.Millisecond
		_, err := f.reserve(a2, 10)
		Expect(err).NotTo(HaveOccurred())
	})

	It("guards against an organisation without service while its data centre has no holder", func() {
		a2 := f.start("a", "a2", "i1", 0)
		f.runRounds()
		f.unreachable["a1"] = true
		_, err := f.reserve(a2, 10) // served by b1
		Expect(err).NotTo(HaveOccurred())
		f.unreachable["b1"], f.unreachable["c1"] = true, true
		Expect(kindOf(f.reserve(a2, 10))).To(Equal(errkind.LimitsUnavailable))
	})

	It("guards against borrowing more often than the pause allows", func() {
		_, err := f.reserve(a, 300)
		Expect(err).NotTo(HaveOccurred())
		f.unreachable["b1"], f.unreachable["c1"] = true, true
		f.now += time.Second
		for range 50 {
			_, _ = f.reserve(a, 300)
		}
		Expect(a.metrics.loansFailed.Value()).To(BeEquivalentTo(2))
	})
})

// TestRunReleasesLeases guards against a Run that never acquires the leases, or keeps them after a graceful
// shutdown.
func TestRunReleasesLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a")
		h := f.start("a", "a1", "i1", 0)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		synctest.Wait()
		g.Expect(h.Holds(0)).To(BeTrue())
		cancel()
		g.Expect(<-done).To(Succeed())
		g.Expect(h.Holds(0)).To(BeFalse())
		g.Expect(h.strandedShares()).To(Equal(2))
	})
}

var _ = Describe("PoolCaller", func() {
	It("guards against a call that does not reach a holder over the wire, or waits longer than its time", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		reply := &wirepb.Envelope{Message: &wirepb.Envelope_LimitLoan{LimitLoan: &wirepb.LimitLoan{Tokens: 7}}}
		server := transport.NewServer(l, nil, func(ctx context.Context, s *transport.Stream) {
			// Serves any number of messages on a stream, as a gateway does.
			for m, err := s.Recv(); err == nil; m, err = s.Recv() {
				if m.GetLimitReserve() != nil {
					<-ctx.Done() // never answers
					return
				}
				if m.GetLimitBorrow() != nil {
					_ = s.Send(reply)
				}
			}
		}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = server.Serve(ctx) }()
		pool := transport.NewPool(nil)
		defer pool.Close()
		caller := NewPoolCaller(pool)
		got, err := caller.Call(ctx, l.Addr().String(),
			&wirepb.Envelope{Message: &wirepb.Envelope_LimitBorrow{LimitBorrow: &wirepb.LimitBorrow{}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.GetLimitLoan().GetTokens()).To(BeEquivalentTo(7))
		got, err = caller.Call(ctx, l.Addr().String(),
			&wirepb.Envelope{Message: &wirepb.Envelope_LimitRefund{LimitRefund: &wirepb.LimitRefund{}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(BeNil())
		short, cancelShort := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancelShort()
		_, err = caller.Call(short, l.Addr().String(),
			&wirepb.Envelope{Message: &wirepb.Envelope_LimitReserve{LimitReserve: &wirepb.LimitReserve{}}})
		Expect(err).To(HaveOccurred())
		Expect(pool.Len()).To(BeZero())
	})
})
