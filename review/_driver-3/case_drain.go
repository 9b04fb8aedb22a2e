package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

// leavingTime is how long a replica serves after the store has accepted its report that it drains: drain_ms and a little longer.
const leavingTime = drainBound + 800*time.Millisecond

// playDrain checks that a replica that leaves after the store has come back from a copy gets no requests later than drain_ms, and that
// no booking is lost when it exits.
func playDrain(s *system, trouble bool) (int, error) {
	m := manifest(3, []object{plainRoute("booking", "/book/", "unsafe", "lantern-ledger", 1)}, []object{plainService("lantern-ledger")},
		[]object{tenant("crews", "key")})
	s.store.put("op", "config", m)
	newReplica := func(i int) (*replica, error) {
		r := &replica{id: fmt.Sprintf("i-%08x", 0x31b174c0+i), service: "lantern-ledger", zone: zoneOf(i), slots: 6, work: 100 * time.Millisecond}
		return r, s.addReplica(r, fmt.Sprintf("3.%d", 1+i))
	}
	for i := range 4 {
		if _, err := newReplica(i); err != nil {
			return 0, err
		}
	}
	if err := s.addGateways(3); err != nil {
		return 0, err
	}
	if err := s.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(contactBound)

	stop := make(chan struct{})
	var mu sync.Mutex
	var all []*sent
	var wg sync.WaitGroup
	for i := range 36 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newClient(s.record, host)
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
				}
				q := c.ask(s.gateways[i%3].front, http.MethodPost, "/book/2f", "key", 4*time.Second, "", "lantern")
				mu.Lock()
				all = append(all, q)
				mu.Unlock()
			}
		}()
	}

	earlier := s.store.copyContents()
	s.record.add("the copy is taken at store version %d", earlier.version)
	time.Sleep(copyAge - awayTime)
	leaving := s.replicas[0] // the one that wrote its entry last, which the others do up to a heartbeat earlier
	for _, r := range s.replicas {
		if r.version.Load() > leaving.version.Load() {
			leaving = r
		}
	}
	if trouble {
		s.drill(earlier, m)
	}
	returned := time.Now()
	time.Sleep(contactBound - 300*time.Millisecond)
	next, err := newReplica(4) // it starts first, then the old one drains
	if err != nil {
		return 0, err
	}
	s.record.add("replica %s replaces the next one that leaves", next.id)
	time.Sleep(time.Until(returned.Add(contactBound + 100*time.Millisecond))) // the store is stable again
	v := leaving.drain()
	confirmed := time.Now()
	s.record.say("replica %s reports draining, store version %d", leaving.id, v)
	time.Sleep(leavingTime)
	s.record.say("replica %s exits", leaving.id)
	leaving.end()
	s.store.remove("servers", leaving.id)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()

	late, cut := 0, 0
	for _, a := range leaving.runs() {
		if a.at.Sub(confirmed) > drainBound {
			late++
			if !a.whole {
				cut++
			}
		}
	}
	failed := 0
	for _, q := range all {
		if q.at.After(confirmed) && q.status != http.StatusOK {
			failed++
		}
	}
	s.record.say("%d bookings reached the replica later than drain_ms after the confirmation; %d of them ran and were cut at its exit; %d bookings sent after the confirmation were not answered with success",
		late, cut, failed)
	return late, nil
}
