package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

const (
	// crashPart is the ID of the part of a prompt that crashes engines.
	crashPart = "f00d"
	// crashingRate is the number of requests with that part per second.
	crashingRate = 5
	// unframedFraction is the fraction of an engine's answers with neither a length nor chunks.
	unframedFraction = 0.3
	// ruledCrashes is the number of crashes from which on the rule about arrivals holds, after contactTime.
	ruledCrashes = 5
	// maxLateArrivals is the number of requests with crashPart that may still arrive then.
	maxLateArrivals = 3
	// minSoundRequests is the number of sound requests before the first crash, and after the rule holds, that are compared.
	minSoundRequests = 20
	// maxRefusedFraction bounds the sound streams that are refused because of their prompts.
	maxRefusedFraction = 0.02
	// soundMargin is the time within which a sound request that nothing disturbs begins.
	soundMargin = 500 * time.Millisecond
)

// besideCrashes are the faults of PlanCrashingPrompt.
var besideCrashes = []fault{
	{"gateway killed", func(s *system, rng *rand.Rand) error { return restart(pick(s.gateways, rng), syscall.SIGKILL, rng) }},
	{"gateway stopped", func(s *system, rng *rand.Rand) error { return stopGateway(pick(s.gateways, rng), rng) }},
	{"gateway paused", func(s *system, rng *rand.Rand) error { return pause(pick(s.gateways, rng), rng) }},
	{"agent killed", func(s *system, rng *rand.Rand) error { return restart(pick(s.agents, rng), syscall.SIGKILL, rng) }},
	{"engines lost together", func(s *system, rng *rand.Rand) error {
		for _, i := range rng.Perm(s.opts.Engines)[:s.opts.Engines/3] {
			_ = s.sendControl(s.serverAddress(i), "/control/end", nil) // it ends before it answers, or is down already
		}
		return nil
	}},
	{"SIGHUP sent in series", sendHangups},
	{"configuration changed", func(s *system, _ *rand.Rand) error { return s.configOperator.writeConfig() }},
	{"network fault on the way to the store", func(s *system, rng *rand.Rand) error {
		return injectNetworkFault(pick(s.storeProxies, rng), rng)
	}},
}

// crashArgs returns the arguments that make a start of an engine crash on requests with crashPart: before, after or inside an
// event.
func crashArgs(server, start int) []string {
	kind := server + start
	return []string{"-crash-part", crashPart, "-crash-events", fmt.Sprint(kind / 2 % 2), fmt.Sprintf("-crash-inside=%t", kind%2 == 0),
		"-unframed", fmt.Sprint(unframedFraction)}
}

// sharedPrompt returns a prompt of two parts that requests share and one of its own. The part that crashes engines takes the
// place of the first or the second one.
func sharedPrompt(q *sent, rng *rand.Rand) string {
	parts := []string{"aa", fmt.Sprintf("b%d", rng.IntN(3))}
	if q.crashing {
		parts[rng.IntN(len(parts))] = crashPart
	}
	return fmt.Sprintf("%s:%d,%s:10,%s:5", parts[0], q.tokens-25, parts[1], strings.ReplaceAll(q.id, "-", "e"))
}

// runCrashing sends requests with crashPart to all gateways until load ends, and starts crashed engines again until all of them have
// been answered.
func (c *callers) runCrashing(ctx, load context.Context, rng *rand.Rand) {
	var restarts sync.WaitGroup
	answered, stop := context.WithCancel(ctx)
	for i, server := range c.system.servers {
		serverRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		restarts.Go(func() {
			for crashes := 0; answered.Err() == nil || server.crashes() > crashes; time.Sleep(20 * time.Millisecond) {
				if server.crashes() == crashes {
					continue
				}
				crashes++
				time.Sleep(time.Duration(1000+serverRNG.IntN(2500)) * time.Millisecond)
				server.setArgs(c.system.serverArgs(i, server.incarnation()+1))
				if err := errors.Join(server.start(), c.system.waitForServer(i)); err != nil && ctx.Err() == nil {
					server.fail("did not start again: %v", err)
				}
			}
		})
	}
	c.sendAll(load, rng, crashingRate, func() *sent {
		q := &sent{
			kind: []string{kindChat, kindBrief}[rng.IntN(2)], org: "free", key: freeKey, gateway: rng.IntN(len(c.system.gateways)),
			model: modelName(rng.IntN(modelCount)), tokens: 30 + rng.IntN(300), crashing: true,
		}
		c.record(q, rng)
		return q
	})
	time.Sleep(callerTimeout)
	stop()
	restarts.Wait()
}

// endedUnseen reports whether the answer looks whole because its server crashed between two events of an answer with neither
// a length nor chunks.
func (r *serverRecords) endedUnseen(q *sent) bool {
	return slices.ContainsFunc(r.runs[q.id], func(run fake.Run) bool { return run.Unframed && !run.Whole && r.ended[run.Server] })
}

// inTouch reports whether no disruption of a gateway's process began or ended in the time before at that the rules excuse.
func (g gatewayTimes) inTouch(at time.Time) bool {
	since := at.Add(-contactTime)
	recent := func(t time.Time) bool { return t.After(since) && !t.After(at) }
	return !slices.ContainsFunc(g.startedAt, recent) && !slices.ContainsFunc(g.disturbedAt, recent)
}

// crashTimes returns when requests crashed engines, oldest first.
func crashTimes(records *serverRecords) []time.Time {
	var times []time.Time
	for _, runs := range records.runs {
		for _, run := range runs {
			if run.Crashed {
				times = append(times, time.UnixMilli(run.EndMS))
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// checkCrashArrivals checks that almost no requests that crash engines reach one, over all gateways in touch, later than contactTime
// after the fifth crash. It returns their number.
func checkCrashArrivals(requests []*sent, records *serverRecords, history []gatewayTimes, fail func(string, ...any)) int {
	crashes := crashTimes(records)
	if len(crashes) < ruledCrashes {
		return 0
	}
	from := crashes[ruledCrashes-1].Add(contactTime)
	var late []string
	for _, q := range requests {
		if !q.crashing {
			continue
		}
		for _, a := range records.arrivals(q.id) {
			at := time.UnixMilli(a.atMS)
			if a.status != http.StatusMisdirectedRequest && at.After(from) && history[q.gateway].inTouch(at) {
				late = append(late, fmt.Sprintf("%s at gateway %d, %.2f s after the fifth crash", q.id, q.gateway, at.Sub(from).Seconds()+contactTime.Seconds()))
				break
			}
		}
	}
	if len(late) > maxLateArrivals {
		fail("%d requests with a part that crashes engines reached one later than %v after the fifth of %d crashes, at most %d are allowed: %s",
			len(late), contactTime, len(crashes), maxLateArrivals, strings.Join(late, "; "))
	}
	return len(late)
}

// checkRefusedPrompts checks that almost no sound stream was refused because of its prompt. It returns their number.
func checkRefusedPrompts(requests []*sent, fail func(string, ...any)) int {
	sound, refused := 0, 0
	for _, q := range requests {
		if q.model == "" || q.crashing {
			continue
		}
		sound++
		if q.promptRefused {
			refused++
		}
	}
	if float64(refused) > maxRefusedFraction*float64(sound) {
		fail("%d of %d sound streams were refused because of their prompts", refused, sound)
	}
	return refused
}

// checkSoundRequests checks that sound streams which share the caller's key or the first part with those that crash engines begin
// at least half as often as before, from twice contactTime after the fifth crash or the last one if there are fewer. It returns what it
// counted, as text.
func checkSoundRequests(requests []*sent, records *serverRecords, history []gatewayTimes, fail func(string, ...any)) string {
	crashes := crashTimes(records)
	var crashing []time.Time
	for _, q := range requests {
		if q.crashing {
			crashing = append(crashing, q.at)
		}
	}
	if len(crashes) == 0 || len(crashing) == 0 {
		return ""
	}
	slices.SortFunc(crashing, time.Time.Compare)
	from := crashes[min(ruledCrashes, len(crashes))-1].Add(2 * contactTime)
	var sent, begun [2]int // before the first crashing request, and since from
	for _, q := range requests {
		shares := q.model != "" && !q.crashing && q.answer.status != http.StatusTooManyRequests
		period := -1
		switch {
		case !shares:
		case q.at.Before(crashing[0].Add(-soundMargin)):
			period = 0
		case history[q.gateway].inTouch(q.at) && q.at.After(from) && q.at.Before(crashing[len(crashing)-1]):
			period = 1
		}
		if period < 0 {
			continue
		}
		sent[period]++
		if q.begun {
			begun[period]++
		}
	}
	counted := fmt.Sprintf("%d of %d sound streams began while requests came that crash engines, %d of %d before", begun[1], sent[1], begun[0], sent[0])
	if sent[0] >= minSoundRequests && sent[1] >= minSoundRequests && 2*begun[1]*sent[0] < begun[0]*sent[1] {
		fail("%s, and at least half as often is required", counted)
	}
	return counted
}
