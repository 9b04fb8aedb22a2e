// Package fleetprocess provides the process framework of the programs that run on the fleet's platform: flags, settings that
// are reloaded, logging, metrics and shutdown on a signal. Use it in the main package of such a program.
package fleetprocess

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
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/logsink"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/operatorserver"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// settingsPollInterval is the pause between two reads of the settings file, which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// minPause is the time between two polls from which the process counts as paused.
	minPause = 500 * time.Millisecond
)

// Main parses the flags in args, loads the settings and calls run with them. The log goes to stdout, and usage and
// settings errors to stderr. Main returns an exit code of package process: ExitSettings for wrong flags or settings,
// ExitFailed if run returns an error, and ExitDone otherwise.
func Main(name string, args []string, stdout, stderr io.Writer,
	run func(ctx context.Context, s *Settings, log *slog.Logger) error) int {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // until the process ends, because the signal would end it otherwise
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", os.Getenv(platform.SettingsVariable), "platform settings `FILE`")
	check := flags.Bool("check", false, "check the settings and exit")
	level := slog.LevelInfo
	flags.TextVar(&level, "log", slog.LevelInfo, "minimum log `LEVEL`: DEBUG, INFO, WARN or ERROR")
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
	if limit := memorybudget.Divide(loaded.MemoryBytes).Limit; limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	sink, log := logsink.New(stdout, level, slog.String("host", loaded.Host), slog.String("program", name))
	s := &Settings{path: *path, log: log, Sink: sink, hangup: hangup}
	s.current.Store(loaded)
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		_ = sink.Run(logCtx) // returns only the error of its context
	}()
	err = run(context.Background(), s, log)
	log.Info("stopped", "error", err)
	stopLog()
	<-logDone
	if err != nil {
		return process.ExitFailed
	}
	return process.ExitDone
}

// Settings holds the current settings of the process. It is safe for concurrent use.
type Settings struct {
	Sink    *logsink.Sink
	path    string
	log     *slog.Logger
	hangup  chan os.Signal
	current atomic.Pointer[platform.Settings]
}

// Get returns the current settings, which the caller must not change.
func (s *Settings) Get() *platform.Settings { return s.current.Load() }

// Watch reloads the settings on SIGHUP and at every settingsPollInterval until ctx ends, and calls changed with settings
// that differ from the current ones. Settings that can't be loaded are logged and ignored. Watch returns the error of ctx.
func (s *Settings) Watch(ctx context.Context, changed func(*platform.Settings)) error {
	for {
		signalled := false
		select {
		case <-s.hangup:
			signalled = true
		case <-time.After(settingsPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		loaded, err := platform.LoadSettings(s.path)
		if err != nil {
			s.log.Error("settings not loaded; keeping the previous ones", "error", err)
			continue
		}
		differ := !loaded.Equal(s.Get())
		if signalled || differ {
			s.log.Info("settings loaded", "signalled", signalled, "changed", differ, "seeds", loaded.Seeds,
				"store", loaded.Store.Address)
		}
		if differ {
			s.current.Store(loaded)
			changed(loaded)
		}
	}
}

// NotifyTermination returns a context that is cancelled on SIGTERM, on an interrupt, or when ctx ends. Calling the cancel
// function stops the handling of the signals.
func NotifyTermination(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

// Endpoint is an HTTP server for operators or the platform.
type Endpoint struct {
	Name           string // in the log
	Address        string // IP:port to listen on
	MaxConnections int    // zero for no limit
	Clients        platform.ClientLimits
	Heads          *memorybudget.Budget // memory of parsed heads
	Refusals       *refusals.Set        // may be nil
	Reclaim        *descriptors.Reclaimer
	Log            *slog.Logger
}

// ServeMetrics publishes vars and serves all published variables as JSON at /debug/vars, beside the paths that routes add, until
// ctx ends. It returns an error as Serve does.
func (e Endpoint) ServeMetrics(ctx context.Context, vars map[string]expvar.Var, routes ...func(*mux.Router)) error {
	process.Publish(vars)
	router := mux.NewRouter()
	for _, add := range routes {
		add(router)
	}
	router.Handle("/debug/vars", expvar.Handler())
	return e.Serve(ctx, router)
}

// Serve runs an HTTP server for handler until ctx ends. It returns an error if it can't listen or the listening socket becomes
// unusable, and the error of ctx otherwise.
func (e Endpoint) Serve(ctx context.Context, handler http.Handler) error {
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return operatorserver.Serve(ctx, l, handler, operatorserver.Options{
		Name: e.Name, MaxConnections: e.MaxConnections, HeaderBytes: e.Clients.OperatorHeaderBytes, RequestTime: e.Clients.OperatorTime,
		MaxFields: e.Clients.MaxFields, Heads: e.Heads, Refusals: e.Refusals, Reclaim: e.Reclaim, Log: e.Log,
	})
}

// WaitIdle polls idle until it has reported true continuously for the duration quiet, and returns true. It returns false
// if limit passes or ctx ends first. Time in which the process did not run does not count as idle: requests may have arrived.
func WaitIdle(ctx context.Context, limit, quiet time.Duration, idle func() bool) bool {
	const pollInterval = 20 * time.Millisecond
	start := time.Now()
	idleSince, lastPoll := start, start
	for time.Since(start) < limit {
		isIdle, now := idle(), time.Now()
		if !isIdle || now.Sub(lastPoll) > minPause {
			idleSince = now
		} else if now.Sub(idleSince) >= quiet {
			return true
		}
		lastPoll = now
		if background.Sleep(ctx, pollInterval) != nil {
			return false
		}
	}
	return false
}
