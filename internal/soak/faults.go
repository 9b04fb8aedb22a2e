package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// fault is one kind of trouble. It returns when it is over; several run at the same time.
type fault struct {
	name string
	run  func(s *site, rng *rand.Rand) error
}

// faults are chosen with equal weight.
var faults = []fault{
	{"gateway killed", func(s *site, rng *rand.Rand) error { return restart(pick(s.gateways, rng), syscall.SIGKILL, rng) }},
	{"gateway stopped", func(s *site, rng *rand.Rand) error { return restart(pick(s.gateways, rng), syscall.SIGTERM, rng) }},
	{"gateways stopped in series", func(s *site, rng *rand.Rand) error {
		for _, g := range s.gateways {
			if err := restart(g, syscall.SIGTERM, rng); err != nil {
				return err
			}
		}
		return nil
	}},
	{"gateway paused", func(s *site, rng *rand.Rand) error { return pause(pick(s.gateways, rng), rng) }},
	{"agent killed", func(s *site, rng *rand.Rand) error { return restart(pick(s.agents, rng), syscall.SIGKILL, rng) }},
	{"agent paused", func(s *site, rng *rand.Rand) error { return pause(pick(s.agents, rng), rng) }},
	{"server paused", func(s *site, rng *rand.Rand) error { return pause(pick(s.servers, rng), rng) }},
	{"settings signal", func(s *site, rng *rand.Rand) error {
		pick(s.gateways, rng).signal(syscall.SIGHUP, false)
		pick(s.agents, rng).signal(syscall.SIGHUP, false)
		return nil
	}},
	{"engine restarted", func(s *site, rng *rand.Rand) error {
		return s.put(s.serverAddress(rng.IntN(s.opts.Engines)), "/control/restart", nil)
	}},
	{"server in trouble", serverTrouble},
	{"way to a server in trouble", func(s *site, rng *rand.Rand) error { return wayTrouble(pick(s.toServer, rng), rng) }},
	{"way to the store in trouble", func(s *site, rng *rand.Rand) error { return wayTrouble(pick(s.toStore, rng), rng) }},
	{"store in trouble", storeTrouble},
	{"history dropped", func(s *site, _ *rand.Rand) error { return s.put(s.storeAddress(), "/control/history", nil) }},
	{"configuration changed", func(s *site, rng *rand.Rand) error {
		for range 1 + rng.IntN(4) {
			if err := s.config.write(); err != nil {
				return err
			}
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		return nil
	}},
	{"key withdrawn", func(s *site, rng *rand.Rand) error { return s.config.withdraw(rng.IntN(spareKeys)) }},
	{"data centre out and back", func(s *site, rng *rand.Rand) error {
		name := dataCentres[rng.IntN(len(dataCentres))]
		if err := s.config.setOut(name, true); err != nil {
			return err
		}
		time.Sleep(span(rng))
		return s.config.setOut(name, false)
	}},
}

func pick[T any](list []T, rng *rand.Rand) T { return list[rng.IntN(len(list))] }

// span returns the duration of a fault.
func span(rng *rand.Rand) time.Duration { return time.Duration(300+rng.IntN(2500)) * time.Millisecond }

func restart(p *program, s syscall.Signal, rng *rand.Rand) error {
	p.signal(syscall.SIGCONT, false)
	p.signal(s, true)
	p.wait(6 * time.Second)
	time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
	return p.start()
}

func pause(p *program, rng *rand.Rand) error {
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(span(rng))
	p.signal(syscall.SIGCONT, false)
	return nil
}

func serverTrouble(s *site, rng *rand.Rand) error {
	kinds := []fake.ReplicaFaults{
		{Shed: 0.6}, {Fail: 0.5}, {Drop: 0.4}, {Truncate: 0.4}, {Unsigned: 0.4}, {Hang: 0.3},
		{Slow: 400 * time.Millisecond}, {LateOrders: 0.5},
	}
	i := rng.IntN(len(s.servers))
	f := kinds[rng.IntN(len(kinds))]
	if i < s.opts.Engines {
		f.OrderTime = 150 * time.Millisecond
	}
	if err := s.put(s.serverAddress(i), "/control/faults", f); err != nil {
		return fmt.Errorf("server %d: %w", i, err)
	}
	time.Sleep(span(rng))
	return s.put(s.serverAddress(i), "/control/faults", fake.ReplicaFaults{OrderTime: f.OrderTime})
}

func wayTrouble(p *proxy, rng *rand.Rand) error {
	if rng.IntN(4) == 0 {
		p.reset()
		return nil
	}
	p.set([]proxyMode{delayed, oneWay, silenced}[rng.IntN(3)])
	time.Sleep(span(rng))
	p.set(pass)
	p.reset() // what was held back is lost
	return nil
}

func storeTrouble(s *site, rng *rand.Rand) error {
	kinds := []fake.StoreFaults{{Refuse: true}, {Silent: true}, {Reset: true}, {Delay: 150 * time.Millisecond}, {Lose: 0.5}}
	if err := s.put(s.storeAddress(), "/control/faults", kinds[rng.IntN(len(kinds))]); err != nil {
		return err
	}
	time.Sleep(span(rng))
	return s.put(s.storeAddress(), "/control/faults", fake.StoreFaults{})
}

// event is a fault that was injected.
type event struct {
	Name string
	At   time.Duration // since the start of the load
	For  time.Duration
	Err  string
}

// inject runs faults by the schedule of rng until ctx ends, one to three at a time, and returns them.
func (s *site) inject(ctx context.Context, rng *rand.Rand, start time.Time) []event {
	done := make(chan event)
	running := 0
	var events []event
	collect := func() {
		events = append(events, <-done)
		running--
	}
	for ctx.Err() == nil {
		f := faults[rng.IntN(len(faults))]
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		running++
		go func() {
			at := time.Now()
			e := event{Name: f.name, At: at.Sub(start)}
			if err := f.run(s, own); err != nil {
				e.Err = err.Error()
			}
			e.For = time.Since(at)
			done <- e
		}()
		for running >= 3 {
			collect()
		}
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
	}
	for running > 0 {
		collect()
	}
	return events
}
