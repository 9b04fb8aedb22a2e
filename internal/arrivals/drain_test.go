package arrivals_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
)

// Guards against a gateway that takes seconds longer to stop because a caller opened a connection that it does not use.
func TestAnUnusedConnectionDoesNotDelayTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := arrivals.New(arrivals.Options{})
	server := &http.Server{Handler: http.NotFoundHandler()}
	tracker.Attach(server)
	go func() { _ = server.Serve(tracker.Listener(listener)) }() // returns when the server is closed
	unused, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unused.Close() }()
	expectAccepted(t, listener.Addr().String())
	start := time.Now()
	if err := tracker.End(context.Background(), server, 4*time.Second); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("shutdown took %v, expected at most 1s", took)
	}
}

// Guards against a planned stop that closes a kept connection while a request arrives on it: the server counts the
// connection as idle until it has read the whole header.
func TestARequestThatArrivesInPiecesIsAnsweredBeforeTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := arrivals.New(arrivals.Options{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	}
	tracker.Attach(server)
	go func() { _ = server.Serve(tracker.Listener(listener)) }() // returns when the server is closed
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	responses := bufio.NewReader(c)
	send := func(piece string) {
		t.Helper()
		if _, err := io.WriteString(c, piece); err != nil {
			t.Fatalf("the request was cut off: %v", err)
		}
	}
	send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := http.ReadResponse(responses, nil); err != nil {
		t.Fatal(err)
	}
	awaitPending(t, tracker, 0)
	send("GET / HTTP/1.1\r\n")
	awaitPending(t, tracker, 1)
	checks := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fleetprocess.WaitIdle(context.Background(), 10*time.Second, 20*time.Millisecond, func() bool {
			select {
			case checks <- struct{}{}:
			default:
			}
			return tracker.Pending(time.Now()) == 0
		})
		_ = tracker.End(context.Background(), server, time.Second)
	}()
	for _, piece := range []string{"Host: h\r\n", "\r\n"} {
		for range 3 { // the stop has looked at the connection since the piece before
			select {
			case <-checks:
			case <-ended:
				t.Fatal("the server stopped while a request arrived")
			}
		}
		send(piece)
	}
	response, err := http.ReadResponse(responses, nil)
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
	tracker := arrivals.New(arrivals.Options{})
	server := &http.Server{Handler: http.NotFoundHandler()}
	tracker.Attach(server)
	go func() { _ = server.Serve(tracker.Listener(listener)) }() // returns when the server is closed
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HT"); err != nil {
		t.Fatal(err)
	}
	awaitPending(t, tracker, 1)
	if n := tracker.Pending(time.Now().Add(2 * time.Second)); n != 0 {
		t.Fatalf("%d requests pending 2 s after the last byte, expected none", n)
	}
}

// awaitPending waits until that many requests arrive in part.
func awaitPending(t *testing.T, a *arrivals.Tracker, want int) {
	t.Helper()
	gomega.NewWithT(t).Eventually(func() int { return a.Pending(time.Now()) }, 5*time.Second, "1ms").
		Should(gomega.Equal(want))
}
