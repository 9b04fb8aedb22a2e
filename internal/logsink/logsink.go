// Package logsink writes log lines without ever blocking the goroutine that logs. Lines wait in a bounded ring for
// a writer of their own. When the ring fills, lines of successful requests are dropped first; drops are counted
// and reported.
package logsink

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
)

const (
	// ringLines bounds the lines that wait. At 400 bytes a line it is 1.6 MB, 1% of a small host's memory.
	ringLines = 4096
	// keptForFailures is the part of the ring that only warnings and errors may fill.
	keptForFailures = ringLines / 2
	// reportInterval is the shortest time between two lines on drops.
	reportInterval = 5 * time.Second
	// batchBytes bounds one write.
	batchBytes = 32 << 10
)

// Sink is an asynchronous log. Its Run method is the writer.
type Sink struct {
	ring    *duty.Ring[[]byte]
	out     io.Writer
	dropped atomic.Int64
}

// New returns a sink that writes to out and a logger on it with JSON lines.
func New(out io.Writer, level slog.Level, attrs ...slog.Attr) (*Sink, *slog.Logger) {
	s := &Sink{ring: duty.NewRing[[]byte](ringLines), out: out}
	options := &slog.HandlerOptions{Level: level}
	h := handler{
		sink:     s,
		ordinary: slog.NewJSONHandler(lineWriter{s, keptForFailures}, options).WithAttrs(attrs),
		failures: slog.NewJSONHandler(lineWriter{s, 0}, options).WithAttrs(attrs),
	}
	return s, slog.New(h)
}

// Dropped publishes the number of dropped lines.
func (s *Sink) Dropped() expvar.Var { return expvar.Func(func() any { return s.dropped.Load() }) }

// Run writes lines until ctx ends, and then what is left in the ring.
func (s *Sink) Run(ctx context.Context) error {
	var batch bytes.Buffer
	var reported int64
	lastReport := time.Now()
	for {
		select {
		case line := <-s.ring.C():
			s.write(&batch, line)
			if n := s.dropped.Load(); n > reported && time.Since(lastReport) > reportInterval {
				fmt.Fprintf(s.out, `{"level":"WARN","msg":"log lines dropped","total":%d}`+"\n", n)
				reported, lastReport = n, time.Now()
			}
		case <-ctx.Done():
			for s.ring.Len() > 0 {
				s.write(&batch, <-s.ring.C())
			}
			return ctx.Err()
		}
	}
}

// write writes line and whatever waits behind it in one call.
func (s *Sink) write(batch *bytes.Buffer, line []byte) {
	batch.Reset()
	batch.Write(line)
	for batch.Len() < batchBytes {
		select {
		case more := <-s.ring.C():
			batch.Write(more)
			continue
		default:
		}
		break
	}
	if _, err := s.out.Write(batch.Bytes()); err != nil {
		s.dropped.Add(1) // nothing is left to report a broken log to
	}
}

type lineWriter struct {
	sink *Sink
	free int // places of the ring that must stay free
}

func (w lineWriter) Write(b []byte) (int, error) {
	if ringLines-w.sink.ring.Len() <= w.free || !w.sink.ring.Offer(bytes.Clone(b)) {
		w.sink.dropped.Add(1)
	}
	return len(b), nil
}

type handler struct {
	sink               *Sink
	ordinary, failures slog.Handler
}

func (h handler) Enabled(ctx context.Context, l slog.Level) bool { return h.ordinary.Enabled(ctx, l) }

func (h handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		return h.failures.Handle(ctx, r)
	}
	return h.ordinary.Handle(ctx, r)
}

func (h handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return handler{h.sink, h.ordinary.WithAttrs(attrs), h.failures.WithAttrs(attrs)}
}

func (h handler) WithGroup(name string) slog.Handler {
	return handler{h.sink, h.ordinary.WithGroup(name), h.failures.WithGroup(name)}
}
