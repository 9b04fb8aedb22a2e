package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// loadBeforeFaults and loadAfterRecovery are the periods of fault-free load at the start and the end of a run.
	loadBeforeFaults  = 1500 * time.Millisecond
	loadAfterRecovery = 2 * time.Second
)

// Result is the outcome of a run. A request counts as succeeded if its 200 answer arrived complete, and as not run if
// it was answered 429 or 503.
type Result struct {
	Seed           uint64
	Requests       int
	Succeeded      int // answered 200 with a complete body
	NotRun         int
	OtherAnswers   int // with another status, complete
	InjectedFaults []injectedFault
	// Requests that ended without an answer, recorded only in PlanPlanned. Of those in Unread, the gateway closed the connection
	// without having read them. Those in Late reached the route's timeout or the last part of the grace period. Losses
	// violate a guarantee.
	Unread, Late, Losses []loss
	Failures             []string // one message for each violated guarantee
	crashes              string   // of PlanCrashingPrompt: what was counted
	retries              string   // in the window that used most of the bound
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
	time.Sleep(o.Plan.plan().loadBefore)
	faultCtx, stopFaults := context.WithTimeout(ctx, o.FaultDuration)
	defer stopFaults()
	crashesDone := make(chan struct{})
	go func() {
		defer close(crashesDone)
		if o.Plan == PlanCrashingPrompt {
			c.runCrashing(ctx, faultCtx, rand.New(rand.NewPCG(o.Seed, 4)))
		}
	}()
	r.InjectedFaults = s.injectFaults(faultCtx, rng, start)
	<-crashesDone
	s.clearFaults()
	if o.Plan == PlanStoreRestores {
		if err := s.changeAfterRestore(rng); err != nil {
			return r, err
		}
	}
	time.Sleep(o.Plan.plan().recoveryTime)
	recoveredAt := time.Now()
	time.Sleep(loadAfterRecovery)
	r.Failures = append(r.Failures, s.checkConfigApplied(c)...)
	stopLoad()
	<-loadDone
	r.Failures = append(r.Failures, <-routeFailures...)
	r.check(s, c, start, recoveredAt)
	return r, ctx.Err()
}

// clearFaults sets every proxy to forward normally and starts every gateway and agent that is not running.
func (s *system) clearFaults() {
	for _, p := range append(append([]*proxy{}, s.storeProxies...), s.serverProxies...) {
		p.setMode(passThrough)
	}
	for _, p := range append(append([]*program{}, s.gateways...), s.agents...) {
		if err := p.start(); err != nil {
			p.fail("was not started: %v", err)
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
