package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The load of the case connections. The sheet has 62.9 requests a second; the burst is its largest dose, 2.9 times for 3 s. It comes
// before the gateway ends the first idle connections.
const (
	newPerSecond    = 60
	burstFactor     = 2.9
	fillFor         = 62 * time.Second
	newBurstAt      = 57500 * time.Millisecond
	addMachinesAt   = 60 * time.Second
	addedMachines   = 3 // the spare machines of the site
	addInterval     = 300 * time.Millisecond
	connectionsEnd  = 68 * time.Second
	maxSockets      = 3900 // limits.max_fds less the 200 that are reserved for files
	openFiles       = 16   // files that are not sockets
	minDriverFiles  = 8192
	keptBookings    = 30
	bookingDeadline = 4 * time.Second
)

// connections plays callers that open a connection for each request and leave it open, and then further machines of the system.
func connections(h *harness) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < minDriverFiles {
		return false, fmt.Errorf("the driver may open too few files: %d, %w", limit.Max, err)
	}
	if err := h.put("op", "config", bookingManifest(7, bookingDeadline)); err != nil {
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
	gateways, err := h.newGateways(1 + addedMachines)
	if err != nil {
		return false, err
	}
	g := gateways[0]
	g.settings["seeds"] = []string{g.control}
	g.files = maxSockets + openFiles
	if err := h.run(g, true); err != nil {
		return false, err
	}
	if err := h.await("http://"+g.readiness+"/api/readiness", 10*time.Second); err != nil {
		return false, err
	}
	begun := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*sent
	for i := range keptBookings {
		wg.Go(func() {
			c := &caller{h: h, front: g.front, key: "i9n73hh2b9wu3fexd9dn", path: "/yele63/", body: []byte(`{"lantern":17}`)}
			defer c.close()
			for n := 0; time.Since(begun) < connectionsEnd; n++ {
				s := c.send(fmt.Sprintf("kept-%d-%d", i, n), bookingDeadline)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				pause := time.Duration(0)
				if s.status != http.StatusOK {
					pause = 100 * time.Millisecond
				}
				time.Sleep(pause + rand.N(20*time.Millisecond))
			}
		})
	}
	var open []*caller
	var single []*sent // requests of the callers that open a connection for each
	unanswered := 0
	rate := func() float64 {
		if at := time.Since(begun); h.trouble && at >= newBurstAt && at < newBurstAt+3*time.Second {
			return newPerSecond * burstFactor
		}
		return newPerSecond
	}
	wg.Go(func() {
		var one sync.WaitGroup
		for n, next := 0, begun; time.Since(begun) < fillFor; n++ {
			next = next.Add(time.Duration(float64(time.Second) / rate()))
			time.Sleep(time.Until(next))
			one.Go(func() {
				c := &caller{h: h, front: g.front, key: "i9n73hh2b9wu3fexd9dn", path: "/yele63/", body: []byte(`{"lantern":18}`)}
				s := c.send(fmt.Sprintf("new-%d", n), bookingDeadline)
				mu.Lock()
				defer mu.Unlock()
				open = append(open, c)
				single = append(single, s)
				if s.status != http.StatusOK {
					unanswered++
				}
			})
		}
		one.Wait()
	})
	end, watched := make(chan struct{}), make(chan struct{})
	kills, peak := 0, int64(0)
	go func() {
		defer close(watched)
		kills, peak = h.platform(g, end)
	}()
	if h.trouble {
		for i, added := range gateways[1:] {
			time.Sleep(time.Until(begun.Add(addMachinesAt + time.Duration(i)*addInterval)))
			h.note("a machine is added: %s", added.name)
			added.settings["seeds"] = []string{g.control}
			if err := h.run(added, false); err != nil {
				return false, err
			}
		}
	}
	wg.Wait()
	close(end)
	<-watched
	for _, line := range h.logged(g.name, "duty failed") {
		h.note("log of %s: %s", g.name, line)
	}
	h.note("%d connections opened for one request each; %d of these requests without an answer of status 200", len(open), unanswered)
	for _, c := range open {
		c.close()
	}
	for _, s := range single {
		runs := 0
		for _, server := range servers {
			runs += server.ran(s.id)
		}
		h.note("%v, runs %d", s, runs)
	}
	return judgeLost(h, g, servers, all, kills, peak), nil
}
