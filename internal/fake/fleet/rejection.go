package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Headers of responses.
const (
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
)

// Rejection is a request that an emulated backend server did not run. /control/runs lists it as JSON.
type Rejection struct {
	ID           string `json:"id"`
	Server       string `json:"server"`
	AtMS         int64  `json:"at_ms"`          // Unix milliseconds
	Status       int    `json:"status"`         // 421 or 503
	RetryAfterMS int64  `json:"retry_after_ms"` // stated in Retry-After, or 0
	Leaving      bool   `json:"leaving"`        // the response says that the server is leaving
}

// reject responds to a request that the backend server does not run, and returns true. Otherwise it counts the request as
// active and returns false.
func (r *Replica) reject(w http.ResponseWriter, q *http.Request) bool {
	model, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	adapters, held := r.models[model]
	rejection := Rejection{
		ID: q.Header.Get("X-Request-Id"), Server: r.opts.ID, AtMS: time.Now().UnixMilli(), Leaving: r.leaving,
	}
	h := w.Header()
	switch {
	case q.Header.Get("X-Expect-Instance") != r.opts.ID:
		h.Set("X-Instance-Id", r.opts.ID)
		rejection.Status = http.StatusMisdirectedRequest
	case model != "" && (!held || adapter != "" && !slices.Contains(adapters, adapter)):
		rejection.Status = http.StatusMisdirectedRequest
	case r.active >= r.opts.Slots || rand.Float64() < r.faults.Shed:
		h.Set("X-Not-Executed", "1")
		rejection.Status = http.StatusServiceUnavailable
		if r.faults.RetryAfter > 0 {
			h.Set(headerRetryAfter, strconv.FormatFloat(r.faults.RetryAfter.Seconds(), 'f', -1, 64))
			rejection.RetryAfterMS = r.faults.RetryAfter.Milliseconds()
		}
	default:
		r.active++
		r.checkColdRate()
		return false
	}
	if r.leaving {
		h.Set(headerLeaving, "1")
	}
	r.rejections = append(r.rejections, rejection)
	h.Set("X-Request-Id", rejection.ID)
	w.WriteHeader(rejection.Status)
	return true
}

// checkColdRate counts a request and records a crash if a cold server gets more requests per second than it can take. The
// caller holds r.mu.
func (r *Replica) checkColdRate() {
	now := time.Now()
	r.recentRequests = slices.DeleteFunc(r.recentRequests, func(t time.Time) bool { return now.Sub(t) > time.Second })
	r.recentRequests = append(r.recentRequests, now)
	if r.opts.ColdPerSecond > 0 && r.warmupLeft() > 0 && float64(len(r.recentRequests)) > 1.5*r.opts.ColdPerSecond+5 {
		r.crashed = fmt.Sprintf("%d requests in one second while cold", len(r.recentRequests))
	}
}
