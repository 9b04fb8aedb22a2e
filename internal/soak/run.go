package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

const (
	// loadBeforeFaults and loadAfterRecovery are the periods of fault-free load at the start and the end of a run.
	loadBeforeFaults  = 1500 * time.Millisecond
	loadAfterRecovery = 2 * time.Second
	// recoveryTime is the time allowed after the last fault until the fleet serves normally again.
	recoveryTime = 8 * time.Second
	// limitWindow, limitOverageFactor and limitSlackTokens bound how far above its limit an organisation may be served
	// in any window: the platform's window and overage, and a second of its rate for what isolated gateways admit.
	limitWindow        = 8 * time.Second
	limitOverageFactor = 1.1
	limitSlackTokens   = 4 * tokenBurst
)

// Result is the outcome of a run. A request counts as succeeded if its 200 answer arrived complete, and as not run if
// it was answered 429 or 503.
type Result struct {
	Seed           uint64
	Requests       int
	Succeeded      int // answered 200 with a complete body
	NotRun         int
	InjectedFaults []injectedFault
	Failures       []string // one message for each violated guarantee
}

// Run starts the fleet, runs it under load with the faults that o.Seed selects, checks the guarantees and ends all
// processes. It returns an error if the fleet can't be started or ctx ends; violated guarantees are in Result.Failures.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &Result{Seed: o.Seed}
	s, err := newSystem(ctx, o)
	defer s.close()
	if err != nil {
		return r, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	c := newCallers(s)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadDone := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(loadDone)
		c.run(loadCtx, rand.New(rand.NewPCG(o.Seed, 3)))
	}()
	routeFailures := watchRoutes(loadCtx, s, c)
	time.Sleep(loadBeforeFaults)
	faultCtx, stopFaults := context.WithTimeout(ctx, o.FaultDuration)
	defer stopFaults()
	r.InjectedFaults = s.injectFaults(faultCtx, rng, start)
	s.clearFaults()
	time.Sleep(recoveryTime)
	recoveredAt := time.Now()
	time.Sleep(loadAfterRecovery)
	r.Failures = append(r.Failures, s.checkConfigApplied(c)...)
	stopLoad()
	<-loadDone
	r.Failures = append(r.Failures, <-routeFailures...)
	r.check(s, c, recoveredAt)
	return r, ctx.Err()
}

// clearFaults sets every proxy to forward normally and starts every gateway and agent that is not running.
func (s *system) clearFaults() {
	for _, p := range append(append([]*proxy{}, s.storeProxies...), s.serverProxies...) {
		p.setMode(passThrough)
	}
	for _, p := range append(append([]*program{}, s.gateways...), s.agents...) {
		if err := p.start(); err != nil {
			p.mu.Lock()
			p.failures = append(p.failures, err.Error())
			p.mu.Unlock()
		}
	}
}

// watchRoutes polls each gateway for the newest route and for the newest route that the gateway has served since it was
// started. A gateway that stops serving the latter went back to an older configuration. The failures are sent when ctx
// ends.
func watchRoutes(ctx context.Context, s *system, c *callers) <-chan []string {
	out := make(chan []string, 1)
	go func() {
		var failures []string
		newest := make([]int, len(s.gateways))
		incarnations := make([]int, len(s.gateways))
		for ctx.Err() == nil {
			for i, g := range s.gateways {
				if n := g.incarnation(); n != incarnations[i] {
					incarnations[i], newest[i] = n, 0
				}
				probes, _ := s.configOperator.probeState()
				for _, v := range []int{probes, newest[i]} {
					if v == 0 {
						continue
					}
					status := c.probe(i, fmt.Sprintf("/v%d/x", v), "")
					switch {
					case g.incarnation() != incarnations[i]:
					case status == 404 && v <= newest[i]:
						failures = append(failures, fmt.Sprintf("gateway %d went back to a configuration older than version %d", i, v))
					case status == 200:
						newest[i] = max(newest[i], v)
					}
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		out <- failures
	}()
	return out
}

// checkConfigApplied checks that no gateway accepts a withdrawn key and that each gateway serves the newest route.
func (s *system) checkConfigApplied(c *callers) []string {
	var failures []string
	probes, withdrawn := s.configOperator.probeState()
	for i := range s.gateways {
		for _, key := range withdrawn {
			if status := c.probe(i, "/look/withdrawn", key); status == 200 {
				failures = append(failures, fmt.Sprintf("gateway %d accepts the withdrawn key %s", i, key))
			}
		}
		if status := c.probe(i, fmt.Sprintf("/v%d/x", probes), ""); status != 200 {
			failures = append(failures, fmt.Sprintf("gateway %d answered status %d on the newest route", i, status))
		}
	}
	return failures
}

// check compares the answers that callers received with the requests that the backend servers ran, and checks the token
// limit, the exits of processes and the logs.
func (r *Result) check(s *system, c *callers, recoveredAt time.Time) {
	fail := func(format string, args ...any) { r.Failures = append(r.Failures, fmt.Sprintf(format, args...)) }
	runs := make(map[string][]fake.Run)
	var watched []fake.Run
	for i := range s.servers {
		got, err := s.runs(i)
		if err != nil {
			fail("could not read the runs of server %d: %v", i, err)
			continue
		}
		if got.Crashed != "" {
			fail("server %d: %s", i, got.Crashed)
		}
		for _, run := range got.Runs {
			runs[run.ID] = append(runs[run.ID], run)
			if run.Organisation == "watched" {
				watched = append(watched, run)
			}
		}
	}
	served, asked := 0, 0
	for _, q := range c.allRequests() {
		r.Requests++
		ran := runs[q.id]
		if q.mismatch != "" {
			fail("request %s (%s): %s", q.id, q.kind, q.mismatch)
		}
		runsOnce := q.kind == kindBook || q.kind == kindBrief
		switch {
		case runsOnce && len(ran) > 1:
			fail("request %s (%s) ran %d times", q.id, q.kind, len(ran))
		case runsOnce && q.notRun() && len(ran) > 0:
			fail("request %s (%s) was answered %d but ran", q.id, q.kind, q.status)
		case len(ran) > 2:
			fail("request %s (%s) ran %d times, at most 2 are allowed", q.id, q.kind, len(ran))
		}
		for _, run := range ran {
			if run.Organisation != q.org || run.KeySeen || run.Target != "/"+q.kind+"/"+q.id ||
				(q.kind != kindLook && run.Body != "body of "+q.id) {
				fail("request %s reached server %s modified: %+v", q.id, run.Server, run)
			}
		}
		ok := q.status == 200 && q.complete
		if ok {
			r.Succeeded++
		}
		if q.notRun() {
			r.NotRun++
		}
		if q.at.After(recoveredAt) && q.org == "free" {
			asked++
			if ok {
				served++
			}
		}
	}
	if asked > 0 && float64(served) < 0.95*float64(asked) {
		fail("after the recovery only %d of %d requests succeeded", served, asked)
	}
	r.checkLimit(watched, fail)
	for _, p := range append(append([]*program{}, s.gateways...), s.agents...) {
		for _, what := range p.recordedFailures() {
			fail("%s", what)
		}
	}
	r.checkLogs(s.opts.WorkDir, fail)
}

// checkLimit checks that the watched organisation's tokens stay within its limit in every window of limitWindow.
func (r *Result) checkLimit(runs []fake.Run, fail func(string, ...any)) {
	slices.SortFunc(runs, func(a, b fake.Run) int { return int(a.AtMS - b.AtMS) })
	maxTokens := (tokenRate*limitWindow.Seconds()+tokenBurst)*limitOverageFactor + limitSlackTokens
	sum, oldest := 0, 0
	for _, run := range runs {
		sum += max(run.Tokens, 50)
		for run.AtMS-runs[oldest].AtMS >= limitWindow.Milliseconds() {
			sum -= max(runs[oldest].Tokens, 50)
			oldest++
		}
		if float64(sum) > maxTokens {
			fail("%d tokens of the watched organisation ran in %v, at most %.0f", sum, limitWindow, maxTokens)
			return
		}
	}
}

// checkLogs checks that no log holds a data race, a panic or an API key.
func (r *Result) checkLogs(dir string, fail func(string, ...any)) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		fail("logs: %v", err)
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			fail("logs: %v", err)
			continue
		}
		for _, text := range []string{"DATA RACE", "panic:", "goroutine 1 [", watchedKey, freeKey} {
			if bytes.Contains(data, []byte(text)) {
				fail("%s contains %q", filepath.Base(name), text)
			}
		}
	}
}
