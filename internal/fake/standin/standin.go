// Package standin provides what the emulated services below internal/fake share: an HTTP server that runs until its
// context is done, and a recorder of the requests that it received. Use it in fakes only.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/listener"
)

const (
	headerTimeout = 5 * time.Second
	shutdownGrace = 5 * time.Second
	// maxRecordedRequests is the number of requests that a Recorder keeps.
	maxRecordedRequests = 4096
)

// Serve serves HTTP at listen (IP:port) until ctx is done. Then it waits for running requests, for at most 5 s, and returns
// an error if they have not ended. Each function of wrap is applied to the listener.
func Serve(ctx context.Context, listen string, handler http.Handler, wrap ...func(net.Listener) net.Listener) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	shutdownErr := make(chan error, 1)
	go func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		shutdownErr <- server.Shutdown(ctx)
	}()
	for _, w := range wrap {
		l = w(l)
	}
	l = listener.Persistent(l, listener.Options{Name: listen, Log: slog.Default()})
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listen, err)
	}
	return <-shutdownErr
}

// WriteJSON writes a response with the given status and a JSON body. Errors are ignored: the client may have disconnected.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// RecordedRequest is one request as received, without its body.
type RecordedRequest struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
}

// Recorder keeps the latest 4096 requests and serves them as a JSON array, so that a test can check which requests
// reached a backend server. The zero value is ready to use. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	seen []RecordedRequest
}

// Record adds r. If the recorder is full, it removes the oldest request.
func (c *Recorder) Record(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, RecordedRequest{r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Clone()})
	if len(c.seen) > maxRecordedRequests {
		c.seen = c.seen[1:]
	}
}

// ServeHTTP writes the recorded requests as JSON, oldest first.
func (c *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	seen := append([]RecordedRequest{}, c.seen...)
	c.mu.Unlock()
	WriteJSON(w, http.StatusOK, seen)
}
