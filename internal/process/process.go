// Package process has the parts that several binaries need: the entry point, signal handling, published metrics, and the
// logger, table service client and identity that are built from the settings. Main packages use it.
package process

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// sessionIdleTimeout is the time without use after which a session to a peer is closed.
const sessionIdleTimeout = 5 * time.Minute

// Exit codes of the binaries that use this package.
const (
	ExitDone     = 0 // success
	ExitFailed   = 1 // run failed
	ExitSettings = 2 // wrong arguments or settings; nothing was opened
)

// Main parses the flags, loads the settings file and calls run. With -check, or if the arguments or settings are wrong, it
// returns without calling run, so that no socket is opened. It writes errors to stderr and returns the exit code.
func Main[S any](name string, args []string, stderr io.Writer, load func(path string) (S, error), run func(S) error) int {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", "", "settings `FILE`")
	check := flags.Bool("check", false, "check the settings and exit")
	switch err := flags.Parse(args); {
	case err == flag.ErrHelp:
		return ExitDone
	case err != nil:
		return ExitSettings
	case *path == "" || flags.NArg() > 0:
		fmt.Fprintf(stderr, "usage: %s -config FILE [-check]\n", name)
		return ExitSettings
	}
	s, err := load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if *check {
		return ExitDone
	}
	if err := run(s); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitFailed
	}
	return ExitDone
}

// NewLogger returns a logger that writes to standard error. The settings must have been validated.
func NewLogger(l settings.Log) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level))
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}

// NewIdentity returns the identity of a process that listens on address (IP:port), with a new random incarnation (a UUID).
func NewIdentity(p settings.Process, role, address string) *wirepb.Identity {
	return &wirepb.Identity{
		Host: p.Host, DataCentre: p.DataCentre, Role: role, Incarnation: uuid.NewString(), Address: address,
	}
}

// NewTableStore returns a client of the table service that counts its calls. Its credentials come from the environment
// variables AWS_ACCESS_KEY_ID and AWS_SECRET_ACCESS_KEY.
func NewTableStore(t settings.TableService) *tablestore.CountingStore {
	return tablestore.NewCountingStore(tablestore.NewDynamoDB(tablestore.DynamoDBOptions{
		Endpoint: t.Endpoint, Region: t.Region, Table: t.Table, Timeout: t.Timeout.D(),
		AccessKeyID: os.Getenv("AWS_ACCESS_KEY_ID"), SecretAccessKey: os.Getenv("AWS_SECRET_ACCESS_KEY"),
	}))
}

// ShutdownContexts returns a context that is cancelled by the first interrupt or termination signal, and a second one that is
// cancelled by the next signal. stop cancels both and ends the handling of signals.
func ShutdownContexts(ctx context.Context) (first, second context.Context, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	first, cancelFirst := context.WithCancel(ctx)
	second, cancelSecond := context.WithCancel(ctx)
	go func() {
		for _, cancel := range []context.CancelFunc{cancelFirst, cancelSecond} {
			select {
			case <-signals:
				cancel()
			case <-second.Done():
				return
			}
		}
	}()
	return first, second, func() {
		signal.Stop(signals)
		cancelFirst()
		cancelSecond()
	}
}

// CloseIdleSessions closes the sessions of pool that have had no stream for about sessionIdleTimeout, until ctx ends. It returns
// ctx.Err().
func CloseIdleSessions(ctx context.Context, pool *transport.Pool) error {
	ticker := time.NewTicker(sessionIdleTimeout / 5)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			pool.CloseIdle(now.Add(-sessionIdleTimeout))
		}
	}
}

// Publish adds vars to /debug/vars under their names. It must be called once in a process, because
// expvar panics on a name that is already published.
func Publish(vars map[string]expvar.Var) {
	for name, v := range vars {
		expvar.Publish(name, v)
	}
}

// ReloadFailures returns a metric that sums the failures of certificates to load changed files. Entries may be nil.
func ReloadFailures(certificates ...*transport.Certificates) expvar.Var {
	return expvar.Func(func() any {
		var n int64
		for _, c := range certificates {
			if c != nil {
				n += c.ReloadFailures()
			}
		}
		return n
	})
}
