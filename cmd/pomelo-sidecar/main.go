// Command pomelo-sidecar runs beside one backend server and decides what the server is given.
package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/sidecar"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

func main() {
	os.Exit(process.Main("pomelo-sidecar", os.Args[1:], os.Stderr, settings.LoadSidecar, func(s *settings.Sidecar) error {
		return run(s, process.NewLogger(s.Log))
	}))
}

func run(s *settings.Sidecar, log *slog.Logger) error {
	certificates, err := transport.LoadCertificates(transport.TLSFiles(s.Peers.TLS))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	listener, err := net.Listen("tcp", s.Peers.Listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	pool := transport.NewPool(certificates.Peers())
	defer pool.Close()
	identity := process.NewIdentity(s.Process, "sidecar", listener.Addr().String())
	configuration := configsync.New(configsync.Options{
		Peers: func() []string { return s.Peers.Gateways }, Pool: pool, Identity: identity,
		PollInterval: s.ConfigSync.PollInterval.D(), FreshFor: s.ConfigSync.FreshFor.D(), Log: log,
	})
	server := sidecar.New(sidecar.Options{
		Settings: s, Config: configuration, Store: process.NewTableStore(s.TableService), Log: log,
		Incarnation: identity.GetIncarnation(), Address: identity.GetAddress(),
	})
	peers := transport.NewServer(listener, certificates.Peers(), server.Handle, log)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := duty.NewGroup(ctx, log)
	group.Go("configuration", configuration.Run)
	group.Go("peers", peers.Serve)
	group.Go("backend server", server.Run)
	group.Go("idle sessions", func(ctx context.Context) error { return process.CloseIdle(ctx, pool) })
	if s.DebugListen != "" {
		group.Go("debug", func(ctx context.Context) error { return serveDebug(ctx, s.DebugListen, server, configuration) })
	}
	log.Info("sidecar started", "address", identity.GetAddress(), "service", s.Backend.Service)
	err = drainOnSignal(group.Context(), server, log)
	cancel()
	return errors.Join(err, group.Wait())
}

// drainOnSignal returns when a signal has drained the server, when a second signal ends the drain, or when
// a duty failed.
func drainOnSignal(ctx context.Context, server *sidecar.Server, log *slog.Logger) error {
	first, second, stop := process.Signals(ctx)
	defer stop()
	<-first.Done()
	if ctx.Err() != nil {
		return nil
	}
	log.Info("sidecar is leaving")
	if err := server.Drain(second); err != nil {
		return fmt.Errorf("drain ended early: %w", err)
	}
	return nil
}

// serveDebug serves /debug/vars and /healthz until ctx ends.
func serveDebug(ctx context.Context, address string, server *sidecar.Server, c *configsync.Copy) error {
	expvar.Publish("sidecar", expvar.Func(func() any { return server.Status() }))
	expvar.Publish("ended", expvar.Func(func() any { return server.Ended() }))
	expvar.Publish("config_version", expvar.Func(func() any { return c.Version() }))
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	debug := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = debug.Close() })
	defer stop()
	if err := debug.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve debug: %w", err)
	}
	return nil
}
