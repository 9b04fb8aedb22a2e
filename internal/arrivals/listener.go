package arrivals

import (
	"net"
	"sync"
)

type arrivalListener struct {
	net.Listener
	arrivals  *Tracker
	closeOnce sync.Once
	closed    chan struct{}
}

// Close implements net.Listener.
func (l *arrivalListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *arrivalListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &arrivalConn{Conn: conn, arrivals: l.arrivals}
		c.head.limits = &l.arrivals.opts.Limits
		if l.arrivals.add(c) {
			return c, nil
		}
		_ = conn.Close() // nothing was read from it
	}
}
