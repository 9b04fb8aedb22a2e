// Package plainservice is the sidecar's client of a plain service. It sends each call at most once.
package plainservice

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

const (
	dialTimeout = time.Second
	chunkBytes  = 32 << 10
	// idleTimeout is shorter than the 5 s after which common servers close an idle connection.
	idleTimeout = 2 * time.Second
	maxIdle     = 64 // idle connections for calls that may be repeated
	// DefaultMaxResponse bounds the body of a response, in bytes.
	DefaultMaxResponse = 64 << 20
)

// dropped are the header fields that are never passed in either direction: connection fields and secrets.
var dropped = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Client talks to one plain service.
type Client struct {
	base        string
	maxResponse int64
	once        *http.Client // of calls that may not be repeated
	repeatable  *http.Client
}

// New returns a client of the service at baseURL that reads at most maxResponse bytes of a body. Each call
// that may not be repeated has its own connection, because net/http may resend a request on its own only on a
// reused connection.
func New(baseURL string, maxResponse int64) *Client {
	return &Client{
		base:        strings.TrimSuffix(baseURL, "/"),
		maxResponse: maxResponse,
		once:        newHTTP(&http.Transport{DisableKeepAlives: true}),
		repeatable:  newHTTP(&http.Transport{MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout}),
	}
}

func newHTTP(t *http.Transport) *http.Client {
	t.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	t.DisableCompression = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: noRedirect}
}

// Request is one call.
type Request struct {
	RequestID string
	Method    string
	Path      string // as in the request line, escaped
	Query     string
	Headers   http.Header
	Body      []byte
	// Repeatable allows a reused connection, on which net/http may send the call again.
	Repeatable bool
}

// Response receives an answer: Head once, then Data for each part of the body. An error ends the call.
type Response interface {
	Head(status int, headers http.Header) error
	Data(data []byte) error
}

// Do makes the call and passes the whole answer on. An error of kind BackendUnreachable or BadRequest means
// that the call did not run; OutcomeUnknown means that it may have run.
func (c *Client) Do(ctx context.Context, r Request, into Response) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "build request")
	}
	client := c.once
	if r.Repeatable {
		client = c.repeatable
	}
	response, err := client.Do(request)
	switch {
	case err != nil && !connected.Load():
		return errkind.Wrap(errkind.BackendUnreachable, err, "connect to the service")
	case err != nil:
		return errkind.Wrap(errkind.OutcomeUnknown, err, "no answer of the service")
	}
	defer func() { _ = response.Body.Close() }()
	if err := into.Head(response.StatusCode, passed(response.Header)); err != nil {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "pass the answer on")
	}
	return c.copyBody(response.Body, into)
}

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, fmt.Errorf("path %q does not start with a slash", r.Path)
	}
	target := c.base + r.Path
	if r.Query != "" {
		target += "?" + r.Query
	}
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target, body)
	if err != nil {
		return nil, err
	}
	if !r.Repeatable {
		request.GetBody = nil
	}
	request.Header = passed(r.Headers)
	request.Header.Set("X-Request-Id", r.RequestID)
	return request, checkHeaders(request.Header)
}

// checkHeaders refuses fields that net/http would refuse too, which would look like an unreachable service.
func checkHeaders(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("header name %q is not valid", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("the value of header %q is not valid", name)
			}
		}
	}
	return nil
}

// passed copies the header fields that are passed on.
func passed(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	for name, values := range h {
		if name = http.CanonicalHeaderKey(name); !dropped[name] {
			kept[name] = values
		}
	}
	return kept
}

func (c *Client) copyBody(body io.Reader, into Response) error {
	buffer := make([]byte, chunkBytes)
	var total int64
	for {
		n, err := body.Read(buffer)
		total += int64(n)
		if total > c.maxResponse {
			return errkind.New(errkind.OutcomeUnknown, "the answer exceeds %d bytes", c.maxResponse)
		}
		if n > 0 {
			if err := into.Data(bytes.Clone(buffer[:n])); err != nil {
				return errkind.Wrap(errkind.OutcomeUnknown, err, "pass the answer on")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errkind.Wrap(errkind.OutcomeUnknown, err, "the answer broke after %d bytes", total)
		}
	}
}
