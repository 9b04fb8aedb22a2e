package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/callerapi"
	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/hostlist"
	"github.com/pomelowheel/pomelowheel/internal/limitholder"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/planner"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// keyWatchInterval is the interval at which running requests are checked for withdrawn keys.
const keyWatchInterval = 250 * time.Millisecond

// components holds the components of a gateway process.
type components struct {
	settings       *settings.Gateway
	log            *slog.Logger
	identity       *wirepb.Identity
	pool           *transport.Pool
	shares         descriptors.Shares
	memory         memorybudget.Shares
	refusals       refusals.Set
	reclaimer      *descriptors.Reclaimer
	store          *tablestore.CountingStore
	hosts          *hostlist.List
	config         *configsync.Copy
	limits         *limitholder.Holder // nil if limits are disabled
	planner        *planner.Planner    // nil if the planner is disabled
	sidecars       *sidecarclient.Client
	gateway        *gateway.Gateway
	callers        *callerapi.Server
	peers          *transport.Server
	callerListener net.Listener
	certificates   []*transport.Certificates // of the peer and the caller listener; elements are nil without TLS
}

// run runs the gateway until a signal has shut it down or a component failed.
func run(s *settings.Gateway, log *slog.Logger) error {
	p := &components{settings: s, log: log}
	if err := p.build(); err != nil {
		return err
	}
	defer p.pool.Close()
	process.Publish(p.vars())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := background.NewGroup(ctx, log)
	group.Go("configuration", p.config.Run)
	if s.HostList.URL != "" {
		group.Go("host list", p.hosts.Run)
	}
	if p.limits != nil {
		group.Go("limit leases", p.limits.Run)
	}
	if p.planner != nil {
		group.Go("planner", p.planner.Run)
	}
	group.Go("sidecar status", p.sidecars.Run)
	group.Go("key watch", func(ctx context.Context) error { return p.gateway.WatchKeys(ctx, keyWatchInterval) })
	group.Go("idle sessions", func(ctx context.Context) error { return process.CloseIdleSessions(ctx, p.pool) })
	group.Go("peers", p.peers.Serve)
	group.Go("callers", func(context.Context) error { return p.callers.Serve(p.callerListener) })
	log.Info("gateway started", "callers", p.callerListener.Addr().String(), "peers", p.identity.GetAddress())
	err := p.shutDownOnSignal(group.Context())
	cancel()
	return errors.Join(err, group.Wait())
}

// build creates the components and opens the listeners. The caller starts the components.
func (p *components) build() error {
	s := p.settings
	peerCertificates, err := transport.LoadCertificates(transport.TLSFiles(s.Peers.TLS))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	callerCertificates, err := transport.LoadCertificates(transport.TLSFiles(s.Callers.TLS))
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	p.certificates = []*transport.Certificates{peerCertificates, callerCertificates}
	peerListener, err := net.Listen("tcp", s.Peers.Listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if p.callerListener, err = net.Listen("tcp", s.Callers.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.identity = process.NewIdentity(s.Process, "gateway", peerListener.Addr().String())
	p.shares = descriptors.Divide(descriptors.Allowance(0))
	p.reclaimer = descriptors.NewReclaimer(p.log)
	p.memory = memorybudget.Divide(int64(s.ClientLimits.Memory))
	if p.memory.Limit > 0 {
		debug.SetMemoryLimit(p.memory.Limit)
	}
	p.pool = transport.NewPool(peerCertificates.PeerTLSConfig())
	p.pool.ReclaimWith(p.reclaimer)
	p.store = process.NewTableStore(s.TableService)
	p.hosts = hostlist.New(hostlist.Options{URL: s.HostList.URL, Interval: s.HostList.Interval.D(), Log: p.log})
	p.config = configsync.New(configsync.Options{
		Store: p.store, Peers: p.otherGateways, Pool: p.pool, Identity: p.identity,
		PollInterval: s.ConfigSync.PollInterval.D(), FreshFor: s.ConfigSync.FreshFor.D(), Log: p.log,
	})
	p.buildRequestPath(callerCertificates, p.buildLimits())
	handlers := gateway.PeerHandlers{
		Config: func(_ context.Context, r *wirepb.ConfigRequest) *wirepb.ConfigDelta { return p.config.ServeConfig(r) },
	}
	p.limitHandlers(&handlers)
	if s.Planner.Enabled {
		p.planner = p.newPlanner()
	}
	p.peers = transport.NewServer(peerListener, peerCertificates.PeerTLSConfig(), handlers.Handler(p.log), p.log,
		transport.WithDescriptors(p.shares.PeerSessions, p.reclaimer),
		transport.WithFrames(memorybudget.New(p.memory.Frames), p.refusals.Recorder("peers", p.log)))
	p.reclaimer.Add("idle connections of callers", p.callers.EndLongestIdle)
	p.reclaimer.Add("peer sessions without a stream", p.peers.CloseIdle)
	return nil
}

func (p *components) buildRequestPath(callerCertificates *transport.Certificates, limits gateway.Limiter) {
	s := p.settings
	p.sidecars = sidecarclient.New(sidecarclient.Options{
		Pool: p.pool, Static: s.Peers.Sidecars, HostList: p.hosts, Policy: route.Policy(s.Routing.Policy), Log: p.log,
		Leaving:        p.hosts.Leaving,
		StatusInterval: s.Routing.StatusInterval.D(), StatusMaxAge: s.Routing.StatusMaxAge.D(), Identity: p.identity,
		StatusPolls: s.Routing.StatusPolls, IncludeLoads: func() bool { return p.planner != nil && p.planner.HoldsLease() },
	})
	p.gateway = gateway.New(gateway.Options{
		Address: p.identity.GetAddress(), DataCentre: s.Process.DataCentre, Config: p.config, Limiter: limits, Sidecars: p.sidecars,
		Policy: route.Policy(s.Routing.Policy), ProbeCount: s.Routing.ProbeCount,
		ProbeTimeout: s.Routing.ProbeTimeout.D(), MaxAttempts: s.Routing.MaxAttempts, Log: p.log,
		Ready: p.limitsReady,
	})
	var bodies *memorybudget.Budget // not bounded without a limit on the memory of the process
	if p.memory.Limit > 0 {
		bodies = memorybudget.New(p.memory.Bodies + p.memory.ShortBodies)
	}
	p.callers = callerapi.New(callerapi.Options{
		Gateway: p.gateway, DefaultService: s.Callers.DefaultService, MaxBody: int64(s.Callers.MaxBody),
		MaxHeader: int64(s.Callers.MaxHeader), HeaderTimeout: s.Callers.HeaderTimeout.D(),
		BodyTimeout: s.Callers.BodyTimeout.D(), MaxConcurrency: s.Callers.MaxConcurrency,
		MaxConnections: p.shares.Callers, Reclaim: p.reclaimer,
		MaxFields: s.ClientLimits.MaxFields, Heads: memorybudget.New(p.memory.Heads), Bodies: bodies, Refusals: &p.refusals,
		TLS: callerCertificates.CallerTLSConfig(), Log: p.log,
	})
}

// otherGateways returns the addresses of the gateways in the settings and the host list, without this process.
func (p *components) otherGateways() []string {
	addresses := slices.Concat(p.settings.Peers.Gateways, p.hosts.Gateways())
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == p.identity.GetAddress() })
}

// shutDownOnSignal waits for a signal and shuts the server for callers down. It also returns when a second signal ends
// the shutdown early, or when ctx ends because a component failed.
func (p *components) shutDownOnSignal(ctx context.Context) error {
	first, second, stop := process.ShutdownContexts(ctx)
	defer stop()
	<-first.Done()
	if ctx.Err() != nil {
		_ = p.callers.Close()
		return nil
	}
	return p.shutdown(second)
}

// shutdown makes the process not ready, waits until load balancers have noticed, refuses new requests and waits for
// running ones. ctx ends both waits early.
func (p *components) shutdown(ctx context.Context) error {
	p.log.Info("gateway is shutting down; /readyz reports not ready")
	p.callers.AnnounceShutdown()
	select {
	case <-time.After(p.settings.Shutdown.NoticeDelay.D()):
	case <-ctx.Done():
	}
	p.gateway.Drain()
	ctx, cancel := context.WithTimeout(ctx, p.settings.Shutdown.Grace.D())
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		_ = p.callers.Close()
		return fmt.Errorf("running requests did not end: %w", err)
	}
	return nil
}
