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
