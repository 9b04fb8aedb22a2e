package callers_test

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

	"github.com/pomelowheel/pomelowheel/internal/callers"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/sidecars"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const bodyTimeout = 2 * time.Second

const testKey = "pk-lantern-0123456789abcdef"

// talk is one conversation as the fake sidecar sees it.
type talk struct {
	*transport.Stream
	submit *wirepb.Submit
	next   uint64
}

func (t *talk) chunk(text string, tokens int64) {
	t.next++
	t.send(&wirepb.Chunk{RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Sequence: t.next, Text: text, Tokens: tokens,
		HttpStatus: 200, Data: []byte(text)})
}

func (t *talk) send(c *wirepb.Chunk) {
	_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Chunk{Chunk: c}})
}

func (t *talk) refuse(k errkind.Kind) {
	_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Refused{Refused: &wirepb.Refused{
		RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Kind: int32(k), Detail: "as scripted"}}})
}

func (t *talk) accept() {
	_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Accepted{Accepted: &wirepb.Accepted{
		RequestId: t.submit.RequestId, Attempt: t.submit.Attempt}}})
}

func (t *talk) end(k errkind.Kind) { t.endWith(k, 5) }

func (t *talk) endWith(k errkind.Kind, promptTokens int64) {
	_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_End{End: &wirepb.End{
		RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Sequence: t.next + 1, Kind: int32(k),
		FinishReason: "stop", PromptTokens: promptTokens}}})
}

// world is a gateway with fake sidecars that follow one script.
type world struct {
	client   *sidecars.Client
	gateway  *gateway.Gateway
	edge     *httptest.Server
	server   *callers.Server
	limiter  *countingLimiter
	closers  []func()
	log      *lockedBuffer
	attempts atomic.Int64

	mu      sync.Mutex
	submits []*wirepb.Submit
	snap    atomic.Pointer[config.Snapshot]
}

func (w *world) Snapshot() *config.Snapshot    { return w.snap.Load() }
func (w *world) Confirm(context.Context) error { return nil }

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
	refuseFirst        int64 // refuse only this many calls; all of them if zero
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

var usual = config.Profile{Name: "dawn", DeadlineMS: 20000, MaxOutputTokens: 64, RetryBudget: 1}

// newWorld starts a gateway with sidecars; script runs for each Submit.
func newWorld(profile config.Profile, maxAttempts, replicas int, script func(t *talk)) *world {
	w := &world{limiter: new(countingLimiter), log: new(lockedBuffer)}
	w.snap.Store(snapshot(profile))
	log := slog.New(slog.NewTextHandler(w.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	pool := transport.NewPool(nil)
	w.client = sidecars.New(sidecars.Options{Pool: pool, Policy: route.PolicyLoad, StatusInterval: time.Hour,
		StatusMaxAge: time.Hour, Log: log})
	for range replicas {
		for _, service := range []string{"brush-assistant", "lantern-ledger", "notices"} {
			w.addSidecar(service, script)
		}
	}
	w.gateway = gateway.New(gateway.Options{DataCentre: "gulberg", Config: w, Limiter: w.limiter, Sidecars: w.client,
		Policy: route.PolicyLoad, MaxAttempts: maxAttempts, Log: log})
	w.server = callers.New(callers.Options{Gateway: w.gateway, DefaultService: "brush-assistant", MaxBody: 4096,
		MaxHeader: 4096, BodyTimeout: bodyTimeout, MaxConcurrency: 8, Log: log})
	w.edge = httptest.NewServer(w.server.Handler())
	w.closers = append(w.closers, pool.Close)
	return w
}

// addSidecar starts a fake sidecar of data centre gulberg and returns its address.
func (w *world) addSidecar(service string, script func(t *talk)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
		e, err := s.Recv()
		if err != nil || e.GetSubmit() == nil {
			return
		}
		w.attempts.Add(1)
		w.mu.Lock()
		w.submits = append(w.submits, proto.CloneOf(e.GetSubmit()))
		w.mu.Unlock()
		script(&talk{Stream: s, submit: e.GetSubmit()})
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	status := &wirepb.Status{Identity: &wirepb.Identity{DataCentre: "gulberg"}, Service: service, Kind: "plain", Ready: true, Limit: 16}
	if service == "brush-assistant" {
		status.Kind = "model"
		status.Resident = []string{"colour-7b"}
	}
	w.client.Update(listener.Addr().String(), status, time.Now())
	return listener.Addr().String()
}

func (w *world) close() {
	w.edge.Close()
	for _, c := range w.closers {
		c()
	}
}

func (w *world) sent() []*wirepb.Submit {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*wirepb.Submit(nil), w.submits...)
}

func (w *world) do(ctx context.Context, method, path, body string, headers ...string) (*http.Response, string) {
	r, err := http.NewRequestWithContext(ctx, method, w.edge.URL+path, strings.NewReader(body))
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
		return response, string(text) + " [cut]"
	}
	return response, string(text)
}
