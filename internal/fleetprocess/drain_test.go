package fleetprocess_test

import (
	"context"
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
