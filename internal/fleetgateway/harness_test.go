package fleetgateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/agentclient"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/retrybudget"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/upstream"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	suiteConfig, reporterConfig := GinkgoConfiguration()
	if suiteConfig.LabelFilter == "" {
		suiteConfig.LabelFilter = "!" + knownRed
	}
	RunSpecs(t, "ingress", suiteConfig, reporterConfig)
}

// knownRed labels the specs that are listed in KNOWN-RED.txt. They run in TestIngressKnownRed, so that scripts/test can skip exactly
// these.
const knownRed = "known-red"

// TestIngressKnownRed runs the specs labelled knownRed in a child process, because Ginkgo runs only one suite in a process.
func TestIngressKnownRed(t *testing.T) {
	command := exec.Command(os.Args[0], "-test.run=^TestIngress$", "-ginkgo.no-color", "-ginkgo.label-filter="+knownRed)
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
}

// testGateway is a gateway in front of emulated backend servers.
type testGateway struct {
	view        *fleet.View
	server      *fleetgateway.Server
	url         string
	version     int64
	clockOffset atomic.Int64           // added to the clock, in nanoseconds
	stale       atomic.Bool            // the configuration is too old to be used
	behind      atomic.Bool            // a newer configuration is in force
	onDial      atomic.Pointer[func()] // called once, before the next connection to a server is opened
	onCheck     atomic.Pointer[func()] // called once, at the next check of the configuration's age
	demand      *fleetgateway.Demand
	scaled      *fleetgateway.ServiceDemand
	agents      *agentclient.Client

	mu  sync.Mutex
	log bytes.Buffer
}

func (s *testGateway) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(b)
}

// lines returns the log lines that contain text.
func (s *testGateway) lines(text string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for line := range strings.Lines(s.log.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

const (
	once = iota
	idempotent
	stream
	resumable
)

func route(kind int, timeout time.Duration) fleet.Route {
	r := fleet.Route{
		Name: "r", Hostname: "crew.example", PathPrefix: "/a/", Timeout: timeout, Target: 300 * time.Millisecond,
		MaxEventGap: 100 * time.Millisecond, MaxAttempts: 2, Targets: []fleet.Target{{Service: "s", Weight: 1}},
		Repeat: fleet.Once,
	}
	switch kind {
	case once:
		r.MaxAttempts = 1
	case idempotent:
		r.Repeat = fleet.Idempotent
	case stream:
		r.Repeat, r.MaxAttempts = fleet.Stream, 1
	case resumable:
		r.Repeat, r.Resumable = fleet.Stream, true
	}
	return r
}

// newTestGateway starts a gateway with one route and one organisation, whose key is "key". It reaches no agent.
func newTestGateway(r fleet.Route, change ...func(*fleet.Configuration)) *testGateway {
	GinkgoHelper()
	return newTestGatewayWithAgents("1", r, change...)
}

// newTestGatewayWithAgents is newTestGateway with agents at a port of their servers' hosts.
func newTestGatewayWithAgents(port string, r fleet.Route, change ...func(*fleet.Configuration)) *testGateway {
	GinkgoHelper()
	return newTestGatewayWithOptions(port, func(*fleetgateway.Options) {}, r, change...)
}

// newTestGatewayWithOptions is newTestGatewayWithAgents with changed options of the server.
func newTestGatewayWithOptions(port string, set func(*fleetgateway.Options), r fleet.Route, change ...func(*fleet.Configuration)) *testGateway {
	GinkgoHelper()
	s := &testGateway{view: fleet.NewView(), demand: fleetgateway.NewDemand(), scaled: fleetgateway.NewServiceDemand()}
	log := slog.New(slog.NewJSONHandler(s, nil))
	clock := bootclock.Clock(func() time.Duration { return bootclock.Now() + time.Duration(s.clockOffset.Load()) })
	singleGateway := func() (int, int) { return 1, 1 }
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, MaxIdle: 4,
		Control: func(string, string, syscall.RawConn) error {
			if f := s.onDial.Swap(nil); f != nil {
				(*f)()
			}
			return nil
		},
	})
	s.agents = agentclient.New(agentclient.Options{
		Identity: &wirepb.Identity{Host: "g"}, View: s.view, Pool: transport.NewPool(nil), Port: port, Clock: clock, Log: log,
		Changed: func() {}, Demand: func(string, string) float64 { return 0 },
	})
	options := fleetgateway.Options{
		DataCentre: "a", View: s.view, Table: fleetroute.NewTable(), Pool: pool, Clock: clock, Gateways: singleGateway,
		Rank: func(string) int { return 0 }, ConfigurationBehind: s.behind.Load,
		CheckConfiguration: func() error {
			if f := s.onCheck.Swap(nil); f != nil {
				(*f)()
			}
			if s.stale.Load() {
				return errors.New("not confirmed")
			}
			return nil
		},
		Limits: fleetgateway.NewLimits(clock, singleGateway, func() float64 { return 1 }, s.view.Organisation),
		Demand: s.demand, ServiceDemand: s.scaled,
		Metrics: fleetgateway.NewMetrics(), Log: log,
		Retry:  retrybudget.Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, UsedFraction: 0.8},
		Agents: s.agents,
	}
	set(&options)
	s.server = fleetgateway.New(options)
	s.configure(r, change...)
	tick := time.NewTicker(50 * time.Millisecond)
	DeferCleanup(tick.Stop)
	go func() {
		for range tick.C {
			s.server.Prompts().Tick()
		}
	}()
	front := httptest.NewServer(s.server)
	DeferCleanup(front.Close)
	s.url = front.URL
	return s
}

func (s *testGateway) configure(r fleet.Route, change ...func(*fleet.Configuration)) {
	GinkgoHelper()
	s.version++
	c := &fleet.Configuration{
		Version: s.version, Routes: []fleet.Route{r}, Services: map[string]*fleet.Service{"s": {Name: "s"}},
		Organisations: map[string]*fleet.Organisation{"clerks": {Name: "clerks"}},
		Keys:          map[fleet.KeyDigest]string{fleet.DigestKey("key"): "clerks"},
	}
	for _, f := range change {
		f(c)
	}
	Expect(s.view.SetConfiguration(c, s.version)).To(BeTrue())
}

// add starts an emulated server and adds it to the list.
func (s *testGateway) add(id string, opts fake.ReplicaOptions, faults fake.ReplicaFaults) *fake.Replica {
	GinkgoHelper()
	opts.ID, opts.Service = id, "s"
	if opts.Slots == 0 {
		opts.Slots = 8
	}
	backend := httptest.NewUnstartedServer(nil)
	opts.End = func() {
		_ = backend.Listener.Close()
		go backend.CloseClientConnections()
	}
	replica := fake.NewReplica(opts)
	replica.SetFaults(faults)
	backend.Config.Handler = replica.Handler()
	backend.Start()
	DeferCleanup(backend.Close)
	s.list(id, backend.Listener.Addr().String(), false)
	return replica
}

func (s *testGateway) list(id, address string, draining bool) {
	s.version++
	s.view.SetReplica(&fleet.Replica{
		ID: id, Service: "s", Address: address, DataCentre: "a", Slots: 8, Draining: draining, ListVersion: s.version,
	})
}

type response struct {
	status           int
	header           http.Header
	body             string
	err              error // of the request or of reading the body
	duration         time.Duration
	connectionClosed bool // the connection is closed after it
}

var requests int

// send sends a request with a new ID.
func (s *testGateway) send(method, path string, header map[string]string, body string) (id string, a response) {
	GinkgoHelper()
	requests++
	id = fmt.Sprintf("request-%d", requests)
	return id, s.sendAs(id, method, path, header, body)
}

func (s *testGateway) sendAs(id, method, path string, header map[string]string, body string) response {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, s.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "crew.example"
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "4000")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err, duration: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err,
		duration: time.Since(start), connectionClosed: resp.Close}
}

// runsOf counts how often the servers ran a request.
func runsOf(id string, replicas ...*fake.Replica) int {
	n := 0
	for _, r := range replicas {
		runs, _ := r.Runs()
		for _, run := range runs {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// unusedAddress returns an address that refuses connections.
func unusedAddress() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
