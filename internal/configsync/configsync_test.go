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

// clock is a fake clock that moves only when advance is called.
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

// cluster is a table service and a set of copies that use their names as peer addresses.
type cluster struct {
	clock        *clock
	store        *tablestore.Memory
	copies       map[string]*configsync.Copy
	disconnected map[string]bool
	rate         float64
}

func newCluster() *cluster {
	return &cluster{
		clock: &clock{now: time.Now()}, store: tablestore.NewMemory(),
		copies: make(map[string]*configsync.Copy), disconnected: make(map[string]bool),
	}
}

func (f *cluster) accept() int64 {
	log := config.NewLog(f.store)
	s, err := log.Load(context.Background())
	Expect(err).NotTo(HaveOccurred())
	f.rate++
	e, err := config.NewEntity(config.Organisation{Name: "a", Rate: f.rate, Burst: 1})
	Expect(err).NotTo(HaveOccurred())
	existing, _ := s.Entity(e.ID())
	e.Version = existing.Version
	v, err := log.Accept(context.Background(), config.Change{
		ID: fmt.Sprint("c", s.Version()+1), Author: "x", Reason: "y", Version: s.Version(), Entities: []config.Entity{e},
	})
	Expect(err).NotTo(HaveOccurred())
	return v
}

func (f *cluster) add(name string, store tablestore.Store, peers ...string) *configsync.Copy {
	c := configsync.New(configsync.Options{
		Store: store, Peers: func() []string { return peers }, Now: f.clock.Now,
		Identity: &wirepb.Identity{Address: name},
		FetchDelta: func(_ context.Context, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
			if f.disconnected[name] || f.disconnected[address] {
				return nil, errors.New("peer not reachable")
			}
			return f.copies[address].ServeConfig(r), nil
		},
	})
	f.copies[name] = c
	return c
}

var _ = Describe("copy", func() {
	ctx := context.Background()
	var f *cluster
	BeforeEach(func() { f = newCluster() })

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

	// Guards against requests admitted with an old configuration after the process was suspended (SIGSTOP) and
	// resumed (SIGCONT).
	It("confirms after a suspension and then has the changes made in the meantime", func() {
		f.accept()
		g := f.add("g1", f.store)
		Expect(g.Confirm(ctx)).To(Succeed())
		want := f.accept()
		f.clock.advance(time.Minute)
		Expect(g.Confirm(ctx)).To(Succeed())
		Expect(g.Version()).To(Equal(want))
	})

	// Guards against measuring the age of a confirmation from the time of the answer: here the process is
	// suspended between the read and its answer.
	It("asks again when the process was suspended during the read", func() {
		f.accept()
		suspending := &suspendingStore{Store: f.store, suspend: func() { f.clock.advance(time.Minute) }}
		g := f.add("g1", suspending)
		Expect(g.Confirm(ctx)).To(Succeed())
		Expect(suspending.gets).To(Equal(3)) // two reads of the head in the suspended round, one in the next round
		age, ok := g.ConfirmedAge()
		Expect(ok).To(BeTrue())
		Expect(age).To(BeNumerically("<=", 8*time.Second))
	})

	It("remains usable during an outage only if a peer reports it too", func() {
		f.accept()
		g1 := f.add("g1", f.store, "g2")
		g2 := f.add("g2", f.store, "g1")
		Expect(g1.Confirm(ctx)).To(Succeed())
		Expect(g2.Confirm(ctx)).To(Succeed())
		f.store.SetUnavailable(true)
		f.clock.advance(9 * time.Second)
		Expect(kind(g1)).To(Equal(errkind.ConfigStale)) // g2 has not detected the outage yet
		Expect(g2.Confirm(ctx)).To(Succeed())           // g1 has
		Expect(kind(g1)).To(Equal(errkind.ConfigStale)) // the refusal is still reused
		f.clock.advance(time.Second)
		Expect(g1.Confirm(ctx)).To(Succeed())
		f.disconnected["g1"] = true
		f.clock.advance(9 * time.Second)
		Expect(kind(g1)).To(Equal(errkind.ConfigStale))
	})

	// Guards against a gateway that cannot reach the table service and so misses a change that its peers have.
	It("follows a peer while it cannot reach the table service", func() {
		f.accept()
		unavailable := tablestore.NewMemory()
		unavailable.SetUnavailable(true)
		g1 := f.add("g1", unavailable, "g2")
		g2 := f.add("g2", f.store, "g1")
		Expect(g2.Confirm(ctx)).To(Succeed())
		Expect(g1.Confirm(ctx)).To(Succeed())
		want := f.accept()
		f.clock.advance(9 * time.Second)
		Expect(g2.Confirm(ctx)).To(Succeed())
		Expect(g1.Confirm(ctx)).To(Succeed())
		Expect(g1.Version()).To(Equal(want))
	})

	// Guards against ages that start from zero at each hop, with which processes would confirm each other's copies
	// indefinitely.
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
		f.disconnected["g"] = true
		Expect(kind(s2)).To(Equal(errkind.ConfigStale))
		Expect(kind(s1)).To(Equal(errkind.ConfigStale))
		f.clock.advance(time.Second)
		Expect(kind(s2)).To(Equal(errkind.ConfigStale))
	})

	// Guards against a copy that reverts to an older version because a peer has an older copy, or because a
	// process was started from an older one.
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
			f.disconnected["g"] = !f.disconnected["g"]
			Expect(g.Confirm(ctx)).To(Succeed())
			before := s.Version()
			_ = s.Confirm(ctx)
			Expect(s.Version()).To(BeNumerically(">=", before))
			if before == want {
				o, _ := s.Snapshot().Organisation("a")
				Expect(o.Rate).To(Equal(2.0))
			}
		}
		Expect(s.Version()).To(Equal(want))
	})

	// Guards against accepted changes that are undone because the table service was restored from a backup or is
	// empty.
	It("keeps its copy when the table service has an older head", func() {
		f.accept()
		f.accept()
		restored := &swappableStore{Store: f.store}
		g := f.add("g", restored)
		Expect(g.Confirm(ctx)).To(Succeed())
		restored.Store = tablestore.NewMemory()
		f.clock.advance(9 * time.Second)
		_ = g.Confirm(ctx)
		Expect(g.Version()).To(Equal(int64(2)))
		age, _ := g.ConfirmedAge()
		Expect(age).To(Equal(9 * time.Second)) // such an answer confirms nothing
	})

	// Guards against a confirmation by a peer that has an older version than the copy it confirms.
	It("takes no confirmation from a peer with an older version", func() {
		f.accept()
		f.accept()
		g := configsync.New(configsync.Options{
			Store: f.store, Peers: func() []string { return []string{"behind"} }, Now: f.clock.Now,
			FetchDelta: func(context.Context, string, *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
				return &wirepb.ConfigDelta{Version: 1}, nil
			},
		})
		Expect(g.Confirm(ctx)).To(Succeed())
		f.store.SetUnavailable(true)
		f.clock.advance(9 * time.Second)
		Expect(kind(g)).To(Equal(errkind.ConfigStale))
	})

	It("refuses an entity newer than its delta", func() {
		f.accept()
		g := f.add("g", f.store)
		c := configsync.New(configsync.Options{
			Peers: func() []string { return []string{"x"} }, Now: f.clock.Now,
			FetchDelta: func(context.Context, string, *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
				return &wirepb.ConfigDelta{
					Version: 1, Entities: []*wirepb.ConfigEntity{{Kind: "organisation", Name: "a", Version: 9}},
				}, nil
			},
		})
		Expect(g.Confirm(ctx)).To(Succeed())
		Expect(kind(c)).To(Equal(errkind.NotReady))
	})

	// Guards against a read of the table service for each refused request.
	It("does not ask again for each request while nothing is reachable", func() {
		f.accept()
		g := f.add("g", f.store, "x")
		f.disconnected["x"] = true
		Expect(g.Confirm(ctx)).To(Succeed())
		f.store.SetUnavailable(true)
		f.clock.advance(time.Minute)
		Expect(kind(g)).To(Equal(errkind.ConfigStale))
		calls := f.store.Calls()
		for range 100 {
			Expect(kind(g)).To(Equal(errkind.ConfigStale))
		}
		Expect(f.store.Calls()).To(Equal(calls))
	})

	// Guards against the refusal of a request that needs a newer version than the sidecar has polled so far.
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
		f.disconnected["g2"] = true
		Expect(errkind.Of(s.Pull(ctx, "g2", version+1))).To(Equal(errkind.ConfigStale))
	})

	// Guards against a deadlock when a subscriber calls methods of the copy.
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
				_ = s.Send(&wirepb.Envelope{
					Message: &wirepb.Envelope_ConfigDelta{ConfigDelta: g.ServeConfig(e.GetConfigRequest())},
				})
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

// suspendingStore calls suspend between the first read and its answer, as if the process had been suspended.
type suspendingStore struct {
	tablestore.Store
	suspend func()
	gets    int
}

func (s *suspendingStore) Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error) {
	row, err := s.Store.Get(ctx, key)
	if s.gets++; s.gets == 1 {
		s.suspend()
	}
	return row, err
}

// swappableStore forwards to a Store that a test can replace.
type swappableStore struct{ tablestore.Store }
