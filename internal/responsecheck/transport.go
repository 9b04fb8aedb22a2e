// Package responsecheck makes the clients of net/http report broken responses that net/http takes for whole. Use it for each
// http.Transport that reads from a backend server or from the platform. internal/upstream, which reads responses without a transport,
// makes the same checks.
package responsecheck

import (
	"context"
	"net"
	"net/http"
)

// NewTransport changes t, which must not have been used, so that its connections are checked, and returns it.
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
	return t
}

// NewClient returns a client with the settings of http.DefaultClient whose connections are checked.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}
