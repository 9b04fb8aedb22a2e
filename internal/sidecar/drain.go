package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// outcomeInterval is how often a drain looks for outcomes that are not recorded yet.
const outcomeInterval = 50 * time.Millisecond

// Drain ends the service gracefully: the status says draining at once, new requests are refused after the
// notice delay, queued ones are handed back, and running ones finish. It returns when none is left and
// every outcome of a booking is recorded, when the grace time has passed or when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	shutdown := s.opts.Settings.Shutdown
	s.log.Info("drain", "step", "notice", "delay_ms", shutdown.NoticeDelay.D().Milliseconds())
	if err := duty.Sleep(ctx, shutdown.NoticeDelay.D()); err != nil {
		return err
	}
	s.refuse()
	s.log.Info("drain", "step", "finish running requests", "running", s.Status().GetRunning())
	ctx, cancel := context.WithTimeout(ctx, shutdown.Grace.D())
	defer cancel()
	select {
	case <-s.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	for s.book.Pending() > 0 {
		if err := duty.Sleep(ctx, outcomeInterval); err != nil {
			return fmt.Errorf("%d outcomes are not recorded: %w", s.book.Pending(), err)
		}
	}
	s.log.Info("drain", "step", "done")
	return nil
}

// refuse stops admission and hands back the queue.
func (s *Server) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
	for item := range s.tasks {
		s.handBack(item, errkind.New(errkind.Draining, "host %q", s.opts.Settings.Process.Host))
	}
	s.closeIfIdle()
}

// leave notes that the conversation of an admitted request has ended.
func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
	s.closeIfIdle()
}

func (s *Server) closeIfIdle() {
	if !s.refusing || s.admitted > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}
