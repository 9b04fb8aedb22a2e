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

	"github.com/pomelowheel/pomelowheel/internal/callerapi"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/fake/engine"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/sidecar"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

const (
	requestWindow = 5 * time.Second
	requestKey    = "capacity-key"
	answerTokens  = 32
	warmUpTime    = 3 * time.Second
)

// fixedConfig is a configuration that is always fresh.
type fixedConfig struct{ snapshot *config.Snapshot }

// Snapshot implements gateway.Config and sidecar.Config.
func (c fixedConfig) Snapshot() *config.Snapshot { return c.snapshot }

// Confirm implements gateway.Config and sidecar.Config. It always succeeds.
func (c fixedConfig) Confirm(context.Context) error { return nil }

// requestStack is a gateway, a sidecar and a simulated engine in this process, with a configuration that never becomes
// stale.
type requestStack struct {
	engineURL, gatewayURL string
	client                *http.Client
	closers               []func()
}

func (p *requestStack) close() {
	for _, f := range slices.Backward(p.closers) {
		f()
	}
}

func (p *requestStack) serveHTTP(h http.Handler) (string, error) {
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
		config.Profile{Name: "standard", Class: config.ClassInteractive, DeadlineMS: 30000, MaxOutputTokens: 512,
			KVTokens: 1024, RetryBudget: 0.2},
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

func startRequestStack(ctx context.Context) (*requestStack, error) {
	p := &requestStack{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
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

func (p *requestStack) startSidecar(ctx context.Context, c fixedConfig) (string, error) {
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
	server := sidecar.New(sidecar.Options{Settings: s, Config: c, Store: tablestore.NewMemory(), Log: discardLog, Incarnation: "1",
		Address: l.Addr().String()})
	peers := transport.NewServer(l, nil, server.Handle, discardLog)
	p.run(ctx, server.Run)
	go func() { _ = peers.Serve(ctx) }()
	p.closers = append(p.closers, func() { _ = peers.Close() })
	return l.Addr().String(), nil
}

func (p *requestStack) run(ctx context.Context, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
	p.closers = append(p.closers, func() { cancel(); <-done })
}

func (p *requestStack) startGateway(ctx context.Context, c fixedConfig, address string) error {
	pool := transport.NewPool(nil)
	p.closers = append(p.closers, pool.Close)
	client := sidecarclient.New(statusOptions(pool, []string{address}))
	p.run(ctx, client.Run)
	// The log is formatted and discarded, because the cost of a gateway's decision log lines is part of the measurement.
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := gateway.New(gateway.Options{DataCentre: "walled-city", Config: c, Limiter: gateway.NoLimit{}, Sidecars: client,
		Policy: route.PolicyLoad, ProbeCount: 2, ProbeTimeout: 50 * time.Millisecond, MaxAttempts: 3, Log: log})
	callerServer := callerapi.New(callerapi.Options{Gateway: g, DefaultService: "brush-assistant", MaxBody: 1 << 20,
		MaxHeader:     16 << 10,
		HeaderTimeout: time.Second, BodyTimeout: time.Second, MaxConcurrency: 256, Log: log})
	var err error
	p.gatewayURL, err = p.serveHTTP(callerServer.Handler())
	return err
}

func (p *requestStack) call(ctx context.Context, url string, i int) error {
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

// load is the result of sending requests at a constant rate for requestWindow.
type load struct {
	latencies []float64 // ms, ascending
	processor float64   // processor time in s over the run
	sent      int
}

// load sends requests to url at the given rate per second. It returns the last error of a request, if any.
func (p *requestStack) load(ctx context.Context, url string, rate int) (load, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var result load
	var lastErr error
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
				lastErr = err
			}
			result.latencies = append(result.latencies, float64(time.Since(start).Microseconds())/1000)
		})
	}
	wg.Wait()
	result.processor = (processorTime() - cpu).Seconds()
	slices.Sort(result.latencies)
	return result, lastErr
}

func (l load) quantile(q float64) float64 { return l.latencies[int(q*float64(len(l.latencies)-1))] }

func measureRequests(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "requests",
		Note: fmt.Sprintf("Non-streaming chat requests of %d tokens at a constant rate for %s, first directly to "+
			"the simulated engine, then through gateway and sidecar, all in one process without TLS. The difference in processor time "+
			"is that of gateway and sidecar together, without what they use when idle.", answerTokens, requestWindow),
		Columns: []string{"requests/s", "idle processor %", "ms processor per request added", "direct p50 ms", "direct p99 ms",
			"added p50 ms", "added p99 ms", "p50 ratio", "p99 ratio"}}
	p, err := startRequestStack(ctx)
	if err != nil {
		return nil, err
	}
	defer p.close()
	if err := wait(ctx, warmUpTime); err != nil {
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
			return nil, fmt.Errorf("direct requests: %w", err)
		}
		viaGateway, err := p.load(ctx, p.gatewayURL, rate)
		if err != nil {
			return nil, fmt.Errorf("requests through the gateway: %w", err)
		}
		d50, d99, t50, t99 := direct.quantile(0.5), direct.quantile(0.99), viaGateway.quantile(0.5), viaGateway.quantile(0.99)
		added := viaGateway.processor/float64(viaGateway.sent) - direct.processor/float64(direct.sent)
		t.add(rate, 100*idle/requestWindow.Seconds(), 1000*added, d50, d99, t50-d50, t99-d99, t50/d50, t99/d99)
	}
	return t, nil
}
