package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelowheel/pomelowheel/internal/upstream"
)

// serve accepts connections, passes each to handle and counts them.
func serve(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) (address string, connections *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), connections
}

func pool() *upstream.Pool {
	return upstream.NewPool(upstream.Options{DialTimeout: time.Second, MaxIdle: 2})
}

// send sends a request with an ID and returns the response body.
func send(p *upstream.Pool, address, id, body string) (string, error) {
	return sendWithin(2*time.Second, p, address, id, body)
}

func sendWithin(limit time.Duration, p *upstream.Pool, address, id, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	resp, err := p.Do(ctx, upstream.Request{
		Server: "s", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}},
		Body:    []byte(body),
		Matches: func(_ int, h http.Header) bool { return h.Get("X-Id") == "" || h.Get("X-Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return string(data), err
}

func respond(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// read reads one request and returns its ID.
func read(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id"), err
}

// Guards against a caller that gets the response to the previous request on the same connection.
func TestALateAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		previous := ""
		for {
			id, err := read(r)
			if err != nil {
				return
			}
			if previous != "" {
				respond(c, previous, "again "+previous)
			}
			respond(c, id, "for "+id)
			previous = id
		}
	})
	p := pool()
	for i := range 4 {
		id := fmt.Sprint(i)
		if got, err := send(p, address, id, "x"); err != nil || got != "for "+id {
			t.Fatalf("request %s got %q, %v", id, got, err)
		}
	}
}

// Guards against bytes that a server sent after a response and that are taken for the next response.
func TestAConnectionWithUnexpectedBytesIsNotUsedAgain(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := read(r)
			if err != nil {
				return
			}
			respond(c, id, "for "+id)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
		}
	})
	p := pool()
	for i := range 3 {
		id := fmt.Sprint(i)
		if got, err := send(p, address, id, "x"); err != nil || got != "for "+id {
			t.Fatalf("request %s got %q, %v", id, got, err)
		}
		time.Sleep(20 * time.Millisecond) // lets the extra bytes arrive
	}
	if n := connections.Load(); n != 3 {
		t.Fatalf("%d connections, expected one for each request", n)
	}
}

// Guards against a server that responds early and gets the rest of the body as part of the next request.
func TestAServerThatAnswersEarlyGetsNoOtherBytes(t *testing.T) {
	seen := make(chan string, 8)
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		respond(c, req.Header.Get("X-Id"), "early")
		time.Sleep(100 * time.Millisecond)
		data, _ := io.ReadAll(r) // until the client closes
		if strings.Contains(string(data), "HTTP/1.1") {
			seen <- string(data)
		}
	})
	p := pool()
	body := strings.Repeat("b", 8<<20) // more than the socket buffers hold
	for i := range 2 {
		if got, err := sendWithin(20*time.Second, p, address, fmt.Sprint(i), body); err != nil || got != "early" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	select {
	case data := <-seen:
		t.Fatalf("the server got %d bytes that contain another request", len(data))
	case <-time.After(300 * time.Millisecond):
	}
}

// Guards against a request that is sent twice, and against one that is reported as not sent although it was sent.
func TestABrokenConnectionIsNotTriedAgain(t *testing.T) {
	var got atomic.Int64
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := read(r)
			if err != nil {
				return
			}
			if got.Add(1) == 2 {
				return
			}
			respond(c, id, "ok")
		}
	})
	p := pool()
	if _, err := send(p, address, "1", "x"); err != nil {
		t.Fatal(err)
	}
	_, err := send(p, address, "2", "x")
	if err == nil || errors.Is(err, upstream.ErrNotSent) {
		t.Fatalf("error %v, expected one that is not ErrNotSent", err)
	}
	if got.Load() != 2 {
		t.Fatalf("the server got %d requests, expected 2", got.Load())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	if _, err := send(p, closed, "3", "x"); !errors.Is(err, upstream.ErrNotSent) {
		t.Fatalf("error %v, expected ErrNotSent", err)
	}
}

// Guards against a truncated response that looks complete.
func TestAnAnswerThatBreaksOffIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := read(r); err == nil {
					_, _ = io.WriteString(c, text)
				}
			})
			if got, err := send(pool(), address, "1", "x"); err == nil {
				t.Fatalf("no error for the truncated response %q", got)
			}
		})
	}
}

// Guards against a server that goes on processing a request whose caller has disconnected.
func TestTheConnectionEndsWithTheContext(t *testing.T) {
	ended := make(chan struct{})
	address, _ := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := read(r); err == nil {
			_, _ = r.ReadByte()
			close(ended)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool().Do(ctx, upstream.Request{
		Server: "s", Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		Matches: func(int, http.Header) bool { return true },
	})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v, expected that the deadline was exceeded", err)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against a server in trouble whose header never ends: net/http reads a header of any size into memory.
func TestAHeaderWithoutEndIsRefusedAfterABoundedSize(t *testing.T) {
	for name, chunk := range map[string]string{
		"lines":    strings.Repeat("j", 1000) + "\r\nX-Junk: ",
		"one line": strings.Repeat("j", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = read(r)
				total, _ := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-More: ")
				for total < 64<<20 {
					n, err := io.WriteString(c, chunk)
					total += n
					if err != nil {
						break
					}
				}
				sent <- total
			})
			if _, err := send(pool(), address, "1", "x"); err == nil || !strings.Contains(err.Error(), "size limit") {
				t.Fatalf("got %v, expected an error about the size limit", err)
			}
			// The rest of what the server sent fits the buffers of the connection.
			if total := <-sent; total > 16<<20 {
				t.Fatalf("the connection was read up to %d bytes", total)
			}
		})
	}
}

// Guards against a request that waits for the body of a server that said it did not run it, for as long as the server
// sends a byte now and then.
func TestADiscardedBodyIsReadForABoundedTime(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = read(r)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 1000\r\n\r\n")
		for range 1000 {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	p := pool()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 2 {
		resp, err := p.Do(ctx, upstream.Request{
			Server: "s", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"1"}},
			Matches: func(int, http.Header) bool { return true },
		})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := resp.ReadRest(1<<20, 100*time.Millisecond); err == nil || time.Since(start) > time.Second {
			t.Fatalf("discarding took %v, error %v", time.Since(start), err)
		}
		resp.Close()
	}
	if n := connections.Load(); n != 2 {
		t.Fatalf("%d connections, expected 2: one with an unread body was used again", n)
	}
}

// Guards against a request that reaches a server after its caller has left: a frozen server, or one behind a broken link,
// reads it seconds later from the connection that was closed.
func TestACancelledRequestIsNotDeliveredLater(t *testing.T) {
	const bodyBytes = 100_000 // more than the server's buffer holds, less than the sender's
	received := make(chan error, 1)
	accepted, cancelled := make(chan struct{}), make(chan struct{})
	// The buffer is set on the listener, because a connection receives up to its buffer before it is accepted.
	smallBuffer := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		return errors.Join(err, setErr)
	}}
	l, err := smallBuffer.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		close(accepted)
		<-cancelled
		_, err = read(bufio.NewReader(c))
		received <- err
	}()
	address := l.Addr().String()
	sender := make(chan syscall.RawConn, 1)
	p := upstream.NewPool(upstream.Options{DialTimeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		sender <- raw
		return nil
	}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := p.Do(ctx, upstream.Request{
			Server: "s", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"1"}},
			Body: make([]byte, bodyBytes), Matches: func(int, http.Header) bool { return true },
		})
		if !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, expected the cancellation", err)
		}
	}()
	<-accepted
	raw := <-sender
	for end := time.Now().Add(5 * time.Second); unsentBytes(t, raw) < bodyBytes/2; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("the sender did not write its request")
		}
	}
	cancel()
	<-done
	close(cancelled)
	if err := <-received; err == nil {
		t.Fatal("the server got the whole request after it was cancelled")
	}
}

// unsentBytes returns the number of bytes that were written to a connection and that the other side has not received.
func unsentBytes(t *testing.T, raw syscall.RawConn) int {
	t.Helper()
	n, ioctlErr := 0, error(nil)
	err := raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err := errors.Join(err, ioctlErr); err != nil {
		t.Fatal(err)
	}
	return n
}
