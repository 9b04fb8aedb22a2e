// Command pomelo-gateway is the entry process for callers.
package main

import (
	"context"
	"errors"
	"expvar"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/pomelowheel/pomelowheel/internal/callers"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/sidecars"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// watchInterval is the time between two looks for a new configuration by running requests.
const watchInterval = 250 * time.Millisecond

func main() {
	configFile := flag.String("config", "", "settings `FILE`")
	bootstrap := flag.String("bootstrap", "", "configuration entities, a JSON `FILE`")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	s, err := settings.LoadGateway(*configFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if *check {
		return
	}
	if err := run(s, *bootstrap); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// process holds the parts that are started and stopped together.
type process struct {
	settings *settings.Gateway
	log      *slog.Logger
	pool     *transport.Pool
	sidecars *sidecars.Client
	gateway  *gateway.Gateway
	callers  *callers.Server
	peers    *transport.Server
	edge     net.Listener
}

func run(s *settings.Gateway, bootstrap string) error {
	conf, err := gateway.LoadStaticConfig(bootstrap)
	if err != nil {
		return err
	}
	p := &process{settings: s, log: newLogger(s.Log)}
	if err := p.build(conf, gateway.NoLimit{}, gateway.PeerHandlers{}); err != nil {
		return err
	}
	defer p.pool.Close()
	first, stopFirst := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopFirst()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := duty.NewGroup(ctx, p.log)
	group.Go("sidecar status", p.sidecars.Run)
	group.Go("key watch", func(ctx context.Context) error { return p.gateway.WatchKeys(ctx, watchInterval) })
	group.Go("idle sessions", p.closeIdle)
	group.Go("peers", p.peers.Serve)
	group.Go("callers", func(context.Context) error { return p.callers.Serve(p.edge) })
	p.log.Info("gateway started", "callers", p.edge.Addr().String(), "peers", p.peers.Addr().String())
	select {
	case <-first.Done():
		stopFirst() // a second signal ends the process at once
		err = p.shutdown()
	case <-group.Context().Done():
		_ = p.callers.Close()
	}
	cancel()
	return errors.Join(err, group.Wait())
}

func (p *process) build(conf gateway.Config, limiter gateway.Limiter, handlers gateway.PeerHandlers) error {
	s := p.settings
	peerCerts, err := transport.LoadCertificates(transport.TLSFiles(s.Peers.TLS))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	edgeCerts, err := transport.LoadCertificates(transport.TLSFiles(s.Callers.TLS))
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	peerListener, err := net.Listen("tcp", s.Peers.Listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	p.edge, err = net.Listen("tcp", s.Callers.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.pool = transport.NewPool(peerCerts.Peers())
	p.peers = transport.NewServer(peerListener, peerCerts.Peers(), handlers.Handler(p.log), p.log)
	p.sidecars = sidecars.New(sidecars.Options{
		Pool: p.pool, Static: s.Peers.Sidecars, Policy: route.Policy(s.Routing.Policy), Log: p.log,
		StatusInterval: s.Routing.StatusInterval.D(), StatusMaxAge: s.Routing.StatusMaxAge.D(),
		Identity: &wirepb.Identity{
			Host: s.Process.Host, DataCentre: s.Process.DataCentre, Role: "gateway",
			Incarnation: uuid.NewString(), Address: peerListener.Addr().String(),
		},
	})
	p.gateway = gateway.New(gateway.Options{
		DataCentre: s.Process.DataCentre, Config: conf, Limiter: limiter, Sidecars: p.sidecars,
		Policy: route.Policy(s.Routing.Policy), ProbeCount: s.Routing.ProbeCount,
		ProbeTimeout: s.Routing.ProbeTimeout.D(), MaxAttempts: s.Routing.MaxAttempts, Log: p.log,
	})
	p.callers = callers.New(callers.Options{
		Gateway: p.gateway, DefaultService: s.Callers.DefaultService, MaxBody: int64(s.Callers.MaxBody),
		MaxHeader: int64(s.Callers.MaxHeader), HeaderTimeout: s.Callers.HeaderTimeout.D(),
		BodyTimeout: s.Callers.BodyTimeout.D(), MaxConcurrency: s.Callers.MaxConcurrency,
		TLS: edgeCerts.Edge(), Log: p.log,
	})
	vars := p.gateway.Vars()
	vars.Set("pool_sessions", expvar.Func(func() any { return p.pool.Len() }))
	expvar.Publish("gateway", vars)
	return nil
}

// shutdown makes the process not ready, waits until balancers notice, refuses new work and waits for
// running requests.
func (p *process) shutdown() error {
	p.log.Info("gateway is leaving")
	p.callers.Leave()
	time.Sleep(p.settings.Shutdown.NoticeDelay.D())
	p.gateway.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Shutdown.Grace.D())
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		_ = p.callers.Close()
		return fmt.Errorf("running requests did not end within the grace time: %w", err)
	}
	return nil
}

// closeIdle closes sessions that no conversation used for a while.
func (p *process) closeIdle(ctx context.Context) error {
	const idle = 5 * time.Minute
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			p.pool.CloseIdle(now.Add(-idle))
		}
	}
}

func newLogger(l settings.Log) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level))
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
