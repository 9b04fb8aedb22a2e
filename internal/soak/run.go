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
	// calmBefore and calmAfter are the time under load without faults at the start and at the end.
	calmBefore = 1500 * time.Millisecond
	calmAfter  = 2 * time.Second
	// recovery is the time after the last fault within which the fleet serves again.
	recovery = 8 * time.Second
	// limitWindow, limitOverage and limitSlack are how far above its limit an organisation may be served in any window:
	// the platform's window and overage, and a second of its rate for what gateways that were cut off admit.
	limitWindow  = 8 * time.Second
	limitOverage = 1.1
	limitSlack   = 4 * tokenBurst
)

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Requests int
	Answered int // whole successes
	NotRun   int
	Events   []event
	Failures []string // promises that were broken
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &Result{Seed: o.Seed}
	s, err := newSite(ctx, o)
	defer s.close()
	if err != nil {
		return r, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	c := newCallers(s)
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loaded := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(loaded)
		c.run(load, rand.New(rand.NewPCG(o.Seed, 3)))
	}()
	regress := watchVersions(load, s, c)
	time.Sleep(calmBefore)
	faulty, stopFaults := context.WithTimeout(ctx, o.Faults)
	defer stopFaults()
	r.Events = s.inject(faulty, rng, start)
	s.heal()
	time.Sleep(recovery)
	calm := time.Now()
	time.Sleep(calmAfter)
	r.Failures = append(r.Failures, s.checkWithdrawn(c)...)
	stopLoad()
	<-loaded
	r.Failures = append(r.Failures, <-regress...)
	r.check(s, c, calm)
	return r, ctx.Err()
}

// heal ends everything that a fault may have left.
func (s *site) heal() {
	for _, p := range append(append([]*proxy{}, s.toStore...), s.toServer...) {
		p.set(pass)
	}
	for _, p := range append(append([]*program{}, s.gateways...), s.agents...) {
		if err := p.start(); err != nil {
			p.mu.Lock()
			p.surprises = append(p.surprises, err.Error())
			p.mu.Unlock()
		}
	}
}

// watchVersions asks each gateway again and again for the newest route that it served. The result is sent when ctx
// ends.
func watchVersions(ctx context.Context, s *site, c *callers) <-chan []string {
	out := make(chan []string, 1)
	go func() {
		var broken []string
		newest := make([]int, len(s.gateways))
		starts := make([]int, len(s.gateways))
		for ctx.Err() == nil {
			for i, g := range s.gateways {
				if n := g.incarnation(); n != starts[i] {
					starts[i], newest[i] = n, 0
				}
				probes, _ := s.config.known()
				for _, v := range []int{probes, newest[i]} {
					if v == 0 {
						continue
					}
					status := c.probe(i, fmt.Sprintf("/v%d/x", v), "")
					switch {
					case g.incarnation() != starts[i]:
					case status == 404 && v <= newest[i]:
						broken = append(broken, fmt.Sprintf("gateway %d went back behind version %d", i, v))
					case status == 200:
						newest[i] = max(newest[i], v)
					}
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		out <- broken
	}()
	return out
}

// checkWithdrawn checks that no gateway serves a withdrawn key and that all serve the newest route.
func (s *site) checkWithdrawn(c *callers) []string {
	var broken []string
	probes, withdrawn := s.config.known()
	for i := range s.gateways {
		for _, key := range withdrawn {
			if status := c.probe(i, "/look/withdrawn", key); status == 200 {
				broken = append(broken, fmt.Sprintf("gateway %d serves the withdrawn %s", i, key))
			}
		}
		if status := c.probe(i, fmt.Sprintf("/v%d/x", probes), ""); status != 200 {
			broken = append(broken, fmt.Sprintf("gateway %d answers %d on the newest route", i, status))
		}
	}
	return broken
}

// check compares what callers saw with what the servers ran.
func (r *Result) check(s *site, c *callers, calm time.Time) {
	fail := func(format string, args ...any) { r.Failures = append(r.Failures, fmt.Sprintf(format, args...)) }
	runs := make(map[string][]fake.Run)
	var watched []fake.Run
	for i := range s.servers {
		got, err := s.runs(i)
		if err != nil {
			fail("server %d does not tell what it ran: %v", i, err)
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
	for _, q := range c.all() {
		r.Requests++
		ran := runs[q.id]
		if q.wrong != "" {
			fail("request %s (%s): %s", q.id, q.kind, q.wrong)
		}
		once := q.kind == kindBook || q.kind == kindBrief
		switch {
		case once && len(ran) > 1:
			fail("request %s (%s) ran %d times", q.id, q.kind, len(ran))
		case once && q.notRun() && len(ran) > 0:
			fail("request %s (%s) was answered %d and ran", q.id, q.kind, q.status)
		case len(ran) > 2:
			fail("request %s (%s) ran %d times, two are allowed", q.id, q.kind, len(ran))
		}
		for _, run := range ran {
			if run.Organisation != q.org || run.KeySeen || run.Target != "/"+q.kind+"/"+q.id ||
				(q.kind != kindLook && run.Body != "body of "+q.id) {
				fail("request %s reached server %s changed: %+v", q.id, run.Server, run)
			}
		}
		ok := q.status == 200 && q.whole
		if ok {
			r.Answered++
		}
		if q.notRun() {
			r.NotRun++
		}
		if q.at.After(calm) && q.org == "free" {
			asked++
			if ok {
				served++
			}
		}
	}
	if asked > 0 && float64(served) < 0.95*float64(asked) {
		fail("after the recovery %d of %d requests are served", served, asked)
	}
	r.checkLimit(watched, fail)
	for _, p := range append(append([]*program{}, s.gateways...), s.agents...) {
		for _, what := range p.ended() {
			fail("%s", what)
		}
	}
	r.checkLogs(s.opts.Dir, fail)
}

// checkLimit checks the tokens of the watched organisation in every window.
func (r *Result) checkLimit(runs []fake.Run, fail func(string, ...any)) {
	slices.SortFunc(runs, func(a, b fake.Run) int { return int(a.AtMS - b.AtMS) })
	most := (tokenRate*limitWindow.Seconds()+tokenBurst)*limitOverage + limitSlack
	sum, from := 0, 0
	for _, run := range runs {
		sum += max(run.Tokens, 50)
		for run.AtMS-runs[from].AtMS >= limitWindow.Milliseconds() {
			sum -= max(runs[from].Tokens, 50)
			from++
		}
		if float64(sum) > most {
			fail("%d tokens of the watched organisation ran in %v, at most %.0f", sum, limitWindow, most)
			return
		}
	}
}

// checkLogs looks for what must never be logged.
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
				fail("%s holds %q", filepath.Base(name), text)
			}
		}
	}
}
