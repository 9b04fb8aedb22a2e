package arrivals_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
)

// endLimit is the longest time for the end of connections in these tests.
const endLimit = 5 * time.Second

// startServer serves handler and returns the address and a function that ends the connections and closes the server.
func startServer(t *testing.T, handler http.HandlerFunc) (address string, tracker *arrivals.Tracker, end func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker = arrivals.New(arrivals.Options{})
	server := &http.Server{Handler: handler}
	tracker.Attach(server)
	go func() { _ = server.Serve(tracker.Listener(listener)) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), tracker, func() {
		if err := tracker.End(context.Background(), server, endLimit); err != nil {
			t.Error(err)
		}
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("the request was cut off: %v", err)
	}
}

func expectStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatalf("the answer was cut: %v", err)
	}
	if response.StatusCode != status {
		t.Fatalf("status %d, expected %d", response.StatusCode, status)
	}
}

// Guards against a request that is read from a new connection during the end of the process and gets no answer.
func TestTheFirstRequestOfAConnectionIsAnsweredDuringTheEnd(t *testing.T) {
	address, _, end := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	c := dial(t, address)
	expectAccepted(t, address)
	ended := make(chan struct{})
	go func() { defer close(ended); end() }()
	time.Sleep(100 * time.Millisecond) // the end has begun; a later request is as strict
	send(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	expectStatus(t, c, http.StatusNoContent)
	<-ended
}

// Guards against a handler that is cut off because its request came during the end of the process.
func TestARequestThatComesDuringTheEndIsNotCut(t *testing.T) {
	address, _, end := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(600 * time.Millisecond) // the server takes this long
		w.WriteHeader(http.StatusNoContent)
	})
	c := dial(t, address)
	expectAccepted(t, address)
	send(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	end()
	expectStatus(t, c, http.StatusNoContent)
}

// Guards against a process that ends while the rest of a refused request arrives, which would reset the connection before the
// caller has read the refusal.
func TestARefusalIsNotLostWhileTheBodyArrives(t *testing.T) {
	refused := make(chan struct{})
	address, _, end := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		close(refused)
	})
	c := dial(t, address)
	const pieces, pieceBytes = 60, 1 << 10
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 61440\r\n\r\n")
	<-refused
	ended := make(chan struct{})
	go func() { defer close(ended); end() }()
	for range pieces {
		send(t, c, strings.Repeat("x", pieceBytes))
		time.Sleep(10 * time.Millisecond) // a slow link
	}
	expectStatus(t, c, http.StatusServiceUnavailable)
	<-ended
}

// Guards against a caller that does not send the rest of its request and thereby delays the end of the process.
func TestAStalledBodyOfARefusedRequestDoesNotDelayTheEnd(t *testing.T) {
	refused := make(chan struct{})
	address, _, end := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		close(refused)
	})
	c := dial(t, address)
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 61440\r\n\r\n")
	<-refused
	start := time.Now()
	end()
	if took := time.Since(start); took > endLimit/2 {
		t.Fatalf("the end took %v", took)
	}
	expectStatus(t, c, http.StatusServiceUnavailable)
}

// expectAccepted waits until all connections that were opened before have been accepted.
func expectAccepted(t *testing.T, address string) {
	t.Helper()
	c := dial(t, address)
	send(t, c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
}

// countingListener counts the bytes that are read from its connections, by the address of the peer.
type countingListener struct {
	net.Listener
	bytes sync.Map // *atomic.Int64 by string
}

type countingConn struct {
	*net.TCPConn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counter, _ := l.bytes.LoadOrStore(c.RemoteAddr().String(), new(atomic.Int64))
	return &countingConn{c.(*net.TCPConn), counter.(*atomic.Int64)}, nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against a request that was read whole when its connection was closed at the end of the process.
func TestNoRequestThatWasReadIsLostAtTheEnd(t *testing.T) {
	const callers, request = 60, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	tracker := arrivals.New(arrivals.Options{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond) // longer than a switch of goroutines
		w.WriteHeader(http.StatusNoContent)
	})}
	tracker.Attach(server)
	go func() { _ = server.Serve(tracker.Listener(counting)) }() // returns when the server is closed
	var done sync.WaitGroup
	var answered sync.Map // *atomic.Int64 by address, which a later connection may have again
	for range callers {
		done.Go(func() {
			for {
				c, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					return // the server has ended
				}
				answers, reader := int64(0), bufio.NewReader(c)
				for range 20 {
					if _, err := io.WriteString(c, request); err != nil {
						break
					}
					if _, err := http.ReadResponse(reader, nil); err != nil {
						break
					}
					answers++
				}
				sum, _ := answered.LoadOrStore(c.LocalAddr().String(), new(atomic.Int64))
				sum.(*atomic.Int64).Add(answers)
				_ = c.Close()
			}
		})
	}
	time.Sleep(50 * time.Millisecond) // all callers send; a shorter time is as strict
	if err := tracker.End(context.Background(), server, endLimit); err != nil {
		t.Error(err)
	}
	done.Wait()
	counting.bytes.Range(func(address, read any) bool {
		answers := int64(0)
		if sum, ok := answered.Load(address); ok {
			answers = sum.(*atomic.Int64).Load()
		}
		if requests := read.(*atomic.Int64).Load() / int64(len(request)); answers != requests {
			t.Errorf("%d requests were read from a connection and %d answered", requests, answers)
		}
		return true
	})
}

// Guards against idle connections that are closed too early, or never.
func TestIdleConnectionsEndAfterTheirTimeout(t *testing.T) {
	const timeout = time.Minute
	address, tracker, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	idle, arriving := dial(t, address), dial(t, address)
	for _, c := range []net.Conn{idle, arriving} {
		send(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		expectStatus(t, c, http.StatusNoContent)
	}
	awaitPending(t, tracker, 0)
	tracker.EndIdle(time.Now().Add(timeout/2), timeout)
	send(t, idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	expectStatus(t, idle, http.StatusNoContent)
	awaitPending(t, tracker, 0)
	send(t, arriving, "GET / HTTP/1.1\r\n")
	awaitPending(t, tracker, 1)
	tracker.EndIdle(time.Now().Add(2*timeout), timeout)
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the idle connection gave %v, expected EOF", err)
	}
	send(t, arriving, "Host: h\r\n\r\n")
	expectStatus(t, arriving, http.StatusNoContent)
}
