package fleetgateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

const (
	// defaultMaxBodyBytes bounds a request body if the configuration names no limit.
	defaultMaxBodyBytes = 4 << 20
	// shortBodyBytes is the size up to which bodies have a budget of their own.
	shortBodyBytes = 64 << 10
	// minBodyBuffer is the first size of the buffer for a body whose length is not stated.
	minBodyBuffer = 4 << 10
)

// errNoMemory means that the budget does not cover the bytes that would be read next.
var errNoMemory = errors.New("no memory for the next bytes")

// readBody reads the body of the request within the limits of the configuration and the memory for bodies.
func (q *request) readBody() error {
	limit := q.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	q.setReadDeadline(q.deadline)
	stop := context.AfterFunc(q.server.ending, func() { q.setReadDeadline(time.Now()) })
	body, err := q.readWhole(http.MaxBytesReader(q.writer, q.http.Body, limit), limit)
	stop()
	q.setReadDeadline(time.Time{})
	if err != nil {
		q.writer.Header().Set("Connection", "close") // net/http then responds before it reads the rest
	}
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case errors.Is(err, errNoMemory):
		return errkind.New(errkind.GatewayFull, "no memory for a body of %d bytes (-1: not stated); bodies hold %d of %d bytes",
			q.http.ContentLength, q.server.opts.Bodies.Held(), q.server.opts.Bodies.Bound())
	case errors.As(err, &tooLarge):
		return q.disallow(errkind.BodyTooLarge, "the body is longer than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineUnreachable, err, "the body did not arrive in time")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return errkind.Wrap(errkind.CallerCancelled, err, "the caller did not send the whole body")
	case err != nil:
		return errkind.Wrap(errkind.BadRequest, err, "the body is malformed")
	}
	q.body = body
	return nil
}

// readWhole reads a body after the budgets cover it. It returns errNoMemory if they do not.
func (q *request) readWhole(r io.Reader, limit int64) ([]byte, error) {
	if size := q.http.ContentLength; size >= 0 && size <= limit {
		if !q.coverBody(size) {
			return nil, errNoMemory
		}
		body := make([]byte, size)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body := []byte{}
	for {
		if len(body) == cap(body) {
			if !q.coverBody(int64(2 * max(cap(body), minBodyBuffer))) {
				return nil, errNoMemory
			}
			body = slices.Grow(body, max(cap(body), minBodyBuffer))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// releaseBody gives the bytes of the body back. The body is not used after it.
func (q *request) releaseBody() {
	for _, lease := range q.bodyLeases {
		lease.Release()
	}
}

// coverBody reports whether the budgets cover a body of size bytes. A short body has a budget that long ones cannot use up, and uses
// that of the long ones, too.
func (q *request) coverBody(size int64) bool {
	short, long := q.bodyLeases[0], q.bodyLeases[1]
	return size <= shortBodyBytes && short.Exactly(size) || long.Exactly(size)
}

// setReadDeadline limits the time to read the rest of the request. A zero time means no limit.
func (q *request) setReadDeadline(t time.Time) {
	if err := http.NewResponseController(q.writer).SetReadDeadline(t); err != nil {
		q.server.opts.Log.Debug("cannot set the read deadline of the request", "error", err)
	}
}
