package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/callers"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/fake/engine"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/sidecar"
	"github.com/pomelowheel/pomelowheel/internal/sidecars"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

const (
	requestWindow = 5 * time.Second
	requestKey    = "capacity-key"
	answerTokens  = 32
	warmUp        = 3 * time.Second
)

// fixedConfig is a configuration that is always fresh.
type fixedConfig struct{ snapshot *config.Snapshot }

// Snapshot returns the configuration.
func (c fixedConfig) Snapshot() *config.Snapshot { return c.snapshot }

// Confirm always succeeds.
func (c fixedConfig) Confirm(context.Context) error { return nil }

// path is a gateway, a sidecar and an engine stand-in in this process, with a configuration that never ages.
type path struct {
	engineURL, gatewayURL string
	client                *http.Client
	closers               []func()
}

func (p *path) close() {
	for _, f := range slices.Backward(p.closers) {
		f()
	}
}

func (p *path) serveHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	p.closers = append(p.closers, func() { _ = s.Close() })
	return "http://" + l.Addr().String(), nil
}

func requestConfig() (fixedConfig, error) {
	var entities []config.Entity
	for _, v := range []any{
		config.Organisation{Name: "org", Rate: 1e9, Burst: 1e9, Weight: 1},
		config.Profile{Name: "standard", Class: config.ClassInteractive, DeadlineMS: 30000, MaxOutputTokens: 512, KVTokens: 1024, RetryBudget: 0.2},
		config.DataCentre{Name: "walled-city", Region: "punjab-central"},
		config.Service{Name: "brush-assistant", Kind: config.ServiceModel, Profile: "standard"},
		config.Model{Name: "m", Service: "brush-assistant", MemoryMB: 1000, KVTokenKB: 1, MinCopies: 1},
		config.Key{ID: "key", Organisation: "org", Digest: config.Digest(requestKey)},
	} {
		e, err := config.NewEntity(v)
		if err != nil {
			return fixedConfig{}, err
		}
		e.Version = 1
		entities = append(entities, e)
	}
	s, err := new(config.Snapshot).Apply(1, entities)
	return fixedConfig{s}, err
}

func startPath(ctx context.Context) (*path, error) {
	p := &path{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var err error
	if p.engineURL, err = p.serveHTTP(engine.New(engine.Options{Models: []engine.Model{{Name: "m", MemoryMB: 1000}},
		MemoryTotalMB: 80000, KVTokenKB: 1})); err != nil {
		return nil, err
	}
	c, err := requestConfig()
	if err != nil {
		return nil, err
	}
	address, err := p.startSidecar(ctx, c)
	if err != nil {
		return nil, err
	}
	return p, p.startGateway(ctx, c, address)
}

func (p *path) startSidecar(ctx context.Context, c fixedConfig) (string, error) {
	s := &settings.Sidecar{
		Process: settings.Process{Host: "h", DataCentre: "walled-city"},
		Backend: settings.Backend{Service: "brush-assistant", Kind: "model", URL: p.engineURL, MemoryMB: 80000, AdapterSlots: 4,
			PollInterval: settings.Duration(500 * time.Millisecond)},
		Admission: settings.Admission{Policy: "fair", ColdConcurrency: 64, MaxConcurrency: 64,
			RampStep: settings.Duration(time.Second), MaxQueue: 256, MaxQueueOrg: 256, BatchConcurrency: 2},
		TableService: settings.TableService{Timeout: settings.Duration(time.Second)},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := sidecar.New(sidecar.Options{Settings: s, Config: c, Store: tablestore.NewMemory(), Log: quiet, Incarnation: "1",
		Address: l.Addr().String()})
	peers := transport.NewServer(l, nil, server.Handle, quiet)
	p.run(ctx, server.Run)
	go func() { _ = peers.Serve(ctx) }()
	p.closers = append(p.closers, func() { _ = peers.Close() })
	return l.Addr().String(), nil
}

func (p *path) run(ctx context.Context, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
	p.closers = append(p.closers, func() { cancel(); <-done })
}

func (p *path) startGateway(ctx context.Context, c fixedConfig, address string) error {
	pool := transport.NewPool(nil)
	p.closers = append(p.closers, pool.Close)
	client := sidecars.New(statusOptions(pool, []string{address}))
	p.run(ctx, client.Run)
	// The decision lines are written, to nowhere, because a gateway writes them too.
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := gateway.New(gateway.Options{DataCentre: "walled-city", Config: c, Limiter: gateway.NoLimit{}, Sidecars: client,
		Policy: route.PolicyLoad, ProbeCount: 2, ProbeTimeout: 50 * time.Millisecond, MaxAttempts: 3, Log: log})
	edge := callers.New(callers.Options{Gateway: g, DefaultService: "brush-assistant", MaxBody: 1 << 20, MaxHeader: 16 << 10,
		HeaderTimeout: time.Second, BodyTimeout: time.Second, MaxConcurrency: 256, Log: log})
	var err error
	p.gatewayURL, err = p.serveHTTP(edge.Handler())
	return err
}

func (p *path) call(ctx context.Context, url string, i int) error {
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":"request %d, tokens:%d"}]}`,
		answerTokens, i, answerTokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+requestKey)
	r.Header.Set("Content-Type", "application/json")
	reply, err := p.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", reply.StatusCode, text)
	}
	return nil
}

// load is the result of one run at a constant rate.
type load struct {
	latencies []float64 // ms, sorted
	processor float64   // s over the run
	sent      int
}

func (p *path) load(ctx context.Context, url string, rate int) (load, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var result load
	var first error
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	cpu := processorTime()
	for end := time.Now().Add(requestWindow); time.Now().Before(end) && ctx.Err() == nil; {
		<-ticker.C
		result.sent++
		i := result.sent
		wg.Go(func() {
			start := time.Now()
			err := p.call(ctx, url, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				first = err
			}
			result.latencies = append(result.latencies, float64(time.Since(start).Microseconds())/1000)
		})
	}
	wg.Wait()
	result.processor = (processorTime() - cpu).Seconds()
	slices.Sort(result.latencies)
	return result, first
}

func (l load) quantile(q float64) float64 { return l.latencies[int(q*float64(len(l.latencies)-1))] }

func measureRequests(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "requests", Note: fmt.Sprintf("Whole chat calls of %d tokens at a constant rate for %s, first straight to the "+
		"engine stand-in, then through gateway and sidecar, all in one process without TLS. The difference of processor time is gateway "+
		"and sidecar together, less what they use idle.", answerTokens, requestWindow),
		Columns: []string{"requests/s", "idle processor %", "ms processor per request added", "direct p50 ms", "direct p99 ms",
			"added p50 ms", "added p99 ms", "p50 ratio", "p99 ratio"}}
	p, err := startPath(ctx)
	if err != nil {
		return nil, err
	}
	defer p.close()
	if err := wait(ctx, warmUp); err != nil {
		return nil, err
	}
	cpu := processorTime()
	if err := wait(ctx, requestWindow); err != nil {
		return nil, err
	}
	idle := (processorTime() - cpu).Seconds()
	for _, rate := range []int{50, 100, 200} {
		direct, err := p.load(ctx, p.engineURL, rate)
		if err != nil {
			return nil, fmt.Errorf("direct: %w", err)
		}
		through, err := p.load(ctx, p.gatewayURL, rate)
		if err != nil {
			return nil, fmt.Errorf("through the gateway: %w", err)
		}
		d50, d99, t50, t99 := direct.quantile(0.5), direct.quantile(0.99), through.quantile(0.5), through.quantile(0.99)
		added := through.processor/float64(through.sent) - direct.processor/float64(direct.sent)
		t.add(rate, 100*idle/requestWindow.Seconds(), 1000*added, d50, d99, t50-d50, t99-d99, t50/d50, t99/d99)
	}
	return t, nil
}
