package transport

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: version, type, flags, stream ID, length.
const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// coalescingConn writes the header and the body of a yamux data frame in a single call. yamux writes them one after
// the other from a single goroutine, and each write would become a separate TCP segment.
type coalescingConn struct {
	net.Conn
	pending []byte // header that waits for its body
}

// Write implements net.Conn. It buffers the header of a data frame that has a body until the body is written.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 {
		if isDataHeader(b) {
			c.pending = append(c.pending, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	headerBytes := len(c.pending)
	c.pending = append(c.pending, b...)
	n, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	return max(n-headerBytes, 0), err
}

func isDataHeader(b []byte) bool {
	return len(b) == yamuxHeaderBytes && b[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(b[yamuxLengthOffset:]) > 0
}
