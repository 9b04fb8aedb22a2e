package sidecar

import (
	"expvar"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/memoryledger"
)

// RampState is the state of the concurrency limit.
type RampState struct {
	Limit       int    `json:"limit"`       // requests that may run at once
	Warm        bool   `json:"warm"`        // the limit has reached its maximum
	Incarnation string `json:"incarnation"` // of the backend server
}

// Ready reports whether the sidecar has a configuration, is not draining and, beside a model engine, knows the
// engine's state.
func (s *Server) Ready() bool { return s.Status().GetReady() }

// Vars returns the metrics of the sidecar for expvar, under the names documented in docs/OPERATIONS.md.
func (s *Server) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("ready", expvar.Func(func() any { return s.Ready() }))
	m.Set("draining", expvar.Func(func() any { return s.Status().GetDraining() }))
	m.Set("service", expvar.Func(func() any { return s.opts.Settings.Backend.Service }))
	m.Set("config_version", expvar.Func(func() any { return s.Status().GetConfigVersion() }))
	if aged, ok := s.opts.Config.(interface{ ConfirmedAge() (time.Duration, bool) }); ok {
		m.Set("config_age_ms", expvar.Func(func() any {
			age, known := aged.ConfirmedAge()
			if !known {
				return nil
			}
			return age.Milliseconds()
		}))
	}
	m.Set("ended", expvar.Func(func() any { return s.Ended() }))
	m.Set("queued", expvar.Func(func() any { return s.byClass(s.queue.Queued, s.queue.QueuedBatch) }))
	m.Set("running", expvar.Func(func() any { return s.byClass(s.queue.Running, s.queue.RunningBatch) }))
	m.Set("ramp", expvar.Func(func() any { return s.rampState() }))
	m.Set("memory_mb", expvar.Func(func() any { return s.memoryFigures() }))
	m.Set("resident", expvar.Func(func() any { return len(s.Status().GetResident()) }))
	m.Set("adapters", expvar.Func(func() any { return len(s.Status().GetAdapters()) }))
	m.Set("outcomes_pending", expvar.Func(func() any { return s.bookings.Pending() }))
	return m
}

// byClass splits a number of requests by class. all also counts batch requests.
func (s *Server) byClass(all, batch func() int) map[config.Class]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[config.Class]int{config.ClassInteractive: all() - batch(), config.ClassBatch: batch()}
}

func (s *Server) rampState() RampState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return RampState{Limit: s.ramp.Limit(), Warm: s.ramp.Warm(), Incarnation: s.backendIncarnation}
}

func (s *Server) memoryFigures() memoryledger.Breakdown {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Breakdown()
}
