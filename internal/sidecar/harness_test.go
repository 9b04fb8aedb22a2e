package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(5 * time.Second)
	RunSpecs(t, "sidecar")
}

// mutableConfig is a Config whose entities and freshness a spec can change.
type mutableConfig struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	stale    bool
}

func (c *mutableConfig) Snapshot() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

func (c *mutableConfig) Confirm(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stale {
		return errors.New("neither a peer nor the table service answers")
	}
	return nil
}

func (c *mutableConfig) set(values ...any) {
	GinkgoHelper()
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.snapshot.Version() + 1
	var entities []config.Entity
	for _, v := range values {
		e, err := config.NewEntity(v)
		Expect(err).NotTo(HaveOccurred())
		e.Version = version
		entities = append(entities, e)
	}
	next, err := c.snapshot.Apply(version, entities)
	Expect(err).NotTo(HaveOccurred())
	c.snapshot = next
}

func (c *mutableConfig) makeStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = true
}

func (c *mutableConfig) makeEmpty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = new(config.Snapshot)
}

// fakeStore is a table service in memory that can be made unavailable.
type fakeStore struct {
	mu          sync.Mutex
	rows        map[tablestore.Key]tablestore.Row
	unavailable bool
}

func (s *fakeStore) Get(_ context.Context, key tablestore.Key) (tablestore.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	switch {
	case s.unavailable:
		return row, tablestore.ErrUnavailable
	case !ok:
		return row, fmt.Errorf("%v: %w", key, tablestore.ErrNotFound)
	}
	return row, nil
}

func (s *fakeStore) Query(context.Context, string, string, int) ([]tablestore.Row, error) {
	return nil, nil
}

func (s *fakeStore) Write(_ context.Context, _ string, ops ...tablestore.Op) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	op := ops[0]
	switch {
	case s.unavailable:
		return tablestore.ErrUnavailable
	case s.rows[op.Key].Version != op.IfVersion:
		return &tablestore.PreconditionError{Keys: []tablestore.Key{op.Key}}
	case op.Delete:
		delete(s.rows, op.Key)
	default:
		s.rows[op.Key] = tablestore.Row{Key: op.Key, Version: op.IfVersion + 1, Value: op.Value}
	}
	return nil
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// harness is a running sidecar with its configuration, its table service and a pool to open streams to it.
type harness struct {
	config *mutableConfig
	store  *fakeStore
	server *Server
	pool   *transport.Pool
	addr   string
}

func newHarness(kind, service, url string) *harness {
	GinkgoHelper()
	h := &harness{config: &mutableConfig{snapshot: new(config.Snapshot)},
		store: &fakeStore{rows: map[tablestore.Key]tablestore.Row{}}}
	h.config.set(
		config.Organisation{Name: "org"}, config.Organisation{Name: "other"},
		config.Key{ID: "key", Organisation: "org", Digest: "d"},
		config.Profile{Name: "clerk", DeadlineMS: 60_000, KVTokens: 1024},
		config.Profile{Name: "crew", DeadlineMS: 60_000},
		config.DataCentre{Name: "dc"},
		config.Service{Name: service, Kind: config.ServiceKind(kind), Profile: "clerk"},
		config.Model{Name: "m", Service: service, MemoryMB: 400, KVTokenKB: 64, MinCopies: 1},
		config.Model{Name: "m-a", Service: service, Base: "m", MemoryMB: 20},
		config.Model{Name: "m-b", Service: service, Base: "m", MemoryMB: 520},
		config.Model{Name: "m-c", Service: service, Base: "m", MemoryMB: 590},
		config.Model{Name: "big", Service: service, MemoryMB: 900},
	)
	s := &settings.Sidecar{
		Process: settings.Process{Host: "h", DataCentre: "dc"},
		Backend: settings.Backend{Service: service, Kind: kind, URL: url, MemoryMB: 1000, ChecksOrders: true,
			AdapterSlots: 4, PollInterval: settings.Duration(10 * time.Millisecond)},
		TableService: settings.TableService{Timeout: settings.Duration(time.Second)},
		Admission: settings.Admission{Policy: "fair", ColdConcurrency: 1, MaxConcurrency: 4,
			RampStep: settings.Duration(time.Hour), MaxQueue: 2, BatchConcurrency: 1},
		Shutdown: settings.Shutdown{Grace: settings.Duration(time.Minute)},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h.addr = listener.Addr().String()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	h.server = New(Options{Settings: s, Config: h.config, Store: h.store, Log: log, Incarnation: "i", Address: h.addr})
	h.pool = transport.NewPool(nil)
	ctx, cancel := context.WithCancel(context.Background())
	peers := transport.NewServer(listener, nil, h.server.Handle, log)
	var wg sync.WaitGroup
	wg.Go(func() { _ = peers.Serve(ctx) })
	wg.Go(func() { _ = h.server.Run(ctx) })
	DeferCleanup(func() {
		h.pool.Close()
		cancel()
		_ = peers.Close()
		wg.Wait()
	})
	return h
}

// conversationResult is what a gateway has received by the end of a conversation.
type conversationResult struct {
	kind     errkind.Kind
	refused  bool
	replayed bool
	status   int32
	body     string
	tokens   int64
}

// conversation is the stream of one Submit, from the gateway's side.
type conversation struct {
	stream *transport.Stream
	id     string
	chunks uint64 // chunks read before finish
}

func (h *harness) open(first *wirepb.Envelope) *transport.Stream {
	GinkgoHelper()
	stream, err := h.pool.Open(context.Background(), h.addr)
	Expect(err).NotTo(HaveOccurred())
	Expect(stream.Send(first)).To(Succeed())
	return stream
}

func (h *harness) start(r *wirepb.Submit) *conversation {
	GinkgoHelper()
	return &conversation{stream: h.open(&wirepb.Envelope{Message: &wirepb.Envelope_Submit{Submit: r}}), id: r.GetRequestId()}
}

// firstChunk reads up to the first chunk of the answer.
func (c *conversation) firstChunk() {
	GinkgoHelper()
	for c.chunks == 0 {
		frame, err := c.stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(frame.GetRefused()).To(BeNil())
		if frame.GetChunk() != nil {
			c.chunks++
		}
	}
}

// finish reads up to the last frame and checks request IDs and sequence numbers.
func (c *conversation) finish() conversationResult {
	GinkgoHelper()
	defer func() { _ = c.stream.Close() }()
	var a conversationResult
	sequence := c.chunks
	for {
		frame, err := c.stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		switch m := frame.GetMessage().(type) {
		case *wirepb.Envelope_Chunk:
			sequence++
			Expect(m.Chunk.GetSequence()).To(Equal(sequence))
			Expect(m.Chunk.GetRequestId()).To(Equal(c.id))
			a.status = max(a.status, m.Chunk.GetHttpStatus())
			a.body += string(m.Chunk.GetData()) + m.Chunk.GetText()
		case *wirepb.Envelope_Refused:
			a.kind, a.refused = errkind.Kind(m.Refused.GetKind()), true
			return a
		case *wirepb.Envelope_End:
			Expect(m.End.GetSequence()).To(Equal(sequence + 1))
			a.kind, a.replayed, a.tokens = errkind.Kind(m.End.GetKind()), m.End.GetReplayed(), m.End.GetOutputTokens()
			return a
		}
	}
}

func (h *harness) do(r *wirepb.Submit) conversationResult {
	GinkgoHelper()
	return h.start(r).finish()
}
