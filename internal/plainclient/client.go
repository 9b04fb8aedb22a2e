// Package plainclient is the sidecar's HTTP client for a plain service, which is any HTTP service other than a model
// engine. It sends each call at most once, unless the call is marked as repeatable.
package plainclient

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
	"github.com/pomelowheel/pomelowheel/internal/responsecheck"
)

const (
	dialTimeout     = time.Second
	readBufferBytes = 32 << 10
	// idleTimeout is shorter than the 5 s after which common servers close an idle connection.
	idleTimeout        = 2 * time.Second
	maxIdleConnections = 64 // idle connections for repeatable calls
	// DefaultMaxResponseBytes is the default limit on the body of a response.
	DefaultMaxResponseBytes = 64 << 20
)

// unforwardedHeaders are the header fields that are not forwarded in either direction: connection fields and credentials.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	base             string
	maxResponseBytes int64
	nonRepeatable    *http.Client // has no connection reuse
	repeatable       *http.Client
}

// New returns a client for the service at baseURL that accepts response bodies of at most maxResponseBytes. Each call
// that is not repeatable uses a connection of its own, because net/http may resend a request automatically, but only
// on a reused connection.
func New(baseURL string, maxResponseBytes int64) *Client {
	return &Client{
		base:             strings.TrimSuffix(baseURL, "/"),
		maxResponseBytes: maxResponseBytes,
		nonRepeatable:    newHTTPClient(&http.Transport{DisableKeepAlives: true}),
		repeatable:       newHTTPClient(&http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout}),
	}
}

func newHTTPClient(t *http.Transport) *http.Client {
	t.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	t.DisableCompression = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: responsecheck.NewTransport(t), CheckRedirect: noRedirect}
}

// Request is one call.
type Request struct {
	RequestID string
	Method    string
	Path      string // as in the request line, escaped
	Query     string
	Headers   http.Header
	Body      []byte
	// Repeatable says that the call may run twice: it may use a reused connection, on which net/http may resend it.
	Repeatable bool
}

// ResponseHandler receives a response: Head once, then Data for each part of the body. An error that it returns ends the
// call.
type ResponseHandler interface {
	Head(status int, headers http.Header) error
	Data(data []byte) error
}

// Do makes the call and passes the response to into. An error of kind BackendUnreachable or BadRequest means that the
// call did not run; OutcomeUnknown means that it may have run.
func (c *Client) Do(ctx context.Context, r Request, into ResponseHandler) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "build request")
	}
	client := c.nonRepeatable
	if r.Repeatable {
		client = c.repeatable
	}
	response, err := client.Do(request)
	switch {
	case err != nil && !connected.Load():
		return errkind.Wrap(errkind.BackendUnreachable, err, "connect to the service")
	case err != nil:
		return errkind.Wrap(errkind.OutcomeUnknown, err, "no response from the service")
	}
	defer func() { _ = response.Body.Close() }()
	if err := into.Head(response.StatusCode, forwardedHeaders(response.Header)); err != nil {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "forward the response headers")
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
	request.Header = forwardedHeaders(r.Headers)
	request.Header.Set("X-Request-Id", r.RequestID)
	return request, checkHeaders(request.Header)
}

// checkHeaders returns an error for invalid fields. net/http would refuse them too, but before it connects, so that the
// error would have kind BackendUnreachable.
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

// forwardedHeaders returns a copy of h without the fields that are not forwarded.
func forwardedHeaders(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	for name, values := range h {
		if name = http.CanonicalHeaderKey(name); !unforwardedHeaders[name] {
			kept[name] = values
		}
	}
	return kept
}

func (c *Client) copyBody(body io.Reader, into ResponseHandler) error {
	buffer := make([]byte, readBufferBytes)
	var total int64
	for {
		n, err := body.Read(buffer)
		total += int64(n)
		if total > c.maxResponseBytes {
			return errkind.New(errkind.OutcomeUnknown, "the response body exceeds %d bytes", c.maxResponseBytes)
		}
		if n > 0 {
			if err := into.Data(bytes.Clone(buffer[:n])); err != nil {
				return errkind.Wrap(errkind.OutcomeUnknown, err, "forward the response body")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errkind.Wrap(errkind.OutcomeUnknown, err, "the response body was cut after %d bytes", total)
		}
	}
}
