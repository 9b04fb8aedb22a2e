package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// Kinds of requests. Each kind is also the first path segment of its route.
const (
	kindBook  = "book"  // not idempotent, runs at most once
	kindLook  = "look"  // idempotent, may be repeated
	kindChat  = "chat"  // resumable stream
	kindBrief = "brief" // stream that can't be resumed or repeated
)

var requestKinds = []string{kindBook, kindLook, kindChat, kindBrief}

// sent is one request and the answer that the caller received.
type sent struct {
	id       string
	kind     string
	org      string
	tokens   int
	gateway  int
	at       time.Time
	took     time.Duration
	status   int // 0 if there was no answer
	complete bool
	mismatch string // how the answer differs from what the server must send, or empty
}

// notRun reports whether the status guarantees that the request did not and will not run.
func (s *sent) notRun() bool {
	return s.status == http.StatusTooManyRequests || s.status == http.StatusServiceUnavailable
}

// callers sends requests over persistent connections and records the answers.
type callers struct {
	system *system
	client *http.Client

	mu     sync.Mutex
	sent   []*sent
	wg     sync.WaitGroup
	lastID int
}

func newCallers(s *system) *callers {
	return &callers{system: s, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, DisableCompression: true, IdleConnTimeout: 20 * time.Second,
	}}}
}

// run sends requests at the average rate of Options.Rate until ctx ends, and waits for their answers.
func (c *callers) run(ctx context.Context, rng *rand.Rand) {
	pause := time.Duration(float64(time.Second) / c.system.opts.Rate)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(pause)))
		c.mu.Lock()
		c.lastID++
		r := &sent{
			id: fmt.Sprintf("%x-%d", c.system.opts.Seed, c.lastID), kind: requestKinds[rng.IntN(len(requestKinds))], org: "free",
			gateway: rng.IntN(len(c.system.gateways)),
		}
		c.sent = append(c.sent, r)
		c.mu.Unlock()
		key, model := freeKey, ""
		if rng.IntN(2) == 0 {
			r.org, key = "watched", watchedKey
			r.tokens = 50
		}
		if r.kind == kindChat || r.kind == kindBrief {
			model = modelName(rng.IntN(modelCount))
			if rng.IntN(3) == 0 {
				model += fmt.Sprintf("/a%d", rng.IntN(adapterCount))
			}
			r.tokens = 20 + rng.IntN(400)
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(r, key, model)
		}()
	}
	c.wg.Wait()
}

// send sends one request without retrying it, and records the answer.
func (c *callers) send(r *sent, key, model string) {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	method := http.MethodPost
	if r.kind == kindLook {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method,
		fmt.Sprintf("http://%s/%s/%s", c.system.gatewayAddress(r.gateway), r.kind, r.id), nil)
	if err != nil {
		r.mismatch = err.Error()
		return
	}
	if method == http.MethodPost {
		req.Body, req.ContentLength, req.GetBody = io.NopCloser(strings.NewReader("body of "+r.id)), int64(len("body of "+r.id)), nil
	}
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	events := 0
	if model != "" {
		events = streamEvents
		req.Header.Set("X-Model", model)
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", r.tokens-10, 10))
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("aa:%d,%s:5", r.tokens-15, r.id[len(r.id)-1:]))
	}
	r.at = time.Now()
	status, complete, mismatch := c.roundTrip(req, r.id, events)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.status, r.complete, r.mismatch, r.took = status, complete, mismatch, time.Since(r.at)
}

// roundTrip sends req and reads the answer to request id, which on success is a body of the given number of events. It
// returns the status, or 0 if there was no answer, whether the body arrived without a read error, and how the answer
// differs from what the server must send.
func (c *callers) roundTrip(req *http.Request, id string, events int) (status int, complete bool, mismatch string) {
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, false, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	complete = err == nil
	want := fake.Body(id, 0, events)
	switch {
	case resp.StatusCode != http.StatusOK:
		if resp.Header.Get("X-Response-Signature") != "" && resp.StatusCode != http.StatusInternalServerError {
			mismatch = fmt.Sprintf("status %d carries a server's response signature", resp.StatusCode)
		}
	case resp.Header.Get("X-Response-Signature") != fake.Signature(want):
		mismatch = "successful answer without the signature of the expected body"
	case complete && string(body) != want:
		mismatch = fmt.Sprintf("complete answer has %d bytes, expected %d", len(body), len(want))
	case !complete && !strings.HasPrefix(want, string(body)):
		mismatch = "truncated answer is not a prefix of the expected body"
	}
	return resp.StatusCode, complete, mismatch
}

// allRequests returns the requests sent so far.
func (c *callers) allRequests() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent{}, c.sent...)
}

// probe sends a GET request with the given path and API key to a gateway. It returns the status, or 0 if there was no
// answer.
func (c *callers) probe(gateway int, path, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.system.gatewayAddress(gateway)+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "soak.example"
	c.mu.Lock()
	c.lastID++
	req.Header.Set("X-Request-Id", fmt.Sprintf("probe-%x-%d", c.system.opts.Seed, c.lastID))
	c.mu.Unlock()
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be reused
	return resp.StatusCode
}
