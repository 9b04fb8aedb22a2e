// Command pomelo-fleet-agent runs on the host of one model engine of the fleet. It forwards the engine's reports to the
// gateways and is the only process that sends the engine orders.
package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"os"

	"github.com/pomelowheel/pomelowheel/internal/agent"
	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
	"github.com/pomelowheel/pomelowheel/internal/logsink"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/platform"
)

func main() {
	os.Exit(fleetprocess.Main("pomelo-fleet-agent", os.Args[1:], os.Stdout, os.Stderr, run))
}

func run(ctx context.Context, settings *fleetprocess.Settings, log *slog.Logger) error {
	s := settings.Get()
	if s.EngineAddress == "" {
		return errors.New("settings name no model engine for this agent")
	}
	listener, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for gateways: %w", err)
	}
	reclaimer := descriptors.NewReclaimer(log)
	shares := descriptors.DivideBeside(descriptors.Allowance(s.Connections))
	memory, refused := memorybudget.DivideBeside(s.MemoryBytes), new(refusals.Set)
	store := platform.NewStore(s.Store.Address, reclaimer)
	a := agent.New(agent.Options{
		Host: s.Host, Engine: platform.NewEngineClient(s.EngineAddress, reclaimer), Store: store, Log: log,
	})
	gateways := transport.NewServer(listener, nil, a.Handle, log, transport.WithDescriptors(shares.PeerSessions, reclaimer),
		transport.WithFrames(memorybudget.New(memory.Frames), refused.Recorder("peers", log)))
	reclaimer.Add("sessions without a stream", gateways.CloseIdle)

	ctx, stop := fleetprocess.NotifyTermination(ctx)
	defer stop()
	group := background.NewGroup(ctx, log)
	group.Go("engine", a.Run)
	group.Go("gateways", gateways.Serve)
	group.Go("settings", func(ctx context.Context) error {
		return settings.Watch(ctx, func(s *platform.Settings) { store.SetAddress(s.Store.Address) })
	})
	group.Go("metrics", func(ctx context.Context) error {
		endpoint := fleetprocess.Endpoint{
			Name: "metrics", Address: s.MetricsAddress, MaxConnections: shares.Operators, Reclaim: reclaimer, Log: log,
			Clients: s.Clients, Heads: memorybudget.New(memory.OperatorHeads), Refusals: refused,
		}
		return endpoint.ServeMetrics(ctx, vars(settings.Sink, store, reclaimer, refused))
	})
	log.Info("started", "address", s.PeerAddress, "engine", s.EngineAddress, "service", s.EngineService)
	return group.Wait()
}

func vars(sink *logsink.Sink, store *platform.Store, reclaimer *descriptors.Reclaimer, refused *refusals.Set) map[string]expvar.Var {
	return map[string]expvar.Var{
		"log_lines_dropped": sink.Dropped(),
		"descriptors_short": expvar.Func(func() any { return reclaimer.Short() }),
		"store_calls":       expvar.Func(func() any { all, _ := store.Calls(); return all }),
		"clients_refused":   refused.Var(),
		"store_failures":    expvar.Func(func() any { _, failed := store.Calls(); return failed }),
	}
}
