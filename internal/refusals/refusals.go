// Package refusals counts and logs the clients that a listener refused or disconnected because they exceeded a limit. Use a
// Recorder for each listener and a Set for each process.
package refusals

import (
	"expvar"
	"log/slog"
	"maps"
	"sync"
	"time"
)

// logInterval is the shortest time between two log lines of one listener with the same reason.
const logInterval = time.Second

// Recorder counts the refusals of one listener by reason. It is safe for concurrent use.
type Recorder struct {
	name string
	log  *slog.Logger

	mu      sync.Mutex
	reasons map[string]*reason
}

type reason struct {
	count    int64
	loggedAt time.Time
}

// NewRecorder returns a recorder for the listener of that name. The log may be nil.
func NewRecorder(name string, log *slog.Logger) *Recorder {
	return &Recorder{name: name, log: log, reasons: make(map[string]*reason)}
}

// Record counts a refusal of client, and logs it unless one with the same reason was logged less than a second ago. The set of
// reasons must be fixed, because all are kept.
func (r *Recorder) Record(why, client string) {
	now := time.Now()
	r.mu.Lock()
	s := r.reasons[why]
	if s == nil {
		s = new(reason)
		r.reasons[why] = s
	}
	s.count++
	total, logs := s.count, r.log != nil && now.Sub(s.loggedAt) >= logInterval
	if logs {
		s.loggedAt = now
	}
	r.mu.Unlock()
	if logs {
		r.log.Warn("client refused", "listener", r.name, "reason", why, "client", client, "total", total)
	}
}

// Counts returns the refusals since the start by reason, without reasons that did not occur.
func (r *Recorder) Counts() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64, len(r.reasons))
	for why, s := range r.reasons {
		counts[why] = s.count
	}
	return counts
}

// Set holds the recorders of a process. It is safe for concurrent use, and the zero value is ready for use.
type Set struct {
	mu        sync.Mutex
	recorders map[string]*Recorder
}

// Recorder returns a new recorder for the listener of that name. It belongs to s unless s is nil.
func (s *Set) Recorder(name string, log *slog.Logger) *Recorder {
	r := NewRecorder(name, log)
	if s == nil {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorders == nil {
		s.recorders = make(map[string]*Recorder)
	}
	s.recorders[name] = r
	return r
}

// Var returns the counts by listener and reason as a metric.
func (s *Set) Var() expvar.Var {
	return expvar.Func(func() any {
		s.mu.Lock()
		recorders := maps.Clone(s.recorders)
		s.mu.Unlock()
		all := make(map[string]map[string]int64, len(recorders))
		for name, r := range recorders {
			all[name] = r.Counts()
		}
		return all
	})
}
