package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxSkipped bounds the answers to earlier requests that are skipped on one connection.
const maxSkipped = 2

// maxSkippedBytes bounds one skipped answer.
const maxSkippedBytes = 1 << 20

// Request is a request to one backend server.
type Request struct {
	Server  string // key of the connections
	Address string // IP:port
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	// Belongs reports whether an answer with these headers is for this request.
	Belongs func(status int, h http.Header) bool
}

// Response is the answer of a server. Close must be called.
type Response struct {
	Status int
	Header http.Header

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	keep    time.Duration
	written <-chan error
	release func() bool
	whole   bool
}

// Do sends r and reads the head of the answer. The connection is closed when ctx ends. The error is ErrNotSent if
// the server cannot have seen the request.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.get(ctx, r.Server, r.Address)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	go func() { written <- write(c, r) }()
	resp, err := readHead(c, r)
	if err != nil {
		release()
		_ = c.Close()
		if writeErr := <-written; writeErr != nil {
			err = errors.Join(err, writeErr)
		}
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header,
		pool: p, conn: c, body: resp.Body, keep: keepFor(resp), written: written, release: release,
	}, nil
}

func write(c *conn, r Request) error {
	var head bytes.Buffer
	head.Grow(1 << 10)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(r.Body)
	if _, err := c.Write(head.Bytes()); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// readHead reads the head of the answer to r. A server may send an answer again, or late, so that it stands where
// the next one is expected; such answers are skipped.
func readHead(c *conn, r Request) (*http.Response, error) {
	for range maxSkipped + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		switch {
		case resp.StatusCode < http.StatusOK: // an interim answer
			continue
		case r.Belongs(resp.StatusCode, resp.Header):
			return resp, nil
		case resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
			return nil, errors.New("the answer belongs to another request and ends with its connection")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes {
			return nil, fmt.Errorf("skip the answer to another request (%d bytes): %w", n, errors.Join(err, io.ErrShortBuffer))
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// Read reads the body. io.EOF means that the body is whole.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close keeps the connection for another request if the answer was read whole and the request written whole, and
// closes it otherwise, which makes the server drop the request.
func (r *Response) Close() {
	stopped := r.release()
	if r.whole && stopped && r.keep > 0 && r.conn.reader.Buffered() == 0 {
		select {
		case err := <-r.written:
			if err == nil {
				r.pool.put(r.conn, r.keep)
				return
			}
		default: // the server answered before it read the request
		}
	}
	_ = r.conn.Close()
}
