package upstream

import (
	"bufio"
	"net"
	"time"
)

// AddIdle adds an open connection to the idle ones of a server.
func (p *Pool) AddIdle(server string, netConn net.Conn) {
	c := &conn{Conn: netConn, server: server}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	p.putIdle(c, time.Minute)
}

// IdleCount returns the counted and the actual number of idle connections.
func (p *Pool) IdleCount() (counted, actual int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		actual += len(list)
	}
	return p.idleCount, actual
}
