package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// system is a small deployment on loopback: the project's processes, the store and the replicas.
type system struct {
	record *record
	dir    string // temporary folder for settings and logs
	net    string // first two bytes of all addresses
	ports  map[string]int
	store  *store

	gateways []*process
	agents   []*process
	replicas []*replica
}

// process is one process of the project.
type process struct {
	name, program, settings string
	front, readiness        string // of a gateway
	record                  *record
	log                     *os.File
	cmd                     *exec.Cmd
	done                    chan struct{}
}

func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{record: rec, dir: dir, net: fmt.Sprintf("127.%d", 20+os.Getpid()%200), ports: make(map[string]int)}
	// Ports are the same on all machines. They are taken from the range that the kernel gives out, at an address of its own.
	for _, name := range []string{"front", "readiness", "control", "peer", "metrics", "app", "store"} {
		l, err := net.Listen("tcp", s.net+".9.9:0")
		if err != nil {
			return nil, err
		}
		s.ports[name] = l.Addr().(*net.TCPAddr).Port
		defer func() { _ = l.Close() }()
	}
	s.store, err = newStore(s.address("0.7", "store"), rec)
	return s, err
}

// address returns the address of a port at a machine, which is given by the last two bytes.
func (s *system) address(machine, port string) string {
	return fmt.Sprintf("%s.%s:%d", s.net, machine, s.ports[port])
}

// bounds are those of the settings example in DEPLOY.md.
func bounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
		"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "stretch_max_ms": 5000, "strict_revoke": false,
		"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54, "quota_window_s": 8,
		"quota_overage": 0.1, "quota_slack": 110000, "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12,
		"pass_ms": 120, "retry_after_s": 0, "require_fence": false, "lease_ms": 3000, "thaw_slack_ms": 300, "ceiling_window_s": 5,
		"ceiling_overage": 1.1,
	}
}

const (
	configBound  = 2 * time.Second // config_ms
	contactBound = 3 * time.Second // contact_ms
	drainBound   = 2 * time.Second // drain_ms
)

func zoneOf(i int) string { return []string{"walled-city", "gulberg", "model-town"}[i%3] }

// settings returns the settings of a machine, as in the example of DEPLOY.md.
func (s *system) settings(name, class, machine, zone string, seeds []string) map[string]any {
	return map[string]any{
		"node_name": name, "role": class, "machine_class": class, "ip": s.net + "." + machine, "zone": zone, "region": "punjab-central",
		"zones":      map[string]string{"walled-city": "punjab-central", "gulberg": "punjab-central", "model-town": "punjab-central"},
		"port_range": []int{s.ports["peer"], s.ports["metrics"]}, "seeds": seeds, "bootstrap": true, "tolerated": false,
		"limits":   map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(), "bounds": bounds(),
		"provider": map[string]any{
			"address": s.address("0.7", "store"), "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "txn_ms": 5.0,
			"part_writes_s": 200, "row_bytes": 65536, "cross_partition": false, "history_s": 20,
		},
	}
}

// addGateways starts gateways, the first ones as seeds.
func (s *system) addGateways(n int) error {
	machine := func(i int) string { return fmt.Sprintf("1.%d", 10+i) }
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, s.address(machine(i), "control"))
	}
	for i := range n {
		name := fmt.Sprintf("edge-%d", i+1)
		settings := s.settings(name, "edge", machine(i), zoneOf(i), seeds)
		p := &process{
			name: name, program: "target/pomelo-fleet-gateway", record: s.record,
			front: s.address(machine(i), "front"), readiness: "http://" + s.address(machine(i), "readiness") + "/api/readiness",
		}
		settings["serves"] = []string{"edge", "control"}
		settings["listen"] = map[string]string{
			"front": p.front, "readiness": s.address(machine(i), "readiness"), "control": s.address(machine(i), "control"),
		}
		s.gateways = append(s.gateways, p)
		if err := s.begin(p, settings); err != nil {
			return err
		}
	}
	return nil
}

// addAgent starts the agent on the machine of an engine.
func (s *system) addAgent(i int, service string) error {
	machine := fmt.Sprintf("2.%d", 10+i)
	p := &process{name: fmt.Sprintf("side-%d", i+1), program: "target/pomelo-fleet-agent", record: s.record}
	settings := s.settings(p.name, "side", machine, zoneOf(i), []string{s.address("1.10", "control")})
	settings["serves"], settings["app"], settings["service"] = []string{"side"}, s.address(machine, "app"), service
	s.agents = append(s.agents, p)
	return s.begin(p, settings)
}

func (s *system) begin(p *process, settings map[string]any) error {
	p.settings = filepath.Join(s.dir, p.name+".json")
	log, err := os.Create(filepath.Join(s.dir, p.name+".log"))
	if err != nil {
		return err
	}
	p.log = log
	if err := writeJSON(p.settings, settings); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	settings["bootstrap"] = false // true only when the whole system starts for the first time
	return writeJSON(p.settings, settings)
}

func writeJSON(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// start starts the process with the command of the deploy file. It reads its settings before the caller changes them.
func (p *process) start() error {
	p.cmd = exec.Command(p.program)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOWHEEL_BOOT=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.record.add("process %s started", p.name)
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		p.record.add("process %s ended: %v", p.name, err)
		close(done)
	}(p.cmd, p.done)
	time.Sleep(300 * time.Millisecond)
	return nil
}

// stop ends the process with a signal and waits for its end, for the grace period at most.
func (p *process) stop(signal syscall.Signal) {
	_ = p.cmd.Process.Signal(signal)
	select {
	case <-p.done:
	case <-time.After(8 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// waitReady waits until all gateways are ready.
func (s *system) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range s.gateways {
		for {
			resp, err := client.Get(g.readiness)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New("gateway " + g.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.add("all gateways are ready")
	return nil
}

// addReplica starts a replica at a machine.
func (s *system) addReplica(r *replica, machine string) error {
	r.address, r.store, r.record = s.address(machine, "app"), s.store, s.record
	if err := r.start(); err != nil {
		return err
	}
	s.replicas = append(s.replicas, r)
	return nil
}

// runs returns the runs of all replicas by request.
func (s *system) runs() map[string][]*arrival {
	byID := make(map[string][]*arrival)
	for _, r := range s.replicas {
		for _, a := range r.runs() {
			byID[a.id] = append(byID[a.id], a)
		}
	}
	return byID
}

// close ends all that was started.
func (s *system) close() {
	for _, p := range append(append([]*process{}, s.gateways...), s.agents...) {
		if p.done == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.log.Close()
	}
	for _, r := range s.replicas {
		r.end()
	}
	if s.store != nil {
		s.store.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}
