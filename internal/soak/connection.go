package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	dialTimeout = time.Second
	// longAnswerBytes is the size of a long answer. It is more than the buffers of a connection hold, so that the gateway
	// still writes while the caller reads.
	longAnswerBytes = 5 << 20
	// readChunkBytes is the size of a slow caller's reads and of its receive buffer, and readPause the pause between reads.
	readChunkBytes = 64 << 10
	readPause      = 12 * time.Millisecond
)

// connection is a caller's HTTP connection to a gateway. It does not retry a request, and records how far the request got.
type connection struct {
	conn   *net.TCPConn
	reader *bufio.Reader
	reused bool // a request was answered on it
}

func dial(ctx context.Context, address string) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("connection to %s is a %T", address, c)
	}
	return &connection{conn: tcp, reader: bufio.NewReader(tcp)}, nil
}

// isOpen reports whether the gateway has neither closed the idle connection nor sent anything on it.
func (c *connection) isOpen() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

func (c *connection) close() { _ = c.conn.Close() }

// answer is what a caller saw of the answer to one request.
type answer struct {
	written  time.Time // when the last byte of the request was written; zero if it was not
	begun    bool      // a byte of the answer arrived
	headAt   time.Time
	status   int // 0 if no head arrived
	header   http.Header
	body     []byte
	complete bool
	reusable bool // the connection may be used for another request
	err      error
}

// exchange sends req with the given body and reads the answer. The second half of the body is written pieceDelay after the
// first; zero writes all at once. slow makes it read the answer slowly.
func (c *connection) exchange(req *http.Request, body string, pieceDelay time.Duration, slow bool) (a answer) {
	if deadline, ok := req.Context().Deadline(); ok {
		if a.err = c.conn.SetDeadline(deadline); a.err != nil {
			return a
		}
	}
	if slow {
		if a.err = c.conn.SetReadBuffer(readChunkBytes); a.err != nil {
			return a
		}
	}
	if a.err = c.write(req, body, pieceDelay); a.err != nil {
		return a
	}
	a.written = time.Now()
	if _, a.err = c.reader.Peek(1); a.err != nil {
		return a
	}
	a.begun = true
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.headAt, a.status, a.header = time.Now(), resp.StatusCode, resp.Header
	if slow {
		a.body, a.err = readSlowly(resp.Body)
	} else {
		a.body, a.err = io.ReadAll(resp.Body)
	}
	a.complete = a.err == nil
	a.reusable = a.complete && !resp.Close
	return a
}

func (c *connection) write(req *http.Request, body string, pieceDelay time.Duration) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URL.RequestURI(), req.Host)
	if req.Method != http.MethodGet {
		req.Header.Set("Content-Length", fmt.Sprint(len(body)))
	}
	if err := req.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if pieceDelay > 0 {
		b.WriteString(body[:len(body)/2])
		body = body[len(body)/2:]
		if _, err := c.conn.Write(b.Bytes()); err != nil {
			return err
		}
		b.Reset()
		time.Sleep(pieceDelay)
	}
	b.WriteString(body)
	_, err := c.conn.Write(b.Bytes())
	return err
}

func readSlowly(r io.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		_, err := io.CopyN(&body, r, readChunkBytes)
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return body.Bytes(), err
		}
		time.Sleep(readPause)
	}
}
