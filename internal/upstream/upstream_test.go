package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/upstream"
)

// serve answers each connection by handle and counts the connections.
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

// ask sends a request with an ID and returns the body.
func ask(p *upstream.Pool, address, id, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, upstream.Request{
		Server: "s", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}},
		Body:    []byte(body),
		Belongs: func(_ int, h http.Header) bool { return h.Get("X-Id") == "" || h.Get("X-Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return string(data), err
}

func answer(c net.Conn, id, body string) {
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

// Guards against an answer that a caller gets although it belongs to the request before on the same connection.
func TestALateAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		previous := ""
		for {
			id, err := read(r)
			if err != nil {
				return
			}
			if previous != "" {
				answer(c, previous, "again "+previous)
			}
			answer(c, id, "for "+id)
			previous = id
		}
	})
	p := pool()
	for i := range 4 {
		id := fmt.Sprint(i)
		if got, err := ask(p, address, id, "x"); err != nil || got != "for "+id {
			t.Fatalf("request %s got %q, %v", id, got, err)
		}
	}
}

// Guards against bytes that a server sent after an answer and that are taken for the next one.
func TestAConnectionWithUnexpectedBytesIsNotUsedAgain(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := read(r)
			if err != nil {
				return
			}
			answer(c, id, "for "+id)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
		}
	})
	p := pool()
	for i := range 3 {
		id := fmt.Sprint(i)
		if got, err := ask(p, address, id, "x"); err != nil || got != "for "+id {
			t.Fatalf("request %s got %q, %v", id, got, err)
		}
		time.Sleep(20 * time.Millisecond) // lets the extra bytes arrive
	}
	if n := connections.Load(); n != 3 {
		t.Fatalf("%d connections, expected one for each request", n)
	}
}

// Guards against a body whose rest reaches a server that answered early as part of the next request.
func TestAServerThatAnswersEarlyGetsNoOtherBytes(t *testing.T) {
	seen := make(chan string, 8)
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(c, req.Header.Get("X-Id"), "early")
		time.Sleep(100 * time.Millisecond)
		data, _ := io.ReadAll(r) // until the client closes
		if strings.Contains(string(data), "HTTP/1.1") {
			seen <- string(data)
		}
	})
	p := pool()
	body := strings.Repeat("b", 8<<20) // more than the socket buffers hold
	for i := range 2 {
		if got, err := ask(p, address, fmt.Sprint(i), body); err != nil || got != "early" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	select {
	case data := <-seen:
		t.Fatalf("%d bytes with another request in them", len(data))
	case <-time.After(300 * time.Millisecond):
	}
}

// Guards against a request that is sent twice, and against one that is called not sent although it was.
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
			answer(c, id, "ok")
		}
	})
	p := pool()
	if _, err := ask(p, address, "1", "x"); err != nil {
		t.Fatal(err)
	}
	_, err := ask(p, address, "2", "x")
	if err == nil || errors.Is(err, upstream.ErrNotSent) {
		t.Fatalf("error %v, expected one that leaves the outcome open", err)
	}
	if got.Load() != 2 {
		t.Fatalf("the server got %d requests", got.Load())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	if _, err := ask(p, closed, "3", "x"); !errors.Is(err, upstream.ErrNotSent) {
		t.Fatalf("error %v, expected not sent", err)
	}
}

// Guards against an answer that was cut and looks whole.
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
			if got, err := ask(pool(), address, "1", "x"); err == nil {
				t.Fatalf("%q looks whole", got)
			}
		})
	}
}

// Guards against a server that goes on with a request whose caller left.
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
		Belongs: func(int, http.Header) bool { return true },
	})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v", err)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection stays open")
	}
}
