package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// startTimeout is how long a process may take from its start to its first log line, at which it handles signals.
	startTimeout      = 5 * time.Second
	startPollInterval = 10 * time.Millisecond
)

// program is one process of the run, which may be started many times.
type program struct {
	name   string
	path   string
	args   []string
	env    []string
	logDir string // directory of the log files

	openFiles int // descriptors that the process may have; 0 for no limit of its own

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{}
	stopRequested bool // the current process was told to end
	startedAt     []time.Time
	terminatedAt  []time.Time // when SIGTERM was sent
	disturbedAt   []time.Time // when a signal other than SIGHUP was sent
	failures      []string
	crashStatus   int         // exit status of an expected crash; 0 if none is expected
	crashedAt     []time.Time // expected crashes

	stopping sync.Mutex // held while the process is stopped and started again
}

// logFile returns the path of the log of an incarnation, counted from one.
func (p *program) logFile(incarnation int) string {
	return filepath.Join(p.logDir, fmt.Sprintf("%s-%d.log", p.name, incarnation))
}

// start starts the process if it is not running.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	p.startedAt = append(p.startedAt, time.Now())
	log, err := os.Create(p.logFile(len(p.startedAt)))
	if err != nil {
		return err
	}
	c := exec.Command(p.path, p.args...)
	c.Env, c.Stdout, c.Stderr = p.env, log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	if p.openFiles > 0 {
		limit := unix.Rlimit{Cur: uint64(p.openFiles), Max: uint64(p.openFiles)}
		if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			p.failures = append(p.failures, fmt.Sprintf("%s has no limit of descriptors: %v", p.name, err))
		}
	}
	exited := make(chan struct{})
	p.command, p.exited, p.stopRequested = c, exited, false
	go func() {
		err := c.Wait()
		_ = log.Close()
		p.mu.Lock()
		switch {
		case p.crashStatus != 0 && c.ProcessState.ExitCode() == p.crashStatus:
			p.crashedAt = append(p.crashedAt, time.Now())
		case !p.stopRequested:
			p.failures = append(p.failures, fmt.Sprintf("%s ended unexpectedly: %v", p.name, err))
		}
		p.command = nil
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// setArgs sets the arguments of the next start.
func (p *program) setArgs(args []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.args = args
}

// signal sends a signal to the process. terminates says that the process is expected to end by it.
func (p *program) signal(s syscall.Signal, terminates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.stopRequested = p.stopRequested || terminates
	p.disturbedAt = append(p.disturbedAt, time.Now())
	if s == syscall.SIGTERM {
		p.terminatedAt = append(p.terminatedAt, time.Now())
	}
	_ = p.command.Process.Signal(s) // fails if the process has just ended
}

// hangup sends SIGHUP to the process, if it runs. A process that was just started gets it after its first log line, because
// SIGHUP ends any program that has not yet set its handlers.
func (p *program) hangup() {
	for deadline := time.Now().Add(startTimeout); !p.sendHangup() && time.Now().Before(deadline); {
		time.Sleep(startPollInterval)
	}
}

// sendHangup sends SIGHUP unless the process has logged nothing yet, and reports whether there is nothing left to send.
func (p *program) sendHangup() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return true
	}
	if log, err := os.Stat(p.logFile(len(p.startedAt))); err != nil || log.Size() == 0 {
		return false
	}
	_ = p.command.Process.Signal(syscall.SIGHUP) // fails if the process has just ended
	return true
}

// wait waits until the process ends, and kills it after limit. It reports whether the process ended by itself.
func (p *program) wait(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		p.signal(syscall.SIGKILL, true)
		<-exited
		return false
	}
}

// fail records a failure of the process.
func (p *program) fail(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, p.name+" "+fmt.Sprintf(format, args...))
}

// recordedFailures returns the unexpected exits and the failed restarts of the process.
func (p *program) recordedFailures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}

// crashes returns the number of expected crashes.
func (p *program) crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashedAt)
}

// incarnation returns the number of times the process was started.
func (p *program) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.startedAt)
}

// times returns when the process was started and signalled.
func (p *program) times() gatewayTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return gatewayTimes{slices.Clone(p.startedAt), slices.Clone(p.terminatedAt), slices.Clone(p.disturbedAt)}
}
