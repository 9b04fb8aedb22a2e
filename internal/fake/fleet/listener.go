package fleet

import (
	"net"
	"syscall"
	"time"
)

// Listener returns a listener that accepts no connection during the fault ShortFor.
func (r *Replica) Listener(l net.Listener) net.Listener {
	return &shortListener{l, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return time.Now().Before(r.shortUntil)
	}}
}

// Listener returns a listener that accepts no connection during the fault ShortFor.
func (s *Store) Listener(l net.Listener) net.Listener {
	return &shortListener{l, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Now().Before(s.shortUntil)
	}}
}

// shortListener fails to accept like the listener of a process without free descriptors.
type shortListener struct {
	net.Listener
	short func() bool
}

// Accept implements net.Listener. A connection that comes during the fault to an Accept from before it is closed.
func (l *shortListener) Accept() (net.Conn, error) {
	if !l.short() {
		conn, err := l.Listener.Accept()
		if err != nil || !l.short() {
			return conn, err
		}
		_ = conn.Close()
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
}
