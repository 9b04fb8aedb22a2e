package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

type bookingFault struct {
	beforeRead, beforeAnswer, inAnswer bool
	delay                              time.Duration
}

func (s *Server) takeFault() bookingFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f bookingFault
	if f.beforeRead = take(&s.faults.CutBeforeRead); f.beforeRead {
		return f
	}
	if take(&s.faults.DelayAnswers) {
		f.delay = time.Duration(s.faults.DelayMS) * time.Millisecond
	}
	if f.beforeAnswer = take(&s.faults.CutBeforeAnswer); !f.beforeAnswer {
		f.inAnswer = take(&s.faults.CutInAnswer)
	}
	return f
}

// take reports whether a counted fault applies to the present call, and counts it down.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *Server) handleBook(w http.ResponseWriter, r *http.Request) {
	fault := s.takeFault()
	if fault.beforeRead {
		panic(http.ErrAbortHandler)
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := bookingID(r, raw)
	if id == "" {
		http.Error(w, "a booking needs the field booking or an Idempotency-Key", http.StatusBadRequest)
		return
	}
	// An execution that started is finished even if the caller leaves, as in a real service.
	time.Sleep(s.opts.RunTime)
	n := s.execute(id)
	s.opts.Logger.Info("booking executed", "booking", id, "executions", n)
	time.Sleep(fault.delay)
	if fault.beforeAnswer {
		panic(http.ErrAbortHandler)
	}
	answer(w, Booking{id, "booked", n}, fault.inAnswer)
}

// bookingID returns the JSON field booking, or the Idempotency-Key header.
func bookingID(r *http.Request, raw []byte) string {
	var body struct {
		Booking string `json:"booking"`
	}
	if json.Unmarshal(raw, &body) == nil && body.Booking != "" {
		return body.Booking
	}
	return r.Header.Get(idempotencyKeyHeader)
}

func (s *Server) execute(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Total++
	s.stats.Executions[id]++
	return s.stats.Executions[id]
}

// answer sends the booking, or only its first half before the connection is cut.
func answer(w http.ResponseWriter, b Booking, cut bool) {
	if !cut {
		standin.WriteJSON(w, http.StatusCreated, b)
		return
	}
	raw, err := json.Marshal(b)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(raw[:len(raw)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
