package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

const maxControlBytes = 64 << 10

// Faults are the faults that POST /control sets. A field that is absent from the body keeps its value.
type Faults struct {
	LoseOrders       int   `json:"lose_orders"`        // orders without effect whose connection is cut
	LoseOrderAnswers int   `json:"lose_order_answers"` // orders with effect whose connection is cut
	DelayOrders      int   `json:"delay_orders"`       // orders that take effect after OrderDelayMS
	DuplicateOrders  int   `json:"duplicate_orders"`   // orders that are run again after OrderDelayMS
	OrderDelayMS     int64 `json:"order_delay_ms"`
	CutStreams       int   `json:"cut_streams"`      // answers whose connection is cut after CutAfterTokens
	CutAfterTokens   int   `json:"cut_after_tokens"` // tokens
	TruncateStreams  int   `json:"truncate_streams"` // streams that end without finish reason and [DONE]
	CrossAnswers     int   `json:"cross_answers"`    // answers with the text and the request ID of another call
	StopAnswering    bool  `json:"stop_answering"`   // calls hang until it is cleared or the caller leaves
}

func (f Faults) orderDelay() time.Duration { return time.Duration(f.OrderDelayMS) * time.Millisecond }

// take reports whether a counted fault applies to the present call, and counts it down.
func take(n *int) bool {
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

// observe records the request and holds it while the engine does not answer.
func (s *Server) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.seen.Record(r)
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
