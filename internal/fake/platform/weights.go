package platform

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// weights limits loads by slots and by a bucket that holds one second's rate, or a load for each slot.
type weights struct {
	rate  float64
	slots int
	now   func() time.Time

	mu     sync.Mutex
	level  float64
	last   time.Time
	active int
}

func (w *weights) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slots > 0 && w.active >= w.slots {
		return false
	}
	if w.rate > 0 {
		now, burst := w.now(), max(1, w.rate, float64(w.slots))
		if w.last.IsZero() {
			w.level = burst
		} else {
			w.level = min(burst, w.level+now.Sub(w.last).Seconds()*w.rate)
		}
		w.last = now
		if w.level < 1 {
			return false
		}
		w.level--
	}
	w.active++
	return true
}

func (w *weights) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active--
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !s.weights.take() {
		s.count(func(st *Stats) { st.WeightRefused++ })
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many loads", http.StatusTooManyRequests)
		return
	}
	defer s.weights.release()
	s.count(func(st *Stats) { st.WeightLoads++ })
	if !wait(r, s.opts.WeightTime) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = fmt.Fprintf(w, "weights of %s\n", mux.Vars(r)["name"])
}

// wait reports whether the time passed before the caller went away.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
