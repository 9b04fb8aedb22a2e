// Command pomelo-sidecar runs beside one backend server and decides what the server is given.
package main

import (
	"context"
	"encoding/json"
	"expvar"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/sidecar"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

func main() {
	path := flag.String("config", "", "settings `file` (YAML)")
	check := flag.Bool("check", false, "only check the settings")
	bootstrap := flag.String("bootstrap", "", "JSON `file` with a list of configuration entities")
	flag.Parse()
	if err := run(*path, *bootstrap, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path, bootstrap string, check bool) error {
	s, err := settings.LoadSidecar(path)
	if err != nil || check {
		return err
	}
	log, err := newLogger(s.Log)
	if err != nil {
		return err
	}
	configuration, err := loadBootstrap(bootstrap)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Peers.Listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	server := sidecar.New(sidecar.Options{
		Settings: s, Config: configuration, Store: unavailableStore{}, Log: log,
		Incarnation: uuid.NewString(), Address: listener.Addr().String(),
	})
	return serve(server, listener, s, log)
}

// serve runs until a signal has drained the server. A second signal ends it at once.
func serve(server *sidecar.Server, listener net.Listener, s *settings.Sidecar, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	tlsConfig, err := peerTLS(s.Peers.TLS)
	if err != nil {
		return err
	}
	peers := transport.NewServer(listener, tlsConfig, server.Handle, log)
	failed := make(chan error, 3)
	go func() { failed <- peers.Serve(ctx) }()
	go func() { failed <- server.Run(ctx) }()
	if s.DebugListen != "" {
		debug := &http.Server{Addr: s.DebugListen, Handler: debugHandler(server), ReadHeaderTimeout: time.Second}
		go func() { failed <- debug.ListenAndServe() }()
		defer func() { _ = debug.Close() }()
	}
	log.Info("sidecar started", "address", listener.Addr().String(), "service", s.Backend.Service)
	select {
	case err := <-failed:
		return err
	case <-signals:
	}
	drainCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		<-signals
		stop()
	}()
	if err := server.Drain(drainCtx); err != nil {
		log.Warn("drain ended early", "error", err)
	}
	return peers.Close()
}

func newLogger(l settings.Log) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
}

func debugHandler(server *sidecar.Server) http.Handler {
	expvar.Publish("sidecar", expvar.Func(func() any { return server.Status() }))
	expvar.Publish("ended", expvar.Func(func() any { return server.Ended() }))
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

// staticConfig is a configuration that does not change.
type staticConfig struct{ snapshot *config.Snapshot }

// Snapshot implements sidecar.Config.
func (c staticConfig) Snapshot() *config.Snapshot { return c.snapshot }

// Confirm implements sidecar.Config.
func (c staticConfig) Confirm(context.Context) error { return nil }

func loadBootstrap(path string) (staticConfig, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return staticConfig{}, fmt.Errorf("read bootstrap configuration: %w", err)
	}
	var entities []config.Entity
	if err := json.Unmarshal(content, &entities); err != nil {
		return staticConfig{}, fmt.Errorf("decode bootstrap configuration: %w", err)
	}
	version := int64(1)
	for _, e := range entities {
		version = max(version, e.Version)
	}
	snapshot, err := new(config.Snapshot).Apply(version, entities)
	return staticConfig{snapshot}, err
}

// unavailableStore refuses every call, so that keyed bookings and unloads are refused as not run.
type unavailableStore struct{}

// Get implements tablestore.Store.
func (unavailableStore) Get(context.Context, tablestore.Key) (tablestore.Row, error) {
	return tablestore.Row{}, tablestore.ErrUnavailable
}

// Query implements tablestore.Store.
func (unavailableStore) Query(context.Context, string, string, int) ([]tablestore.Row, error) {
	return nil, tablestore.ErrUnavailable
}

// Write implements tablestore.Store.
func (unavailableStore) Write(context.Context, string, ...tablestore.Op) error {
	return tablestore.ErrUnavailable
}
