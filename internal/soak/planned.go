package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// serverEndTimeout is how long a server may take to finish its requests at its end.
const serverEndTimeout = 8 * time.Second

// errBusy says that a fault was not injected, because another one affects its target.
var errBusy = errors.New("not injected: another fault affects the target")

// plannedWork are the faults of PlanPlanned.
var plannedWork = []fault{
	{"gateway stopped", func(s *system, rng *rand.Rand) error { return stopGateway(pick(s.gateways, rng), rng) }},
	{"gateways stopped one after the other", func(s *system, rng *rand.Rand) error {
		for _, g := range s.gateways {
			if err := stopGateway(g, rng); err != nil {
				return err
			}
		}
		return nil
	}},
	{"gateways stopped in series, overlapping", stopGatewaysOverlapping},
	{"SIGHUP sent in series", sendHangups},
	{"configuration changed in series", func(s *system, rng *rand.Rand) error {
		return s.writeConfigs(rng, func() error { return s.configOperator.writeConfig() })
	}},
	{"keys withdrawn in series", func(s *system, rng *rand.Rand) error {
		return s.writeConfigs(rng, func() error { return s.configOperator.withdrawKey(rng.IntN(spareKeys)) })
	}},
	{"server silent", silenceServer},
	{"server silent while others reject", silenceServerBesideRejections},
	{"server leaving", replaceServer},
	{"server rejects for a stated time", rejectForStatedTime},
}

// stopGateway stops a gateway as the platform does and starts it again.
func stopGateway(g *program, rng *rand.Rand) error {
	if !g.stopping.TryLock() {
		return errBusy
	}
	defer g.stopping.Unlock()
	g.signal(syscall.SIGTERM, true)
	if !g.wait(grace) {
		g.fail("had not ended %v after SIGTERM", grace)
	}
	time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
	return g.start()
}

// stopGatewaysOverlapping stops all gateways, each before the one before it has ended.
func stopGatewaysOverlapping(s *system, rng *rand.Rand) error {
	results := make(chan error, len(s.gateways))
	for _, g := range s.gateways {
		gatewayRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		go func() { results <- stopGateway(g, gatewayRNG) }()
		time.Sleep(time.Duration(100+rng.IntN(2000)) * time.Millisecond)
	}
	var err error
	for range s.gateways {
		err = errors.Join(err, <-results)
	}
	return err
}

// sendHangups sends SIGHUP to the gateways and agents, several times to each.
func sendHangups(s *system, rng *rand.Rand) error {
	for range 4 + rng.IntN(8) {
		pick(s.gateways, rng).hangup()
		pick(s.agents, rng).hangup()
		time.Sleep(time.Duration(rng.IntN(250)) * time.Millisecond)
	}
	return nil
}

// writeConfigs writes several configurations.
func (s *system) writeConfigs(rng *rand.Rand, write func() error) error {
	for range 3 + rng.IntN(6) {
		if err := write(); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
	return nil
}

// lockServer chooses a server that no other fault of this file affects. The caller calls unlock after the fault.
func (s *system) lockServer(rng *rand.Rand) (server int, unlock func(), err error) {
	for _, i := range rng.Perm(len(s.servers)) {
		if s.serverFaults[i].TryLock() {
			return i, s.serverFaults[i].Unlock, nil
		}
	}
	return 0, nil, errBusy
}

// setServerFaults sets the faults of a server and keeps the duration of its orders.
func (s *system) setServerFaults(server int, f fake.ReplicaFaults) error {
	if server < s.opts.Engines {
		f.OrderTime = orderTime
	}
	if err := s.sendControl(s.serverAddress(server), "/control/faults", f); err != nil {
		return fmt.Errorf("server %d: %w", server, err)
	}
	return nil
}

// silence returns faults that make a server pause before the head or within the body of a part of its responses.
func silence(rng *rand.Rand) fake.ReplicaFaults {
	f := fake.ReplicaFaults{Silence: time.Duration(800+rng.IntN(1001)) * time.Millisecond}
	share := 0.3 + 0.6*rng.Float64()
	if rng.IntN(3) == 0 {
		f.SilentHead = share
	} else {
		f.SilentBody = share
	}
	return f
}

// rejection returns faults that make a server reject all or a part of the requests with Retry-After.
func rejection(rng *rand.Rand) fake.ReplicaFaults {
	f := fake.ReplicaFaults{Shed: 1, RetryAfter: time.Duration(1+rng.IntN(3)) * time.Second}
	if rng.IntN(2) == 0 {
		f.RetryAfter = time.Duration(1000+rng.IntN(2001)) * time.Millisecond
	}
	if rng.IntN(2) == 0 {
		f.Shed = 0.3
	}
	return f
}

// holdServerFaults sets the faults of a server, and clears them after d.
func (s *system) holdServerFaults(server int, f fake.ReplicaFaults, d time.Duration) error {
	if err := s.setServerFaults(server, f); err != nil {
		return err
	}
	time.Sleep(d)
	return s.setServerFaults(server, fake.ReplicaFaults{})
}

// silenceServer makes a server silent from time to time.
func silenceServer(s *system, rng *rand.Rand) error {
	server, unlock, err := s.lockServer(rng)
	if err != nil {
		return err
	}
	defer unlock()
	return s.holdServerFaults(server, silence(rng), time.Duration(1500+rng.IntN(2500))*time.Millisecond)
}

// rejectForStatedTime makes a server reject requests for about the time that it states.
func rejectForStatedTime(s *system, rng *rand.Rand) error {
	server, unlock, err := s.lockServer(rng)
	if err != nil {
		return err
	}
	defer unlock()
	f := rejection(rng)
	return s.holdServerFaults(server, f, f.RetryAfter+time.Duration(rng.IntN(1000))*time.Millisecond)
}

// silenceServerBesideRejections makes a server silent from time to time, while all others of its service reject.
func silenceServerBesideRejections(s *system, rng *rand.Rand) error {
	server, unlock, err := s.lockServer(rng)
	if err != nil {
		return err
	}
	defer unlock()
	d := time.Duration(1500+rng.IntN(2500)) * time.Millisecond
	done := make(chan error, len(s.servers))
	faulty := 1
	go func(f fake.ReplicaFaults) { done <- s.holdServerFaults(server, f, d) }(silence(rng))
	for i := range s.servers {
		if i == server || s.serviceOf(i) != s.serviceOf(server) || !s.serverFaults[i].TryLock() {
			continue
		}
		defer s.serverFaults[i].Unlock()
		f := rejection(rng)
		f.Shed = 1
		faulty++
		go func() { done <- s.holdServerFaults(i, f, d) }()
	}
	for range faulty {
		err = errors.Join(err, <-done)
	}
	return err
}

// replaceServer lets a server leave and starts a new one at its address. The server first says in its answers that it leaves,
// and then, mostly, in the list. At most one server of a service leaves at a time.
func replaceServer(s *system, rng *rand.Rand) error {
	server, unlock, err := s.lockServer(rng)
	if err != nil {
		return err
	}
	defer unlock()
	leaving := s.leaving[s.serviceOf(server)]
	if !leaving.TryLock() {
		return errBusy
	}
	defer leaving.Unlock()
	err = s.announceLeaving(server, rng)
	p := s.servers[server]
	p.signal(syscall.SIGCONT, false)
	p.signal(syscall.SIGTERM, true)
	if !p.wait(serverEndTimeout) {
		err = errors.Join(err, fmt.Errorf("server %d had not ended %v after SIGTERM", server, serverEndTimeout))
	}
	time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
	p.setArgs(s.serverArgs(server, p.incarnation()+1))
	if startErr := p.start(); startErr != nil {
		return errors.Join(err, startErr)
	}
	return errors.Join(err, s.waitForServer(server))
}

// announceLeaving lets a server say that it leaves, and returns when it may end.
func (s *system) announceLeaving(server int, rng *rand.Rand) error {
	if err := s.sendControl(s.serverAddress(server), "/control/leave", nil); err != nil {
		return err
	}
	time.Sleep(drainTime + time.Duration(1000+rng.IntN(2500))*time.Millisecond)
	if rng.IntN(4) == 0 {
		return nil
	}
	if err := s.sendControl(s.serverAddress(server), "/control/drain", nil); err != nil {
		return err
	}
	time.Sleep(time.Duration(800+rng.IntN(1000)) * time.Millisecond)
	return nil
}

// waitForServer waits until a server responds to control requests.
func (s *system) waitForServer(server int) error {
	end := time.Now().Add(2 * time.Second)
	for {
		resp, err := s.client.Get("http://" + s.serverAddress(server) + "/api/report")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		if time.Now().After(end) {
			return fmt.Errorf("server %d did not start: %w", server, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
