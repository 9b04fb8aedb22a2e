package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
)

// configurationBound is the time, by the settings of the test, in which a confirmed configuration has to be in force.
const configurationBound = 4 * time.Second

// setupTimeout covers a starved test process; nothing is asserted about it.
const setupTimeout = 30 * time.Second

// fleetMember is a gateway in this process with its own connection to the store, which can be cut.
type fleetMember struct {
	gateway *gateway
	peers   string // address for its peers
	cut     atomic.Bool
	store   *httptest.Server // as this gateway reaches it
	stop    func()
}

// cutStore cuts the gateway from the store, also for calls in progress.
func (m *fleetMember) cutStore() {
	m.cut.Store(true)
	m.store.CloseClientConnections()
}

func unusedAddress(g *WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startFleetMember starts a gateway that stops with the test, or earlier by its stop function.
func startFleetMember(t *testing.T, g *WithT, name string, store *fake.Store, seeds ...string) *fleetMember {
	return startFleetMemberWith(t, g, name, store, "", "", seeds...)
}

// startFleetMemberWith is startFleetMember with further bounds and sections in the settings, each beginning with a comma.
func startFleetMemberWith(t *testing.T, g *WithT, name string, store *fake.Store, bounds, sections string, seeds ...string) *fleetMember {
	m := &fleetMember{peers: unusedAddress(g)}
	handler := store.Handler()
	m.store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.cut.Load() {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(m.store.CloseClientConnections)
	_, port, err := net.SplitHostPort(unusedAddress(g))
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(t.TempDir(), "settings.json")
	seedList := ""
	for _, s := range seeds {
		seedList = fmt.Sprintf("%q", s)
	}
	g.Expect(os.WriteFile(path, fmt.Appendf(nil, `{"node_name":%q,"ip":"127.0.0.1","port_range":[%s,%s],"zone":"a",
		"provider":{"address":%q},"listen":{"front":"127.0.0.1:3","control":%q,"readiness":"127.0.0.1:0"},
		"seeds":[%s],"bounds":{"config_ms":%d%s}%s}`, name, port, port, m.store.Listener.Addr(), m.peers, seedList,
		configurationBound.Milliseconds(), bounds, sections), 0o600)).To(Succeed())
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		defer func() { _ = log.Close() }()
		if data, err := os.ReadFile(log.Name()); t.Failed() && err == nil {
			t.Logf("log of %s:\n%s", name, data)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	started := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		fleetprocess.Main(name, []string{"-config", path}, log, os.Stderr,
			func(_ context.Context, s *fleetprocess.Settings, log *slog.Logger) error {
				var err error
				if m.gateway, err = newGateway(s, log); err != nil {
					close(started)
					return err
				}
				group := background.NewGroup(ctx, log)
				m.gateway.start(group)
				close(started)
				return group.Wait()
			})
	})
	<-started
	g.Expect(m.gateway).NotTo(BeNil())
	m.stop = func() { cancel(); done.Wait() }
	t.Cleanup(m.stop)
	return m
}

// status sends a request for the path and returns the status of the response.
func (m *fleetMember) status(path string) int {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "crew.example"
	r.Header.Set("X-Deadline-Ms", "300")
	w := httptest.NewRecorder()
	m.gateway.server.ServeHTTP(w, r)
	return w.Code
}

// configure writes a configuration with one public route.
func configure(store *fake.Store, version int, path string) {
	store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"services":[{"name":"s"}],"routes":[{"name":"r",
		"hostname":"crew.example","path_prefix":%q,"type":"safe","public":true,"service":"s"}]}`, version, path))
}

// Guards against a gateway that answers by a version that was replaced long ago, because it reaches neither the store nor a
// peer and does not know the age of its configuration.
func TestAnIsolatedGatewayDoesNotAnswerByAnOldConfiguration(t *testing.T) {
	g := NewWithT(t)
	store := fake.NewStore()
	configure(store, 1, "/old/")
	replica := fake.NewReplica(fake.ReplicaOptions{ID: "i-1", Service: "s", Slots: 8})
	backend := httptest.NewServer(replica.Handler())
	t.Cleanup(backend.Close)
	store.Put("servers", "i-1", fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"a","state":"ready","slots":8}`, backend.Listener.Addr()))
	peer := startFleetMember(t, g, "peer", store)
	m := startFleetMember(t, g, "isolated", store, peer.peers)
	for _, member := range []*fleetMember{peer, m} {
		g.Eventually(func() int { n, _ := member.gateway.mesh.Count(); return n }, setupTimeout).Should(Equal(2))
		g.Eventually(func() int { return member.status("/old/1") }, setupTimeout).Should(Equal(http.StatusOK))
	}
	g.Consistently(func() int { return m.status("/old/1") }, 2*configurationBound, "50ms").Should(Equal(http.StatusOK),
		"refused on a quiet day")

	peer.cutStore()
	m.cutStore()
	g.Consistently(func() int { return m.status("/old/1") }, 2*configurationBound, "50ms").Should(Equal(http.StatusOK),
		"refused while the store is away")

	m.cut.Store(false)
	peer.cut.Store(false)
	g.Eventually(func() time.Duration {
		age, _ := m.gateway.freshness.Age(bootclock.Now())
		return age
	}, setupTimeout).Should(BeNumerically("<", configurationBound/2), "the store does not confirm the rows again")
	peer.stop()
	m.cutStore()
	configure(store, 2, "/new/")
	time.Sleep(configurationBound) // the bound itself; a later check is as strict
	g.Expect(m.status("/old/1")).To(Equal(http.StatusServiceUnavailable), "ran by version 1")
	g.Expect(m.status("/new/1")).To(Equal(http.StatusServiceUnavailable), "refused as version 1 says")

	g.Expect(m.gateway.server.Ready()).To(BeFalse())

	m.cut.Store(false)
	g.Eventually(func() int { return m.status("/new/1") }, setupTimeout).Should(Equal(http.StatusOK))
	g.Expect(m.gateway.server.Ready()).To(BeTrue())
	g.Expect(m.status("/old/1")).To(Equal(http.StatusNotFound))
}
