// Package systemtest runs gateways, sidecars and fake backend servers as separate processes on loopback and tests
// their guarantees under failure. It uses only the outside interfaces of the processes and their logs.
package systemtest

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that runs the specs; golden files are compared through it.
var suite *testing.T

func TestSystem(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	suiteConfig, reporterConfig := GinkgoConfiguration()
	if suiteConfig.LabelFilter == "" {
		suiteConfig.LabelFilter = "!" + knownRed
	}
	RunSpecs(t, "whole system", suiteConfig, reporterConfig)
}

// Names of the services in the constant bundle.
const (
	modelService  = "brush-assistant"
	ledgerService = "lantern-ledger"
	noticeService = "notice-board" // called without a key
)

// backendServer describes a backend server and its sidecar.
type backendServer struct {
	name, dataCentre, service string
	args                      []string // command-line arguments of the backend server
	argsOnly                  bool     // the fake engine gets args without the default arguments
	startedBySpec             bool     // the spec starts the backend server and its sidecar itself
}

func (b backendServer) isModel() bool { return b.service == modelService }

// layout describes the processes and settings of a system.
type layout struct {
	gateways       int
	backendServers []backendServer
	useForwarder   bool // the last gateway connects to the table service through System.Forwarder

	gatewayDataCentres   []string // of the gateways, by index; walled-city for those without one
	limitsAndPlanner     string   // YAML settings of limits and planner; both disabled if empty
	bundle               string   // initial configuration in YAML without the keys; the constant bundle if empty
	memoryMB             int      // of each accelerator; 81920 if zero
	admission            string   // YAML settings of the sidecars' admission control
	sidecarsFromHostList bool     // gateways learn the sidecars from the host list only
}

func (l layout) withDefaults() layout {
	for len(l.gatewayDataCentres) < l.gateways {
		l.gatewayDataCentres = append(l.gatewayDataCentres, "walled-city")
	}
	// Specs of the request path run without model placement and rate limits.
	l.limitsAndPlanner = cmp.Or(l.limitsAndPlanner, "limits: {enabled: false}\nplanner: {enabled: false}")
	l.bundle = cmp.Or(l.bundle, bundle)
	l.memoryMB = cmp.Or(l.memoryMB, 81920)
	l.admission = cmp.Or(l.admission, "{cold_concurrency: 8}")
	return l
}

// System is a running system.
type System struct {
	layout         layout
	dir            string
	platform       string
	gateways       []string          // base URLs for callers
	peers          []string          // gateways' peer addresses
	sidecars       []string          // sidecars' peer addresses
	backendServers map[string]string // base URLs of the backend servers by name
	procs          map[string]*process
	Forwarder      *forwarder
}

// key returns the secret of the key with the given ID.
func key(id string) string { return "secret-of-" + id + "-0123456789" }

// organisationOfKey maps each key ID to its organisation.
var organisationOfKey = map[string]string{"crews-1": "crews", "crews-2": "crews", "crews-3": "crews", "clerks-1": "clerks"}

const bundle = `
organisations:
  - {name: crews, rate: 1000000, burst: 10000000, weight: 1}
  - {name: clerks, rate: 1000000, burst: 10000000, weight: 1}
profiles:
  - {name: dawn-chat, class: interactive, first_token_ms: 470, between_tokens_ms: 71, deadline_ms: 60000, priority: 10, max_output_tokens: 4096, kv_tokens: 1024, retry_budget: 1}
  - {name: booking, class: interactive, deadline_ms: 20000, priority: 5, retry_budget: 1}
data_centres:
  - {name: walled-city, region: punjab-central, out: false}
  - {name: gulberg, region: punjab-central, out: false}
services:
  - {name: brush-assistant, kind: model, profile: dawn-chat}
  - {name: lantern-ledger, kind: plain, profile: booking}
  - {name: notice-board, kind: plain, profile: booking, open: true}
models:
  - {name: brush-small, service: brush-assistant, memory_mb: 16384, kv_token_kb: 128, min_copies: 1, weight_path: brush-small}
keys:
`

// NewSystem starts a system, waits until every gateway routes to every sidecar, and stops the system after the spec
// or container that called it.
func NewSystem(l layout) *System {
	GinkgoHelper()
	s := startSystem(l)
	for _, b := range l.backendServers {
		s.AwaitServing(b)
	}
	return s
}

// startSystem starts a system and waits until every gateway knows every sidecar. A sidecar that is known may not yet
// receive requests.
func startSystem(l layout) *System {
	GinkgoHelper()
	l = l.withDefaults()
	dir, err := os.MkdirTemp("", "system")
	Expect(err).NotTo(HaveOccurred())
	s := &System{layout: l, dir: dir, platform: freeAddress(), backendServers: map[string]string{}, procs: map[string]*process{}}
	startMu.Lock()
	DeferCleanup(s.stop)
	startMu.Unlock()
	for range l.gateways {
		s.gateways = append(s.gateways, "http://"+freeAddress())
		s.peers = append(s.peers, freeAddress())
	}
	for range l.backendServers {
		s.sidecars = append(s.sidecars, freeAddress())
	}
	s.run("platform", "fake-platform", "-listen", s.platform, "-hosts", s.write("hosts.json", s.hosts(l)))
	s.awaitOK("http://" + s.platform + "/hosts")
	for _, b := range l.backendServers {
		if !b.startedBySpec {
			s.startBackendServer(b)
		}
	}
	s.Ctl("init", "-author", "harness", "-reason", "start of the test", s.write("bundle.yml", l.bundle+keyLines()))
	if l.useForwarder {
		s.Forwarder = newForwarder(s.platform)
	}
	for i := range l.gateways {
		s.startGateway(i, l.useForwarder && i == l.gateways-1)
	}
	known := 0
	for i, b := range l.backendServers {
		if !b.startedBySpec {
			s.startSidecar(i, b)
			known++
		}
	}
	for _, g := range s.gateways {
		Eventually(func() any { return s.GatewayMetrics(g)["sidecars_known"] }, processTimeout).Should(BeEquivalentTo(known))
	}
	return s
}

func (s *System) startSidecar(i int, b backendServer) {
	GinkgoHelper()
	s.run("sidecar-"+b.name, "pomelo-sidecar", "-config", s.write(b.name+".yml", s.sidecarSettings(i, b)))
}

func keyLines() string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(organisationOfKey)) {
		sum := sha256.Sum256([]byte(key(id)))
		fmt.Fprintf(&b, "  - {id: %s, organisation: %s, digest: %s, withdrawn: false}\n",
			id, organisationOfKey[id], hex.EncodeToString(sum[:]))
	}
	return b.String()
}

func (s *System) hosts(l layout) string {
	var hosts []map[string]string
	for i, a := range s.peers {
		hosts = append(hosts, map[string]string{"address": a, "host": fmt.Sprintf("gateway-%d", i+1),
			"data_centre": l.gatewayDataCentres[i], "role": "gateway"})
	}
	for i, b := range l.backendServers {
		hosts = append(hosts, map[string]string{"address": s.sidecars[i], "host": b.name,
			"data_centre": b.dataCentre, "role": "sidecar"})
	}
	raw, err := json.Marshal(hosts)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

func (s *System) startBackendServer(b backendServer) {
	GinkgoHelper()
	address := freeAddress()
	s.backendServers[b.name] = "http://" + address
	args := append([]string{"-listen", address}, b.args...)
	if b.argsOnly {
		s.run("backend-"+b.name, "fake-engine", args...)
	} else if b.isModel() {
		// Warm from the start, so that no result depends on the ramp of a fresh server.
		args = append([]string{"-model", "brush-small=16384", "-cold-factor", "1", "-warm-up", "0s", "-first-token", "5ms"}, args...)
		s.run("backend-"+b.name, "fake-engine", args...)
	} else {
		s.run("backend-"+b.name, "fake-service", args...)
	}
	s.awaitOK(s.backendServers[b.name] + "/health")
}

const gatewaySettings = `
process: {host: gateway-%d, data_centre: %s}
log: {level: debug}
callers: {listen: "%s", default_service: brush-assistant, max_body: 64KiB}
peers: {listen: "%s", gateways: ["%s"], sidecars: [%s]}
table_service: {endpoint: "http://%s"}
host_list: {url: "http://%s/hosts"}
routing: {status_interval: 200ms}
%s
shutdown: {notice_delay: 300ms, grace: 30s}
`

func (s *System) startGateway(i int, useForwarder bool) {
	GinkgoHelper()
	table := s.platform
	if useForwarder {
		table = s.Forwarder.Address()
	}
	sidecars := `"` + strings.Join(s.sidecars, `","`) + `"`
	if s.layout.sidecarsFromHostList {
		sidecars = ""
	}
	text := fmt.Sprintf(gatewaySettings, i+1, s.layout.gatewayDataCentres[i],
		strings.TrimPrefix(s.gateways[i], "http://"), s.peers[i],
		strings.Join(s.peers, `","`), sidecars, table, s.platform, s.layout.limitsAndPlanner)
	name := fmt.Sprintf("gateway-%d", i+1)
	s.run(name, "pomelo-gateway", "-config", s.write(name+".yml", text))
	s.awaitOK(s.gateways[i] + "/readyz")
}

func (s *System) sidecarSettings(i int, b backendServer) string {
	kind := "{service: " + b.service + ", kind: plain, "
	if b.isModel() {
		kind = fmt.Sprintf("{service: %s, kind: model, memory_mb: %d, ", b.service, s.layout.memoryMB)
	}
	return fmt.Sprintf(`
process: {host: %s, data_centre: %s}
log: {level: debug}
peers: {listen: "%s", gateways: ["%s"]}
backend: %surl: "%s"}
admission: %s
table_service: {endpoint: "http://%s"}
shutdown: {notice_delay: 300ms, grace: 30s}
`, b.name, b.dataCentre, s.sidecars[i], strings.Join(s.peers, `","`), kind,
		s.backendServers[b.name], s.layout.admission, s.platform)
}

// AwaitServing waits until each gateway considers the sidecar of b in its routing decisions.
func (s *System) AwaitServing(b backendServer) {
	GinkgoHelper()
	address := ""
	raw, err := os.ReadFile(filepath.Join(s.dir, b.name+".yml"))
	Expect(err).NotTo(HaveOccurred())
	for _, a := range s.sidecars {
		if strings.Contains(string(raw), `listen: "`+a+`"`) {
			address = a
		}
	}
	for _, g := range s.gateways {
		Eventually(func(t Gomega) {
			var r reply
			if b.isModel() {
				r = s.Chat(g, "crews-1", "ready, tokens:1")
			} else {
				r = s.Call(request{method: "GET", url: g + "/services/" + b.service + "/health", key: "crews-1"})
			}
			t.Expect(r.status).To(Equal(http.StatusOK), r.body)
			var line string
			for l := range strings.SplitSeq(s.procs[s.gatewayName(g)].logText(), "\n") {
				if strings.Contains(l, r.header.Get("X-Request-Id")) && strings.Contains(l, "routing decision") {
					line = l
				}
			}
			t.Expect(line).To(ContainSubstring(address + "="))
		}, processTimeout, "100ms").Should(Succeed())
	}
}

func (s *System) gatewayName(url string) string {
	for i, g := range s.gateways {
		if g == url {
			return fmt.Sprintf("gateway-%d", i+1)
		}
	}
	return ""
}

func (s *System) write(name, text string) string {
	GinkgoHelper()
	path := filepath.Join(s.dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (s *System) run(name, binary string, args ...string) {
	GinkgoHelper()
	p := &process{name: name, log: filepath.Join(s.dir, name+".log"), path: filepath.Join(binaries, binary), args: args}
	p.start()
	s.procs[name] = p
}

// maxReportedLogBytes limits the end of each log that the report of a failed spec includes: some
// seconds of a gateway under load.
const maxReportedLogBytes = 60_000

// stop kills every process and adds the end of its log to the report of a failed spec.
func (s *System) stop() {
	for _, p := range s.procs {
		p.stop()
		if CurrentSpecReport().Failed() {
			text := p.logText()
			AddReportEntry(p.name, ReportEntryVisibilityFailureOrVerbose, text[max(0, len(text)-maxReportedLogBytes):])
		}
	}
	_ = os.RemoveAll(s.dir)
}

func (s *System) awaitOK(url string) {
	GinkgoHelper()
	Eventually(func() int {
		response, err := http.Get(url)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}, processTimeout, "50ms").Should(Equal(http.StatusOK), url)
}

// Ctl runs pomeloctl, expects it to succeed and returns its standard output.
func (s *System) Ctl(args ...string) string {
	GinkgoHelper()
	out, err := s.runCtl(args)
	Expect(err).NotTo(HaveOccurred())
	return string(out)
}

func (s *System) runCtl(args []string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(binaries, "pomeloctl"), args...)
	command.Env = append(os.Environ(), "POMELO_TABLE_ENDPOINT=http://"+s.platform, "POMELO_AUTHOR=operator")
	return command.Output()
}

// Control sends a control request in JSON, such as a fault to inject, to the fake server at base.
func (s *System) Control(base, body string) {
	GinkgoHelper()
	response, err := http.Post(base+"/control", "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(BeNumerically("<", 300))
}

// getJSON fetches url and decodes its JSON document into the value that into points to.
func getJSON(url string, into any) {
	GinkgoHelper()
	response, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(raw, into)).To(Succeed(), string(raw))
}

// GatewayMetrics returns the metrics of a gateway from /debug/vars, by name.
func (s *System) GatewayMetrics(gateway string) map[string]any {
	GinkgoHelper()
	var all struct {
		Gateway map[string]any `json:"gateway"`
	}
	getJSON(gateway+"/debug/vars", &all)
	return all.Gateway
}
