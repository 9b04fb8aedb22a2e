package fleetprocess_test

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/platform"
)

// Guards against a process that a hang-up signal ends because it comes before or after the settings are watched.
func TestAHangupOutsideTheWatchDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(`{"node_name":"edge-1","ip":"127.0.0.1","port_range":[1,2],
		"provider":{"address":"127.0.0.1:1"},"listen":{"front":"127.0.0.1:3","control":"127.0.0.1:4"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	hangUp := func() error {
		defer time.Sleep(100 * time.Millisecond) // an unhandled signal ends the process by then
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	}
	code := fleetprocess.Main("test", []string{"-config", path}, io.Discard, os.Stderr,
		func(ctx context.Context, s *fleetprocess.Settings, _ *slog.Logger) error {
			if err := hangUp(); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			_ = s.Watch(ctx, func(*platform.Settings) {}) // ends with ctx
			return hangUp()
		})
	if code != process.ExitDone {
		t.Fatalf("exit code %d", code)
	}
}
