package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/autoscale"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// scaleCall is a call that the cloud interface got.
type scaleCall struct {
	path, holder string
	token        int64
	Service      string `json:"service"`
	Zone         string `json:"zone"`
	Count        int    `json:"desired_count"`
}

// testCloud stands in for the platform's cloud interface.
type testCloud struct {
	address string

	mu          sync.Mutex
	received    []scaleCall
	loseAnswers bool
}

func startCloud(t *testing.T) *testCloud {
	c := new(testCloud)
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

// ServeHTTP implements http.Handler.
func (c *testCloud) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	call := scaleCall{path: r.URL.Path, holder: r.Header.Get("X-Duty-Holder")}
	token, tokenErr := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || tokenErr != nil {
		call.path = "not decoded"
	}
	call.token = token
	c.mu.Lock()
	c.received = append(c.received, call)
	lose := c.loseAnswers
	c.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (c *testCloud) setLoseAnswers(lose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswers = lose
}

func (c *testCloud) calls() []scaleCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]scaleCall{}, c.received...)
}

// scaleCalls returns the calls that are no reports of usage.
func (c *testCloud) scaleCalls() []scaleCall {
	return slices.DeleteFunc(c.calls(), func(call scaleCall) bool { return call.path == "/usage" })
}

// settings returns settings that name the interface and its duties, for startFleetMemberWith.
func (c *testCloud) settings(duties string) string {
	return fmt.Sprintf(`,"cloud":{"address":%q,"duties":[%s],"duty_per_s":10}`, c.address, duties)
}

// configureScaled writes a configuration with a public route to a service, and one server with six slots that answers in 200 ms.
func configureScaled(t *testing.T, store *fake.Store, scaling string) {
	store.Put("op", "config", fmt.Appendf(nil, `{"version":1,"services":[{"name":"s"%s}],"routes":[{"name":"r",
		"hostname":"crew.example","path_prefix":"/a/","type":"safe","public":true,"service":"s"}]}`, scaling))
	replica := fake.NewReplica(fake.ReplicaOptions{ID: "i-1", Service: "s", Slots: 6})
	replica.SetFaults(fake.ReplicaFaults{Slow: 200 * time.Millisecond})
	backend := httptest.NewServer(replica.Handler())
	t.Cleanup(backend.CloseClientConnections)
	store.Put("servers", "i-1", fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"a","state":"ready","slots":6}`, backend.Listener.Addr()))
}

const withScaling = `,"scaling":{"min":1,"max":4,"boot_s":0.1}`

// load sends requests to a gateway from a number of callers until the test ends or stop is called. A server is added when more than 70%
// of the slots are busy; twice as many callers as slots keep them so on a busy machine, too.
func (m *fleetMember) load(t *testing.T, callers int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for ctx.Err() == nil {
				r := httptest.NewRequest(http.MethodGet, "/a/", nil)
				r.Host = "crew.example"
				m.gateway.server.ServeHTTP(httptest.NewRecorder(), r)
				time.Sleep(5 * time.Millisecond) // bounds the refused requests
			}
		})
	}
	stop = func() { cancel(); done.Wait() }
	t.Cleanup(stop)
	return stop
}

// scaleRows returns the number of rows with ordered counts.
func (m *fleetMember) scaleRows(g *WithT) int {
	page, err := m.gateway.store.List(context.Background(), autoscale.Table)
	g.Expect(err).NotTo(HaveOccurred())
	return len(page.Rows)
}

// Guards against demand of other gateways that does not reach the holder of the duties, a call without its holder or token, and a
// successor that sends another count in the place of one without an answer, or sends it under the earlier token.
func TestAScaledServiceIsOrderedAndASuccessorRepeatsTheCount(t *testing.T) {
	g := NewWithT(t)
	cloud, store := startCloud(t), fake.NewStore()
	cloud.setLoseAnswers(true)
	configureScaled(t, store, withScaling)
	settings := cloud.settings(`"metering","autoscale"`)
	first := startFleetMemberWith(t, g, "first", store, "", settings)
	g.Eventually(first.gateway.lease.Epoch, setupTimeout).ShouldNot(BeZero())
	second := startFleetMemberWith(t, g, "second", store, "", settings, first.peers)
	for _, m := range []*fleetMember{first, second} {
		g.Eventually(func() int { n, _ := m.gateway.mesh.Count(); return n }, setupTimeout).Should(Equal(2))
		g.Eventually(m.gateway.server.Ready, setupTimeout).Should(BeTrue())
	}
	// The first count is decided 3.1 s after the first server list.
	g.Consistently(cloud.scaleCalls, 5*time.Second, "50ms").Should(BeEmpty(), "without demand")
	token, _ := first.gateway.lease.Token()

	stop := second.load(t, 12)
	g.Eventually(cloud.scaleCalls, setupTimeout, "20ms").ShouldNot(BeEmpty())
	call := cloud.scaleCalls()[0]
	g.Expect(call).To(Equal(scaleCall{path: "/scale", holder: "first", token: token, Service: "s", Zone: "a", Count: call.Count}))
	g.Expect(call.Count).To(And(BeNumerically(">", 1), BeNumerically("<=", 4)))
	stop()
	first.stop()
	second.load(t, 24)
	g.Eventually(func() string { c := cloud.scaleCalls(); return c[len(c)-1].holder }, setupTimeout, "20ms").Should(Equal("second"))
	g.Expect(second.gateway.lease.Epoch()).To(BeNumerically(">", token))
	for _, c := range cloud.scaleCalls() {
		expected := call
		if c.holder == "second" {
			expected.holder, expected.token = "second", second.gateway.lease.Epoch()
		}
		g.Expect(c).To(Equal(expected), "a count without an answer is repeated exactly")
	}
	cloud.setLoseAnswers(false)
	answered := second.gateway.duties.scaling.runner.Vars()["scale_unanswered"]
	g.Eventually(answered.String, setupTimeout).Should(Equal("0"))
}

// Guards against a gateway that shuts down and repeats a count after it has released the lease.
func TestAGatewayThatReleasedTheLeaseOrdersNothing(t *testing.T) {
	g := NewWithT(t)
	cloud, store := startCloud(t), fake.NewStore()
	cloud.setLoseAnswers(true)
	configureScaled(t, store, withScaling)
	m := startFleetMemberWith(t, g, "gateway", store, "", cloud.settings(`"autoscale"`))
	g.Eventually(m.gateway.server.Ready, setupTimeout).Should(BeTrue())
	m.load(t, 12)
	g.Eventually(cloud.scaleCalls, setupTimeout, "20ms").ShouldNot(BeEmpty())
	m.gateway.lease.Release(context.Background())
	time.Sleep(300 * time.Millisecond) // a call that was sent before arrives
	before := len(cloud.scaleCalls())
	g.Consistently(func() int { return len(cloud.scaleCalls()) }, 5*time.Second, "50ms").Should(Equal(before))
}

// Guards against calls, rows or reports where the settings do not name the duty or the configuration has no service with scaling.
func TestNothingIsOrderedWhereItIsNotAskedFor(t *testing.T) {
	g := NewWithT(t)
	cloud := startCloud(t)
	for name, c := range map[string]struct{ settings, scaling string }{
		"no cloud":   {"", withScaling},
		"no duty":    {cloud.settings(`"metering"`), withScaling},
		"no scaling": {cloud.settings(`"autoscale"`), ""},
	} {
		store := fake.NewStore()
		configureScaled(t, store, c.scaling)
		m := startFleetMemberWith(t, g, name, store, "", c.settings)
		g.Eventually(m.gateway.server.Ready, setupTimeout).Should(BeTrue())
		g.Eventually(m.gateway.lease.Epoch, setupTimeout).ShouldNot(BeZero())
		stop := m.load(t, 12)
		g.Consistently(func() int { return m.scaleRows(g) }, 5*time.Second, "100ms").Should(BeZero(), name)
		stop()
		if source := m.gateway.scaleSource(); source != nil {
			demand, scaled := source()
			g.Expect(scaled).To(BeFalse(), name)
			g.Expect(demand).To(BeEmpty(), name)
		}
		if m.gateway.duties.scaling != nil {
			g.Expect(m.gateway.duties.scaling.demand.Totals()).To(BeEmpty(), name)
		}
		m.stop()
	}
	g.Expect(cloud.scaleCalls()).To(BeEmpty())
}
