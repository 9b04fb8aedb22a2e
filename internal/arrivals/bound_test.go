package arrivals_test

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
)

// startBoundedServer is startServer with a bound on connections. Requests for /wait are answered when release is closed.
// began has an element for each request for /wait whose handler was called.
func startBoundedServer(t *testing.T, most int) (address string, tracker *arrivals.Tracker, began chan struct{}, release chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker = arrivals.New(arrivals.Options{MaxConnections: most, Log: slog.New(slog.DiscardHandler)})
	began, release = make(chan struct{}, most), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			began <- struct{}{}
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})}
	tracker.Attach(server)
	go func() { _ = server.Serve(tracker.Listener(l)) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), tracker, began, release
}

const get, getWait = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"

func expectClosed(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(endLimit)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatalf("the connection is open")
	} else if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		t.Fatal("the connection was not closed")
	}
}

// Guards against callers who leave connections open until the process has no descriptor for anything else.
func TestAtTheBoundTheLongestIdleConnectionEnds(t *testing.T) {
	const most = 8
	address, tracker, began, release := startBoundedServer(t, most)
	busy := dial(t, address)
	send(t, busy, getWait)
	<-began
	var idle []net.Conn
	for range most - 1 {
		c := dial(t, address)
		send(t, c, get)
		expectStatus(t, c, http.StatusNoContent)
		idle = append(idle, c)
		for tracker.Idle() < len(idle) {
			time.Sleep(time.Millisecond) // the server has not ended the response
		}
	}
	another := dial(t, address)
	send(t, another, get)
	expectStatus(t, another, http.StatusNoContent)
	expectClosed(t, idle[0])
	send(t, idle[most-2], get)
	expectStatus(t, idle[most-2], http.StatusNoContent)
	close(release)
	expectStatus(t, busy, http.StatusNoContent)
	if _, ended, refused := tracker.Counts(); ended != 1 || refused != 0 {
		t.Errorf("%d ended, %d refused; expected 1 and 0", ended, refused)
	}
}

// Guards against the end of a request in progress, or of a connection that has just been opened, in favour of a new connection.
func TestAtTheBoundBusyConnectionsStay(t *testing.T) {
	const most = 3
	address, tracker, began, release := startBoundedServer(t, most)
	var busy []net.Conn
	for range most {
		c := dial(t, address)
		send(t, c, getWait)
		busy = append(busy, c)
		<-began
	}
	expectClosed(t, dial(t, address))
	close(release)
	for _, c := range busy {
		expectStatus(t, c, http.StatusNoContent)
	}
	if _, ended, refused := tracker.Counts(); ended != 0 || refused != 1 {
		t.Errorf("%d ended, %d refused; expected 0 and 1", ended, refused)
	}
}
