// Package logsink provides an asynchronous JSON log that never blocks the goroutine that logs. Lines wait in a bounded
// queue for a separate writer goroutine. When the queue fills up, lines below the warning level are dropped first. Dropped
// lines are counted and reported in the log.
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

	"github.com/pomelowheel/pomelowheel/internal/background"
)

const (
	// queueLines is the queue's capacity in lines. At 400 bytes a line that is 1.6 MB, 1% of a small host's memory.
	queueLines = 4096
	// reservedLines is the part of the queue that is reserved for warnings and errors.
	reservedLines = queueLines / 2
	// dropReportInterval is the shortest time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
	// batchBytes is the size at which a batch of lines is written. One write may exceed it by the last line.
	batchBytes = 32 << 10
)

// Sink queues log lines and writes them in its Run method.
type Sink struct {
	queue   *background.Queue[[]byte]
	out     io.Writer
	dropped atomic.Int64
}

// New returns a sink that writes to out, and a logger that writes JSON lines of at least the given level, each with attrs,
// to the sink. No line reaches out until Run is called.
func New(out io.Writer, level slog.Level, attrs ...slog.Attr) (*Sink, *slog.Logger) {
	s := &Sink{queue: background.NewQueue[[]byte](queueLines), out: out}
	options := &slog.HandlerOptions{Level: level}
	h := handler{
		sink:     s,
		ordinary: slog.NewJSONHandler(lineWriter{s, reservedLines}, options).WithAttrs(attrs),
		warnings: slog.NewJSONHandler(lineWriter{s, 0}, options).WithAttrs(attrs),
	}
	return s, slog.New(h)
}

// Dropped returns a metric with the number of dropped lines. A failed write counts as one.
func (s *Sink) Dropped() expvar.Var { return expvar.Func(func() any { return s.dropped.Load() }) }

// Run writes lines until ctx ends, then writes the lines left in the queue and returns the context's error.
func (s *Sink) Run(ctx context.Context) error {
	var batch bytes.Buffer
	var reported int64
	lastReport := time.Now()
	for {
		select {
		case line := <-s.queue.C():
			s.write(&batch, line)
			if n := s.dropped.Load(); n > reported && time.Since(lastReport) > dropReportInterval {
				fmt.Fprintf(s.out, `{"level":"WARN","msg":"log lines dropped","total":%d}`+"\n", n)
				reported, lastReport = n, time.Now()
			}
		case <-ctx.Done():
			for s.queue.Len() > 0 {
				s.write(&batch, <-s.queue.C())
			}
			return ctx.Err()
		}
	}
}

// write writes line and the lines queued after it in one call to the output.
func (s *Sink) write(batch *bytes.Buffer, line []byte) {
	batch.Reset()
	batch.Write(line)
	for batch.Len() < batchBytes {
		select {
		case more := <-s.queue.C():
			batch.Write(more)
			continue
		default:
		}
		break
	}
	if _, err := s.out.Write(batch.Bytes()); err != nil {
		s.dropped.Add(1) // a failure to write the log cannot be logged
	}
}

type lineWriter struct {
	sink     *Sink
	reserved int // number of places in the queue that must stay free
}

func (w lineWriter) Write(b []byte) (int, error) {
	if queueLines-w.sink.queue.Len() <= w.reserved || !w.sink.queue.Offer(bytes.Clone(b)) {
		w.sink.dropped.Add(1)
	}
	return len(b), nil
}

type handler struct {
	sink               *Sink
	ordinary, warnings slog.Handler
}

func (h handler) Enabled(ctx context.Context, l slog.Level) bool { return h.ordinary.Enabled(ctx, l) }

func (h handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		return h.warnings.Handle(ctx, r)
	}
	return h.ordinary.Handle(ctx, r)
}

func (h handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return handler{h.sink, h.ordinary.WithAttrs(attrs), h.warnings.WithAttrs(attrs)}
}

func (h handler) WithGroup(name string) slog.Handler {
	return handler{h.sink, h.ordinary.WithGroup(name), h.warnings.WithGroup(name)}
}
