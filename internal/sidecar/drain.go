package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// outcomePollInterval is how often a drain checks whether all outcomes are recorded.
const outcomePollInterval = 50 * time.Millisecond

// Drain stops serving gracefully: the status reports draining at once; after the notice delay new and queued requests
// are refused, and running ones finish. It returns nil when no request is left and the outcome of every request with
// an idempotency key is recorded, and an error when the grace time passes or ctx ends before that.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	shutdown := s.opts.Settings.Shutdown
	s.log.Info("drain", "step", "notice", "delay_ms", shutdown.NoticeDelay.D().Milliseconds())
	if err := background.Sleep(ctx, shutdown.NoticeDelay.D()); err != nil {
		return err
	}
	s.closeAdmission()
	s.log.Info("drain", "step", "finish running requests", "running", s.Status().GetRunning())
	ctx, cancel := context.WithTimeout(ctx, shutdown.Grace.D())
	defer cancel()
	select {
	case <-s.drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	for s.bookings.Pending() > 0 {
		if err := background.Sleep(ctx, outcomePollInterval); err != nil {
			return fmt.Errorf("%d outcomes are not recorded: %w", s.bookings.Pending(), err)
		}
	}
	s.log.Info("drain", "step", "done")
	return nil
}

// closeAdmission stops admission and refuses all queued requests.
func (s *Server) closeAdmission() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admissionClosed = true
	for item := range s.tasks {
		s.refuseQueued(item, errkind.New(errkind.Draining, "host %q", s.opts.Settings.Process.Host))
	}
	s.closeIfDrained()
}

// closeRequest records that the stream of an admitted request has ended.
func (s *Server) closeRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openRequests--
	s.closeIfDrained()
}

func (s *Server) closeIfDrained() {
	if !s.admissionClosed || s.openRequests > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}
