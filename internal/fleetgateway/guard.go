package fleetgateway

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleetguard"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

// PromptGuard is a fleetguard.Guard that logs its decisions. It is safe for concurrent use.
type PromptGuard struct {
	clock bootclock.Clock
	log   *slog.Logger

	mu    sync.Mutex
	guard *fleetguard.Guard
}

func newPromptGuard(opts Options) *PromptGuard {
	return &PromptGuard{clock: opts.Clock, log: opts.Log, guard: fleetguard.New(fleetguard.Options{Rank: opts.Rank})}
}

// do calls f with the guard, and logs what changed.
func (p *PromptGuard) do(f func(g *fleetguard.Guard, now time.Duration)) {
	p.mu.Lock()
	now := p.clock()
	f(p.guard, now)
	events := p.guard.TakeEvents()
	p.mu.Unlock()
	for _, e := range events {
		p.logEvent(e, now)
	}
}

func (p *PromptGuard) logEvent(e fleetguard.Event, now time.Duration) {
	r := e.Refusal
	log := p.log.With("parts", featureText(r.Features), "reason", e.Reason, "servers_ended", r.Ends, "servers", r.Servers,
		"requests", r.Requests, "age", now-r.Since)
	switch e.Kind {
	case fleetguard.RefusalBegan:
		log.Warn("prompts refused: servers end as they begin to answer them")
	case fleetguard.RefusalEnded:
		log.Warn("prompts no longer refused", "refused", r.Refused)
	case fleetguard.RefusalChanged:
		log.Info("prompts refused by fewer parts")
	case fleetguard.TrialBegan:
		log.Warn("one request with a refused prompt is sent, to see whether its server ends", "trials", r.Trials)
	}
}

func featureText(features []fleetguard.Feature) string {
	var names []string
	for _, f := range features {
		names = append(names, f.String())
	}
	return strings.Join(names, ", ")
}

// Tick does what is due. Call it several times a second.
func (p *PromptGuard) Tick() {
	p.do(func(g *fleetguard.Guard, now time.Duration) { g.Tick(now) })
}

// Report returns what another gateway needs, as fleetguard.Guard.Report does, and the time to which its times refer.
func (p *PromptGuard) Report(after uint64, relay bool) (r fleetguard.Report, until uint64, now time.Duration) {
	p.do(func(g *fleetguard.Guard, at time.Duration) {
		r, until = g.Report(after, relay)
		now = at
	})
	return r, until, now
}

// Receive merges the report of another gateway, which read makes, given the time to which its times refer.
func (p *PromptGuard) Receive(read func(now time.Duration) fleetguard.Report) {
	p.do(func(g *fleetguard.Guard, now time.Duration) { g.Receive(read(now), now) })
}

// Refusals returns the refusals and the time to which their times refer.
func (p *PromptGuard) Refusals() (list []fleetguard.Refusal, now time.Duration) {
	p.do(func(g *fleetguard.Guard, at time.Duration) { list, now = g.Refusals(), at })
	return list, now
}

// Clear ends the refusals with a part of a prompt and reports whether there were any.
func (p *PromptGuard) Clear(part string) (found bool) {
	p.do(func(g *fleetguard.Guard, now time.Duration) { found = g.Clear(part, now) })
	return found
}

func (p *PromptGuard) ended(server serversigns.Server, broken []brokenRequest) {
	p.do(func(g *fleetguard.Guard, now time.Duration) {
		for _, b := range broken {
			g.Ended(server, b.exposure, b.at, now)
		}
	})
}

func (p *PromptGuard) answered(server serversigns.Server, e fleetguard.Exposure, begun time.Duration) {
	if len(e.Parts) > 0 {
		p.do(func(g *fleetguard.Guard, now time.Duration) { g.Answered(server, e, begun, now) })
	}
}

// setExposure sets what a server is exposed to by the request.
func (q *request) setExposure() {
	if len(q.caller.Prompt) < 2 {
		return // the last part of a prompt is the request's own
	}
	parts := make([]string, len(q.caller.Prompt))
	for i, p := range q.caller.Prompt {
		parts[i] = p.ID
	}
	q.exposure = fleetguard.NewExposure(q.caller.ID, q.caller.Model, parts)
}

// checkPrompt returns an error of kind PromptRefused if the request may not be sent to a server.
func (q *request) checkPrompt() error {
	if q.trial || len(q.exposure.Parts) == 0 {
		return nil
	}
	var v fleetguard.Verdict
	q.server.prompts.do(func(g *fleetguard.Guard, now time.Duration) { v = g.Check(q.exposure, now) })
	q.trial, q.suspect = v.Trial, v.Suspect
	if !v.Refused {
		return nil
	}
	return &refusal{errkind.New(errkind.PromptRefused, "servers ended as they began to answer prompts with %s", featureText(v.Features)),
		v.RetryAfter}
}

// promptRefused reports whether the request may not be sent any longer.
func (q *request) promptRefused() bool {
	if q.trial || len(q.exposure.Parts) == 0 {
		return false
	}
	p := q.server.prompts
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Refuses(q.exposure)
}

// mayExposeAnother reports whether the request may be sent to a second server.
func (q *request) mayExposeAnother() bool {
	return q.checkPrompt() == nil && (!q.suspect || q.runs()+len(q.live) == 0)
}
