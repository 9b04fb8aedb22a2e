package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is one process of the run, which may be started many times.
type program struct {
	name   string
	path   string
	args   []string
	env    []string
	logDir string // directory of the log files

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{}
	stopRequested bool // the current process was told to end
	starts        int
	failures      []string
}

// start starts the process if it is not running.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	p.starts++
	log, err := os.Create(filepath.Join(p.logDir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	c := exec.Command(p.path, p.args...)
	c.Env, c.Stdout, c.Stderr = p.env, log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.command, p.exited, p.stopRequested = c, exited, false
	go func() {
		err := c.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.stopRequested {
			p.failures = append(p.failures, fmt.Sprintf("%s ended unexpectedly: %v", p.name, err))
		}
		p.command = nil
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. terminates says that the process is expected to end by it.
func (p *program) signal(s syscall.Signal, terminates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.stopRequested = p.stopRequested || terminates
	_ = p.command.Process.Signal(s) // fails if the process has just ended
}

// wait waits until the process ends, and kills it after limit.
func (p *program) wait(limit time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(limit):
		p.signal(syscall.SIGKILL, true)
		<-exited
	}
}

// recordedFailures returns the unexpected exits and the failed restarts of the process.
func (p *program) recordedFailures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}

// incarnation returns the number of times the process was started.
func (p *program) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}
