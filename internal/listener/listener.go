// Package listener keeps a server accepting connections through failures that pass by themselves, such as a lack of free
// file descriptors. Use it for every listener of a process that serves: an error of Accept that reaches the server ends the
// process, and with it all requests in progress.
package listener

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/descriptors"
)

const (
	// minPause and maxPause bound the pause between two attempts to accept a connection. It doubles with each failure.
	minPause = 5 * time.Millisecond
	maxPause = 200 * time.Millisecond
	// logInterval is the shortest time between two log lines about failures of one listener.
	logInterval = time.Second
)

// permanentErrors are the errors of accept(2) that say that the listening socket itself is unusable.
var permanentErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT}

// Options configure a persistent listener.
type Options struct {
	Name    string                 // of what the listener is for, in the log
	Reclaim *descriptors.Reclaimer // asked for descriptors when none is free; may be nil
	Log     *slog.Logger
}

// Persistent returns a listener whose Accept fails only once it is closed or the listening socket is unusable. After other
// errors it logs, pauses and accepts again.
func Persistent(l net.Listener, opts Options) net.Listener {
	return &persistent{Listener: l, opts: opts, closed: make(chan struct{})}
}

type persistent struct {
	net.Listener
	opts      Options
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (p *persistent) Accept() (net.Conn, error) {
	pause, failures := minPause, 0
	var lastLog time.Time
	for {
		conn, err := p.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if isPermanent(err) {
			return nil, err
		}
		failures++
		if now := time.Now(); now.Sub(lastLog) >= logInterval {
			p.opts.Log.Warn("connection not accepted; trying again", "listener", p.opts.Name, "failures", failures, "error", err)
			lastLog = now
		}
		if descriptors.Exhausted(err) {
			p.opts.Reclaim.Reclaim()
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-p.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
		pause = min(2*pause, maxPause)
	}
}

// Close implements net.Listener. It also ends a pause of Accept.
func (p *persistent) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return p.Listener.Close()
}

func isPermanent(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	for _, e := range permanentErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
