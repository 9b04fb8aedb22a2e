package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxSkippedResponses bounds the responses, interim ones and those to earlier requests, that are skipped before the
// response to one request.
const maxSkippedResponses = 2

// maxSkippedBytes bounds the body of one skipped response, in bytes.
const maxSkippedBytes = 1 << 20

// maxCopiedBody is the size in bytes up to which a body is copied behind the header, so that both go out in one packet.
const maxCopiedBody = 16 << 10

// maxErrorText bounds the text of an error about a malformed response, in bytes.
const maxErrorText = 200

// Request is a request to one backend server.
type Request struct {
	Server  string // ID of the server; connections are reused for the same ID only
	Address string // IP:port
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	// Matches reports whether a response with this status and header is for this request.
	Matches func(status int, h http.Header) bool
	// OnHead is called with each status line and header that the server sends on the connection until the one for this request,
	// which is included. Nil means that they are not observed.
	OnHead func(status int, h http.Header)
	// MayStillSend is called once a connection is open, immediately before the request is written. If it returns false, nothing
	// is sent. Nil means that the request is sent in any case.
	MayStillSend func() bool
}

// Response is the response of a server. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Framed bool // the body has a length or comes in chunks, so that its end can be told from the end of the connection

	pool        *Pool
	conn        *conn
	body        io.ReadCloser
	idleTimeout time.Duration
	request     *writing
	giveUp      <-chan time.Time // ends the wait for the end of the request; may be nil
	stopCancel  func() bool
	complete    bool
}

// writing is the writing of a request.
type writing struct {
	done chan struct{} // closed when it has ended
	err  error         // valid after that
}

// startWriting writes r in a goroutine of its own, because a server may respond before it has read the request.
func startWriting(c *conn, r Request) *writing {
	w := &writing{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.err = write(c, r)
	}()
	return w
}

// Do sends r and reads the status line and the header of the response. The connection is reset when ctx ends. The
// error wraps ErrNotSent if the server cannot have got any byte of the request, also ErrWithdrawn if r.MayStillSend returned
// false, and ctx.Err() if ctx ended before the response.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.get(ctx, r.Server, r.Address)
	if err != nil {
		return nil, err
	}
	switch {
	case ctx.Err() != nil:
		p.putBack(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	case r.MayStillSend != nil && !r.MayStillSend():
		p.putBack(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrWithdrawn)
	}
	stopCancel := context.AfterFunc(ctx, c.abort)
	request := startWriting(c, r)
	resp, err := readHead(c, r)
	if err != nil {
		stopCancel()
		_ = c.Close()
		<-request.done
		err = errors.Join(err, request.err)
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		pool: p, conn: c, body: resp.Body, idleTimeout: keepAliveTimeout(resp), request: request, stopCancel: stopCancel,
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
	if len(r.Body) > maxCopiedBody {
		parts := net.Buffers{head.Bytes(), r.Body}
		if _, err := parts.WriteTo(c.Conn); err != nil {
			return fmt.Errorf("write request: %w", err)
		}
		return nil
	}
	head.Write(r.Body)
	if _, err := c.Write(head.Bytes()); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// readHead reads the status line and the header of the response to r. A server may send a response twice, or late,
// so that it arrives where the next one is expected; such responses are skipped.
func readHead(c *conn, r Request) (*http.Response, error) {
	for range maxSkippedResponses + 1 {
		if err := c.beginHead(); err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.inHead = false
		if err != nil {
			return nil, fmt.Errorf("read response: %w", boundText(err))
		}
		if r.OnHead != nil {
			r.OnHead(resp.StatusCode, resp.Header)
		}
		switch {
		case resp.StatusCode < http.StatusOK: // an interim response
			continue
		case r.Matches(resp.StatusCode, resp.Header):
			return resp, nil
		case resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
			return nil, errors.New("the response is for another request and ends with the connection")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes {
			return nil, fmt.Errorf("skip the response to another request (%d bytes): %w", n, errors.Join(err, io.ErrShortBuffer))
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// boundText returns err, or an error with the beginning of its text if that is long: net/http puts malformed bytes of the
// server into its errors.
func boundText(err error) error {
	text := err.Error()
	if len(text) <= maxErrorText || errors.Is(err, errHeadTooLarge) {
		return err
	}
	return errors.New(text[:maxErrorText])
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		err = r.checkEnd()
		r.complete = err == io.EOF
	}
	return n, err
}

// checkEnd returns io.EOF if the body, whose end was read, is complete. A body that is not framed ends with the connection. If that was
// reset while the request was written, the write may have got the error, and the read only the end.
func (r *Response) checkEnd() error {
	if r.Framed {
		return io.EOF
	}
	select {
	case <-r.request.done:
	case <-r.giveUp:
		return errors.New("the connection ended while the request was written")
	}
	if r.request.err != nil {
		return fmt.Errorf("the connection ended before the whole request was written: %w", r.request.err)
	}
	return io.EOF
}

// ReadRest reads the rest of the body and returns it, so that Close can keep the connection. It gives up, and Close then closes the
// connection, if the body is longer than maxBytes or takes longer than maxTime.
func (r *Response) ReadRest(maxBytes int64, maxTime time.Duration) ([]byte, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(maxTime)); err != nil {
		return nil, fmt.Errorf("read the response body: %w", err)
	}
	r.giveUp = time.After(maxTime)
	body, err := io.ReadAll(io.LimitReader(r, maxBytes))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read the response body: %w", err)
	case !r.complete:
		return nil, fmt.Errorf("read the response body: more than %d bytes", len(body))
	}
	return body, r.conn.SetReadDeadline(time.Time{})
}

// Close keeps the connection for another request if the request was sent and the response read completely. Otherwise
// it closes the connection, which makes the server cancel the request.
func (r *Response) Close() {
	stopped := r.stopCancel()
	if r.complete && stopped && r.idleTimeout > 0 && r.conn.reader.Buffered() == 0 {
		select {
		case <-r.request.done:
			if r.request.err == nil {
				r.pool.putIdle(r.conn, r.idleTimeout)
				return
			}
		default: // the server responded before it had read the request
		}
	}
	_ = r.conn.Close()
}
