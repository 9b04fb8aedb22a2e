package arrivals_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
)

// limitTimeout bounds the waits of these tests. It is no bound of the product.
const limitTimeout = 20 * time.Second

// limited is a server with limits.
type limited struct {
	t       *testing.T
	address string
	opts    arrivals.Options
	runs    atomic.Int64 // requests that reached the handler
}

func startLimited(t *testing.T, most int, limits arrivals.Limits, handler http.HandlerFunc) *limited {
	t.Helper()
	limits.Refusals = refusals.NewRecorder("test", nil)
	l := &limited{t: t, opts: arrivals.Options{MaxConnections: most, Log: slog.New(slog.DiscardHandler), Limits: limits}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{MaxHeaderBytes: 256 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.runs.Add(1)
		handler(w, r)
	})}
	tracker := arrivals.New(l.opts)
	tracker.Attach(server)
	l.address = listener.Addr().String()
	go func() { _ = server.Serve(tracker.Listener(listener)) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return l
}

// send connects and sends text.
func (l *limited) send(text string) net.Conn {
	l.t.Helper()
	c, err := net.Dial("tcp", l.address)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(limitTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		l.t.Fatal(err)
	}
	return c
}

// statuses reads n responses from c and returns their statuses; zero for none.
func statuses(c net.Conn, n int) []int {
	var all []int
	r := bufio.NewReader(c)
	for range n {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return append(all, 0)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		all = append(all, response.StatusCode)
	}
	return all
}

func (l *limited) refused(why string) {
	l.t.Helper()
	for deadline := time.Now().Add(limitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if l.opts.Limits.Refusals.Counts()[why] > 0 {
			return
		}
	}
	l.t.Errorf("no client was refused for %s: %v", why, l.opts.Limits.Refusals.Counts())
}

const ordinaryHead = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func many(fields int) string {
	var b strings.Builder
	for i := range fields {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

func ok(http.ResponseWriter, *http.Request) {}

// Guards against a bound that refuses the longest head that a configuration allows although nothing else is in progress.
func TestTheLongestLegalHeadIsServedInCalm(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: a\r\n"
	head += strings.Repeat("a:\r\n", (128<<10-len(head))/4) + "\r\n"
	heads := memorybudget.New(memorybudget.Divide(48 << 20).Heads)
	l := startLimited(t, 0, arrivals.Limits{MaxFields: 32 << 10, Heads: heads}, ok)
	for range 3 {
		if got := statuses(l.send(head), 1)[0]; got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		// The connection gives the memory back after its response, which the client may read before.
		for deadline := time.Now().Add(limitTimeout); heads.Held() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes not given back", heads.Held())
			}
		}
	}
}

// Guards against heads that are refused after they have run, in their own connection or behind another request.
func TestHeadsBeyondTheLimitsAreRefusedAsNotRun(t *testing.T) {
	l := startLimited(t, 0, arrivals.Limits{
		MaxFields: 64, Heads: memorybudget.New(1 << 20), Header: map[string]string{"Pomelo-Ran": "no"},
	}, ok)
	long := strings.Replace(ordinaryHead, "\r\n\r\n", "\r\n"+many(100)+"\r\n", 1)
	if got := fmt.Sprint(statuses(l.send(long), 2)); got != "[431 0]" {
		t.Errorf("statuses %s", got)
	}
	if runs := l.runs.Load(); runs != 0 {
		t.Errorf("%d requests ran", runs)
	}
	response, err := http.ReadResponse(bufio.NewReader(l.send(long)), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got := response.Header.Get("Pomelo-Ran"); got != "no" {
		t.Errorf("Pomelo-Ran %q in the answer to a request that did not run", got)
	}
	if got := fmt.Sprint(statuses(l.send(ordinaryHead+long), 3)); got != "[200 431 0]" {
		t.Errorf("statuses %s of requests in one piece", got)
	}
	if runs := l.runs.Load(); runs != 1 {
		t.Errorf("%d requests ran, want one", runs)
	}
	l.refused("too_many_fields")
}

// Guards against long heads that keep out ordinary ones.
func TestHeadsHoldMemoryWhileTheyArrive(t *testing.T) {
	l := startLimited(t, 0, arrivals.Limits{Heads: memorybudget.New(256 << 10)}, ok)
	started := strings.TrimSuffix(ordinaryHead, "\r\n") + many(1500)
	first := l.send(started)
	for deadline := time.Now().Add(limitTimeout); l.opts.Limits.Heads.Held() < 128<<10 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := statuses(l.send(started+"\r\n"), 1)[0]; got != http.StatusServiceUnavailable {
		t.Errorf("status %d of a second long head", got)
	}
	l.refused("no_memory_for_heads")
	if got := statuses(l.send(ordinaryHead), 1)[0]; got != http.StatusOK {
		t.Errorf("status %d of an ordinary head", got)
	}
	if _, err := io.WriteString(first, "\r\n"); err != nil {
		t.Fatal(err)
	}
	if got := statuses(first, 1)[0]; got != http.StatusOK {
		t.Errorf("status %d of the first long head", got)
	}
}

// Guards against connections that keep the share of a listener without progress: half a head, half a body, an answer that
// nobody reads.
func TestConnectionsWithoutProgressMakeRoom(t *testing.T) {
	endless := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/endless" {
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
	for name, text := range map[string]string{
		"head": "GET / HTTP/1.1\r\nHost: a\r\n", "body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx",
		"unread": "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l := startLimited(t, 4, arrivals.Limits{StallTime: 50 * time.Millisecond}, endless)
			for range 4 {
				l.send(text)
			}
			for deadline := time.Now().Add(limitTimeout); ; time.Sleep(20 * time.Millisecond) {
				if statuses(l.send(ordinaryHead), 1)[0] == http.StatusOK {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal("no ordinary request is answered")
				}
			}
			l.refused("no_progress")
		})
	}
}

// Guards against clients that hold a request without progress although connections are free.
func TestRequestsWithoutProgressAreEnded(t *testing.T) {
	read := make(chan error, 1)
	l := startLimited(t, 0, arrivals.Limits{BodyStall: 100 * time.Millisecond, Unread: 100 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			read <- err
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	c := l.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx")
	if got := statuses(c, 1)[0]; got != http.StatusRequestTimeout {
		t.Errorf("status %d for a body that stops", got)
	}
	if err := <-read; err == nil {
		t.Error("the body was read to its end")
	}
	l.refused("body_stalled")
	l.send(ordinaryHead)
	l.refused("answer_unread")
}
