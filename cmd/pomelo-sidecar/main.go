// Command pomelo-sidecar runs beside one backend server. It admits the requests that gateways send for that server and
// passes them on within the server's limits.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/operatorserver"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
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
	var debugListener net.Listener
	if s.DebugListen != "" {
		if debugListener, err = net.Listen("tcp", s.DebugListen); err != nil {
			return fmt.Errorf("listen for debug: %w", err)
		}
	}
	shares := descriptors.DivideBeside(descriptors.Allowance(0))
	reclaimer := descriptors.NewReclaimer(log)
	memory, refused := memorybudget.DivideBeside(int64(s.ClientLimits.Memory)), new(refusals.Set)
	if memory.Limit > 0 {
		debug.SetMemoryLimit(memory.Limit)
	}
	pool := transport.NewPool(certificates.PeerTLSConfig())
	pool.ReclaimWith(reclaimer)
	defer pool.Close()
	identity := process.NewIdentity(s.Process, "sidecar", listener.Addr().String())
	configuration := configsync.New(configsync.Options{
		Peers: func() []string { return s.Peers.Gateways }, Pool: pool, Identity: identity,
		PollInterval: s.ConfigSync.PollInterval.D(), FreshFor: s.ConfigSync.FreshFor.D(), Log: log,
	})
	store := process.NewTableStore(s.TableService)
	server := sidecar.New(sidecar.Options{
		Settings: s, Config: configuration, Store: store, Log: log,
		Incarnation: identity.GetIncarnation(), Address: identity.GetAddress(),
		PeerServes: sidecar.NewPeerServes(pool, identity),
	})
	process.Publish(vars(server, store, certificates, refused))
	peers := transport.NewServer(listener, certificates.PeerTLSConfig(), server.Handle, log,
		transport.WithDescriptors(shares.PeerSessions, reclaimer),
		transport.WithFrames(memorybudget.New(memory.Frames), refused.Recorder("peers", log)))
	reclaimer.Add("peer sessions without a stream", peers.CloseIdle)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := background.NewGroup(ctx, log)
	group.Go("configuration", configuration.Run)
	group.Go("peers", peers.Serve)
	group.Go("backend server", server.Run)
	group.Go("idle sessions", func(ctx context.Context) error { return process.CloseIdleSessions(ctx, pool) })
	if debugListener != nil {
		group.Go("debug", func(ctx context.Context) error {
			return operatorserver.Serve(ctx, debugListener, debugHandler(server.Ready), operatorserver.Options{
				Name: "debug", MaxConnections: shares.Operators, HeaderBytes: operatorserver.DefaultHeaderBytes,
				RequestTime: operatorserver.DefaultRequestTime, MaxFields: s.ClientLimits.MaxFields,
				Heads: memorybudget.New(memory.OperatorHeads), Refusals: refused, Reclaim: reclaimer, Log: log,
			})
		})
	}
	log.Info("sidecar started", "address", identity.GetAddress(), "service", s.Backend.Service)
	err = drainOnSignal(group.Context(), server, log)
	cancel()
	return errors.Join(err, group.Wait())
}

// drainOnSignal waits for a signal and drains the server. It returns early, with an error, if a second signal ends the
// drain, and returns nil if a background task fails before the first signal.
func drainOnSignal(ctx context.Context, server *sidecar.Server, log *slog.Logger) error {
	first, second, stop := process.ShutdownContexts(ctx)
	defer stop()
	<-first.Done()
	if ctx.Err() != nil {
		return nil
	}
	log.Info("signal received; draining the sidecar")
	if err := server.Drain(second); err != nil {
		return fmt.Errorf("drain ended early: %w", err)
	}
	return nil
}
