// Package service is a stand-in for a plain service whose calls may not be repeated. It counts how often
// each booking was executed, and can lose a call or its answer at a chosen point.
package service

import (
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

const (
	maxBodyBytes         = 1 << 20
	idempotencyKeyHeader = "Idempotency-Key"
	requestIDHeader      = "X-Request-Id"
)

// Options configures a Server.
type Options struct {
	Logger  *slog.Logger
	RunTime time.Duration // of one booking
}

// Faults are the faults that POST /control sets. A field that is absent from the body keeps its value.
type Faults struct {
	DelayAnswers    int   `json:"delay_answers"` // bookings answered DelayMS after their execution
	DelayMS         int64 `json:"delay_ms"`
	CutBeforeRead   int   `json:"cut_before_read"`   // bookings cut before the body is read: not executed
	CutBeforeAnswer int   `json:"cut_before_answer"` // bookings cut after their execution
	CutInAnswer     int   `json:"cut_in_answer"`     // bookings cut in the middle of the answer
}

// Stats is the answer of GET /stats.
type Stats struct {
	Total      int            `json:"total"`
	Executions map[string]int `json:"executions"` // by booking
	Lookups    int            `json:"lookups"`
}

// Booking is the answer of POST /bookings and GET /bookings/{id}.
type Booking struct {
	Booking    string `json:"booking"`
	Status     string `json:"status"`
	Executions int    `json:"executions"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	opts    Options
	handler http.Handler

	mu     sync.Mutex
	stats  Stats
	faults Faults
	seen   standin.Recorder
}

// New returns a service without bookings.
func New(opts Options) *Server {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{opts: opts, stats: Stats{Executions: make(map[string]int)}}
	r := mux.NewRouter()
	r.HandleFunc("/control", s.handleControl).Methods(http.MethodPost)
	r.Handle("/control/requests", &s.seen).Methods(http.MethodGet)
	r.HandleFunc("/stats", s.handleStats).Methods(http.MethodGet)
	api := r.NewRoute().Subrouter()
	api.Use(s.observe)
	api.HandleFunc("/bookings", s.handleBook).Methods(http.MethodPost)
	api.HandleFunc("/bookings/{id}", s.handleLookup).Methods(http.MethodGet)
	api.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	s.handler = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Stats returns what GET /stats answers.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Executions = maps.Clone(stats.Executions)
	return stats
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	s.mu.Lock()
	if err == nil {
		err = json.Unmarshal(raw, &s.faults)
	}
	faults := s.faults
	s.mu.Unlock()
	if err != nil {
		http.Error(w, "invalid control body: "+err.Error(), http.StatusBadRequest)
		return
	}
	standin.WriteJSON(w, http.StatusOK, faults)
}

// observe records the request and repeats its request ID in the answer.
func (s *Server) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.seen.Record(r)
		if id := r.Header.Get(requestIDHeader); id != "" {
			w.Header().Set(requestIDHeader, id)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) handleLookup(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	s.stats.Lookups++
	n := s.stats.Executions[id]
	s.mu.Unlock()
	if n == 0 {
		http.Error(w, "no such booking", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, Booking{id, "booked", n})
}
