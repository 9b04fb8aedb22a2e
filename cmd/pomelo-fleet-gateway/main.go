// Command pomelo-fleet-gateway is the gateway of the fleet: it accepts the requests of callers, chooses a backend
// server for each and forwards it. One of the gateways also plans the placement of models.
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

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
	"github.com/pomelowheel/pomelowheel/internal/listener"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// callerHeaderTimeout bounds the time to read the header of a caller's request.
	callerHeaderTimeout = 20 * time.Second
	// minCallerIdleTimeout is how long an idle connection of a caller stays open at least. It is longer than callers keep
	// idle connections for reuse, so that the gateway does not close one on which a request is already on its way.
	minCallerIdleTimeout = 60 * time.Second
	// maxCallerHeaderBytes bounds the size of the header of a caller's request.
	maxCallerHeaderBytes = 256 << 10
	// drainReserve is how long before the end of the grace period the gateway stops waiting for requests in progress
	// and begins to shut down.
	drainReserve = 700 * time.Millisecond
	// drainIdleTime is the time without a request after which a draining gateway ends. The balancer removes a
	// gateway that was not ready in two checks, a second apart.
	drainIdleTime = 2500 * time.Millisecond
	// endAnswerTime is the time to answer the requests that are ended at the end of the grace period.
	endAnswerTime = 150 * time.Millisecond
	// defaultGrace is the grace period if the settings name none.
	defaultGrace = 8 * time.Second
)

func main() {
	os.Exit(fleetprocess.Main("pomelo-fleet-gateway", os.Args[1:], os.Stdout, os.Stderr, run))
}

func run(ctx context.Context, settings *fleetprocess.Settings, log *slog.Logger) error {
	g, err := newGateway(settings, log)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", g.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	callers = listener.Persistent(callers, listener.Options{Name: "callers", Reclaim: g.reclaimer, Log: log})
	tracker := g.callers
	server := g.newCallerServer(tracker)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := background.NewGroup(ctx, log)
	g.start(group)
	group.Go("metrics", func(ctx context.Context) error {
		return g.endpoint("metrics", g.settings.MetricsAddress).ServeMetrics(ctx, g.vars(), g.addRefusedPrompts)
	})
	group.Go("settings", func(ctx context.Context) error {
		return settings.Watch(ctx, func(s *platform.Settings) {
			g.store.SetAddress(s.Store.Address)
			g.duties.follow(s)
		})
	})
	group.Go("idle connections", func(ctx context.Context) error { return g.endIdleConnections(ctx, tracker) })
	group.Go("callers", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(tracker.Listener(callers)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve callers: %w", err)
		}
		return ctx.Err()
	})
	log.Info("started", "address", g.settings.CallerAddress, "peers", g.settings.ControlAddress,
		"data_centre", g.settings.DataCentre, "store", g.settings.Store.Address, "first_start", g.settings.FirstStart)
	g.drainOnSignal(group.Context(), server, tracker)
	cancel()
	return group.Wait()
}

// newCallerServer returns the server for callers, whose connections are tracked by tracker. Its limits are above those that
// configurations set for callers; idle connections are ended by endIdleConnections.
func (g *gateway) newCallerServer(tracker *arrivals.Tracker) *http.Server {
	server := &http.Server{
		Handler: g.server, ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
		ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	tracker.Attach(server)
	return server
}

// endIdleConnections ends connections of callers that have been idle for longer than any configuration has allowed.
func (g *gateway) endIdleConnections(ctx context.Context, tracker *arrivals.Tracker) error {
	timeout := minCallerIdleTimeout
	for {
		if err := background.Sleep(ctx, cleanupInterval); err != nil {
			return err
		}
		timeout = g.callerIdleTimeout(timeout)
		tracker.EndIdle(time.Now(), timeout)
	}
}

// callerIdleTimeout returns the configured idle timeout if that is longer than the one before. Callers may still use the one
// before.
func (g *gateway) callerIdleTimeout(before time.Duration) time.Duration {
	if config := g.view.Snapshot().Config; config != nil {
		return max(before, config.Limits.IdleTimeout)
	}
	return before
}

// drainOnSignal waits for a signal and drains the gateway. It returns when that is done or when ctx ends.
func (g *gateway) drainOnSignal(ctx context.Context, server *http.Server, tracker *arrivals.Tracker) {
	signalled, stop := fleetprocess.NotifyTermination(ctx)
	defer stop()
	<-signalled.Done()
	if ctx.Err() != nil {
		return
	}
	grace := g.settings.Bounds.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	g.drain(ctx, server, tracker, grace)
}

// drain ends the connections of callers within the grace period, as soon as no requests come any longer.
func (g *gateway) drain(ctx context.Context, server *http.Server, tracker *arrivals.Tracker, grace time.Duration) {
	start := time.Now()
	g.log.Info("stopping", "grace", grace, "active", g.server.Active())
	g.server.Drain()
	g.mesh.AnnounceShutdown()
	g.lease.Release(ctx)
	idle := fleetprocess.WaitIdle(ctx, time.Until(start.Add(grace-drainReserve)), drainIdleTime, func() bool {
		return tracker.Pending(time.Now()) == 0
	})
	if !idle {
		g.log.Warn("grace period is about to end with requests in progress", "active", g.server.Active())
	}
	left := time.Until(start.Add(grace - drainReserve/2))
	timer := time.AfterFunc(left-endAnswerTime, g.server.EndRequests)
	defer timer.Stop()
	if err := tracker.End(ctx, server, left); err != nil {
		g.log.Warn("connections closed with requests in progress", "active", g.server.Active(), "error", err)
	}
}
