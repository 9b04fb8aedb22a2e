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

// program is one process of the soak, which may be started many times.
type program struct {
	name string
	path string
	args []string
	env  []string
	dir  string // of the log

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	meant     bool // the soak ended it
	starts    int
	surprises []string
}

// start starts the process if it does not run.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	p.starts++
	log, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
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
	p.command, p.exited, p.meant = c, exited, false
	go func() {
		err := c.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.meant {
			p.surprises = append(p.surprises, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		p.command = nil
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. ends says that the process ends by it.
func (p *program) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.meant = p.meant || ends
	_ = p.command.Process.Signal(s) // it may have ended just now
}

// wait waits for the end of the process, and kills it after limit.
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

// ended returns the ends that the soak did not cause.
func (p *program) ended() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surprises
}

// incarnation returns how often the process was started.
func (p *program) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}
