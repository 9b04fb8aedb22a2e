// Package soak runs the fleet's real programs as processes on loopback, injects faults from outside of them by a seeded
// schedule, and checks what callers and backend servers see.
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
	Bin      string // directory of the programs
	Dir      string // for settings and logs
	Seed     uint64
	Faults   time.Duration // for which faults are injected
	Gateways int
	Engines  int
	Plain    int
	Rate     float64 // requests a second
	Base     int     // second byte of the loopback addresses, 1 to 250; runs at the same time need different ones
}

const (
	callerPort = 8000
	readyPort  = 8001
	peerPort   = 8002
	firstPort  = 8010
	lastPort   = 8019
	serverPort = 8080
	proxyPort  = 8081
	storePort  = 8090
	// loads from the weight store that the engines' configuration allows a second.
	loadsPerSecond = 4
	modelCount     = 6
	modelsHeld     = 3
	adapterCount   = 3
	streamEvents   = 12
	// tokenRate and tokenBurst are the limit of the organisation that is watched.
	tokenRate  = 3000
	tokenBurst = 6000
)

var dataCentres = []string{"north", "south"}

// site is the fleet of one run.
type site struct {
	opts     Options
	store    *program
	gateways []*program
	agents   []*program
	servers  []*program // engines first, then plain
	toStore  []*proxy   // of each gateway and then of each agent
	toServer []*proxy   // before each server
	client   *http.Client
	config   *operator
}

func (o Options) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", o.Base, kind, n+1) }

func (s *site) storeAddress() string { return fmt.Sprintf("%s:%d", s.opts.ip(0, 0), storePort) }

func (s *site) gatewayAddress(i int) string { return fmt.Sprintf("%s:%d", s.opts.ip(1, i), callerPort) }

func (s *site) serverAddress(i int) string { return fmt.Sprintf("%s:%d", s.opts.ip(2, i), serverPort) }

func modelName(i int) string { return fmt.Sprintf("m%d", i%modelCount) }

// newSite starts the processes and waits until every gateway is ready.
func newSite(ctx context.Context, o Options) (*site, error) {
	s := &site{opts: o, client: &http.Client{Timeout: 2 * time.Second}}
	s.config = newOperator(s)
	s.store = s.program("store", "fake-fleet", nil, "store", "-listen", s.storeAddress())
	if err := s.store.start(); err != nil {
		return s, err
	}
	if err := s.await(ctx, func() error { return s.config.write() }); err != nil {
		return s, fmt.Errorf("the store does not start: %w", err)
	}
	for i := range o.Engines + o.Plain {
		if err := s.addServer(i); err != nil {
			return s, err
		}
	}
	for i := range o.Gateways {
		if err := s.addHost(fmt.Sprintf("gateway-%d", i), "pomelo-fleet-gateway", 1, i, &s.gateways); err != nil {
			return s, err
		}
	}
	for i := range o.Engines {
		if err := s.addHost(fmt.Sprintf("agent-%d", i), "pomelo-fleet-agent", 2, i, &s.agents); err != nil {
			return s, err
		}
	}
	return s, s.await(ctx, func() error {
		for i := range s.gateways {
			if err := s.ready(i); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *site) program(name, binary string, env []string, args ...string) *program {
	return &program{name: name, path: filepath.Join(s.opts.Bin, binary), args: args, env: env, dir: s.opts.Dir}
}

func (s *site) addServer(i int) error {
	p, err := newProxy(fmt.Sprintf("%s:%d", s.opts.ip(2, i), proxyPort), s.serverAddress(i))
	if err != nil {
		return err
	}
	s.toServer = append(s.toServer, p)
	args := []string{"replica", "-listen", s.serverAddress(i), "-address", p.address(), "-store", s.storeAddress(),
		"-id", fmt.Sprintf("i-%d", i), "-data-centre", dataCentres[i%len(dataCentres)]}
	if i < s.opts.Engines {
		held := []string{modelName(i), modelName(i + 1), modelName(i + 2)}
		args = append(args, "-service", "engine", "-events", fmt.Sprint(streamEvents), "-models", strings.Join(held, ","),
			"-max-models", fmt.Sprint(modelsHeld), "-order-time", "150ms", "-cold-per-s", "40")
	} else {
		args = append(args, "-service", "desk")
	}
	server := s.program(fmt.Sprintf("server-%d", i), "fake-fleet", nil, args...)
	s.servers = append(s.servers, server)
	return server.start()
}

// addHost starts a process of the system with its settings and its own way to the store.
func (s *site) addHost(name, binary string, kind, i int, list *[]*program) error {
	ip := s.opts.ip(kind, i)
	p, err := newProxy(fmt.Sprintf("%s:%d", ip, proxyPort+1), s.storeAddress())
	if err != nil {
		return err
	}
	s.toStore = append(s.toStore, p)
	settings := map[string]any{
		"node_name": name, "role": name, "ip": ip, "zone": dataCentres[i%len(dataCentres)], "port_range": []int{firstPort, lastPort},
		"seeds": []string{fmt.Sprintf("%s:%d", s.opts.ip(1, 0), peerPort)}, "bootstrap": true,
		"bounds": map[string]any{"grace_s": 4, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54,
			"lease_ms": 3000, "ceiling_window_s": 5, "ceiling_overage": 1.1, "contact_ms": 3000},
		"provider": map[string]any{"address": p.address(), "row_bytes": 65536},
	}
	if kind == 1 {
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
	path := filepath.Join(s.opts.Dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	program := s.program(name, binary, []string{"POMELOWHEEL_BOOT=" + path})
	*list = append(*list, program)
	return program.start()
}

func (s *site) ready(i int) error {
	resp, err := s.client.Get(fmt.Sprintf("http://%s:%d/", s.opts.ip(1, i), readyPort))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("gateway %d answers %d", i, resp.StatusCode)
	}
	return nil
}

// await repeats f until it succeeds or ten seconds have passed.
func (s *site) await(ctx context.Context, f func() error) error {
	end := time.Now().Add(10 * time.Second)
	for {
		err := f()
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// put sends a control message to a stand-in.
func (s *site) put(address, path string, body any) error {
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
		return fmt.Errorf("%s%s answers %d", address, path, resp.StatusCode)
	}
	return nil
}

type serverRuns struct {
	Runs    []fake.Run `json:"runs"`
	Crashed string     `json:"crashed"`
}

// runs returns what a server ran since its process started.
func (s *site) runs(i int) (serverRuns, error) {
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

// close ends every process that the soak started.
func (s *site) close() {
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
	for _, p := range append(s.toStore, s.toServer...) {
		p.close()
	}
}
