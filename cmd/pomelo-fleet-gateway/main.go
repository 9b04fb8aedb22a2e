// Command pomelo-fleet-gateway is the entry process on the fleet's platform. One of the gateways also plans the
// placement of models.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleetproc"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// callerHeadTimeout bounds the head of a caller's request.
	callerHeadTimeout = 5 * time.Second
	// callerIdleTimeout is longer than callers reuse an idle connection, so that the gateway does not close one that a
	// request is on its way on.
	callerIdleTimeout = 60 * time.Second
	// callerHeaderBytes bounds the head of a caller's request.
	callerHeaderBytes = 64 << 10
	// drainReserve is the time before the end of the grace period at which the process ends in any case.
	drainReserve = 700 * time.Millisecond
	// drainQuiet is the time without a request after which a draining gateway ends. The balancer takes out a gateway
	// that was not ready twice, a second apart.
	drainQuiet = 2500 * time.Millisecond
	// defaultGrace is used if the settings name none.
	defaultGrace = 8 * time.Second
)

func main() {
	os.Exit(fleetproc.Main("pomelo-fleet-gateway", os.Args[1:], os.Stdout, os.Stderr, run))
}

func run(ctx context.Context, settings *fleetproc.Settings, log *slog.Logger) error {
	g, err := newGateway(settings, log)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", g.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	server := &http.Server{
		Handler: g.server, ReadHeaderTimeout: callerHeadTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: callerHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := duty.NewGroup(ctx, log)
	g.start(group)
	group.Go("settings", func(ctx context.Context) error {
		return settings.Watch(ctx, func(s *platform.Settings) { g.store.SetAddress(s.Store.Address) })
	})
	group.Go("callers", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(callers); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve callers: %w", err)
		}
		return ctx.Err()
	})
	log.Info("started", "address", g.settings.CallerAddress, "peers", g.settings.ControlAddress,
		"data_centre", g.settings.DataCentre, "store", g.settings.Store.Address, "first_start", g.settings.FirstStart)
	g.drainOnSignal(group.Context(), server)
	cancel()
	return group.Wait()
}

// drainOnSignal returns when a signal has drained the gateway, or when ctx ended.
func (g *gateway) drainOnSignal(ctx context.Context, server *http.Server) {
	signalled, stop := fleetproc.Terminated(ctx)
	defer stop()
	<-signalled.Done()
	if ctx.Err() != nil {
		return
	}
	grace := g.settings.Bounds.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	start := time.Now()
	g.log.Info("stopping", "grace", grace, "active", g.server.Active())
	g.server.Drain()
	g.mesh.Leave()
	g.lease.Release(ctx)
	idle := fleetproc.WaitIdle(ctx, grace-drainReserve, drainQuiet, func() bool { return g.server.Active() == 0 })
	if !idle {
		g.log.Warn("grace period ends with requests under way", "active", g.server.Active())
	}
	left := time.Until(start.Add(grace - drainReserve/2))
	if err := fleetproc.EndConnections(ctx, server, idle, left); err != nil && g.server.Active() > 0 {
		g.log.Warn("connections closed with requests under way", "active", g.server.Active(), "error", err)
	}
}
