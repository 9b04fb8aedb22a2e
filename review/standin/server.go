package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a sound backend server of a plain service: it runs every request for a fixed time and answers it.
type server struct {
	id, address string
	work        time.Duration

	mu   sync.Mutex
	runs map[string]int // by request ID
	done map[string]bool
}

// startServer starts a backend server and lists it in the store until the process ends.
func (h *harness) startServer(id, service string, slots int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, address: l.Addr().String(), work: work, runs: make(map[string]int), done: make(map[string]bool)}
	go func() { _ = http.Serve(l, s) }()
	born := time.Now().UnixMilli()
	entry := map[string]any{
		"service": service, "address": s.address, "zone": "walled-city", "version": "v1", "slots": slots, "state": "ready",
		"warmup_left_ms": 0, "born": born, "models": []any{}, "sequence": 0,
	}
	if err := h.put("servers", id, entry); err != nil {
		return nil, err
	}
	go func() {
		for range time.Tick(300 * time.Millisecond) {
			_ = h.put("servers", id, entry)
		}
	}()
	return s, nil
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.work)
	body := fmt.Sprintf("%-800s", "answer to "+id)
	sum := sha256.Sum256([]byte(body))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", hex.EncodeToString(sum[:8]))
	_, _ = io.WriteString(w, body)
	s.mu.Lock()
	s.done[id] = true
	s.mu.Unlock()
}

// ran returns how often a request ran.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
