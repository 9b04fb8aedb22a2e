package logsink_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/logsink"
)

// blockedWriter is a log file whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against a log that blocks requests while its output is blocked, and that drops warnings before other lines.
func TestABlockedLogKeepsFailuresAndNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	sink, log := logsink.New(out, slog.LevelInfo, slog.String("host", "h"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- sink.Run(ctx) }()
	start := time.Now()
	for range 20_000 {
		log.Info("served")
	}
	for i := range 1000 {
		log.Warn("failed", "n", i)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Fatalf("logging took %v", took)
	}
	close(out.open)
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if n := strings.Count(out.text.String(), `"failed"`); n != 1000 {
		t.Fatalf("%d of 1000 failures are in the log", n)
	}
	if sink.Dropped().String() == "0" {
		t.Fatal("dropped lines are not counted")
	}
}
