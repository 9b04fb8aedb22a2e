package configsync_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestConfigSync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsync")
}

// clock is a clock that moves by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fleet is a table service and copies that ask each other by name.
type fleet struct {
	clock  *clock
	store  *tablestore.Memory
	copies map[string]*configsync.Copy
	cut    map[string]bool
	rate   float64
}

func newFleet() *fleet {
	return &fleet{
		clock: &clock{now: time.Now()}, store: tablestore.NewMemory(),
		copies: make(map[string]*configsync.Copy), cut: make(map[string]bool),
	}
}

func (f *fleet) accept() int64 {
	log := config.NewLog(f.store)
	s, err := log.Load(context.Background())
	Expect(err).NotTo(HaveOccurred())
	f.rate++
	e, err := config.NewEntity(config.Organisation{Name: "a", Rate: f.rate, Burst: 1})
	Expect(err).NotTo(HaveOccurred())
	held, _ := s.Entity(e.ID())
	e.Version = held.Version
	v, err := log.Accept(context.Background(), config.Change{
		ID: fmt.Sprint("c", s.Version()+1), Author: "x", Reason: "y", Version: s.Version(), Entities: []config.Entity{e},
	})
	Expect(err).NotTo(HaveOccurred())
	return v
}

func (f *fleet) add(name string, store tablestore.Store, peers ...string) *configsync.Copy {
	c := configsync.New(configsync.Options{
		Store: store, Peers: func() []string { return peers }, Now: f.clock.Now,
		Identity: &wirepb.Identity{Address: name},
		Ask: func(_ context.Context, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
			if f.cut[name] || f.cut[address] {
				return nil, errors.New("cut off")
			}
			return f.copies[address].ServeConfig(r), nil
		},
	})
	f.copies[name] = c
	return c
}

var _ = Describe("copy", func() {
	ctx := context.Background()
	var f *fleet
	BeforeEach(func() { f = newFleet() })

	kind := func(c *configsync.Copy) errkind.Kind { return errkind.Of(c.Confirm(ctx)) }

	It("is not ready without any configuration", func() {
		Expect(kind(f.add("g1", f.store))).To(Equal(errkind.NotReady))
	})

	It("answers at once while fresh, without a read", func() {
		f.accept()
		g := f.add("g1", f.store)
		Expect(g.Confirm(ctx)).To(Succeed())
		calls := f.store.Calls()
		f.clock.advance(8 * time.Second)
		Expect(g.Confirm(ctx)).To(Succeed())
		Expect(f.store.Calls()).To(Equal(calls))
	})

	// Guards against admission with an old configuration after SIGSTOP and SIGCONT.
	It("confirms after a stop and then holds what changed meanwhile", func() {
		f.accept()
		g := f.add("g1", f.store)
		Expect(g.Confirm(ctx)).To(Succeed())
		want := f.accept()
		f.clock.advance(time.Minute)
		Expect(g.Confirm(ctx)).To(Succeed())
		Expect(g.Version()).To(Equal(want))
	})

	// Guards against counting the confirmation from the answer: the stop lies between read and answer.
	It("asks again when the process was stopped during the read", func() {
		f.accept()
		stops := &stoppingStore{Store: f.store, stop: func() { f.clock.advance(time.Minute) }}
		g := f.add("g1", stops)
		Expect(g.Confirm(ctx)).To(Succeed())
		Expect(stops.gets).To(Equal(3)) // two heads of the stopped round, one of the round after it
		age, ok := g.ConfirmedAge()
		Expect(ok).To(BeTrue())
		Expect(age).To(BeNumerically("<=", 8*time.Second))
	})

	It("continues through an outage that a peer sees too, and only then", func() {
		f.accept()
		g1 := f.add("g1", f.store, "g2")
		g2 := f.add("g2", f.store, "g1")
		Expect(g1.Confirm(ctx)).To(Succeed())
		Expect(g2.Confirm(ctx)).To(Succeed())
		f.store.SetAway(true)
		f.clock.advance(9 * time.Second)
		Expect(kind(g1)).To(Equal(errkind.ConfigStale)) // g2 has not noticed the outage yet
		Expect(g2.Confirm(ctx)).To(Succeed())           // g1 has
		Expect(kind(g1)).To(Equal(errkind.ConfigStale)) // a refusal stands for a moment
		f.clock.advance(time.Second)
		Expect(g1.Confirm(ctx)).To(Succeed())
		f.cut["g1"] = true
		f.clock.advance(9 * time.Second)
		Expect(kind(g1)).To(Equal(errkind.ConfigStale))
	})

	// Guards against a gateway cut off from the table service that hides a change its peers hold.
	It("follows a peer while cut off from the table service", func() {
		f.accept()
		away := tablestore.NewMemory()
		away.SetAway(true)
		g1 := f.add("g1", away, "g2")
		g2 := f.add("g2", f.store, "g1")
		Expect(g2.Confirm(ctx)).To(Succeed())
		Expect(g1.Confirm(ctx)).To(Succeed())
		want := f.accept()
		f.clock.advance(9 * time.Second)
		Expect(g2.Confirm(ctx)).To(Succeed())
		Expect(g1.Confirm(ctx)).To(Succeed())
		Expect(g1.Version()).To(Equal(want))
	})

	// Guards against ages that restart at each hop, so that processes confirm each other for ever.
	It("adds up ages over hops", func() {
		f.accept()
		g := f.add("g", f.store)
		Expect(g.Confirm(ctx)).To(Succeed())
		f.clock.advance(5 * time.Second)
		s1 := f.add("s1", nil, "g")
		Expect(s1.Confirm(ctx)).To(Succeed())
		s2 := f.add("s2", nil, "s1")
		Expect(s2.Confirm(ctx)).To(Succeed())
		age, _ := s2.ConfirmedAge()
		Expect(age).To(BeNumerically(">=", 5*time.Second))
		f.clock.advance(4 * time.Second)
		f.cut["g"] = true
		Expect(kind(s2)).To(Equal(errkind.ConfigStale))
		Expect(kind(s1)).To(Equal(errkind.ConfigStale))
		f.clock.advance(time.Second)
		Expect(kind(s2)).To(Equal(errkind.ConfigStale))
	})

	// Guards against a revert by a peer with an older copy, or by a process started from one.
	It("never goes back to an older version", func() {
		f.accept()
		old := f.add("old", f.store)
		Expect(old.Confirm(ctx)).To(Succeed())
		want := f.accept()
		g := f.add("g", f.store)
		Expect(g.Confirm(ctx)).To(Succeed())
		s := f.add("s", nil, "old", "g")
		for range 20 {
			f.clock.advance(9 * time.Second)
			f.cut["g"] = !f.cut["g"]
			Expect(g.Confirm(ctx)).To(Succeed())
			held := s.Version()
			_ = s.Confirm(ctx)
			Expect(s.Version()).To(BeNumerically(">=", held))
			if held == want {
				o, _ := s.Snapshot().Organisation("a")
				Expect(o.Rate).To(Equal(2.0))
			}
		}
		Expect(s.Version()).To(Equal(want))
	})

	// Guards against a restored or empty table service that takes accepted configuration back.
	It("keeps its copy when the table service shows an older head", func() {
		f.accept()
		f.accept()
		restored := &switchStore{Store: f.store}
		g := f.add("g", restored)
		Expect(g.Confirm(ctx)).To(Succeed())
		restored.Store = tablestore.NewMemory()
		f.clock.advance(9 * time.Second)
		_ = g.Confirm(ctx)
		Expect(g.Version()).To(Equal(int64(2)))
		age, _ := g.ConfirmedAge()
		Expect(age).To(Equal(9 * time.Second)) // such an answer confirms nothing
	})

	// Guards against a peer that is behind and vouches for a copy that it does not hold.
	It("takes no confirmation from a peer with an older version", func() {
		f.accept()
		f.accept()
		g := configsync.New(configsync.Options{
			Store: f.store, Peers: func() []string { return []string{"behind"} }, Now: f.clock.Now,
			Ask: func(context.Context, string, *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
				return &wirepb.ConfigDelta{Version: 1}, nil
			},
		})
		Expect(g.Confirm(ctx)).To(Succeed())
		f.store.SetAway(true)
		f.clock.advance(9 * time.Second)
		Expect(kind(g)).To(Equal(errkind.ConfigStale))
	})

	It("refuses an entity newer than its delta", func() {
		f.accept()
		g := f.add("g", f.store)
		c := configsync.New(configsync.Options{
			Peers: func() []string { return []string{"x"} }, Now: f.clock.Now,
			Ask: func(context.Context, string, *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
				return &wirepb.ConfigDelta{Version: 1, Entities: []*wirepb.ConfigEntity{{Kind: "organisation", Name: "a", Version: 9}}}, nil
			},
		})
		Expect(g.Confirm(ctx)).To(Succeed())
		Expect(kind(c)).To(Equal(errkind.NotReady))
	})

	// Guards against a table service that gets a read for each request that is refused.
	It("does not ask again for each request while nothing is reachable", func() {
		f.accept()
		g := f.add("g", f.store, "x")
		f.cut["x"] = true
		Expect(g.Confirm(ctx)).To(Succeed())
		f.store.SetAway(true)
		f.clock.advance(time.Minute)
		Expect(kind(g)).To(Equal(errkind.ConfigStale))
		calls := f.store.Calls()
		for range 100 {
			Expect(kind(g)).To(Equal(errkind.ConfigStale))
		}
		Expect(f.store.Calls()).To(Equal(calls))
	})

	// Guards against a deadlock between the copy and a subscriber that asks it something.
	// Guards against a refusal of a request that came with a newer version than the sidecar has polled yet.
	It("pulls the version that a request needs from the gateway that sent it", func() {
		f.accept()
		g1, g2 := f.add("g1", f.store), f.add("g2", f.store)
		s := f.add("s", nil, "g1")
		Expect(g1.Confirm(ctx)).To(Succeed())
		Expect(s.Confirm(ctx)).To(Succeed())
		version := f.accept()
		Expect(g2.Confirm(ctx)).To(Succeed())
		Expect(s.Pull(ctx, "g2", version)).To(Succeed())
		Expect(s.Version()).To(Equal(version))
		f.cut["g2"] = true
		Expect(errkind.Of(s.Pull(ctx, "g2", version+1))).To(Equal(errkind.ConfigStale))
	})

	It("lets a subscriber use the copy", func() {
		f.accept()
		g := f.add("g", f.store)
		var seen []int64
		g.Subscribe(func(s *config.Snapshot) {
			_, _ = g.ConfirmedAge()
			seen = append(seen, s.Version(), g.ServeConfig(&wirepb.ConfigRequest{}).GetVersion())
		})
		Expect(g.Confirm(ctx)).To(Succeed())
		Expect(seen).To(Equal([]int64{1, 1}))
	})

	It("pulls from a peer over a session", func() {
		f.accept()
		g := f.add("g", f.store)
		Expect(g.Confirm(ctx)).To(Succeed())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
			e, err := s.Recv()
			if err == nil {
				_ = s.Send(&wirepb.Envelope{Message: &wirepb.Envelope_ConfigDelta{ConfigDelta: g.ServeConfig(e.GetConfigRequest())}})
			}
		}, slog.New(slog.DiscardHandler))
		go func() { _ = server.Serve(ctx) }()
		pool := transport.NewPool(nil)
		DeferCleanup(func() { pool.Close(); _ = server.Close() })
		s := configsync.New(configsync.Options{
			Pool: pool, Peers: func() []string { return []string{listener.Addr().String()} }, Now: f.clock.Now,
		})
		Expect(s.Confirm(ctx)).To(Succeed())
		Expect(s.Version()).To(Equal(int64(1)))
	})
})

// stoppingStore stops the process between the first head read and its answer.
type stoppingStore struct {
	tablestore.Store
	stop func()
	gets int
}

func (s *stoppingStore) Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error) {
	row, err := s.Store.Get(ctx, key)
	if s.gets++; s.gets == 1 {
		s.stop()
	}
	return row, err
}

// switchStore lets a test replace the store behind it.
type switchStore struct{ tablestore.Store }
