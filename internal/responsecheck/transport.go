// Package responsecheck makes clients report broken responses that net/http takes for sound ones. Use NewTransport for each
// http.Transport that reads from a backend server or from the platform, and Head where responses are read without a transport, as
// internal/upstream does.
package responsecheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

type transport struct{ *http.Transport }

// NewTransport returns a RoundTripper that uses t, which must not have been used, and checks what servers send. The heads of responses are
// checked before net/http parses them, except over TLS: there they are checked afterwards, so that a line which begins with white space
// is seen as a part of the one before.
func NewTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return transport{t}
}

// NewClient returns a client with the settings of http.DefaultClient that checks what servers send.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn
		if c, ok := used.(*conn); ok {
			c.beginResponse()
		}
	}}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkParsed(response); err != nil {
		_ = response.Body.Close()
		if used != nil {
			_ = used.Close() // it may be idle already
		}
		return nil, err
	}
	return response, nil
}

func checkParsed(r *http.Response) error {
	if !ValidStatus(r.StatusCode) {
		return ErrStatus
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrFieldName
		}
	}
	return nil
}
