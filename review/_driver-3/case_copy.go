package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["copy"] = playCopy }

// playCopy checks that bookings run once and that a refusal says the truth, while one of three replicas sends second copies of some of
// its answers, late, where the next answer on the connection is expected.
func playCopy(s *system, trouble bool) (int, error) {
	m := manifest(3, []object{plainRoute("booking", "/book/", "unsafe", "lantern-ledger", 1)}, []object{plainService("lantern-ledger")},
		[]object{tenant("crews", "key")})
	s.store.put("op", "config", m)
	for i := range 3 {
		r := &replica{id: fmt.Sprintf("i-%08x", 0x31b174c0+i), service: "lantern-ledger", zone: zoneOf(i), slots: 6, work: 60 * time.Millisecond}
		if err := s.addReplica(r, fmt.Sprintf("3.%d", 1+i)); err != nil {
			return 0, err
		}
	}
	copies, begun := 0, time.Now()
	var copyMu sync.Mutex
	// 0.03 of the answers, for 5 s of each 8 s.
	copyDue := func(answers int) bool {
		return trouble && answers%33 == 0 && time.Since(begun)%(8*time.Second) < 5*time.Second
	}
	for i, r := range s.replicas {
		faulty, answers := i == 0, 0
		r.respond = func(c *replicaConn, q *http.Request, _ []byte) bool {
			if len(c.late) > 0 {
				if !c.sendRaw(string(c.late)) {
					return false
				}
				c.late = nil
			}
			id := q.Header.Get("X-Request-Id")
			var text string
			var a *arrival
			if r.full() {
				// As fleetbench wire shows the answer of a server that sheds: it bears no id.
				text = response("503 Service Unavailable", "X-Not-Executed: 1\r\n", "")
				r.record.add("replica %s: sheds %s", r.id, id)
			} else {
				a = r.run(q)
				time.Sleep(r.work)
				text = response("200 OK", answerHeader(id), "done "+id)
			}
			ok := c.sendRaw(text)
			if a != nil {
				r.finish(a, ok)
			}
			copyMu.Lock()
			defer copyMu.Unlock()
			if answers++; faulty && copyDue(answers) {
				r.record.add("replica %s: will send its answer to %s a second time, late", r.id, id)
				c.late = []byte(text)
				copies++
			}
			return ok
		}
	}
	if err := s.addGateways(3); err != nil {
		return 0, err
	}
	if err := s.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var all []*sent
	var wg sync.WaitGroup
	end := time.Now().Add(40 * time.Second)
	for i := range 48 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newClient(s.record, host)
			defer c.close()
			for time.Now().Before(end) {
				q := c.ask(s.gateways[i%3].front, http.MethodPost, "/book/2f", "key", 4*time.Second, "", "lantern")
				mu.Lock()
				all = append(all, q)
				mu.Unlock()
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	runs := s.runs()
	twice, untrue, foreign := 0, 0, 0
	for _, q := range all {
		ran := runs[q.id]
		if len(ran) > 1 {
			twice++
			s.record.add("TWICE: %s ran at %s and %s; its consumer got %d", q.id, ran[0].replica, ran[1].replica, q.status)
		}
		if q.promisesNotRun() && len(ran) > 0 {
			untrue++
			s.record.add("REFUSED: %s ran at %s; its consumer got %d", q.id, ran[0].replica, q.status)
		}
		if q.status == http.StatusOK && q.body != "done "+q.id {
			foreign++
			s.record.add("MIXED: the consumer of %s got %q", q.id, q.body)
		}
	}
	s.record.say("%d bookings, %d second copies: %d ran twice, %d were refused as not run and had run, %d got a foreign answer", len(all), copies, twice, untrue, foreign)
	return twice + untrue + foreign, nil
}
