// Package sidecar is the request path beside one backend server: it admits requests of gateways, queues
// them, claims bookings, hands requests over and streams the answers back. It also keeps the residency of
// models. Whatever must hold about the backend server is decided here.
package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/booking"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/engine"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/ledger"
	"github.com/pomelowheel/pomelowheel/internal/placement"
	"github.com/pomelowheel/pomelowheel/internal/plainservice"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// watchInterval is how often the configuration is compared with queued and running requests.
	watchInterval = 200 * time.Millisecond
	// orderLife exceeds the timeout of an order's HTTP call, after which its connection is closed.
	orderLife = 10 * time.Second
	// rampIdle is long against the gaps between tokens of a busy server, so that only an idle one is tried
	// out again.
	rampIdle = 5 * time.Second
	// rampCheck is short against the restart of an engine and long against a read of its state.
	rampCheck = 100 * time.Millisecond
	kindModel = "model"
)

// Config is the process's copy of the configuration.
type Config interface {
	// Snapshot returns the current copy; it may be nil or at version 0 before the first one arrives.
	Snapshot() *config.Snapshot
	// Confirm returns nil when the copy is fresh or was confirmed now.
	Confirm(ctx context.Context) error
}

// Puller is implemented by a Config that can pull up to a version before its next poll, from the gateway at
// address (IP:port), which has that version.
type Puller interface {
	Pull(ctx context.Context, address string, version int64) error
}

// Options configures a Server.
type Options struct {
	Settings    *settings.Sidecar
	Config      Config
	Store       tablestore.Store
	Log         *slog.Logger
	Incarnation string // new at each start
	Address     string // listen address, IP:port
	// Serves asks the sidecar at address whether it serves a model now. It is asked about the other copies
	// before this one is unloaded. Nil trusts the copies row.
	Serves func(ctx context.Context, address, model string) bool
}

// Server is the sidecar of one backend server.
type Server struct {
	opts   Options
	log    *slog.Logger
	engine *engine.Client
	plain  *plainservice.Client
	book   *booking.Book
	copies *copies
	slots  chan struct{} // adapter loads in flight
	poke   chan struct{} // wakes the residency duty

	mu          sync.Mutex
	queue       *admission.Queue
	ramp        *admission.Ramp
	ledger      *ledger.Ledger
	tasks       map[*admission.Item]*task
	models      map[string]*residency
	adapters    map[string]*adapter
	prefixes    prefixes
	loads       map[string]*modelLoad
	incarnation string // of the backend server
	unreachable int    // reads of the engine's state that failed in a row
	ended       map[errkind.Kind]int64
	draining    bool
	refusing    bool
	admitted    int           // conversations of admitted requests that have not ended
	idle        chan struct{} // closed when refusing and no conversation is left
}

// New returns a server with an empty queue and a cold ramp.
func New(opts Options) *Server {
	s := opts.Settings
	server := &Server{
		opts:     opts,
		log:      opts.Log,
		engine:   engine.New(s.Backend.URL),
		plain:    plainservice.New(s.Backend.URL, plainservice.DefaultMaxResponse),
		book:     booking.New(booking.Options{Store: opts.Store, Log: opts.Log, Timeout: s.TableService.Timeout.D()}),
		copies:   &copies{store: opts.Store, timeout: s.TableService.Timeout.D(), self: copyOf(opts), serves: opts.Serves},
		slots:    make(chan struct{}, max(s.Backend.AdapterSlots, 1)),
		poke:     make(chan struct{}, 1),
		tasks:    make(map[*admission.Item]*task),
		models:   make(map[string]*residency),
		adapters: make(map[string]*adapter),
		loads:    make(map[string]*modelLoad),
		ended:    make(map[errkind.Kind]int64),
		idle:     make(chan struct{}),
	}
	server.queue = admission.New(admission.Options{
		Policy: admission.Policy(s.Admission.Policy), MaxQueue: s.Admission.MaxQueue,
		MaxQueueOrg: s.Admission.MaxQueueOrg, BatchConcurrency: s.Admission.BatchConcurrency,
	})
	ramp := admission.RampOptions{
		Cold: s.Admission.ColdConcurrency, Max: s.Admission.MaxConcurrency, Step: s.Admission.RampStep.D(),
		Idle: rampIdle,
	}
	if server.isModel() {
		ramp.Check = rampCheck // a plain service reports no incarnation
	}
	server.ramp = admission.NewRamp(ramp)
	server.ledger = ledger.New(ledger.Options{
		TotalMB: s.Backend.MemoryMB, ChecksOrders: s.Backend.ChecksOrders,
		FirstFencing: uint64(time.Now().UnixMicro()), OrderLife: orderLife, WeightsPart: placement.WeightsPart,
	})
	return server
}

// Run runs the server's duties until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, s.log)
	group.Go("booking", s.book.Run)
	group.Go("watch", s.watch)
	if s.isModel() {
		group.Go("residency", s.keepResidency)
	}
	return group.Wait()
}

func (s *Server) isModel() bool { return s.opts.Settings.Backend.Kind == kindModel }

// Handle serves one conversation: one request, or any number of status requests and probes. It is a
// transport.Handler.
func (s *Server) Handle(ctx context.Context, stream *transport.Stream) {
	for {
		e, err := stream.Recv()
		if err != nil {
			return
		}
		if m, ok := e.GetMessage().(*wirepb.Envelope_Submit); ok {
			s.submit(ctx, stream, m.Submit)
			return
		}
		reply := s.answer(ctx, e)
		if reply == nil {
			s.log.Warn("conversation refused", "reason", "unexpected frame", "kind", errkind.ProtocolError.String())
			return
		}
		if err := stream.Send(reply); err != nil {
			s.log.Debug("reply not sent", "error", err)
			return
		}
	}
}

func (s *Server) answer(ctx context.Context, e *wirepb.Envelope) *wirepb.Envelope {
	switch m := e.GetMessage().(type) {
	case *wirepb.Envelope_Probe:
		return &wirepb.Envelope{Message: &wirepb.Envelope_ProbeReply{ProbeReply: s.probe(ctx, m.Probe)}}
	case *wirepb.Envelope_StatusRequest:
		status := wire.TrimStatus(s.Status(), m.StatusRequest)
		return &wirepb.Envelope{Message: &wirepb.Envelope_Status{Status: status}}
	case *wirepb.Envelope_ModelOrder:
		return &wirepb.Envelope{Message: &wirepb.Envelope_OrderReply{OrderReply: s.order(ctx, m.ModelOrder)}}
	}
	return nil
}

// watch hands back queued requests and ends running streams that the configuration no longer allows.
func (s *Server) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.enforceConfig()
		}
	}
}

func (s *Server) enforceConfig() {
	snapshot := s.opts.Config.Snapshot()
	if snapshot == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for item, t := range s.tasks {
		err := checkKey(snapshot, t.submit)
		switch {
		case t.started && err != nil && s.isModel():
			t.cancel(err)
		case t.started:
		case err != nil:
			s.handBack(item, err)
		default:
			if err := s.checkDataCentre(snapshot); err != nil {
				s.handBack(item, err)
			}
		}
	}
	s.dispatch()
}

// handBack removes a queued request; its conversation answers with err. The caller holds the lock.
func (s *Server) handBack(item *admission.Item, err error) {
	t, ok := s.tasks[item]
	if !ok || t.started || !s.queue.Remove(item) {
		return
	}
	delete(s.tasks, item)
	t.handback <- err
}
