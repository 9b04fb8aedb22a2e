package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["fence"] = playFence }

// playFence checks that the orders of a model replica's agent never bear a lower fencing token after a higher one. The agent is stopped
// and started twice, as a rolling restart does: before and after the store comes back from a copy.
func playFence(s *system, trouble bool) (int, error) {
	const model = "daka510000"
	service := object{
		"name": "brush-assistant", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
		"engine": object{
			"slots": 64, "kv_capacity": 242678, "weights_mb": 230000, "adapter_slots": 2, "loads_per_s": 1.4,
			"models": []object{{"name": model, "weights_mb": 72700, "load_s": 1.2, "adapters": 16, "adapter_mb": 66, "warm_s": 0.32, "disk_s": 0.42}},
		},
	}
	route := object{
		"name": "guide", "hostname": host, "path_prefix": "/guide/", "type": "streaming", "timeout_ms": 12000, "target_latency_ms": 1200, "priority": 0,
		"service": "brush-assistant", "max_attempts": 2, "public": false, "sticky_sessions": true, "resumable": true, "gap_aim_ms": 500,
	}
	m := manifest(3, []object{route}, []object{service}, []object{tenant("crews", "key")})
	s.store.put("op", "config", m)
	var engines []*engine
	for i := range 4 {
		r := &replica{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "brush-assistant", zone: zoneOf(i), slots: 64, work: 10 * time.Millisecond}
		engines = append(engines, newEngine(r, model))
		if err := s.addReplica(r, fmt.Sprintf("2.%d", 10+i)); err != nil {
			return 0, err
		}
	}
	if err := s.addGateways(2); err != nil {
		return 0, err
	}
	for i := range engines {
		if err := s.addAgent(i, "brush-assistant"); err != nil {
			return 0, err
		}
	}
	if err := s.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(contactBound)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newClient(s.record, host)
			defer c.close()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				header := fmt.Sprintf("X-Model: %s/a%d\r\nX-Token-Usage: 600,40\r\nX-Prompt-Prefix: 5c1e07a2:200,e44%05x:400\r\n", model, 1+n%16, n)
				c.ask(s.gateways[i%2].front, http.MethodPost, "/guide/2f", "key", 4*time.Second, header, "{}")
			}
		}()
	}

	earlier := s.store.copyContents()
	s.record.add("the copy is taken at store version %d", earlier.version)
	taken := time.Now()
	restart := func() error {
		s.record.say("the agent %s is stopped and started, store version %d", s.agents[0].name, s.store.version())
		s.agents[0].stop(syscall.SIGTERM)
		return s.agents[0].start()
	}
	time.Sleep(copyAge - awayTime - 2500*time.Millisecond)
	if err := restart(); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(taken.Add(copyAge - awayTime)))
	if trouble {
		s.drill(earlier, m)
	}
	time.Sleep(contactBound)
	if err := restart(); err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()

	broken := 0
	for _, e := range engines {
		var highest order
		for _, o := range e.received() {
			if o.fence < highest.fence {
				if broken == 0 {
					s.record.say("replica %s: an order of %s with fence %d came %.1f s after one of %s with fence %d", e.replica.id, o.holder, o.fence,
						o.at.Sub(highest.at).Seconds(), highest.holder, highest.fence)
				}
				broken++
				continue
			}
			highest = o
		}
		s.record.say("replica %s: %d orders", e.replica.id, len(e.received()))
	}
	return broken, nil
}
