package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

const maxControlBytes = 64 << 10

// Faults are the injected faults, set by POST /control. A field that is absent from the body keeps its value. The
// integer fields without a unit count the next requests that the fault applies to.
type Faults struct {
	LoseOrders       int   `json:"lose_orders"`        // model and adapter orders dropped; the connection is closed
	LoseOrderAnswers int   `json:"lose_order_answers"` // model orders applied without a response; the connection is closed
	DelayOrders      int   `json:"delay_orders"`       // model orders that take effect after OrderDelayMS
	DuplicateOrders  int   `json:"duplicate_orders"`   // model orders that are applied again after OrderDelayMS
	OrderDelayMS     int64 `json:"order_delay_ms"`     // milliseconds
	CutStreams       int   `json:"cut_streams"`        // responses whose connection is closed after CutAfterTokens
	CutAfterTokens   int   `json:"cut_after_tokens"`   // tokens
	TruncateStreams  int   `json:"truncate_streams"`   // streams that end without a finish reason and [DONE]
	CrossAnswers     int   `json:"cross_answers"`      // responses with the text and the request ID of another request
	StopAnswering    bool  `json:"stop_answering"`     // requests hang until this is cleared or the client disconnects
}

func (f Faults) orderDelay() time.Duration { return time.Duration(f.OrderDelayMS) * time.Millisecond }

// consumeFault reports whether a counted fault applies to the current request, and decrements its counter.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var action struct {
		Restart bool `json:"restart"`
	}
	raw, err := readBody(w, r, maxControlBytes)
	if err == nil {
		err = json.Unmarshal(raw, &action)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid control body: "+err.Error())
		return
	}
	s.mu.Lock()
	err = json.Unmarshal(raw, &s.faults)
	s.signalLocked()
	if action.Restart {
		s.restartLocked()
	}
	faults := s.faults
	s.mu.Unlock()
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid control body: "+err.Error())
		return
	}
	standin.WriteJSON(w, http.StatusOK, faults)
}

// observe records the request and blocks it while StopAnswering is set.
func (s *Server) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.recorder.Record(r)
		s.mu.Lock()
		for s.faults.StopAnswering {
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
			s.mu.Lock()
		}
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}
