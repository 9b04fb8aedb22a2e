// Command standin plays the cases of this review that are scripts: it starts the project's own programs as separate processes on
// loopback, beside stand-ins of the platform, of backend servers and of callers, and checks one rule.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotDone = 2
)

// memoryLimitMB is limits.memory_mb of an edge machine in the users' sheet.
const memoryLimitMB = 284

// harness holds the processes and the record of one case.
type harness struct {
	root    string // of the repository
	dir     string // temporary folder
	store   string // address of the store
	record  *os.File
	start   time.Time
	trouble bool

	mu        sync.Mutex
	processes []*process
	stopping  bool
}

// newHarness starts the store and opens the record of the case in folder.
func newHarness(folder string) (*harness, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	h := &harness{root: root, dir: dir, record: record, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	h.note("start, trouble %v", h.trouble)
	ports, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	h.store = ports[0]
	if _, err := h.launch("store", nil, "review/bin/fake-fleet", "store", "-listen", h.store); err != nil {
		return nil, err
	}
	return h, h.await("http://"+h.store+"/control/list", 10*time.Second)
}

// note writes a line to the record.
func (h *harness) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.record, "%9.3f  "+format+"\n", append([]any{time.Since(h.start).Seconds()}, args...)...)
}

// process is a process that the harness started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// launch starts a program of the repository. Its output goes to a file of the temporary folder.
func (h *harness) launch(name string, env []string, program string, args ...string) (*process, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return nil, errors.New("the case is ending")
	}
	log, err := os.OpenFile(filepath.Join(h.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	if !filepath.IsAbs(program) {
		program = filepath.Join(h.root, program)
	}
	cmd := exec.Command(program, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.root, log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "LANG=C"}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	h.processes = append(h.processes, p)
	return p, nil
}

// stop ends all processes that the harness started.
func (h *harness) stop() {
	h.mu.Lock()
	h.stopping = true
	list := h.processes
	h.mu.Unlock()
	for _, p := range list {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	_ = h.record.Close()
	_ = os.RemoveAll(h.dir)
}

// logged returns the lines of a process's log that contain a text.
func (h *harness) logged(name, text string) []string {
	data, err := os.ReadFile(filepath.Join(h.dir, name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// freePorts returns addresses on 127.0.0.1 that were free a moment ago.
func freePorts(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

func portOf(address string) int {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return n
}

// await waits until a URL answers with status 200.
func (h *harness) await(url string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", url)
}

// put writes a row of the store as the operator or a backend server does.
func (h *harness) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"puts": []map[string]any{{"table": table, "key": key, "value": data}}})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+h.store+"/control/rows", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", resp.StatusCode)
	}
	return nil
}

// gateway is a machine of the class edge with its process.
type gateway struct {
	name                      string
	front, readiness, control string
	settings                  map[string]any
	files                     int // descriptors that the process may have open; zero for no limit
	path                      string
	process                   *process
}

// newGateways prepares machines that know each other as seeds.
func (h *harness) newGateways(n int) ([]*gateway, error) {
	var list []*gateway
	var seeds []string
	for i := range n {
		a, err := freePorts(5)
		if err != nil {
			return nil, err
		}
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1), front: a[0], readiness: a[1], control: a[2]}
		first, last := portOf(a[3]), portOf(a[4])
		g.settings = map[string]any{
			"node_name": g.name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge", "control"},
			"ip": "127.0.0.1", "zone": "walled-city", "region": "punjab-central",
			"zones":      map[string]string{"walled-city": "punjab-central"},
			"listen":     map[string]string{"front": g.front, "readiness": g.readiness, "control": g.control},
			"port_range": []int{first, last}, "bootstrap": true, "tolerated": false,
			"limits":    map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": memoryLimitMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"discovery": "platform", "entry": "vip", "heartbeat_ms": 300,
			"bounds": map[string]any{
				"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000, "retry_budget_ratio": 0.2,
				"budget_window_s": 10, "retry_budget_slack": 54, "catch_up_s": 4,
			},
			"provider": map[string]any{"address": h.store, "form": "table", "row_bytes": 65536},
		}
		g.path = filepath.Join(h.dir, g.name+".json")
		seeds = append(seeds, g.control)
		list = append(list, g)
	}
	for _, g := range list {
		g.settings["seeds"] = seeds[:min(3, len(seeds))]
	}
	return list, nil
}

// run starts the process of a gateway, by the command of the deploy file.
func (h *harness) run(g *gateway, bootstrap bool) error {
	g.settings["bootstrap"] = bootstrap
	data, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.path, data, 0o600); err != nil {
		return err
	}
	env := []string{"POMELOWHEEL_BOOT=" + g.path}
	if g.files == 0 {
		g.process, err = h.launch(g.name, env, "target/pomelo-fleet-gateway")
		return err
	}
	limited := fmt.Sprintf("ulimit -n %d && exec target/pomelo-fleet-gateway", g.files)
	g.process, err = h.launch(g.name, env, "/bin/sh", "-c", limited)
	return err
}

// memory returns the resident anonymous memory of a process in bytes.
func memory(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}
