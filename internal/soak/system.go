// Package soak is an end-to-end fault-injection test. It runs the fleet's real programs as processes on loopback,
// injects faults from outside the processes by a seeded schedule, and checks what callers and backend servers see.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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
	// tokenRate, in tokens per second, and tokenBurst, in tokens, are the limit of the organisation "watched".
	tokenRate  = 3000
	tokenBurst = 6000
)

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
	s := &system{opts: o, client: &http.Client{Timeout: 2 * time.Second}}
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
	return s, s.waitFor(ctx, func() error {
		for i := range s.gateways {
			if err := s.ready(i); err != nil {
				return err
			}
		}
		return nil
	})
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
	args := []string{"replica", "-listen", s.serverAddress(i), "-address", p.address(), "-store", s.storeAddress(),
		"-id", fmt.Sprintf("i-%d", i), "-data-centre", dataCentres[i%len(dataCentres)]}
	if i < s.opts.Engines {
		held := []string{modelName(i), modelName(i + 1), modelName(i + 2)}
		args = append(args, "-service", "engine", "-events", fmt.Sprint(streamEvents), "-models", strings.Join(held, ","),
			"-max-models", fmt.Sprint(maxModelsPerEngine), "-order-time", "150ms", "-cold-per-s", "40")
	} else {
		args = append(args, "-service", "desk")
	}
	server := s.program(fmt.Sprintf("server-%d", i), "fake-fleet", nil, args...)
	s.servers = append(s.servers, server)
	return server.start()
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
		"bounds": map[string]any{"grace_s": 4, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54,
			"lease_ms": 3000, "ceiling_window_s": 5, "ceiling_overage": 1.1, "contact_ms": 3000},
		"provider": map[string]any{"address": p.address(), "row_bytes": 65536},
	}
	if subnet == 1 {
		settings["listen"] = map[string]string{
			"front": s.gatewayAddress(i), "readiness": fmt.Sprintf("%s:%d", ip, readyPort), "control": fmt.Sprintf("%s:%d", ip, peerPort),
		}
	} else {
		settings["app"], settings["service"] = s.serverAddress(i), "engine"
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.opts.WorkDir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	program := s.program(name, binary, []string{"POMELOWHEEL_BOOT=" + path})
	*list = append(*list, program)
	return program.start()
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
	case "/control/rows", "/control/restart":
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

type serverRuns struct {
	Runs    []fake.Run `json:"runs"`
	Crashed string     `json:"crashed"`
}

// runs returns the requests that a server ran since its process started.
func (s *system) runs(i int) (serverRuns, error) {
	var r serverRuns
	resp, err := s.client.Get("http://" + s.serverAddress(i) + "/control/runs")
	if err != nil {
		return r, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(data, &r)
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
