package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// sent is one request of a caller and what the caller saw.
type sent struct {
	id     string
	kept   bool // on a connection on which an earlier request was answered
	status int  // zero without a complete answer
	err    error
	at     time.Duration
	took   time.Duration
}

// String describes a request in the record.
func (s *sent) String() string {
	return fmt.Sprintf("%s sent at %.3f kept=%v status=%d took=%.3f error=%v", s.id, s.at.Seconds(), s.kept, s.status, s.took.Seconds(), s.err)
}

// caller sends one request after the other over one connection, which it keeps while it can.
type caller struct {
	h      *harness
	front  string
	key    string
	path   string
	body   []byte
	rate   int    // bytes of a body per second; zero for no limit
	header string // further header lines
	stream bool   // the answer is a stream, whose text is not checked
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request and reads the answer.
func (c *caller) send(id string, deadline time.Duration) *sent {
	s := &sent{id: id, at: time.Since(c.h.start)}
	begun := time.Now()
	s.kept = c.conn != nil
	s.err = c.exchange(s, deadline)
	s.took = time.Since(begun)
	if s.err != nil {
		s.status = 0
		c.close()
	}
	return s
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

func (c *caller) exchange(s *sent, deadline time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return err
	}
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n",
		c.path, s.id, deadline.Milliseconds(), c.key, len(c.body), c.header)
	if _, err := io.WriteString(c.conn, head); err != nil {
		return err
	}
	if err := c.write(); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	s.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK && !c.stream && !bytes.Contains(body, []byte("answer to "+s.id)) {
		return fmt.Errorf("the answer belongs to another request")
	}
	if resp.Close {
		c.close()
	}
	return nil
}

// write sends the body at the caller's rate.
func (c *caller) write() error {
	const part = 64 << 10
	begun, n := time.Now(), 0
	for n < len(c.body) {
		end := min(n+part, len(c.body))
		if _, err := c.conn.Write(c.body[n:end]); err != nil {
			return err
		}
		n = end
		if c.rate > 0 {
			time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / time.Duration(c.rate))))
		}
	}
	return nil
}
