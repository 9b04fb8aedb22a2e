// Package standin holds what the stand-ins share: the HTTP server of a process and the record of the requests
// that it received.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	headerTimeout = 5 * time.Second
	shutdownGrace = 5 * time.Second
	maxRecorded   = 4096 // requests
)

// Serve answers at listen (IP:port) until ctx ends, and then finishes running requests.
func Serve(ctx context.Context, listen string, handler http.Handler) error {
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		stopped <- server.Shutdown(ctx)
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listen, err)
	}
	return <-stopped
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// SeenRequest is one request as a stand-in received it.
type SeenRequest struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
}

// Recorder keeps the newest requests. Its handler lists them, so that a test can judge what reached a
// backend server. The zero value is ready to use.
type Recorder struct {
	mu   sync.Mutex
	seen []SeenRequest
}

// Record keeps r.
func (c *Recorder) Record(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, SeenRequest{r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Clone()})
	if len(c.seen) > maxRecorded {
		c.seen = c.seen[1:]
	}
}

// ServeHTTP lists the kept requests, the oldest first.
func (c *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	seen := append([]SeenRequest{}, c.seen...)
	c.mu.Unlock()
	WriteJSON(w, http.StatusOK, seen)
}
