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

// kinds of requests.
const (
	kindBook  = "book"  // runs once
	kindLook  = "look"  // idempotent
	kindChat  = "chat"  // resumable stream
	kindBrief = "brief" // stream that may not be resumed
)

var kinds = []string{kindBook, kindLook, kindChat, kindBrief}

// sent is one request and what the caller saw.
type sent struct {
	id      string
	kind    string
	org     string
	tokens  int
	gateway int
	at      time.Time
	took    time.Duration
	status  int // 0 if there was no answer
	whole   bool
	wrong   string // why a success is not the server's whole answer
}

// notRun reports whether the answer promises that the request did not and will not run.
func (s *sent) notRun() bool {
	return s.status == http.StatusTooManyRequests || s.status == http.StatusServiceUnavailable
}

// callers send requests over kept connections and record the answers.
type callers struct {
	site   *site
	client *http.Client

	mu    sync.Mutex
	sent  []*sent
	wg    sync.WaitGroup
	count int
}

func newCallers(s *site) *callers {
	return &callers{site: s, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, DisableCompression: true, IdleConnTimeout: 20 * time.Second,
	}}}
}

// run sends requests at the site's rate until ctx ends, and waits for their answers.
func (c *callers) run(ctx context.Context, rng *rand.Rand) {
	pause := time.Duration(float64(time.Second) / c.site.opts.Rate)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(pause)))
		c.mu.Lock()
		c.count++
		r := &sent{
			id: fmt.Sprintf("%x-%d", c.site.opts.Seed, c.count), kind: kinds[rng.IntN(len(kinds))], org: "free",
			gateway: rng.IntN(len(c.site.gateways)),
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

// send sends one request, without a repeat of its own.
func (c *callers) send(r *sent, key, model string) {
	const wait = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	method := http.MethodPost
	if r.kind == kindLook {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/%s", c.site.gatewayAddress(r.gateway), r.kind, r.id), nil)
	if err != nil {
		r.wrong = err.Error()
		return
	}
	if method == http.MethodPost {
		req.Body, req.ContentLength, req.GetBody = io.NopCloser(strings.NewReader("body of "+r.id)), int64(len("body of "+r.id)), nil
	}
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	events := 0
	if model != "" {
		events = streamEvents
		req.Header.Set("X-Model", model)
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", r.tokens-10, 10))
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("aa:%d,%s:5", r.tokens-15, r.id[len(r.id)-1:]))
	}
	r.at = time.Now()
	status, whole, wrong := c.exchange(req, r.id, events)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.status, r.whole, r.wrong, r.took = status, whole, wrong, time.Since(r.at)
}

// exchange returns the status, whether the answer looked whole, and why a success is wrong.
func (c *callers) exchange(req *http.Request, id string, events int) (status int, whole bool, wrong string) {
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, false, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	whole = err == nil
	want := fake.Body(id, 0, events)
	switch {
	case resp.StatusCode != http.StatusOK:
		if resp.Header.Get("X-Response-Signature") != "" && resp.StatusCode != http.StatusInternalServerError {
			wrong = fmt.Sprintf("status %d with a server's signature", resp.StatusCode)
		}
	case resp.Header.Get("X-Response-Signature") != fake.Signature(want):
		wrong = "a success without the signature of its own answer"
	case whole && string(body) != want:
		wrong = fmt.Sprintf("a whole answer of %d bytes, expected %d", len(body), len(want))
	case !whole && !strings.HasPrefix(want, string(body)):
		wrong = "a part of an answer that is not the beginning of its own"
	}
	return resp.StatusCode, whole, wrong
}

// all returns what was sent.
func (c *callers) all() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent{}, c.sent...)
}

// probe asks a gateway for a route that was added with some version, or with a key, and returns the status, 0 if there
// was no answer.
func (c *callers) probe(gateway int, path, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.site.gatewayAddress(gateway)+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "soak.example"
	c.mu.Lock()
	c.count++
	req.Header.Set("X-Request-Id", fmt.Sprintf("probe-%x-%d", c.site.opts.Seed, c.count))
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
