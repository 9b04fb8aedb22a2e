package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

// bookingFault holds the injected faults that apply to one booking request.
type bookingFault struct {
	cutBeforeRead, cutBeforeAnswer, cutInAnswer bool
	delay                                       time.Duration
}

func (s *Server) nextFault() bookingFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f bookingFault
	if f.cutBeforeRead = consumeFault(&s.faults.CutBeforeRead); f.cutBeforeRead {
		return f
	}
	if consumeFault(&s.faults.DelayAnswers) {
		f.delay = time.Duration(s.faults.DelayMS) * time.Millisecond
	}
	if f.cutBeforeAnswer = consumeFault(&s.faults.CutBeforeAnswer); !f.cutBeforeAnswer {
		f.cutInAnswer = consumeFault(&s.faults.CutInAnswer)
	}
	return f
}

// consumeFault reports whether a counted fault applies to the current request, and decrements its counter.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *Server) handleBooking(w http.ResponseWriter, r *http.Request) {
	fault := s.nextFault()
	if fault.cutBeforeRead {
		panic(http.ErrAbortHandler)
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := bookingID(r, raw)
	if id == "" {
		http.Error(w, "a booking requires the JSON field booking or an Idempotency-Key header", http.StatusBadRequest)
		return
	}
	// An execution that has started is finished even if the client disconnects, as in a real service.
	time.Sleep(s.opts.RunTime)
	executions := s.execute(id)
	s.opts.Logger.Info("booking executed", "booking", id, "executions", executions)
	time.Sleep(fault.delay)
	if fault.cutBeforeAnswer {
		panic(http.ErrAbortHandler)
	}
	writeBooking(w, Booking{id, "booked", executions}, fault.cutInAnswer)
}

// bookingID returns the JSON field booking or, if it is absent, the Idempotency-Key header. It returns "" if both are
// absent.
func bookingID(r *http.Request, raw []byte) string {
	var body struct {
		Booking string `json:"booking"`
	}
	if json.Unmarshal(raw, &body) == nil && body.Booking != "" {
		return body.Booking
	}
	return r.Header.Get(idempotencyKeyHeader)
}

// execute counts an execution of the booking and returns the number of its executions so far.
func (s *Server) execute(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Total++
	s.stats.Executions[id]++
	return s.stats.Executions[id]
}

// writeBooking sends the booking. With cut, it sends only the first half and then closes the connection.
func writeBooking(w http.ResponseWriter, b Booking, cut bool) {
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
