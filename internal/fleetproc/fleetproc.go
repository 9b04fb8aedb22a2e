// Package fleetproc holds what the programs on the fleet's platform share: settings that are read again, the log, the
// metrics and the end by signal.
package fleetproc

import (
	"context"
	"errors"
	"expvar"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/logsink"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// settingsInterval is the pause between two looks at the settings file, which may change without a signal.
	settingsInterval = 2 * time.Second
	// shutdownTimeout bounds the end of a small HTTP server.
	shutdownTimeout = 200 * time.Millisecond
	// idleClose bounds the end of connections without requests: a few exchanges with the slowest callers.
	idleClose = 300 * time.Millisecond
	// headerTimeout bounds the head of a request to a small HTTP server.
	headerTimeout = 2 * time.Second
)

// Main reads the flags and the settings and calls run with them. The result is the exit code.
func Main(name string, args []string, stdout, stderr io.Writer, run func(ctx context.Context, s *Settings, log *slog.Logger) error) int {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", os.Getenv(platform.SettingsVariable), "settings `FILE` of the platform")
	check := flags.Bool("check", false, "check the settings and exit")
	level := slog.LevelInfo
	flags.TextVar(&level, "log", slog.LevelInfo, "least `LEVEL` of the log: DEBUG, INFO, WARN or ERROR")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return process.ExitDone
	case err != nil:
		return process.ExitSettings
	case *path == "" || flags.NArg() > 0:
		fmt.Fprintf(stderr, "usage: %s [-config FILE] [-check] [-log LEVEL]\n", name)
		return process.ExitSettings
	}
	loaded, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return process.ExitSettings
	}
	if *check {
		return process.ExitDone
	}
	sink, log := logsink.New(stdout, level, slog.String("host", loaded.Host), slog.String("program", name))
	s := &Settings{path: *path, log: log, Sink: sink}
	s.current.Store(loaded)
	logCtx, stopLog := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = sink.Run(logCtx) // ends with its context
	}()
	err = run(context.Background(), s, log)
	log.Info("stopped", "error", err)
	stopLog()
	<-written
	if err != nil {
		return process.ExitFailed
	}
	return process.ExitDone
}

// Settings are the current settings of the process.
type Settings struct {
	Sink    *logsink.Sink
	path    string
	log     *slog.Logger
	current atomic.Pointer[platform.Settings]
}

// Get returns the current settings.
func (s *Settings) Get() *platform.Settings { return s.current.Load() }

// Watch reads the settings again after SIGHUP and from time to time, until ctx ends. changed is called with new ones.
func (s *Settings) Watch(ctx context.Context, changed func(*platform.Settings)) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		signalled := false
		select {
		case <-hangup:
			signalled = true
		case <-time.After(settingsInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		loaded, err := platform.LoadSettings(s.path)
		if err != nil {
			s.log.Error("settings not read, the previous ones stay", "error", err)
			continue
		}
		differ := !loaded.Equal(s.Get())
		if signalled || differ {
			s.log.Info("settings read", "signalled", signalled, "changed", differ, "seeds", loaded.Seeds,
				"store", loaded.Store.Address)
		}
		if differ {
			s.current.Store(loaded)
			changed(loaded)
		}
	}
}

// Terminated returns a context that ends with SIGTERM or an interrupt.
func Terminated(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

// ServeMetrics serves the published variables at /debug/vars of address until ctx ends.
func ServeMetrics(ctx context.Context, address string, vars map[string]expvar.Var) error {
	process.Publish(vars)
	router := mux.NewRouter()
	router.Handle("/debug/vars", expvar.Handler())
	return Serve(ctx, address, router)
}

// Serve runs an HTTP server for handler at address until ctx ends.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(end) // what is left ends with the process
	})
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return ctx.Err()
}

// EndConnections closes the connections of a server and waits for the requests under way, at most for limit. Without
// any it waits for idleClose only: callers open connections that they do not use, and the process would wait for them.
func EndConnections(ctx context.Context, server *http.Server, idle bool, limit time.Duration) error {
	if idle {
		limit = min(limit, idleClose)
	}
	end, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return server.Shutdown(end)
}

// WaitIdle waits until idle reports true for quiet without a break, or until limit has passed. It reports whether it
// became idle.
func WaitIdle(ctx context.Context, limit, quiet time.Duration, idle func() bool) bool {
	const look = 20 * time.Millisecond
	end := time.Now().Add(limit)
	since := time.Now()
	for time.Now().Before(end) {
		if !idle() {
			since = time.Now()
		} else if time.Since(since) >= quiet {
			return true
		}
		if duty.Sleep(ctx, look) != nil {
			return false
		}
	}
	return false
}
