package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

const (
	// openFiles is the number of file descriptors that a gateway or an agent may have in plans with scarce descriptors.
	openFiles = 320
	// reservedFiles is the number of descriptors of the settings that the platform reserves for files.
	reservedFiles = 200
	// holdDialTimeout bounds the opening of one connection of useUpDescriptors, which the process may not accept.
	holdDialTimeout = 100 * time.Millisecond
	// The bound on retries that the settings state: for each request in the window, and in addition.
	retryRatio  = 0.2
	retrySlack  = 54
	retryWindow = 10 * time.Second
)

// scarce are the faults of PlanScarce.
var scarce = []fault{
	{"descriptors used up", useUpDescriptors},
	{"gateways killed beside failing servers", killBesideFailures},
	{"server short of descriptors", shortServer},
	{"store short of descriptors", func(s *system, rng *rand.Rand) error {
		d := faultDuration(rng)
		err := s.sendControl(s.storeAddress(), "/control/faults", fake.StoreFaults{ShortFor: d})
		time.Sleep(d)
		return err
	}},
	{"gateway killed", func(s *system, rng *rand.Rand) error { return restart(pick(s.gateways, rng), syscall.SIGKILL, rng) }},
	{"SIGHUP sent in series", sendHangups},
	{"configuration changed", func(s *system, _ *rand.Rand) error { return s.configOperator.writeConfig() }},
}

// useUpDescriptors opens connections to all ports of a gateway or an agent until the process can have no more, and holds them for a
// while.
func useUpDescriptors(s *system, rng *rand.Rand) error {
	ip, ports := s.opts.ip(1, rng.IntN(len(s.gateways))), []int{callerPort, readyPort, peerPort, portRangeLast}
	if rng.IntN(2) == 0 {
		ip, ports = s.opts.ip(2, rng.IntN(len(s.agents))), []int{portRangeFirst, portRangeLast}
	}
	var held []net.Conn
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	for range openFiles + openFiles/4 {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", ip, pick(ports, rng)), holdDialTimeout)
		if err != nil {
			continue // the process is not running or does not accept it
		}
		held = append(held, c)
	}
	time.Sleep(faultDuration(rng))
	return nil
}

// shortServer makes a server accept no connection for a while, as if it had no free descriptor.
func shortServer(s *system, rng *rand.Rand) error {
	i := rng.IntN(len(s.servers))
	d := faultDuration(rng)
	return s.withServerFault([]int{i}, fake.ReplicaFaults{ShortFor: d}, func() error {
		time.Sleep(d)
		return nil
	})
}

// killBesideFailures lets all servers of a service fail, and kills all gateways at once, a few times.
func killBesideFailures(s *system, rng *rand.Rand) error {
	service := pick([]string{engineService, deskService}, rng)
	var servers []int
	for i := range s.servers {
		if s.serviceOf(i) == service {
			servers = append(servers, i)
		}
	}
	return s.withServerFault(servers, fake.ReplicaFaults{Fail: 0.8 + rng.Float64()/5}, func() error {
		time.Sleep(time.Duration(2000+rng.IntN(2000)) * time.Millisecond) // the gateways use up the budget
		for range 1 + rng.IntN(2) {
			time.Sleep(time.Duration(1500+rng.IntN(1500)) * time.Millisecond)
			if err := s.killGateways(rng); err != nil {
				return err
			}
		}
		time.Sleep(time.Duration(3000+rng.IntN(2000)) * time.Millisecond)
		return nil
	})
}

// killGateways kills all gateways that are not being stopped at once, and starts them again.
func (s *system) killGateways(rng *rand.Rand) error {
	var killed []*program
	for _, g := range s.gateways {
		if g.stopping.TryLock() {
			defer g.stopping.Unlock()
			killed = append(killed, g)
			g.signal(syscall.SIGKILL, true)
		}
	}
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	var err error
	for _, g := range killed {
		g.wait(time.Second)
		err = errors.Join(err, g.start())
	}
	return err
}

// withServerFault runs f while the servers have a fault. It fails if another fault affects one of them.
func (s *system) withServerFault(servers []int, faults fake.ReplicaFaults, f func() error) error {
	for _, i := range servers {
		if !s.serverFaults[i].TryLock() {
			return errBusy
		}
		defer s.serverFaults[i].Unlock()
	}
	set := func(faults fake.ReplicaFaults) error {
		var err error
		for _, i := range servers {
			if i < s.opts.Engines {
				faults.OrderTime = orderTime
			}
			err = errors.Join(err, s.sendControl(s.serverAddress(i), "/control/faults", faults))
		}
		return err
	}
	return errors.Join(set(faults), f(), set(fake.ReplicaFaults{}))
}

// checkRetries checks that the arrivals beyond the first of each request stay within the bound for each service, in every window.
// The requests are those in the window, in the one before it or in the one that begins half a window earlier, whichever are most.
// It returns the largest part of the bound that was used, as text.
func checkRetries(requests []*sent, records *serverRecords, fail func(string, ...any)) string {
	fullest, summary := 0.0, "no retries"
	sentAt, retriedAt := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, q := range requests {
		service := deskService
		if q.model != "" {
			service = engineService
		}
		sentAt[service] = append(sentAt[service], q.at)
		arrivals := records.arrivals(q.id)
		slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.atMS - b.atMS) })
		for _, a := range arrivals[min(1, len(arrivals)):] {
			retriedAt[service] = append(retriedAt[service], time.UnixMilli(a.atMS))
		}
	}
	for service, retries := range retriedAt {
		for _, from := range retries {
			most := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				most = max(most, countIn(sentAt[service], from.Add(-back), retryWindow))
			}
			n, allowed := countIn(retries, from, retryWindow), retryRatio*float64(most)+retrySlack
			if used := float64(n) / allowed; used > fullest {
				fullest, summary = used, fmt.Sprintf("at most %d of %.0f allowed retries in %v at service %s", n, allowed, retryWindow, service)
			}
		}
	}
	if fullest > 1 {
		fail("too many arrivals beyond the first of their request: %s", summary)
	}
	return summary
}

// countIn returns how many times lie in the window that begins at from.
func countIn(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}
