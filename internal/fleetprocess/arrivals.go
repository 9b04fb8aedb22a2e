package fleetprocess

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// arrivalTimeout is the time without a byte after which a request that has arrived in part no longer delays the end of a
// process. A sound caller sends a request in one piece or a few.
const arrivalTimeout = time.Second

// Arrivals tracks the connections of an http.Server on which a part of a request has arrived. The server counts such a
// connection as idle until it has read the whole header, and closes it when it shuts down.
type Arrivals struct {
	mu    sync.Mutex
	conns map[net.Conn]*arrival
}

type arrival struct {
	serving    bool      // the server has read the header of a request
	lastByteAt time.Time // of a request whose header has not been read; zero if nothing of one has arrived
}

// NewArrivals returns an Arrivals without connections.
func NewArrivals() *Arrivals { return &Arrivals{conns: make(map[net.Conn]*arrival)} }

// Listener returns a listener whose connections are tracked. Its server must have ConnState as its hook.
func (a *Arrivals) Listener(l net.Listener) net.Listener { return &arrivalListener{l, a} }

// ConnState is the hook for http.Server.ConnState.
func (a *Arrivals) ConnState(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateNew:
		if a.conns[c] == nil {
			a.conns[c] = new(arrival)
		}
	case http.StateActive, http.StateIdle:
		if t := a.conns[c]; t != nil {
			t.serving, t.lastByteAt = state == http.StateActive, time.Time{}
		}
	case http.StateClosed, http.StateHijacked:
		delete(a.conns, c)
	}
}

// Pending returns the number of connections on which a part of a request arrived within arrivalTimeout before now and
// whose header has not been read yet.
func (a *Arrivals) Pending(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, t := range a.conns {
		if !t.serving && !t.lastByteAt.IsZero() && now.Sub(t.lastByteAt) < arrivalTimeout {
			n++
		}
	}
	return n
}

func (a *Arrivals) recordBytes(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.conns[c]; t != nil && !t.serving {
		t.lastByteAt = time.Now()
	}
}

type arrivalListener struct {
	net.Listener
	arrivals *Arrivals
}

// Accept implements net.Listener.
func (l *arrivalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &arrivalConn{c, l.arrivals}, nil
}

type arrivalConn struct {
	net.Conn
	arrivals *Arrivals
}

// Read implements net.Conn.
func (c *arrivalConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.arrivals.recordBytes(c)
	}
	return n, err
}

// CloseWrite closes the sending side. The server uses it so that a response is not lost when unread bytes of the caller
// would reset the connection.
func (c *arrivalConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
