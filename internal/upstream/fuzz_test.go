package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/upstream"
)

// socketPair returns the two ends of a connection.
func socketPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]net.Conn
	for i, fd := range fds {
		file := os.NewFile(uintptr(fd), "socket")
		ends[i], err = net.FileConn(file)
		_ = file.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ends[i].Close() })
	}
	return ends[0], ends[1]
}

// FuzzResponse guards against bytes of a server that end the process, are read without a bound, or reach the caller of the next
// request on the connection.
func FuzzResponse(f *testing.F) {
	const maxBody = 1 << 20
	f.Fuzz(func(t *testing.T, data []byte) {
		p := upstream.NewPool(upstream.Options{DialTimeout: time.Millisecond, MaxIdle: 1})
		client, server := socketPair(t)
		p.AddIdle("s", client)
		go func() {
			defer func() { _ = server.Close() }()
			requests := bufio.NewReader(server)
			if _, err := read(requests); err != nil {
				return
			}
			if _, err := server.Write(data); err != nil {
				return
			}
			// A response that is not complete then ends here.
			if server.SetReadDeadline(time.Now().Add(10*time.Millisecond)) != nil {
				return
			}
			if id, err := read(requests); err == nil {
				respond(server, id, "for "+id)
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		for _, id := range []string{"1", "2"} {
			resp, err := p.Do(ctx, upstream.Request{
				Server: "s", Address: "127.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}},
				Matches: func(_ int, h http.Header) bool { return h.Get("X-Id") == id },
			})
			if err != nil {
				return
			}
			body, err := io.ReadAll(io.LimitReader(resp, maxBody))
			resp.Close()
			if id == "2" && err == nil && string(body) != "for 2" {
				t.Fatalf("the second caller got %q", body)
			}
		}
	})
}
