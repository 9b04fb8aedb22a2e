package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

const (
	// limitWindow, limitOverageFactor and limitSlackTokens bound how far above its limit an organisation may be served
	// in any window: the platform's window and overage, and a second of its rate for what isolated gateways admit.
	limitWindow        = 8 * time.Second
	limitOverageFactor = 1.1
	limitSlackTokens   = 4 * tokenBurst
)

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

// check compares the answers that callers received with the requests that the backend servers received, and checks the
// token limit, the exits of processes and the logs. The load began at start.
func (r *Result) check(s *system, c *callers, start, recoveredAt time.Time) {
	fail := func(format string, args ...any) { r.Failures = append(r.Failures, fmt.Sprintf(format, args...)) }
	records := s.records(fail)
	for _, crash := range records.crashes {
		fail("%s", crash)
	}
	requests := c.allRequests()
	served, asked := 0, 0
	for _, q := range requests {
		r.Requests++
		if q.mismatch != "" && records.endedUnseen(q) {
			q.mismatch = ""
		}
		checkRequest(q, records.runs[q.id], fail)
		switch {
		case q.succeeded():
			r.Succeeded++
		case q.notRun():
			r.NotRun++
		case q.answer.status != 0 && q.answer.complete:
			r.OtherAnswers++
		}
		if q.at.After(recoveredAt) && q.key == freeKey && !q.crashing {
			asked++
			if q.succeeded() {
				served++
			}
		}
	}
	if asked > 0 && float64(served) < 0.95*float64(asked) {
		fail("after the recovery only %d of %d requests succeeded", served, asked)
	}
	if s.opts.Plan == PlanPlanned {
		history := s.gatewayHistory()
		r.checkLosses(requests, records, history, s.opts.WorkDir, start, fail)
		checkLeaving(requests, records, history, fail)
		checkRetryAfter(requests, records, history, fail)
	}
	if s.opts.Plan == PlanCrashingPrompt {
		late := checkCrashArrivals(requests, records, s.gatewayHistory(), fail)
		begun := checkSoundRequests(requests, records, s.gatewayHistory(), fail)
		refused := checkRefusedPrompts(requests, fail)
		r.crashes = fmt.Sprintf("%d crashes, %d late arrivals; %s; %d sound streams refused because of their prompts",
			len(crashTimes(records)), late, begun, refused)
	}
	r.checkLimit(records, fail)
	r.retries = checkRetries(requests, records, fail)
	for _, p := range append(append([]*program{}, s.gateways...), s.agents...) {
		for _, what := range p.recordedFailures() {
			fail("%s", what)
		}
	}
	s.checkFencingNumbers(fail)
	r.checkLogs(s.opts.WorkDir, fail)
}

// checkRequest compares a request's answer with its runs at servers.
func checkRequest(q *sent, ran []fake.Run, fail func(string, ...any)) {
	if q.mismatch != "" {
		fail("request %s (%s): %s", q.id, q.kind, q.mismatch)
	}
	runsOnce := q.kind == kindBook || q.kind == kindBrief
	switch {
	case runsOnce && len(ran) > 1:
		fail("request %s (%s) ran %d times", q.id, q.kind, len(ran))
	case runsOnce && q.notRun() && len(ran) > 0:
		fail("request %s (%s) was answered %d but ran", q.id, q.kind, q.answer.status)
	case len(ran) > 2:
		fail("request %s (%s) ran %d times, at most 2 are allowed", q.id, q.kind, len(ran))
	}
	for _, run := range ran {
		if run.Organisation != q.org || run.KeySeen || run.Target != "/"+q.kind+"/"+q.id || run.Body != q.body() {
			fail("request %s reached server %s modified: %+v", q.id, run.Server, run)
		}
	}
}

// checkLimit checks that the watched organisation's tokens stay within its limit in every window of limitWindow.
func (r *Result) checkLimit(records *serverRecords, fail func(string, ...any)) {
	var runs []fake.Run
	for _, list := range records.runs {
		for _, run := range list {
			if run.Organisation == "watched" {
				runs = append(runs, run)
			}
		}
	}
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
		for _, text := range []string{"DATA RACE", "panic:", "goroutine 1 [", watchedKey, freeKey, spareKeyPrefix} {
			if bytes.Contains(data, []byte(text)) {
				fail("%s contains %q", filepath.Base(name), text)
			}
		}
	}
}
