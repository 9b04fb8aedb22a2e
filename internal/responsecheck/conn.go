package responsecheck

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// conn is a connection whose end is an error for its reader if a write on it failed. A socket reports a reset only once, so if a write
// gets it, a read gets an ordinary end, which would complete a body without a length.
type conn struct {
	net.Conn

	writing  sync.Mutex // held during each write
	writeErr error      // of the first write that failed; guarded by writing
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the connection it waits for a write that is in progress.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return n, fmt.Errorf("the connection ended after a write on it failed: %w", c.writeErr)
	}
	return n, err
}
