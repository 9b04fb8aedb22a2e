package transport

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: version, type, flags, stream ID, length.
const (
	yamuxHeaderBytes = 12
	yamuxTypeAt      = 1
	yamuxLengthAt    = 8
	yamuxTypeData    = 0
)

// coalescingConn writes the header of a yamux data frame together with its body. yamux writes them one after
// the other from a single goroutine, and each write would be a TCP segment of its own.
type coalescingConn struct {
	net.Conn
	held []byte
}

// Write implements net.Conn. It holds back the header of a data frame that has a body.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.held) == 0 {
		if isDataHeader(b) {
			c.held = append(c.held, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	header := len(c.held)
	c.held = append(c.held, b...)
	n, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	return max(n-header, 0), err
}

func isDataHeader(b []byte) bool {
	return len(b) == yamuxHeaderBytes && b[yamuxTypeAt] == yamuxTypeData &&
		binary.BigEndian.Uint32(b[yamuxLengthAt:]) > 0
}
