package discovery_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/discovery"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/freshness"
	"github.com/pomelowheel/pomelowheel/platform"
)

func TestDiscovery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "discovery")
}

const (
	eventuallyTimeout = 5 * time.Second
	slowResponseBytes = 400_000 // of a store's response, per second
)

// gateway runs the discovery of one gateway against the given store.
type gateway struct {
	store    *fake.Store
	view     *fleet.View
	follower *discovery.Follower
	reads    atomic.Bool
	relays   atomic.Bool

	mu        sync.Mutex
	published []platform.Row
}

func newGateway(store *fake.Store) *gateway { return newGatewayBehind(store, store.Handler()) }

// newGatewayBehind returns a gateway whose calls to the store go through handler.
func newGatewayBehind(store *fake.Store, handler http.Handler) *gateway {
	GinkgoHelper()
	g := &gateway{store: store, view: fleet.NewView()}
	g.reads.Store(true)
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	g.follower = discovery.New(discovery.Options{
		Store: platform.NewStore(server.Listener.Addr().String(), nil), View: g.view, Clock: bootclock.Now,
		RemovalGrace: time.Second, RewriteGrace: 2 * time.Second, IsReader: func(int) bool { return g.reads.Load() }, OnRemoved: func([]string) {},
		RelaysRows: g.relays.Load, Freshness: freshness.New(3 * time.Second),
		Publish: func(rows []platform.Row) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.published = append(g.published, rows...)
		},
		Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = g.follower.Run(ctx) })
	DeferCleanup(func() { cancel(); done.Wait() })
	return g
}

func (g *gateway) version() int64 {
	if c := g.view.Snapshot().Config; c != nil {
		return c.Version
	}
	return 0
}

func (g *gateway) servers() int { return len(g.view.Snapshot().Replicas) }

func entry(address string) []byte {
	return []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","state":"ready","slots":4}`, address))
}

func configure(s *fake.Store, version int) {
	s.Put("op", "config", []byte(fmt.Sprintf(`{"version":%d}`, version)))
}

var _ = Describe("discovery", func() {
	var store *fake.Store
	BeforeEach(func() { store = fake.NewStore() })

	It("follows the configuration, data centres and servers, and skips entries that do not decode", func() {
		configure(store, 7)
		store.Put("servers", "i-1", entry("10.0.0.1:80"))
		store.Put("servers", "ghost", []byte("\x00"))
		g := newGateway(store)
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(7))
		Eventually(g.servers, eventuallyTimeout).Should(Equal(1))
		configure(store, 9)
		store.Put("op", "evacuate/a", []byte("{}"))
		store.Put("servers", "i-2", entry("10.0.0.2:80"))
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(9))
		Eventually(g.servers, eventuallyTimeout).Should(Equal(2))
		Eventually(func() bool { return g.view.Snapshot().OutOfService["a"] }, eventuallyTimeout).Should(BeTrue())
		store.Remove("op", "evacuate/a")
		Eventually(func() bool { return g.view.Snapshot().OutOfService["a"] }, eventuallyTimeout).Should(BeFalse())
		store.Put("op", "config", []byte("broken"))
		Consistently(g.version, 300*time.Millisecond).Should(BeEquivalentTo(9), "the previous configuration stays")
	})

	// Guards against a read of a large configuration that is given up while its response is arriving, and begins anew.
	DescribeTable("reads a configuration whose response takes longer than the time limit of a call", func(before func(*fake.Store)) {
		before(store)
		handler := store.Handler()
		g := newGatewayBehind(store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, r)
			w.WriteHeader(recorder.Code)
			for body := recorder.Body.Bytes(); len(body) > 0; {
				n, _ := w.Write(body[:min(len(body), slowResponseBytes/20)])
				body = body[n:]
				_ = http.NewResponseController(w).Flush()
				if n == 0 || len(body) == 0 {
					return
				}
				time.Sleep(time.Second / 20)
			}
		}))
		Eventually(g.version, 2*eventuallyTimeout).Should(BeEquivalentTo(1))
		store.Put("op", "config", fmt.Appendf(nil, `{"version":2,"routes":[],"padding":%q}`, strings.Repeat("x", 3*slowResponseBytes)))
		Eventually(g.version, 2*eventuallyTimeout).Should(BeEquivalentTo(2))
	},
		Entry("by the feed", func(s *fake.Store) { configure(s, 1) }),
		Entry("by a list", func(s *fake.Store) {
			s.Put("op", "config", fmt.Appendf(nil, `{"version":1,"padding":%q}`, strings.Repeat("x", 2*slowResponseBytes)))
		}),
	)

	It("lists again when the store history is lost, and detects entries removed in the meantime", func() {
		configure(store, 1)
		store.Put("servers", "i-1", entry("10.0.0.1:80"))
		store.Put("servers", "i-2", entry("10.0.0.2:80"))
		g := newGateway(store)
		Eventually(g.servers, eventuallyTimeout).Should(Equal(2))
		store.SetFaults(fake.StoreFaults{Refuse: true})
		time.Sleep(300 * time.Millisecond)
		store.Remove("servers", "i-2")
		configure(store, 2)
		store.DropHistory()
		store.SetFaults(fake.StoreFaults{})
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(2))
		Eventually(g.servers, eventuallyTimeout).Should(Equal(1))
	})

	// Guards against removing running servers whose entries expired while the store was unreachable.
	It("keeps servers whose entries expired in an outage until the grace period ends", func() {
		configure(store, 1)
		store.Put("servers", "back", entry("10.0.0.1:80"))
		store.Put("servers", "gone", entry("10.0.0.2:80"))
		g := newGateway(store)
		Eventually(g.servers, eventuallyTimeout).Should(Equal(2))
		store.SetFaults(fake.StoreFaults{Refuse: true})
		Eventually(g.follower.StoreUnavailable, eventuallyTimeout).Should(BeTrue())
		store.Remove("servers", "back")
		store.Remove("servers", "gone")
		store.SetFaults(fake.StoreFaults{})
		Eventually(g.follower.StoreUnavailable, eventuallyTimeout).Should(BeFalse())
		store.Put("servers", "back", entry("10.0.0.1:80"))
		Consistently(g.servers, 400*time.Millisecond).Should(Equal(2))
		Eventually(g.servers, eventuallyTimeout).Should(Equal(1))
		Expect(g.view.Snapshot().Replicas).To(HaveKey("back"))
	})

	// Guards against servers that leave and are kept for the grace period of an outage that ended long ago.
	It("ends the outage of a gateway that stopped reading the store in it", func() {
		configure(store, 1)
		store.Put("servers", "i-1", entry("10.0.0.1:80"))
		g := newGateway(store)
		Eventually(g.servers, eventuallyTimeout).Should(Equal(1))
		store.SetFaults(fake.StoreFaults{Refuse: true})
		Eventually(g.follower.StoreUnavailable, eventuallyTimeout).Should(BeTrue())
		g.reads.Store(false) // others can read the store again
		Eventually(g.follower.StoreUnavailable, eventuallyTimeout).Should(BeFalse())
	})

	// Guards against a server list that counts as current although nobody reads it, and so against servers that are removed by it.
	It("knows how old the server list is", func() {
		configure(store, 1)
		store.SetFaults(fake.StoreFaults{Refuse: true})
		g := newGateway(store)
		age := func() time.Duration { return g.follower.ListAge(bootclock.Now()) }
		Consistently(age, 300*time.Millisecond).Should(BeNumerically(">", time.Hour), "it was never listed")
		store.SetFaults(fake.StoreFaults{})
		Eventually(age, eventuallyTimeout).Should(BeNumerically("<", time.Second))
		store.SetFaults(fake.StoreFaults{Refuse: true})
		Eventually(age, 2*eventuallyTimeout).Should(BeNumerically(">", 3*time.Second))
		g.reads.Store(false) // others can read the store
		Eventually(age, eventuallyTimeout).Should(BeNumerically("<", time.Second))
	})

	It("applies rows from peers at gateways that the store refuses, in any order and once", func() {
		configure(store, 3)
		store.Put("servers", "i-1", entry("10.0.0.1:80"))
		g := newGateway(store)
		refusing := fake.NewStore()
		refusing.SetFaults(fake.StoreFaults{Refuse: true})
		other := newGateway(refusing)
		Eventually(g.servers, eventuallyTimeout).Should(Equal(1))
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(3)) // the two tables are read independently
		rows := g.follower.Rows()
		for i := range rows {
			other.follower.Apply(rows[len(rows)-1-i:len(rows)-i], false)
		}
		Expect(other.version()).To(BeEquivalentTo(3))
		Expect(other.servers()).To(Equal(1))
		old := rows
		configure(store, 4)
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(4))
		other.follower.Apply(g.follower.Rows(), false)
		other.follower.Apply(old, false)
		Expect(other.version()).To(BeEquivalentTo(4), "older rows change nothing")
	})

	// Guards against a server that only some gateways of a large fleet learn of, because each gateway gets rows from a few
	// others and these pass nothing on; and against rows that go round for ever.
	It("passes on a server that it learnt of from a peer once in a large fleet, and not in a small one", func() {
		g := newGateway(fake.NewStore().WithoutEra()) // as the versions of the rows below
		row := func(id string, version int64) []platform.Row {
			return []platform.Row{{Table: platform.TableServers, Key: id, Value: entry("10.0.0.1:1"), Version: version}}
		}
		published := func() (ids []string) {
			g.mu.Lock()
			defer g.mu.Unlock()
			for _, r := range g.published {
				ids = append(ids, r.Key)
			}
			return ids
		}
		g.follower.Apply(row("i-1", 7), false)
		Expect(published()).To(BeEmpty())
		g.relays.Store(true)
		for range 3 {
			g.follower.Apply(row("i-2", 8), false)
		}
		Expect(published()).To(Equal([]string{"i-2"}))
		Expect(g.servers()).To(Equal(2))
	})

	It("does not call the store while other gateways read it", func() {
		configure(store, 1)
		g := newGateway(store)
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(1))
		g.reads.Store(false)
		time.Sleep(2 * time.Second) // until the feed calls in progress end
		before := store.Calls()
		Consistently(store.Calls, time.Second).Should(Equal(before))
		configure(store, 2)
		g.reads.Store(true)
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(2))
	})
})
