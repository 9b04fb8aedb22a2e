package responsecheck

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

var errEarly = errors.New("the server sent bytes before the request")

// conn is a connection that reports broken responses to its reader.
//
// It reports its end as an error if a write on it failed. A socket reports a reset only once, so if a write gets it, a read gets an
// ordinary end, which would complete a body without a length.
type conn struct {
	net.Conn

	writing  sync.Mutex // held during each write
	writeErr error      // of the first write that failed; guarded by writing

	mu     sync.Mutex
	begun  bool  // beginResponse has been called
	inHead bool  // the next bytes belong to the head of a response
	head   Head  // which is being read
	early  bool  // bytes arrived before the first request
	broken error // result of all reads from now on
}

// beginResponse tells that the next bytes are those of a response. Connections below TLS are not told.
func (c *conn) beginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.inHead, c.head = true, true, Head{}
	if c.early {
		c.broken = errEarly
	}
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

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.brokenBy(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.checkEnd()
	}
	return c.check(b[:n]), err
}

func (c *conn) brokenBy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// checkEnd returns io.EOF if the connection was not reset. It waits for a write that is in progress.
func (c *conn) checkEnd() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("the connection ended after a write on it failed: %w", c.writeErr)
	}
	return io.EOF
}

// check checks bytes that arrived and returns how many of them are passed on. If they make a response malformed, these do not complete its
// head, and the next read fails. At least one is passed on, because net/http would repeat a request if nothing arrived.
func (c *conn) check(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = c.early || !c.begun && len(b) > 0
	for passed := 0; c.inHead && passed < len(b); {
		n, err := c.head.Scan(b[passed:])
		passed += n
		if err != nil {
			c.broken = err
			return max(passed, 1)
		}
		if c.head.Done() {
			c.inHead = c.head.Interim()
			c.head = Head{}
		}
	}
	return len(b)
}
