// Package live sends a scenario's requests to running processes as an open loop: arrivals do not wait for answers. It
// accepts loopback addresses only, and limits the number of calls and the time.
package live

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bench/report"
	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
)

const (
	// maxCalls and maxDuration limit the options of a run; maxInFlight limits the open calls.
	maxCalls    = 100_000
	maxDuration = 10 * time.Minute
	maxInFlight = 256
)

// Options configures Run.
type Options struct {
	URL      string // of a gateway, with a loopback IP address
	Seed     uint64
	MaxCalls int           // limit on the number of calls; 1 to 100,000
	RunTime  time.Duration // time in which calls are sent; at most 10 minutes
}

// call is one planned call.
type call struct {
	at      time.Duration
	org     string
	traffic scenario.Traffic
	profile scenario.Profile
	model   string
	key     string
	plain   bool
	number  int
	within  bool // the organisation's exact bucket granted it
}

type runner struct {
	opts   Options
	base   string
	client *http.Client
	mu     sync.Mutex
	out    *report.Recorder
}

// Run sends the calls of every organisation that has an entry under live, and returns the report of their outcomes. It
// returns an error if the URL is not a loopback address, a limit is out of range, or there are no calls to send.
func Run(ctx context.Context, s *scenario.Scenario, opts Options) (*report.Report, error) {
	base, err := loopback(opts.URL)
	if err != nil {
		return nil, err
	}
	if opts.MaxCalls < 1 || opts.MaxCalls > maxCalls || opts.RunTime <= 0 || opts.RunTime > maxDuration {
		return nil, fmt.Errorf("expected 1 to %d calls within at most %v", maxCalls, maxDuration)
	}
	calls := plan(s, opts)
	if len(calls) == 0 {
		return nil, fmt.Errorf("the scenario has no organisation with an entry under live")
	}
	replicas := 0
	for _, v := range s.Services {
		if v.Kind == "model" {
			replicas += v.Replicas
		}
	}
	r := &runner{
		opts: opts, base: base, out: report.NewRecorder(s.Name, opts.Seed, opts.RunTime, replicas),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, Proxy: nil}},
	}
	r.send(ctx, calls)
	return r.out.Report(), nil
}

// loopback checks that the URL has scheme http and a loopback IP address, and returns it without a trailing slash.
func loopback(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil {
		return "", fmt.Errorf("invalid URL: %w", err)
	}
	address, err := netip.ParseAddr(u.Hostname())
	if err != nil || !address.IsLoopback() || u.Scheme != "http" {
		return "", fmt.Errorf("URL %q: expected scheme http and a loopback IP address", text)
	}
	return strings.TrimSuffix(text, "/"), nil
}

// plan draws the calls of all organisations, ordered by time.
func plan(s *scenario.Scenario, opts Options) []call {
	rng := rand.New(rand.NewPCG(opts.Seed, 0))
	profiles := make(map[string]scenario.Profile)
	for _, p := range s.Profiles {
		profiles[p.Name] = p
	}
	plain := make(map[string]bool)
	for _, v := range s.Services {
		plain[v.Name] = v.Kind == "plain"
	}
	var orgs []scenario.Organisation
	total := 0.0
	exactBuckets := make(map[string]*limitshare.Share)
	for _, o := range s.Organisations {
		exactBuckets[o.Name] = limitshare.NewFull(0, limitshare.Options{},
			limitshare.BucketConfig{Rate: o.Rate, Burst: o.Burst, DataCentres: 1})
		if _, ok := s.Live[o.Name]; ok {
			orgs = append(orgs, o)
			total += o.Requests
		}
	}
	var calls []call
	for at := time.Duration(0); len(orgs) > 0 && len(calls) < opts.MaxCalls; {
		at += time.Duration(rng.ExpFloat64() / total * float64(time.Second))
		if at >= opts.RunTime {
			break
		}
		o := pickWeighted(rng, orgs, func(o scenario.Organisation) float64 { return o.Requests })
		t := pickWeighted(rng, o.Mix, func(t scenario.Traffic) float64 { return t.Share })
		reservation, _ := exactBuckets[o.Name].Reserve(at, max(t.PromptTokens+t.OutputTokens, 1))
		calls = append(calls, call{
			within: reservation != 0,
			at:     at, org: o.Name, traffic: t, profile: profiles[t.Profile], plain: plain[t.Service],
			model: s.Live[o.Name].Model, key: s.Live[o.Name].Key, number: len(calls),
		})
	}
	return calls
}

// pickWeighted draws an element with a probability proportional to its weight.
func pickWeighted[T any](rng *rand.Rand, all []T, weight func(T) float64) T {
	total := 0.0
	for _, v := range all {
		total += weight(v)
	}
	remaining := rng.Float64() * total
	for _, v := range all {
		if remaining -= weight(v); remaining < 0 {
			return v
		}
	}
	return all[len(all)-1]
}

// send starts each call at its time. While maxInFlight calls are open, a due call is not sent and is recorded as
// cancelled, which the report counts as a failure.
func (r *runner) send(ctx context.Context, calls []call) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxInFlight)
	start := time.Now()
	for _, c := range calls {
		timer := time.NewTimer(time.Until(start.Add(c.at)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		r.recordArrival(c)
		select {
		case slots <- struct{}{}:
		default:
			r.recordOutcome(c, report.Outcome{Kind: errkind.CallerCancelled})
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			r.recordOutcome(c, r.call(ctx, c))
		})
	}
}

func (r *runner) recordArrival(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Arrived(c.at, c.org, !c.plain, c.within)
}

func (r *runner) recordOutcome(c call, out report.Outcome) {
	out.Organisation, out.Class, out.Model, out.WithinRate = c.org, c.profile.Class, !c.plain, c.within
	out.At, out.Booking = c.at, c.traffic.Booking
	out.Met = out.Kind == errkind.None && within(out.FirstToken, c.profile.FirstToken.D()) &&
		within(out.BetweenTokens, c.profile.BetweenTokens.D())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Ended(out)
}

// within reports whether a time meets its target; a target of zero is none.
func within(figure, target time.Duration) bool { return target == 0 || figure <= target }

// call makes one call and reads its answer to the end.
func (r *runner) call(ctx context.Context, c call) report.Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.profile.Deadline.D())
	defer cancel()
	request, err := r.request(ctx, c)
	if err != nil {
		return report.Outcome{Kind: errkind.Internal}
	}
	begin := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return report.Outcome{Kind: errkind.OutcomeUnknown, Ran: true}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return report.Outcome{Kind: readErrorKind(response.Body), Ran: response.Header.Get("Pomelo-Ran") != string(errkind.RanNo)}
	}
	if c.plain {
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return report.Outcome{Kind: errkind.OutcomeUnknown, Ran: true}
		}
		return report.Outcome{FirstToken: time.Since(begin)}
	}
	return readStream(response.Body, begin)
}

func (r *runner) request(ctx context.Context, c call) (*http.Request, error) {
	path, body := "/services/"+c.traffic.Service+"/bookings", fmt.Sprintf(`{"booking":"bench-%d-%d"}`, r.opts.Seed, c.number)
	if !c.plain {
		path = "/services/" + c.traffic.Service + "/v1/chat/completions"
		prompt := strings.Repeat("word ", int(max(c.traffic.PromptTokens, 1)))
		encoded, err := json.Marshal(map[string]any{
			"model": c.model, "stream": true, "max_tokens": c.traffic.OutputTokens,
			"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("%d %s", c.number, prompt)}},
		})
		if err != nil {
			return nil, err
		}
		body = string(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	if c.traffic.Booking {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("bench-%d-%d", r.opts.Seed, c.number))
	} else if !c.plain {
		request.Header.Set("Pomelo-Profile", c.traffic.Profile)
	}
	return request, nil
}

// readErrorKind reads the kind from an error body; Internal if it cannot.
func readErrorKind(body io.Reader) errkind.Kind {
	const maxErrorBytes = 64 << 10
	var form struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&form); err == nil {
		for _, kind := range errkind.All() {
			if kind.String() == form.Error.Code {
				return kind
			}
		}
	}
	return errkind.Internal
}

// readStream reads server-sent events. Without an explicit end, the answer is incomplete and the outcome unknown.
func readStream(body io.Reader, begin time.Time) report.Outcome {
	var first, last time.Time
	events := 0
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			out := report.Outcome{FirstToken: first.Sub(begin)}
			if events > 1 {
				out.BetweenTokens = last.Sub(first) / time.Duration(events-1)
			}
			return out
		}
		if strings.HasPrefix(data, `{"error"`) {
			return report.Outcome{Kind: readErrorKind(strings.NewReader(data)), Ran: true}
		}
		last = time.Now()
		if events++; events == 1 {
			first = last
		}
	}
	return report.Outcome{Kind: errkind.OutcomeUnknown, Ran: true}
}
