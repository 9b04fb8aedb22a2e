package callerapi_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/callerapi"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const bodyTimeout = 2 * time.Second

const testKey = "pk-lantern-0123456789abcdef"

// conversation is one attempt of a request at a fake sidecar.
type conversation struct {
	*transport.Stream
	submit   *wirepb.Submit
	sequence uint64
}

func (t *conversation) chunk(text string, tokens int64) {
	t.sequence++
	t.send(&wirepb.Chunk{RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Sequence: t.sequence, Text: text, Tokens: tokens,
		HttpStatus: 200, Data: []byte(text)})
}

func (t *conversation) send(c *wirepb.Chunk) {
	_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Chunk{Chunk: c}})
}

func (t *conversation) refuse(k errkind.Kind) {
	_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Refused{Refused: &wirepb.Refused{
		RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Kind: int32(k), Detail: "as scripted"}}})
}

func (t *conversation) accept() {
	_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Accepted{Accepted: &wirepb.Accepted{
		RequestId: t.submit.RequestId, Attempt: t.submit.Attempt}}})
}

func (t *conversation) end(k errkind.Kind) { t.endWith(k, 5) }

func (t *conversation) endWith(k errkind.Kind, promptTokens int64) {
	_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_End{End: &wirepb.End{
		RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Sequence: t.sequence + 1, Kind: int32(k),
		FinishReason: "stop", PromptTokens: promptTokens}}})
}

// fixture is a gateway with its HTTP server and fake sidecars that run the same script.
type fixture struct {
	client     *sidecarclient.Client
	gateway    *gateway.Gateway
	httpServer *httptest.Server
	server     *callerapi.Server
	limiter    *countingLimiter
	closers    []func()
	log        *lockedBuffer
	attempts   atomic.Int64

	mu      sync.Mutex
	submits []*wirepb.Submit
	snap    atomic.Pointer[config.Snapshot]
}

func (f *fixture) Snapshot() *config.Snapshot    { return f.snap.Load() }
func (f *fixture) Confirm(context.Context) error { return nil }

type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

type countingLimiter struct {
	reserved, refunded atomic.Int64
	refusal            error
	refuseFirst        int64 // number of calls to refuse; all if zero
	calls              atomic.Int64
}

func (l *countingLimiter) Reserve(_ context.Context, _ string, _ config.Organisation, n int64) (gateway.Reservation, error) {
	if calls := l.calls.Add(1); l.refusal != nil && (l.refuseFirst == 0 || calls <= l.refuseFirst) {
		return nil, l.refusal
	}
	l.reserved.Add(n)
	return l, nil
}

func (l *countingLimiter) Refund(n int64) { l.refunded.Add(n) }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func snapshot(profile config.Profile, extra ...any) *config.Snapshot {
	values := append([]any{
		config.Organisation{Name: "lantern", Rate: 1000, Burst: 100000}, profile,
		config.Service{Name: "brush-assistant", Kind: config.ServiceModel, Profile: profile.Name},
		config.Service{Name: "lantern-ledger", Kind: config.ServicePlain, Profile: profile.Name},
		config.Service{Name: "notices", Kind: config.ServicePlain, Profile: profile.Name, Open: true},
		config.Model{Name: "colour-7b", Service: "brush-assistant"},
		config.Key{ID: "k1", Organisation: "lantern", Digest: config.Digest(testKey)},
		config.Key{ID: "k2", Organisation: "lantern", Digest: config.Digest("withdrawn-key"), Withdrawn: true},
	}, extra...)
	var entities []config.Entity
	for _, v := range values {
		e, err := config.NewEntity(v)
		must(err)
		e.Version = 1
		if k, ok := v.(config.Key); ok && k.Withdrawn {
			e.Version = 2
		}
		entities = append(entities, e)
	}
	s, err := new(config.Snapshot).Apply(2, entities)
	must(err)
	return s
}

var defaultProfile = config.Profile{Name: "dawn", DeadlineMS: 20000, MaxOutputTokens: 64, RetryBudget: 1}

// newFixture starts a gateway with fake sidecars, which run script for each Submit.
func newFixture(profile config.Profile, maxAttempts, replicas int, script func(t *conversation)) *fixture {
	f := &fixture{limiter: new(countingLimiter), log: new(lockedBuffer)}
	f.snap.Store(snapshot(profile))
	log := slog.New(slog.NewTextHandler(f.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	pool := transport.NewPool(nil)
	f.client = sidecarclient.New(sidecarclient.Options{Pool: pool, Policy: route.PolicyLoad, StatusInterval: time.Hour,
		StatusMaxAge: time.Hour, Log: log})
	for range replicas {
		for _, service := range []string{"brush-assistant", "lantern-ledger", "notices"} {
			f.addSidecar(service, script)
		}
	}
	f.gateway = gateway.New(gateway.Options{DataCentre: "gulberg", Config: f, Limiter: f.limiter, Sidecars: f.client,
		Policy: route.PolicyLoad, MaxAttempts: maxAttempts, Log: log})
	f.server = callerapi.New(callerapi.Options{Gateway: f.gateway, DefaultService: "brush-assistant", MaxBody: 4096,
		MaxHeader: 4096, BodyTimeout: bodyTimeout, MaxConcurrency: 8, Log: log})
	f.httpServer = httptest.NewServer(f.server.Handler())
	f.closers = append(f.closers, pool.Close)
	return f
}

// addSidecar starts a fake sidecar in data centre gulberg and returns its address.
func (f *fixture) addSidecar(service string, script func(t *conversation)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
		e, err := s.Recv()
		if err != nil || e.GetSubmit() == nil {
			return
		}
		f.attempts.Add(1)
		f.mu.Lock()
		f.submits = append(f.submits, proto.CloneOf(e.GetSubmit()))
		f.mu.Unlock()
		script(&conversation{Stream: s, submit: e.GetSubmit()})
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	status := &wirepb.Status{Identity: &wirepb.Identity{DataCentre: "gulberg"}, Service: service, Kind: "plain",
		Ready: true, Limit: 16}
	if service == "brush-assistant" {
		status.Kind = "model"
		status.Resident = []string{"colour-7b"}
	}
	f.client.Update(listener.Addr().String(), status, time.Now())
	return listener.Addr().String()
}

func (f *fixture) close() {
	f.httpServer.Close()
	for _, c := range f.closers {
		c()
	}
}

func (f *fixture) submitted() []*wirepb.Submit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*wirepb.Submit(nil), f.submits...)
}

func (f *fixture) do(ctx context.Context, method, path, body string, headers ...string) (*http.Response, string) {
	r, err := http.NewRequestWithContext(ctx, method, f.httpServer.URL+path, strings.NewReader(body))
	must(err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			r.Header.Del(headers[i])
		}
	}
	response, err := http.DefaultClient.Do(r)
	must(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return response, string(text) + " [truncated]"
	}
	return response, string(text)
}
