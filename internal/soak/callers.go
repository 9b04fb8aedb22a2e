package soak

import (
	"bytes"
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

const (
	// callerTimeout is how long a caller waits for the end of an answer.
	callerTimeout = 3 * time.Second
	// maxIdleConnections is the number of idle connections that the callers keep to each gateway.
	maxIdleConnections = 16
)

// sent is one request and what its caller saw of the answer.
type sent struct {
	id            string
	kind          string
	org           string
	key           string
	model         string // with an adapter, or empty
	tokens        int
	gateway       int
	fresh         bool          // sent on a new connection even if an idle one is open
	pieceDelay    time.Duration // between the two halves of the body
	long          bool          // asks for a long answer and reads it slowly
	prompt        string        // X-Prompt-Prefix
	crashing      bool          // the prompt holds the part that crashes engines
	at            time.Time
	ended         time.Time
	reused        bool // sent on a connection on which another request had been answered
	answer        answer
	begun         bool   // a part of the body of a successful answer arrived
	promptRefused bool   // refused because of the prompt
	leaving       bool   // the answer says that its server is leaving
	mismatch      string // how the answer differs from what the server must send, or empty
}

// notRun reports whether the status guarantees that the request did not and will not run.
func (q *sent) notRun() bool {
	return q.answer.status == http.StatusTooManyRequests || q.answer.status == http.StatusServiceUnavailable
}

// succeeded reports whether the caller got the whole answer of a server that served the request.
func (q *sent) succeeded() bool { return q.answer.status == http.StatusOK && q.answer.complete }

// body returns the body of the request.
func (q *sent) body() string {
	if q.kind == kindLook {
		return ""
	}
	return "body of " + q.id
}

// wantedBody returns the body of a successful answer.
func (q *sent) wantedBody() string {
	switch {
	case q.long:
		return fake.LongBody(q.id, longAnswerBytes)
	case q.model != "":
		return fake.Body(q.id, 0, streamEvents)
	}
	return fake.Body(q.id, 0, 0)
}

// callers sends requests, most of them over kept connections, and records the answers.
type callers struct {
	system *system
	client *http.Client // for probes

	mu     sync.Mutex
	sent   []*sent
	idle   [][]*connection // by gateway
	wg     sync.WaitGroup
	lastID int
}

func newCallers(s *system) *callers {
	return &callers{
		system: s, idle: make([][]*connection, len(s.gateways)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true, IdleConnTimeout: 20 * time.Second,
		}},
	}
}

// run sends requests at the average rate of Options.Rate until ctx ends, and waits for the answers to all requests.
func (c *callers) run(ctx context.Context, rng *rand.Rand) {
	c.sendAll(ctx, rng, c.system.opts.Rate, func() *sent { return c.newRequest(rng) })
	c.wg.Wait()
}

// sendAll sends requests at an average rate per second until ctx ends.
func (c *callers) sendAll(ctx context.Context, rng *rand.Rand, rate float64, next func() *sent) {
	pause := time.Duration(float64(time.Second) / rate)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(pause)))
		q := next()
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(q)
		}()
	}
}

// newRequest draws and records a request.
func (c *callers) newRequest(rng *rand.Rand) *sent {
	q := &sent{
		kind: requestKinds[rng.IntN(len(requestKinds))], org: "free", key: freeKey, gateway: rng.IntN(len(c.system.gateways)),
		fresh: rng.IntN(4) == 0,
	}
	switch rng.IntN(5) {
	case 0, 1:
		q.org, q.key, q.tokens = "watched", watchedKey, 50
	case 2:
		q.key = spareKey(rng.IntN(spareKeys))
	}
	switch {
	case q.kind == kindChat || q.kind == kindBrief:
		q.model = modelName(rng.IntN(modelCount))
		if rng.IntN(3) == 0 {
			q.model += fmt.Sprintf("/a%d", rng.IntN(adapterCount))
		}
		q.tokens = 20 + rng.IntN(400)
	case rng.IntN(20) == 0:
		q.long = true
	}
	if q.kind != kindLook && rng.IntN(4) == 0 {
		q.pieceDelay = time.Duration(1+rng.IntN(200)) * time.Millisecond
	}
	c.record(q, rng)
	return q
}

// record gives a request an ID and a prompt, and records it.
func (c *callers) record(q *sent, rng *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	q.id = fmt.Sprintf("%x-%d", c.system.opts.Seed, c.lastID)
	if q.model != "" {
		q.prompt = fmt.Sprintf("aa:%d,%s:5", q.tokens-15, q.id[len(q.id)-1:])
		if c.system.opts.Plan == PlanCrashingPrompt {
			q.prompt = sharedPrompt(q, rng)
		}
	}
	c.sent = append(c.sent, q)
}

// send sends a request without retrying it, and records the answer.
func (c *callers) send(q *sent) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	at := time.Now()
	req, err := c.httpRequest(ctx, q)
	var conn *connection
	if err == nil {
		conn, err = c.connect(ctx, q)
	}
	var a answer
	if err != nil {
		a.err = err
	} else {
		a = conn.exchange(req, q.body(), q.pieceDelay, q.long)
	}
	ended := time.Now()
	mismatch := q.compare(a)
	c.mu.Lock()
	defer c.mu.Unlock()
	q.at, q.ended, q.mismatch, q.reused = at, ended, mismatch, conn != nil && conn.reused
	q.promptRefused = bytes.Contains(a.body, []byte(`"prompt_refused"`))
	q.begun = a.status == http.StatusOK && len(a.body) > 0
	q.leaving = a.header.Get("Server-Leaving") != ""
	a.body = nil // compared above; the long ones would fill the memory
	q.answer = a
	c.release(conn, q.gateway, a.reusable && !q.long)
}

func (c *callers) httpRequest(ctx context.Context, q *sent) (*http.Request, error) {
	method := http.MethodPost
	if q.kind == kindLook {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method,
		fmt.Sprintf("http://%s/%s/%s", c.system.gatewayAddress(q.gateway), q.kind, q.id), nil)
	if err != nil {
		return nil, err
	}
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+q.key)
	if q.model != "" {
		req.Header.Set("X-Model", q.model)
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", q.tokens-10, 10))
		req.Header.Set("X-Prompt-Prefix", q.prompt)
	}
	if q.long {
		req.Header.Set(fake.AnswerBytesHeader, fmt.Sprint(longAnswerBytes))
	}
	return req, nil
}

// connect returns an open idle connection to the request's gateway, or a new one.
func (c *callers) connect(ctx context.Context, q *sent) (*connection, error) {
	for !q.fresh {
		c.mu.Lock()
		list := c.idle[q.gateway]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		conn := list[len(list)-1]
		c.idle[q.gateway] = list[:len(list)-1]
		c.mu.Unlock()
		if conn.isOpen() {
			return conn, nil
		}
		conn.close()
	}
	return dial(ctx, c.system.gatewayAddress(q.gateway))
}

// release keeps a connection for later requests or closes it. The caller holds c.mu.
func (c *callers) release(conn *connection, gateway int, reusable bool) {
	switch {
	case conn == nil:
	case reusable && len(c.idle[gateway]) < maxIdleConnections:
		conn.reused = true
		c.idle[gateway] = append(c.idle[gateway], conn)
	default:
		conn.close()
	}
}

// compare returns how an answer differs from what the server must send, or an empty text.
func (q *sent) compare(a answer) string {
	signature, body := a.header.Get("X-Response-Signature"), string(a.body)
	want := q.wantedBody()
	switch {
	case a.status == 0:
	case a.status != http.StatusOK:
		if signature != "" && a.status != http.StatusInternalServerError {
			return fmt.Sprintf("status %d carries a server's response signature", a.status)
		}
	case signature != fake.Signature(want):
		return "successful answer without the signature of the expected body"
	case a.complete && body != want:
		return fmt.Sprintf("complete answer has %d bytes, expected %d", len(body), len(want))
	case !a.complete && !strings.HasPrefix(want, body):
		return "truncated answer is not a prefix of the expected body"
	}
	return ""
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
	req.Header.Set("X-Request-Id", fmt.Sprintf("probe-%x-%d-%d", c.system.opts.Seed, gateway, c.lastID))
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
