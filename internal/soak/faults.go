package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// fault is one kind of fault. run injects it and returns when it is over; several faults may run at the same time.
type fault struct {
	name string
	run  func(s *system, rng *rand.Rand) error
}

// disruptions are the faults of PlanDisruptions.
var disruptions = []fault{
	{"gateway killed", func(s *system, rng *rand.Rand) error { return restart(pick(s.gateways, rng), syscall.SIGKILL, rng) }},
	{"gateway stopped", func(s *system, rng *rand.Rand) error { return restart(pick(s.gateways, rng), syscall.SIGTERM, rng) }},
	{"gateways stopped one after the other", func(s *system, rng *rand.Rand) error {
		for _, g := range s.gateways {
			if err := restart(g, syscall.SIGTERM, rng); err != nil {
				return err
			}
		}
		return nil
	}},
	{"gateway paused", func(s *system, rng *rand.Rand) error { return pause(pick(s.gateways, rng), rng) }},
	{"agent killed", func(s *system, rng *rand.Rand) error { return restart(pick(s.agents, rng), syscall.SIGKILL, rng) }},
	{"agent paused", func(s *system, rng *rand.Rand) error { return pause(pick(s.agents, rng), rng) }},
	{"server paused", func(s *system, rng *rand.Rand) error { return pause(pick(s.servers, rng), rng) }},
	{"SIGHUP sent", func(s *system, rng *rand.Rand) error {
		pick(s.gateways, rng).hangup()
		pick(s.agents, rng).hangup()
		return nil
	}},
	{"engine restarted", func(s *system, rng *rand.Rand) error {
		return s.sendControl(s.serverAddress(rng.IntN(s.opts.Engines)), "/control/restart", nil)
	}},
	{"server fault", injectServerFault},
	{"network fault on the way to a server", func(s *system, rng *rand.Rand) error {
		return injectNetworkFault(pick(s.serverProxies, rng), rng)
	}},
	{"network fault on the way to the store", func(s *system, rng *rand.Rand) error {
		return injectNetworkFault(pick(s.storeProxies, rng), rng)
	}},
	{"store fault", injectStoreFault},
	{"store history dropped", func(s *system, _ *rand.Rand) error {
		return s.sendControl(s.storeAddress(), "/control/history", nil)
	}},
	{"configuration changed", func(s *system, rng *rand.Rand) error {
		for range 1 + rng.IntN(4) {
			if err := s.configOperator.writeConfig(); err != nil {
				return err
			}
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		return nil
	}},
	{"key withdrawn", func(s *system, rng *rand.Rand) error { return s.configOperator.withdrawKey(rng.IntN(spareKeys)) }},
	{"data centre taken out and restored", takeDataCentreOut},
	{"SIGHUP sent in series", sendHangups},
	{"server silent", silenceServer},
	{"server leaving", replaceServer},
	{"server rejects for a stated time", rejectForStatedTime},
}

// takeDataCentreOut takes a data centre out of service for a time.
func takeDataCentreOut(s *system, rng *rand.Rand) error {
	name := dataCentres[rng.IntN(len(dataCentres))]
	if err := s.configOperator.setOutOfService(name, true); err != nil {
		return err
	}
	time.Sleep(faultDuration(rng))
	return s.configOperator.setOutOfService(name, false)
}

func pick[T any](list []T, rng *rand.Rand) T { return list[rng.IntN(len(list))] }

// faultDuration returns a random duration for a fault.
func faultDuration(rng *rand.Rand) time.Duration {
	return time.Duration(300+rng.IntN(2500)) * time.Millisecond
}

func restart(p *program, s syscall.Signal, rng *rand.Rand) error {
	p.signal(syscall.SIGCONT, false)
	p.signal(s, true)
	p.wait(6 * time.Second)
	time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
	return p.start()
}

func pause(p *program, rng *rand.Rand) error {
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(faultDuration(rng))
	p.signal(syscall.SIGCONT, false)
	return nil
}

func injectServerFault(s *system, rng *rand.Rand) error {
	kinds := []fake.ReplicaFaults{
		{Shed: 0.6}, {Fail: 0.5}, {Drop: 0.4}, {Truncate: 0.4}, {Unsigned: 0.4}, {Hang: 0.3},
		{Slow: 400 * time.Millisecond}, {LateOrders: 0.5},
	}
	i := rng.IntN(len(s.servers))
	f := kinds[rng.IntN(len(kinds))]
	if i < s.opts.Engines {
		f.OrderTime = orderTime
	}
	if err := s.sendControl(s.serverAddress(i), "/control/faults", f); err != nil {
		return fmt.Errorf("server %d: %w", i, err)
	}
	time.Sleep(faultDuration(rng))
	return s.sendControl(s.serverAddress(i), "/control/faults", fake.ReplicaFaults{OrderTime: f.OrderTime})
}

func injectNetworkFault(p *proxy, rng *rand.Rand) error {
	if rng.IntN(4) == 0 {
		p.resetConnections()
		return nil
	}
	p.setMode([]proxyMode{delayed, dropFromServer, stalled}[rng.IntN(3)])
	time.Sleep(faultDuration(rng))
	p.setMode(passThrough)
	p.resetConnections() // also loses the data that was held back
	return nil
}

func injectStoreFault(s *system, rng *rand.Rand) error {
	kinds := []fake.StoreFaults{{Refuse: true}, {Silent: true}, {Reset: true}, {Delay: 150 * time.Millisecond}, {Lose: 0.5}}
	if err := s.sendControl(s.storeAddress(), "/control/faults", kinds[rng.IntN(len(kinds))]); err != nil {
		return err
	}
	time.Sleep(faultDuration(rng))
	return s.sendControl(s.storeAddress(), "/control/faults", fake.StoreFaults{})
}

// injectedFault is a fault that was injected, with the error of injecting it or an empty text.
type injectedFault struct {
	Name     string
	Start    time.Duration // since the start of the load
	Duration time.Duration
	Err      string
}

// injectFaults starts faults of the plan at random times drawn from rng until ctx ends. It waits for them and returns them.
func (s *system) injectFaults(ctx context.Context, rng *rand.Rand, start time.Time) []injectedFault {
	plan := s.opts.Plan.plan()
	done := make(chan injectedFault)
	running := 0
	var events []injectedFault
	collect := func() {
		events = append(events, <-done)
		running--
	}
	for ctx.Err() == nil {
		f := pick(plan.faults, rng)
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		running++
		go func() {
			at := time.Now()
			e := injectedFault{Name: f.name, Start: at.Sub(start)}
			if err := f.run(s, faultRNG); err != nil {
				e.Err = err.Error()
			}
			e.Duration = time.Since(at)
			done <- e
		}()
		for running >= plan.maxConcurrent {
			collect()
		}
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
		if plan.pause > 0 {
			time.Sleep(time.Duration(rng.Int64N(int64(plan.pause))))
		}
	}
	for running > 0 {
		collect()
	}
	return events
}
