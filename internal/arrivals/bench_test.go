package arrivals_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
)

// BenchmarkRequests sends ordinary requests of 12 fields and 1 KB on one kept connection to a handler that only reads the body,
// so that all of the time is the connection's and net/http's.
func BenchmarkRequests(b *testing.B) {
	limits := arrivals.Limits{
		Refusals: refusals.NewRecorder("callers", nil), MaxFields: 32 << 10, Heads: memorybudget.New(16 << 20),
		BodyStall: time.Minute, Unread: time.Minute, StallTime: time.Second,
	}
	b.Run("limits=no", func(b *testing.B) { benchmarkRequests(b, arrivals.Options{Log: slog.New(slog.DiscardHandler)}) })
	b.Run("limits=yes", func(b *testing.B) {
		benchmarkRequests(b, arrivals.Options{Log: slog.New(slog.DiscardHandler), MaxConnections: 300, Limits: limits})
	})
}

func benchmarkRequests(b *testing.B, opts arrivals.Options) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
	})}
	tracker := arrivals.New(opts)
	tracker.Attach(server)
	go func() { _ = server.Serve(tracker.Listener(listener)) }() // returns when the server is closed
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := "POST /chat/ HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer demo-crews-key\r\nContent-Type: application/json\r\n" +
		"X-Model: brush-small\r\nX-Token-Usage: 120,48\r\nX-Request-Id: 0123456789\r\nX-Deadline-Ms: 5000\r\nAccept: */*\r\n" +
		"User-Agent: crew/1.0\r\nAccept-Encoding: identity\r\nX-Prompt-Parts: a,b,c,d\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024)
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response, err)
		}
	}
}
