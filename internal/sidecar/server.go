// Package sidecar admits and queues the requests that gateways send to one backend server, claims those with an
// idempotency key, hands them over and streams the answers back; beside a model engine it also loads and unloads
// models. The process beside a backend server uses it: every guarantee about that server, such as its memory bound,
// is enforced here.
package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/engineclient"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/idempotency"
	"github.com/pomelowheel/pomelowheel/internal/memoryledger"
	"github.com/pomelowheel/pomelowheel/internal/placement"
	"github.com/pomelowheel/pomelowheel/internal/plainclient"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// configCheckInterval is how often the configuration is compared with queued and running requests.
	configCheckInterval = 200 * time.Millisecond
	// orderLifetime is how long an order may still reach the engine after it was sent. It exceeds the timeout of an
	// order's HTTP call, after which its connection is closed.
	orderLifetime = 10 * time.Second
	// rampIdleTime is the time without a timely answer or token after which the cold limit applies again. It is much longer
	// than the gaps between tokens of a busy server, so that only an idle one is affected.
	rampIdleTime = 5 * time.Second
	// rampCheckTime is the time without a timely answer, token or confirmed incarnation after which the engine may have
	// restarted. It is much shorter than the restart of an engine and much longer than a read of its state.
	rampCheckTime = 100 * time.Millisecond
	kindModel     = "model"
)

// Config is this process's copy of the configuration.
type Config interface {
	// Snapshot returns the current copy; it may be nil or at version 0 before the first one arrives.
	Snapshot() *config.Snapshot
	// Confirm returns nil if the copy is fresh or was confirmed during the call.
	Confirm(ctx context.Context) error
}

// Puller is implemented by a Config that can fetch a version before its next poll. Pull fetches it from the gateway
// at address (IP:port), which has that version.
type Puller interface {
	Pull(ctx context.Context, address string, version int64) error
}

// Options configures a Server.
type Options struct {
	Settings    *settings.Sidecar
	Config      Config
	Store       tablestore.Store
	Log         *slog.Logger
	Incarnation string // ID of this process run, new at each start
	Address     string // listen address, IP:port
	// PeerServes reports whether the sidecar at address (IP:port) serves a model now. It is called for the other
	// copies before this one is unloaded. If it is nil, the copies row is trusted.
	PeerServes func(ctx context.Context, address, model string) bool
}

// Server is the sidecar of one backend server.
type Server struct {
	opts          Options
	log           *slog.Logger
	engine        *engineclient.Client
	plainService  *plainclient.Client
	bookings      *idempotency.Claims
	copyRegistry  *copyRegistry
	adapterSlots  chan struct{} // semaphore that bounds the adapter loads in flight
	residencyWake chan struct{} // makes runResidency read the engine's state at once

	mu                 sync.Mutex
	queue              *admission.Queue
	ramp               *admission.Ramp
	ledger             *memoryledger.Ledger
	tasks              map[*admission.Item]*task
	models             map[string]*residency
	adapters           map[string]*adapter
	recentPrefixes     recentPrefixes
	demand             map[string]*modelDemand
	backendIncarnation string // as last reported by the engine; empty before the first report
	failedStateReads   int    // reads of the engine's state that failed in a row
	// suspectSince is when an answer of the engine last suggested that it has restarted, or zero after a state that was
	// requested later has been read. No queued request is started while it is set.
	suspectSince    time.Time
	endedByKind     map[errkind.Kind]int64
	draining        bool
	admissionClosed bool
	openRequests    int           // admitted requests whose streams have not ended
	drained         chan struct{} // closed when admission is closed and no request is open
}

// New returns a server with an empty queue, at the cold concurrency limit.
func New(opts Options) *Server {
	s := opts.Settings
	server := &Server{
		opts:         opts,
		log:          opts.Log,
		engine:       engineclient.New(s.Backend.URL),
		plainService: plainclient.New(s.Backend.URL, plainclient.DefaultMaxResponseBytes),
		bookings:     idempotency.New(idempotency.Options{Store: opts.Store, Log: opts.Log, Timeout: s.TableService.Timeout.D()}),
		copyRegistry: &copyRegistry{
			store: opts.Store, timeout: s.TableService.Timeout.D(), self: ownCopy(opts), peerServes: opts.PeerServes,
		},
		adapterSlots:  make(chan struct{}, max(s.Backend.AdapterSlots, 1)),
		residencyWake: make(chan struct{}, 1),
		tasks:         make(map[*admission.Item]*task),
		models:        make(map[string]*residency),
		adapters:      make(map[string]*adapter),
		demand:        make(map[string]*modelDemand),
		endedByKind:   make(map[errkind.Kind]int64),
		drained:       make(chan struct{}),
	}
	server.queue = admission.New(admission.Options{
		Policy: admission.Policy(s.Admission.Policy), MaxQueue: s.Admission.MaxQueue,
		MaxQueueOrg: s.Admission.MaxQueueOrg, BatchConcurrency: s.Admission.BatchConcurrency,
	})
	ramp := admission.RampOptions{
		Cold: s.Admission.ColdConcurrency, Max: s.Admission.MaxConcurrency, Step: s.Admission.RampStep.D(),
		IdleAfter: rampIdleTime,
	}
	if server.isModel() {
		ramp.ConfirmAfter = rampCheckTime // a plain service reports no incarnation
	}
	server.ramp = admission.NewRamp(ramp)
	server.ledger = memoryledger.New(memoryledger.Options{
		TotalMB: s.Backend.MemoryMB, ChecksOrders: s.Backend.ChecksOrders,
		FirstFencingNumber: uint64(time.Now().UnixMicro()), OrderLifetime: orderLifetime,
		MaxWeightsFraction: placement.MaxWeightsFraction,
	})
	return server
}

// Run runs the server's background tasks until ctx ends or one of them fails.
func (s *Server) Run(ctx context.Context) error {
	group := background.NewGroup(ctx, s.log)
	group.Go("booking", s.bookings.Run)
	group.Go("watch", s.watchConfig)
	if s.isModel() {
		group.Go("residency", s.runResidency)
	}
	return group.Wait()
}

func (s *Server) isModel() bool { return s.opts.Settings.Backend.Kind == kindModel }

// Handle serves one stream: one Submit, or any number of status requests, probes and model orders. It is a
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
		reply := s.replyTo(ctx, e)
		if reply == nil {
			s.log.Warn("stream ended without a reply", "reason", "unexpected frame", "kind", errkind.ProtocolError.String())
			return
		}
		if err := stream.Send(reply); err != nil {
			s.log.Debug("reply not sent; stream ended", "error", err)
			return
		}
	}
}

func (s *Server) replyTo(ctx context.Context, e *wirepb.Envelope) *wirepb.Envelope {
	switch m := e.GetMessage().(type) {
	case *wirepb.Envelope_Probe:
		return &wirepb.Envelope{Message: &wirepb.Envelope_ProbeReply{ProbeReply: s.answerProbe(ctx, m.Probe)}}
	case *wirepb.Envelope_StatusRequest:
		status := wire.TrimStatus(s.Status(), m.StatusRequest)
		return &wirepb.Envelope{Message: &wirepb.Envelope_Status{Status: status}}
	case *wirepb.Envelope_ModelOrder:
		return &wirepb.Envelope{Message: &wirepb.Envelope_OrderReply{OrderReply: s.answerOrder(ctx, m.ModelOrder)}}
	}
	return nil
}

// watchConfig refuses queued requests and cancels running model requests that the configuration no longer allows.
func (s *Server) watchConfig(ctx context.Context) error {
	ticker := time.NewTicker(configCheckInterval)
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
			s.refuseQueued(item, err)
		default:
			if err := s.checkDataCentre(snapshot); err != nil {
				s.refuseQueued(item, err)
			}
		}
	}
	s.dispatch()
}

// refuseQueued removes a request from the queue and refuses it with err. A started request is left alone. The caller
// holds the lock.
func (s *Server) refuseQueued(item *admission.Item, err error) {
	t, ok := s.tasks[item]
	if !ok || t.started || !s.queue.Remove(item) {
		return
	}
	delete(s.tasks, item)
	t.refusal <- err
}
