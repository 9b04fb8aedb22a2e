// Package service implements a fake of a plain service whose requests must not be repeated, for tests. It counts how
// often each booking was executed, and can drop a request or its response at a chosen point.
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
	Logger  *slog.Logger  // discards logs if nil
	RunTime time.Duration // execution time of one booking
}

// Faults are the injected faults, set by POST /control. A field that is absent from the body keeps its value. Each
// field but DelayMS counts the next bookings that the fault applies to.
type Faults struct {
	DelayAnswers    int   `json:"delay_answers"`     // bookings answered DelayMS after their execution
	DelayMS         int64 `json:"delay_ms"`          // milliseconds
	CutBeforeRead   int   `json:"cut_before_read"`   // connection closed before the body is read: the booking is not executed
	CutBeforeAnswer int   `json:"cut_before_answer"` // connection closed after the execution, without a response
	CutInAnswer     int   `json:"cut_in_answer"`     // connection closed in the middle of the response
}

// Stats is the response body of GET /stats.
type Stats struct {
	Total      int            `json:"total"`      // executions of all bookings
	Executions map[string]int `json:"executions"` // by booking ID
	Lookups    int            `json:"lookups"`    // requests of GET /bookings/{id}
}

// Booking is the response body of POST /bookings and GET /bookings/{id}.
type Booking struct {
	Booking    string `json:"booking"` // ID
	Status     string `json:"status"`
	Executions int    `json:"executions"`
}

// Server is a fake of a plain service. It implements http.Handler.
type Server struct {
	opts    Options
	handler http.Handler

	mu       sync.Mutex
	stats    Stats
	faults   Faults
	recorder standin.Recorder
}

// New returns a service without bookings.
func New(opts Options) *Server {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{opts: opts, stats: Stats{Executions: make(map[string]int)}}
	r := mux.NewRouter()
	r.HandleFunc("/control", s.handleControl).Methods(http.MethodPost)
	r.Handle("/control/requests", &s.recorder).Methods(http.MethodGet)
	r.HandleFunc("/stats", s.handleStats).Methods(http.MethodGet)
	api := r.NewRoute().Subrouter()
	api.Use(s.observe)
	api.HandleFunc("/bookings", s.handleBooking).Methods(http.MethodPost)
	api.HandleFunc("/bookings/{id}", s.handleLookup).Methods(http.MethodGet)
	api.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	s.handler = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Stats returns the counts that GET /stats reports.
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

// observe records the request and returns its request ID in the response header.
func (s *Server) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.recorder.Record(r)
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
	executions := s.stats.Executions[id]
	s.mu.Unlock()
	if executions == 0 {
		http.Error(w, "no such booking", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, Booking{id, "booked", executions})
}
