package live

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxRate limits the calls a second through the system, and likewise the direct calls.
	maxRate = 1000
	// latencyTimeout is the time limit of one call.
	latencyTimeout = 10 * time.Second
	// Calls in the first warmUpTime are not counted, so that connections are open and the admission ramp is complete.
	warmUpTime = 3 * time.Second
)

// LatencyOptions configures Latency. The URLs must have loopback IP addresses.
type LatencyOptions struct {
	Gateway, Engine, Service string        // URL of the gateway, and URLs of the engine and the plain service behind it
	ServiceName              string        // name of the plain service at the gateway
	Model                    string        // of the streamed calls
	Key                      string        // accepted by the gateway for both services
	Rate                     float64       // calls a second each way; at most 1,000
	RunTime                  time.Duration // of the counted calls; at most 10 minutes
	Seed                     uint64
}

// Comparison holds the latencies of one kind of call, made directly and through the system.
type Comparison struct {
	Name                       string
	Direct, System             []time.Duration // sorted in ascending order
	DirectFailed, SystemFailed int             // calls without a complete answer
}

// Added returns the time that the system adds at quantile q, and the ratio of the system's time to the direct one.
func (p Comparison) Added(q float64) (time.Duration, float64) {
	direct, system := quantile(p.Direct, q), quantile(p.System, q)
	return system - direct, float64(system) / float64(max(direct, 1))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// The kinds of calls. Each has an equal share of the rate.
const (
	firstToken = iota // time to the first text of a streamed model call
	booking           // complete call of a plain service that may not be repeated
	lookup            // complete call of a plain service that may be repeated
	kindCount
)

type latency struct {
	opts    LatencyOptions
	client  *http.Client
	mu      sync.Mutex
	results [kindCount]Comparison
}

// Latency sends the same kinds of calls directly and through the system in one open loop, each way at the rate, so
// that the load of the host affects both alike. It returns one Comparison for each kind of call, or an error if a URL
// is not a loopback address, the rate or duration is out of range, the first call fails, or ctx ends.
func Latency(ctx context.Context, opts LatencyOptions) ([]Comparison, error) {
	for _, url := range []*string{&opts.Gateway, &opts.Engine, &opts.Service} {
		var err error
		if *url, err = loopback(*url); err != nil {
			return nil, err
		}
	}
	if opts.Rate <= 0 || opts.Rate > maxRate || opts.RunTime <= 0 || opts.RunTime > maxDuration {
		return nil, fmt.Errorf("expected a rate above zero and at most %d a second, and a time above zero and at most %v",
			maxRate, maxDuration)
	}
	l := &latency{opts: opts, client: &http.Client{
		Timeout: latencyTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, Proxy: nil},
	}}
	if _, err := l.call(ctx, booking, false, 0); err != nil { // creates the booking that the lookups read
		return nil, fmt.Errorf("first booking: %w", err)
	}
	l.send(ctx)
	for i, name := range []string{"chat, first token", "booking, whole", "lookup, whole"} {
		l.results[i].Name = name
		slices.Sort(l.results[i].Direct)
		slices.Sort(l.results[i].System)
	}
	return l.results[:], ctx.Err()
}

func (l *latency) send(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.opts.Seed, 0))
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxInFlight)
	start, at := time.Now(), time.Duration(0)
	for n := 1; at < warmUpTime+l.opts.RunTime; n++ {
		at += time.Duration(rng.ExpFloat64() / (2 * l.opts.Rate) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(at))):
		}
		kind, system, counts := rng.IntN(kindCount), rng.IntN(2) == 1, at > warmUpTime
		select {
		case slots <- struct{}{}:
		default:
			l.record(kind, system, counts, 0, context.DeadlineExceeded)
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			took, err := l.call(ctx, kind, system, n)
			l.record(kind, system, counts, took, err)
		})
	}
}

func (l *latency) record(kind int, system, counts bool, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.results[kind]
	switch {
	case !counts:
	case err != nil && system:
		p.SystemFailed++
	case err != nil:
		p.DirectFailed++
	case system:
		p.System = append(p.System, took)
	default:
		p.Direct = append(p.Direct, took)
	}
}

// call makes one call and returns the time to its first text or, for a plain service, to its end.
func (l *latency) call(ctx context.Context, kind int, system bool, number int) (time.Duration, error) {
	request, err := l.request(ctx, kind, system, number)
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	response, err := l.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20))
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	if kind == firstToken {
		return readFirstText(response.Body, begin)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(begin), err
}

func (l *latency) request(ctx context.Context, kind int, system bool, number int) (*http.Request, error) {
	url, method, body := l.opts.Service, http.MethodPost, ""
	if kind == firstToken {
		url = l.opts.Engine
	}
	if system {
		url = l.opts.Gateway
		if kind != firstToken {
			url += "/services/" + l.opts.ServiceName
		}
	}
	switch kind {
	case firstToken:
		url += "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4,"messages":[{"role":"user","content":"call %d, tokens:4"}]}`,
			l.opts.Model, number)
	case booking:
		url += "/bookings"
		body = fmt.Sprintf(`{"booking":"latency-%d"}`, number)
	case lookup:
		url += "/bookings/latency-0"
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if system {
		request.Header.Set("Authorization", "Bearer "+l.opts.Key)
	}
	return request, nil
}

// readFirstText reads an event stream to its end and returns the time to the first text.
func readFirstText(body io.Reader, begin time.Time) (time.Duration, error) {
	var first time.Duration
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" && first > 0 {
			_, err := io.Copy(io.Discard, body) // read to the end, so that the connection is reused
			return first, err
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if first == 0 && json.Unmarshal([]byte(data), &event) == nil &&
			len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			first = time.Since(begin)
		}
	}
	return 0, fmt.Errorf("stream ended without [DONE]: %w", io.ErrUnexpectedEOF)
}

// WriteLatency writes the median and the 99th percentile of each kind of call, in milliseconds. The last column is the
// number of failed calls, direct and through the system.
func WriteLatency(w io.Writer, comparisons []Comparison) error {
	const format = "%-18s  %6s  %9s  %9s  %8s  %6s  %9s  %9s  %8s  %6s  %6s\n"
	_, err := fmt.Fprintf(w, format, "ms", "calls", "direct50", "system50", "added50", "ratio",
		"direct99", "system99", "added99", "ratio", "failed")
	ms := func(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()*1000) }
	for _, p := range comparisons {
		if err != nil {
			return err
		}
		added50, ratio50 := p.Added(0.5)
		added99, ratio99 := p.Added(0.99)
		_, err = fmt.Fprintf(w, format, p.Name, fmt.Sprint(len(p.System)),
			ms(quantile(p.Direct, 0.5)), ms(quantile(p.System, 0.5)), ms(added50), fmt.Sprintf("%.1f", ratio50),
			ms(quantile(p.Direct, 0.99)), ms(quantile(p.System, 0.99)), ms(added99), fmt.Sprintf("%.1f", ratio99),
			fmt.Sprintf("%d/%d", p.DirectFailed, p.SystemFailed))
	}
	return err
}
