// Package soak is an end-to-end fault-injection test. It runs the fleet's real programs as processes on loopback,
// injects faults from outside the processes by a seeded schedule, and checks what callers and backend servers see.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// Options configure a run.
type Options struct {
	BinDir        string // directory of the program binaries
	WorkDir       string // directory for settings and logs
	Seed          uint64
	FaultDuration time.Duration // period in which faults are injected
	Gateways      int           // number of gateways
	Engines       int           // number of model engines, each with an agent
	PlainServers  int           // number of plain servers
	Rate          float64       // requests per second, on average
	AddressBase   int           // second byte of the loopback addresses, 1 to 250; concurrent runs need different values
	Plan          Plan          // PlanDisruptions if empty
}

const (
	callerPort     = 8000
	readyPort      = 8001
	peerPort       = 8002
	portRangeFirst = 8010
	portRangeLast  = 8019
	serverPort     = 8080
	proxyPort      = 8081
	storePort      = 8090
	// loadsPerSecond is the rate of loads from the weight store that the engines' configuration allows.
	loadsPerSecond     = 4
	modelCount         = 6
	maxModelsPerEngine = 3
	adapterCount       = 3
	streamEvents       = 12
	// grace is the time between SIGTERM and the end of a process, and drainTime the time after which a server that leaves gets no
	// request any more.
	grace     = 4 * time.Second
	drainTime = 2 * time.Second
	// contactTime is the time without a disruption after which the rules with a time bound hold for a gateway.
	contactTime = 3 * time.Second
	// tokenRate, in tokens per second, and tokenBurst, in tokens, are the limit of the organisation "watched".
	tokenRate  = 3000
	tokenBurst = 6000
)

// Names of the services.
const (
	engineService = "engine"
	deskService   = "desk"
)

// orderTime is the duration of a model load or unload.
const orderTime = 150 * time.Millisecond

var dataCentres = []string{"north", "south"}

// system holds the processes and proxies of one run.
type system struct {
	opts           Options
	store          *program
	gateways       []*program
	agents         []*program
	servers        []*program // model engines first, then plain servers
	storeProxies   []*proxy   // between the store and each gateway, then each agent
	serverProxies  []*proxy   // in front of each server
	client         *http.Client
	configOperator *operator

	laterSettings []func() error // write the settings of each process for its starts after the first one of the fleet

	serverFaults []sync.Mutex           // by server: held while a fault affects it
	leaving      map[string]*sync.Mutex // by service: held while one of its servers leaves
}

func (o Options) ip(subnet, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", o.AddressBase, subnet, n+1)
}

func (s *system) storeAddress() string { return fmt.Sprintf("%s:%d", s.opts.ip(0, 0), storePort) }

func (s *system) gatewayAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.opts.ip(1, i), callerPort)
}

func (s *system) serverAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.opts.ip(2, i), serverPort)
}

func modelName(i int) string { return fmt.Sprintf("m%d", i%modelCount) }

// newSystem starts the processes and waits until every gateway is ready. After an error the system still has to be closed.
func newSystem(ctx context.Context, o Options) (*system, error) {
	s := &system{
		opts: o, client: &http.Client{Timeout: 2 * time.Second}, serverFaults: make([]sync.Mutex, o.Engines+o.PlainServers),
		leaving: map[string]*sync.Mutex{engineService: {}, deskService: {}},
	}
	s.configOperator = newOperator(s)
	s.store = s.program("store", "fake-fleet", nil, "store", "-listen", s.storeAddress())
	if err := s.store.start(); err != nil {
		return s, err
	}
	if err := s.waitFor(ctx, func() error { return s.configOperator.writeConfig() }); err != nil {
		return s, fmt.Errorf("store did not become ready: %w", err)
	}
	for i := range o.Engines + o.PlainServers {
		if err := s.addServer(i); err != nil {
			return s, err
		}
	}
	for i := range o.Gateways {
		if err := s.addProgram(fmt.Sprintf("gateway-%d", i), "pomelo-fleet-gateway", 1, i, &s.gateways); err != nil {
			return s, err
		}
	}
	for i := range o.Engines {
		if err := s.addProgram(fmt.Sprintf("agent-%d", i), "pomelo-fleet-agent", 2, i, &s.agents); err != nil {
			return s, err
		}
	}
	if err := s.waitFor(ctx, func() error {
		for i := range s.gateways {
			if err := s.ready(i); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return s, err
	}
	for _, write := range s.laterSettings {
		if err := write(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) program(name, binary string, env []string, args ...string) *program {
	return &program{name: name, path: filepath.Join(s.opts.BinDir, binary), args: args, env: env, logDir: s.opts.WorkDir}
}

func (s *system) addServer(i int) error {
	p, err := newProxy(fmt.Sprintf("%s:%d", s.opts.ip(2, i), proxyPort), s.serverAddress(i))
	if err != nil {
		return err
	}
	s.serverProxies = append(s.serverProxies, p)
	server := s.program(fmt.Sprintf("server-%d", i), "fake-fleet", nil, s.serverArgs(i, 1)...)
	if s.opts.Plan == PlanCrashingPrompt {
		server.crashStatus = fake.CrashStatus
	}
	s.servers = append(s.servers, server)
	return server.start()
}

// serverArgs returns the arguments of a server's process, which is started for the given time. Each start has another ID,
// and only the first one of an engine holds models.
func (s *system) serverArgs(i, start int) []string {
	args := []string{"replica", "-listen", s.serverAddress(i), "-address", s.serverProxies[i].address(), "-store", s.storeAddress(),
		"-id", fmt.Sprintf("i-%d-%d", i, start), "-data-centre", dataCentres[i%len(dataCentres)], "-service", s.serviceOf(i),
		"-records", s.recordsFile(i, start)}
	if i >= s.opts.Engines {
		return args
	}
	if s.opts.Plan == PlanCrashingPrompt {
		args = append(args, crashArgs(i, start)...)
	}
	if start == 1 {
		args = append(args, "-models", strings.Join([]string{modelName(i), modelName(i + 1), modelName(i + 2)}, ","))
	}
	return append(args, "-events", fmt.Sprint(streamEvents), "-max-models", fmt.Sprint(maxModelsPerEngine),
		"-order-time", orderTime.String(), "-cold-per-s", "40", "-pause", s.opts.Plan.eventPause().String())
}

func (s *system) serviceOf(server int) string {
	if server < s.opts.Engines {
		return engineService
	}
	return deskService
}

func (s *system) recordsFile(server, start int) string {
	return filepath.Join(s.opts.WorkDir, fmt.Sprintf("records-%d-%d.json", server, start))
}

// addProgram starts a gateway (subnet 1) or an agent (subnet 2) with its settings file and its own proxy to the store.
func (s *system) addProgram(name, binary string, subnet, i int, list *[]*program) error {
	ip := s.opts.ip(subnet, i)
	p, err := newProxy(fmt.Sprintf("%s:%d", ip, proxyPort+1), s.storeAddress())
	if err != nil {
		return err
	}
	s.storeProxies = append(s.storeProxies, p)
	settings := map[string]any{
		"node_name": name, "role": name, "ip": ip, "zone": dataCentres[i%len(dataCentres)],
		"port_range": []int{portRangeFirst, portRangeLast},
		"seeds":      []string{fmt.Sprintf("%s:%d", s.opts.ip(1, 0), peerPort)}, "bootstrap": true,
		"bounds": map[string]any{"grace_s": grace.Seconds(), "drain_ms": drainTime.Milliseconds(), "retry_budget_ratio": retryRatio, "budget_window_s": retryWindow.Seconds(), "retry_budget_slack": retrySlack,
			"lease_ms": 3000, "ceiling_window_s": 5, "ceiling_overage": 1.1, "contact_ms": contactTime.Milliseconds()},
		"provider": map[string]any{"address": p.address(), "row_bytes": 65536},
	}
	if subnet == 1 {
		settings["listen"] = map[string]string{
			"front": s.gatewayAddress(i), "readiness": fmt.Sprintf("%s:%d", ip, readyPort), "control": fmt.Sprintf("%s:%d", ip, peerPort),
		}
	} else {
		settings["app"], settings["service"] = s.serverAddress(i), engineService
	}
	if n := s.opts.Plan.openFiles(); n > 0 {
		settings["limits"] = map[string]any{"max_fds": n + reservedFiles}
	}
	path := filepath.Join(s.opts.WorkDir, name+".json")
	if err := writeSettings(path, settings); err != nil {
		return err
	}
	s.laterSettings = append(s.laterSettings, func() error {
		settings["bootstrap"] = false
		return writeSettings(path, settings)
	})
	env := []string{"POMELOWHEEL_BOOT=" + path}
	if s.opts.Plan == PlanPlanned {
		// Without this, a program that was built with the race detector runs on for a second after the end of main.
		env = append(env, "GORACE=atexit_sleep_ms=0")
	}
	program := s.program(name, binary, env)
	program.openFiles = s.opts.Plan.openFiles()
	*list = append(*list, program)
	return program.start()
}

// writeSettings replaces a settings file at once, because processes read it at any time.
func writeSettings(path string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (s *system) ready(i int) error {
	resp, err := s.client.Get(fmt.Sprintf("http://%s:%d/", s.opts.ip(1, i), readyPort))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("gateway %d is not ready: status %d", i, resp.StatusCode)
	}
	return nil
}

// waitFor repeats f until it succeeds, ten seconds have passed or ctx ends, and returns the last error of f.
func (s *system) waitFor(ctx context.Context, f func() error) error {
	end := time.Now().Add(10 * time.Second)
	for {
		err := f()
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendControl sends a control request to a simulated store or server.
func (s *system) sendControl(address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	method := http.MethodPut
	switch path {
	case "/control/rows", "/control/copy", "/control/restore", "/control/restart", "/control/end", "/control/leave", "/control/drain":
		method = http.MethodPost
	case "/control/history":
		method = http.MethodDelete
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered status %d", address, path, resp.StatusCode)
	}
	return nil
}

// close kills every process of the run and closes the proxies.
func (s *system) close() {
	all := append(append(append([]*program{}, s.gateways...), s.agents...), s.servers...)
	if s.store != nil {
		all = append(all, s.store)
	}
	for _, p := range all {
		p.signal(syscall.SIGCONT, false)
		p.signal(syscall.SIGKILL, true)
	}
	for _, p := range all {
		p.wait(time.Second)
	}
	for _, p := range append(s.storeProxies, s.serverProxies...) {
		p.close()
	}
}
