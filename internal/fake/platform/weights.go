package platform

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// loadLimiter limits loads by slots and by a token bucket. The bucket's capacity is one second's rate, the number of
// slots, or 1, whichever is the largest.
type loadLimiter struct {
	rate  float64
	slots int
	now   func() time.Time

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	active     int
}

// acquire reports whether a load may start. After true, the caller must call release.
func (w *loadLimiter) acquire() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slots > 0 && w.active >= w.slots {
		return false
	}
	if w.rate > 0 {
		now, burst := w.now(), max(1, w.rate, float64(w.slots))
		if w.refilledAt.IsZero() {
			w.tokens = burst
		} else {
			w.tokens = min(burst, w.tokens+now.Sub(w.refilledAt).Seconds()*w.rate)
		}
		w.refilledAt = now
		if w.tokens < 1 {
			return false
		}
		w.tokens--
	}
	w.active++
	return true
}

func (w *loadLimiter) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active--
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !s.loadLimiter.acquire() {
		s.updateStats(func(st *Stats) { st.WeightRefused++ })
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many weight loads", http.StatusTooManyRequests)
		return
	}
	defer s.loadLimiter.release()
	s.updateStats(func(st *Stats) { st.WeightLoads++ })
	if !wait(r, s.opts.WeightTime) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = fmt.Fprintf(w, "weights of %s\n", mux.Vars(r)["name"])
}

// wait waits for d. It returns false if the client disconnects first.
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
