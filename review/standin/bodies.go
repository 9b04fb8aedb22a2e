package main

import (
	"fmt"
	"sync"
	"time"
)

// The load of the case bodies. The burst multiplies the callers with long bodies by less than 2.9, the largest dose of the sheet.
const (
	bodyBytes     = 4 << 20 // limits.max_body_bytes
	bodyRate      = 2 << 20 // bytes a second of one caller
	usualUploads  = 14
	burstUploads  = 40
	shortBookings = 30
	burstAt       = 8 * time.Second
	burstFor      = 3 * time.Second
	caseLength    = 20 * time.Second
	deadline      = 4 * time.Second
	bookingWork   = 300 * time.Millisecond // of a server for each booking
	allowedLost   = 3
)

// bookingManifest is a manifest with one route for bookings.
func bookingManifest(version int, timeout time.Duration) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "booking", "hostname": "ficu95.example", "path_prefix": "/yele63/", "type": "unsafe", "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 300, "priority": 2, "service": "lantern-ledger", "max_attempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": "lantern-ledger", "health_path": "/health", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "hule930", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "tokens", "plain_tokens": 1,
			"rate_per_s": 122421, "burst": 122421,
		}},
	}
}

// platform ends the process of a gateway whose memory exceeds the limit of its machine, as the users' platform does, and starts it
// again. It returns when end is closed.
func (h *harness) platform(g *gateway, end <-chan struct{}) (kills int, peak int64) {
	for {
		select {
		case <-end:
			return kills, peak
		case <-time.After(5 * time.Millisecond):
		}
		used := memory(g.process.pid())
		peak = max(peak, used)
		select {
		case <-g.process.ended:
			h.note("%s has ended: %v", g.name, g.process.cmd.ProcessState)
		default:
			if used <= memoryLimitMB<<20 {
				continue
			}
			h.note("%s uses %d MB, over its limit of %d MB: killed", g.name, used>>20, memoryLimitMB)
			kills++
			_ = g.process.cmd.Process.Kill()
			<-g.process.ended
		}
		time.Sleep(300 * time.Millisecond)
		if err := h.run(g, false); err != nil {
			h.note("%s not started again: %v", g.name, err)
			<-end
			return kills, peak
		}
	}
}

// bodies plays a burst of requests whose bodies are as long as the manifest allows.
func bodies(h *harness) (bool, error) {
	if err := h.put("op", "config", bookingManifest(7, deadline)); err != nil {
		return false, err
	}
	var servers []*server
	for i := range 3 {
		s, err := h.startServer(fmt.Sprintf("i-ledger%d", i), "lantern-ledger", 32, bookingWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	gateways, err := h.newGateways(1)
	if err != nil {
		return false, err
	}
	g := gateways[0]
	if err := h.run(g, true); err != nil {
		return false, err
	}
	if err := h.await("http://"+g.readiness+"/api/readiness", 10*time.Second); err != nil {
		return false, err
	}
	end := make(chan struct{})
	watched := make(chan struct{})
	kills, peak := 0, int64(0)
	go func() {
		defer close(watched)
		kills, peak = h.platform(g, end)
	}()
	begun := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*sent
	loop := func(name string, body []byte, rate int, from, until, pause time.Duration) {
		c := &caller{h: h, front: g.front, key: "i9n73hh2b9wu3fexd9dn", path: "/yele63/", body: body, rate: rate}
		defer c.close()
		time.Sleep(time.Until(begun.Add(from)))
		for i := 0; time.Since(begun) < until; i++ {
			s := c.send(fmt.Sprintf("%s-%d", name, i), deadline)
			mu.Lock()
			all = append(all, s)
			mu.Unlock()
			if s.err != nil {
				pause = max(pause, 100*time.Millisecond)
			}
			time.Sleep(pause)
		}
	}
	long := make([]byte, bodyBytes)
	uploads := usualUploads
	if h.trouble {
		uploads = burstUploads
	}
	for i := range uploads {
		from, until := time.Duration(i)*100*time.Millisecond, caseLength
		if i >= usualUploads {
			from, until = burstAt, burstAt+burstFor
		}
		wg.Go(func() { loop(fmt.Sprintf("upload-%d", i), long, bodyRate, from, until, 0) })
	}
	for i := range shortBookings {
		wg.Go(func() {
			loop(fmt.Sprintf("booking-%d", i), []byte(`{"lantern":17}`), 0, 0, caseLength, 20*time.Millisecond)
		})
	}
	wg.Wait()
	close(end)
	<-watched
	return judgeLost(h, g, servers, all, kills, peak), nil
}

// judgeLost counts the requests from kept connections that a server ran and that were closed without an answer.
func judgeLost(h *harness, g *gateway, servers []*server, all []*sent, kills int, peak int64) bool {
	lost, answered := 0, 0
	for _, s := range all {
		runs := 0
		for _, server := range servers {
			runs += server.ran(s.id)
		}
		h.note("%v, runs %d", s, runs)
		if s.status == 200 {
			answered++
			continue
		}
		if s.err != nil && s.kept && runs > 0 {
			lost++
		}
	}
	h.note("%d requests, %d answered with 200; %s was over its memory %d times, most memory %d MB", len(all), answered, g.name, kills, peak>>20)
	h.note("requests from kept connections that ran at a sound server and were closed without an answer: %d, allowed %d", lost, allowedLost)
	return lost > allowedLost
}
