package main

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/agentclient"
	"github.com/pomelowheel/pomelowheel/internal/appointment"
	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/discovery"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
	"github.com/pomelowheel/pomelowheel/internal/fleetplanner"
	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/freshness"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/peers"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/retrybudget"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/upstream"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// backendDialTimeout bounds the time to connect to a backend server. Within a region connecting takes some
	// milliseconds.
	backendDialTimeout = 400 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server. It is below the number that a server accepts from
	// all gateways.
	maxIdlePerServer = 24
	// retryUsedFraction is the part of the fleet's retry budget that the gateways use.
	retryUsedFraction = 0.8
	// cleanupInterval is the time between two runs of the cleanup of idle connections and unlisted servers.
	cleanupInterval = time.Second
	// firstMessageTimeout bounds the wait for the first message of a peer's stream.
	firstMessageTimeout = time.Second
	// callerStallTime is the time without progress after which a connection of a caller may be ended when all are in use. A sound
	// caller sends a head in one piece or a few.
	callerStallTime = time.Second
)

// gateway holds the components of the process.
type gateway struct {
	settings      *platform.Settings
	log           *slog.Logger
	store         *platform.Store
	view          *fleet.View
	table         *fleetroute.Table
	limits        *fleetgateway.Limits
	demand        *fleetgateway.Demand
	metrics       *fleetgateway.Metrics
	pool          *upstream.Pool
	sessions      *transport.Pool
	mesh          *peers.Mesh
	agents        *agentclient.Client
	follower      *discovery.Follower
	freshness     *freshness.Tracker
	stale         atomic.Bool // the last check found the configuration too old
	lease         *duty.Lease
	planner       *fleetplanner.Planner
	duties        duties
	server        *fleetgateway.Server
	appointments  *appointment.Book
	logSink       interface{ Dropped() expvar.Var }
	callers       *arrivals.Tracker // connections of callers
	shares        descriptors.Shares
	reclaimer     *descriptors.Reclaimer
	bodies        *memorybudget.Budget // of callers
	shortBodies   *memorybudget.Budget
	answers       *memorybudget.Budget // of servers
	heads         *memorybudget.Budget // of callers' requests
	operatorHeads *memorybudget.Budget
	frames        *memorybudget.Budget // of other gateways and agents
	refusals      refusals.Set
	peerListener  net.Listener
}

func newGateway(settings *fleetprocess.Settings, log *slog.Logger) (*gateway, error) {
	s := settings.Get()
	if s.CallerAddress == "" || s.ControlAddress == "" {
		return nil, fmt.Errorf("the settings name no address for callers or none for peers")
	}
	listener, err := net.Listen("tcp", s.ControlAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	_, agentPort, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("port of the agents in the peer address: %w", err)
	}
	reclaimer := descriptors.NewReclaimer(log)
	shares := descriptors.Divide(descriptors.Allowance(s.Connections))
	g := &gateway{
		shares: shares, reclaimer: reclaimer,
		settings: s, log: log, store: platform.NewStore(s.Store.Address, reclaimer), view: fleet.NewView(), table: fleetroute.NewTable(),
		freshness: freshness.New(s.Bounds.Configuration), demand: fleetgateway.NewDemand(), metrics: fleetgateway.NewMetrics(),
		sessions: transport.NewPoolWithControl(platform.SetTCPUserTimeout),
		pool: upstream.NewPool(upstream.Options{
			DialTimeout: backendDialTimeout, MaxIdle: maxIdlePerServer, MaxIdleAll: shares.IdleServers,
			Control: platform.SetTCPUserTimeout, Reclaim: reclaimer,
		}),
		logSink: settings.Sink, peerListener: listener,
	}
	memory := memorybudget.Divide(s.MemoryBytes)
	g.heads, g.operatorHeads = memorybudget.New(memory.Heads), memorybudget.New(memory.OperatorHeads)
	g.frames = memorybudget.New(memory.Frames)
	g.callers = arrivals.New(arrivals.Options{MaxConnections: shares.Callers, Log: log, Limits: arrivals.Limits{
		Refusals: g.refusals.Recorder("callers", log), MaxFields: s.Clients.MaxFields, Heads: g.heads, BodyStall: s.Clients.BodyStall, Unread: s.Clients.Unread,
		StallTime: callerStallTime,
	}})
	g.bodies, g.shortBodies = memorybudget.New(memory.Bodies), memorybudget.New(memory.ShortBodies)
	g.answers = memorybudget.New(memory.Answers)
	g.sessions.ReclaimWith(reclaimer)
	reclaimer.Add("idle connections to servers", g.pool.CloseIdle)
	reclaimer.Add("idle connections of callers", g.callers.EndLongestIdle)
	identity := &wirepb.Identity{
		Host: s.Host, DataCentre: s.DataCentre, Role: "gateway", Incarnation: uuid.NewString(), Address: s.ControlAddress,
	}
	g.appointments = appointment.New(xxhash.Sum64String(identity.GetIncarnation()))
	clock := bootclock.Clock(bootclock.Now)
	g.duties.scaling = newScaling(s)
	g.mesh = peers.New(peers.Options{
		Identity: identity, Seeds: func() []string { return settings.Get().Seeds }, Pool: g.sessions, Clock: clock,
		Source: g, Sink: g, Usage: g.usageSource(identity), OnUsage: g.receiveUsage, Scale: g.scaleSource(), OnScale: g.receiveScale,
		Appointments: g.newAppointments, OnAppointments: g.receiveAppointments, Log: log,
	})
	g.limits = fleetgateway.NewLimits(clock, g.mesh.Count, func() float64 {
		if s.FirstStart {
			return 1
		}
		return 1 / float64(g.mesh.KnownCount())
	}, g.view.Organisation)
	g.agents = agentclient.New(agentclient.Options{
		Identity: identity, View: g.view, Pool: g.sessions, Port: agentPort, Clock: clock, Log: log,
		Changed:  func() { g.server.FleetChanged() },
		Demand:   func(service, model string) float64 { return g.planner.DemandOf(service, model) },
		StoreEra: func() int64 { return g.follower.Era() },
	})
	g.follower = discovery.New(discovery.Options{
		Store: g.store, View: g.view, Clock: clock, RemovalGrace: s.Bounds.ServerListRecovery,
		RewriteGrace: s.Bounds.StoreRewrite, Freshness: g.freshness,
		IsReader: g.readsStore, Publish: g.publish, RelaysRows: g.mesh.RelaysRows, OnRemoved: g.forgetServers, Log: log,
	})
	g.lease = duty.NewLease(duty.LeaseOptions{
		Store: g.store, Host: s.Host, Incarnation: identity.GetIncarnation(), Clock: clock, Log: log,
		Demand:        func() map[string]float64 { return g.planner.Demand() },
		OnAcquired:    func(demand map[string]float64) { g.planner.InheritDemand(demand) },
		HandoverPause: s.Bounds.Lease, Restarted: !s.FirstStart,
	})
	g.newDuties(clock)
	g.planner = fleetplanner.New(fleetplanner.Options{
		View: g.view, Agents: g.agents, Lease: g.lease, Clock: clock, PrefillRate: g.table.PrefillRate,
		DemandTotals: g.demand.Totals,
		Stalled:      func(server string) bool { return g.table.Stalled(server, clock()) },
		FirstStart:   s.FirstStart, Log: log,
	})
	offered := g.appointments
	if !s.Appointments {
		offered = nil
	}
	g.server = fleetgateway.New(fleetgateway.Options{
		DataCentre: s.DataCentre, View: g.view, Table: g.table, Agents: g.agents, Pool: g.pool, Limits: g.limits,
		CheckConfiguration: g.checkConfiguration, ConfigurationBehind: g.freshness.Behind,
		Demand: g.demand, ServiceDemand: g.serviceDemand(), Clock: clock, Gateways: g.mesh.Count, Rank: g.mesh.Rank, Metrics: g.metrics, Log: log,
		CountBegun: g.countBegun(), Appointments: offered, Bodies: g.bodies, ShortBodies: g.shortBodies, Answers: g.answers,
		Retry: retrybudget.Options{
			Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow, UsedFraction: retryUsedFraction,
			StartedAt: clock(), Restarted: !s.FirstStart,
		},
	})
	return g, nil
}

// start starts the background tasks of the gateway in group, without the metrics, which a process publishes once.
func (g *gateway) start(group *background.Group) {
	group.Go("discovery", g.follower.Run)
	group.Go("peers", g.mesh.Run)
	peerSessions := transport.NewServer(g.peerListener, nil, g.handlePeer, g.log,
		transport.WithDescriptors(g.shares.PeerSessions, g.reclaimer),
		transport.WithFrames(g.frames, g.refusals.Recorder("peers", g.log)))
	g.reclaimer.Add("peer sessions without a stream", peerSessions.CloseIdle)
	group.Go("peer sessions", peerSessions.Serve)
	group.Go("registration", g.register)
	group.Go("agents", g.agents.Run)
	group.Go("planner's lease", g.lease.Run)
	group.Go("planner", g.planner.Run)
	g.startDuties(group)
	group.Go("cleaning", g.cleanUp)
	group.Go("prompt guard", g.runGuard)
	group.Go("readiness", func(ctx context.Context) error {
		return g.endpoint("readiness", g.settings.ReadinessAddress).Serve(ctx, g.readiness())
	})
}

// endpoint returns a server for the platform or for operators.
func (g *gateway) endpoint(name, address string) fleetprocess.Endpoint {
	return fleetprocess.Endpoint{
		Name: name, Address: address, MaxConnections: g.shares.Operators, Reclaim: g.reclaimer, Log: g.log,
		Clients: g.settings.Clients, Heads: g.operatorHeads, Refusals: &g.refusals,
	}
}

// readiness returns the handler of readiness checks. It responds on every path, because the platform requests only
// one path. The status is 200 if the gateway accepts requests and 503 otherwise.
func (g *gateway) readiness() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.server.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

func (g *gateway) vars() map[string]expvar.Var {
	vars := g.metrics.Vars()
	vars["log_lines_dropped"] = g.logSink.Dropped()
	vars["descriptors_short"] = expvar.Func(func() any { return g.reclaimer.Short() })
	vars["caller_connections"] = expvar.Func(func() any { open, _, _ := g.callers.Counts(); return open })
	vars["caller_connections_ended"] = expvar.Func(func() any { _, ended, _ := g.callers.Counts(); return ended })
	vars["caller_connections_refused"] = expvar.Func(func() any { _, _, refused := g.callers.Counts(); return refused })
	vars["body_bytes"] = expvar.Func(func() any { return g.bodies.Held() + g.shortBodies.Held() })
	vars["bodies_refused"] = expvar.Func(func() any { return g.bodies.Refused() })
	vars["answer_bytes"] = expvar.Func(func() any { return g.answers.Held() })
	vars["answers_refused"] = expvar.Func(func() any { return g.answers.Refused() })
	vars["head_bytes"] = expvar.Func(func() any { return g.heads.Held() + g.operatorHeads.Held() })
	vars["clients_refused"] = g.refusals.Var()
	vars["store_calls"] = expvar.Func(func() any { all, _ := g.store.Calls(); return all })
	vars["store_failures"] = expvar.Func(func() any { _, failed := g.store.Calls(); return failed })
	vars["backend_connections_opened"] = expvar.Func(func() any { return g.pool.Dials() })
	vars["active_requests"] = expvar.Func(func() any { return g.server.Active() })
	vars["requests_waiting"] = expvar.Func(func() any { return g.server.Waiting() })
	vars["gateways_heard"] = expvar.Func(func() any { heard, _ := g.mesh.Count(); return heard })
	vars["agents_reporting"] = expvar.Func(func() any { fresh, _ := g.agents.Counts(bootclock.Now()); return fresh })
	vars["config_version"] = expvar.Func(func() any {
		if c := g.view.Snapshot().Config; c != nil {
			return c.Version
		}
		return 0
	})
	vars["config_age_ms"] = expvar.Func(func() any {
		age, _ := g.freshness.Age(bootclock.Now())
		return age.Milliseconds()
	})
	vars["server_speeds"] = expvar.Func(func() any { return g.table.Speeds() })
	vars["refused_prompts"] = expvar.Func(func() any { list, _ := g.server.Prompts().Refusals(); return len(list) })
	vars["store_era"] = expvar.Func(func() any { return g.follower.Era() })
	vars["planner_epoch"] = expvar.Func(func() any { return g.lease.Epoch() })
	g.addAppointmentVars(vars)
	g.addDutyVars(vars)
	return vars
}

func (g *gateway) handlePeer(ctx context.Context, s *transport.Stream) {
	if err := s.SetReadDeadline(time.Now().Add(firstMessageTimeout)); err != nil {
		return
	}
	frame, err := s.Recv()
	if err != nil {
		g.log.Debug("peer stream ended before its first message", "error", err)
		return
	}
	g.mesh.Serve(ctx, s, frame)
}

// cleanUp periodically closes expired idle connections and removes the loads and signs of servers that are no longer
// listed and the queues in which nothing waits.
func (g *gateway) cleanUp(ctx context.Context) error {
	for {
		if err := background.Sleep(ctx, cleanupInterval); err != nil {
			return err
		}
		g.pool.CloseExpired(time.Now())
		replicas := g.view.Snapshot().Replicas
		g.table.Prune(func(id string) bool { return replicas[id] != nil })
		g.server.PruneSigns()
		g.server.PruneQueues()
	}
}

// forgetServers closes the connections to servers that are no longer listed and removes their state.
func (g *gateway) forgetServers(ids []string) {
	for _, id := range ids {
		g.pool.Forget(id)
	}
	g.server.ForgetServers(ids)
}
