package fleetprocess_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
)

// Guards against a gateway that takes seconds longer to stop because a caller opened a connection that it does not use.
func TestAnUnusedConnectionDoesNotDelayTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan struct{})
	server := &http.Server{ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			close(accepted)
		}
	}}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	unused, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unused.Close() }()
	<-accepted
	start := time.Now()
	_ = fleetprocess.EndConnections(context.Background(), server, true, 4*time.Second) // the unused connection may remain
	if took := time.Since(start); took > time.Second {
		t.Fatalf("shutdown took %v, expected at most 1s", took)
	}
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a planned stop that closes a kept connection while a request arrives on it: the server counts the
// connection as idle until it has read the whole header.
func TestARequestThatArrivesInPiecesIsAnsweredBeforeTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrivals := fleetprocess.NewArrivals()
	server := &http.Server{
		ConnState: arrivals.ConnState,
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	}
	go func() { _ = server.Serve(arrivals.Listener(listener)) }() // returns when the server is closed
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	responses := bufio.NewReader(c)
	get := func(pieces ...string) (*http.Response, error) {
		for i, piece := range pieces {
			if i > 0 {
				time.Sleep(150 * time.Millisecond)
			}
			if _, err := io.WriteString(c, piece); err != nil {
				return nil, err
			}
		}
		return http.ReadResponse(responses, nil)
	}
	if _, err := get("GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if n := arrivals.Pending(time.Now()); n != 0 {
		t.Fatalf("%d requests pending on an idle connection, expected none", n)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-time.After(50 * time.Millisecond) // the first piece has arrived
		idle := fleetprocess.WaitIdle(context.Background(), 3*time.Second, 20*time.Millisecond, func() bool {
			return arrivals.Pending(time.Now()) == 0
		})
		_ = fleetprocess.EndConnections(context.Background(), server, idle, time.Second)
	}()
	response, err := get("GET / HTTP/1.1\r\n", "Host: h\r\n", "\r\n")
	if err != nil {
		t.Fatalf("the request was cut off: %v", err)
	}
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("status %d, expected 204", response.StatusCode)
	}
	<-ended
	if _, err := responses.ReadByte(); err != io.EOF {
		t.Fatalf("after the end the connection gave %v, expected EOF", err)
	}
}

// Guards against a caller that never ends its request and thereby delays the end of the process.
func TestARequestThatStopsArrivingDoesNotDelayTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrivals := fleetprocess.NewArrivals()
	server := &http.Server{ConnState: arrivals.ConnState}
	go func() { _ = server.Serve(arrivals.Listener(listener)) }() // returns when the server is closed
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HT"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(2 * time.Second); arrivals.Pending(time.Now()) == 0; {
		if time.Now().After(end) {
			t.Fatal("the request that arrives in part is not seen")
		}
		time.Sleep(time.Millisecond)
	}
	if n := arrivals.Pending(time.Now().Add(2 * time.Second)); n != 0 {
		t.Fatalf("%d requests pending 2 s after the last byte, expected none", n)
	}
}
