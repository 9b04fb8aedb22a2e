package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case events: streams as in the sheet, 24 a second with a deadline of 12 s and 16 with one of 4 s, and bookings.
const (
	streamsPerSecond = 40
	streamDeadline   = 12 * time.Second
	shortDeadline    = 4 * time.Second
	streamEvents     = 42
	eventPause       = 20 * time.Millisecond
	sickAt           = 10 * time.Second
	sickFor          = 6500 * time.Millisecond
	sickBytesPerS    = 200 << 10
	sickPart         = 8 << 10
	eventsEnd        = 24 * time.Second
	streamModel      = "daka510000"
	engines          = 12
	eventBookings    = 20
)

// engine is a backend server of a model. In trouble it answers with bytes that are no event and do not end.
type engine struct {
	id, address string
	sick        *atomic.Bool
	runs        *sync.Map // number of runs, an *atomic.Int64, by request ID
	born        int64
	listed      map[string]any
}

// startEngine starts an engine that holds the model.
func (h *harness) startEngine(id string, sick *atomic.Bool, runs *sync.Map) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{id: id, address: l.Addr().String(), sick: sick, runs: runs, born: time.Now().UnixMilli()}
	e.listed = map[string]any{
		"service": "brush-assistant", "address": e.address, "zone": "walled-city", "version": "v1", "slots": 64, "state": "ready",
		"warmup_left_ms": 0, "born": e.born, "sequence": 0,
		"models": []map[string]any{{"name": streamModel, "version": 1, "adapters": []string{}}},
	}
	go func() { _ = http.Serve(l, e) }()
	if err := h.put("servers", id, e.listed); err != nil {
		return err
	}
	go func() {
		for range time.Tick(300 * time.Millisecond) {
			_ = h.put("servers", id, e.listed)
		}
	}()
	return nil
}

// ServeHTTP runs a streamed request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	n, _ := e.runs.LoadOrStore(id, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	sum := sha256.Sum256([]byte(id))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", hex.EncodeToString(sum[:8]))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func() { _ = http.NewResponseController(w).Flush() }
	part := strings.Repeat("x", sickPart)
	for i := 0; i < streamEvents || e.sick.Load(); i++ {
		pause, text := eventPause, fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, id)
		if e.sick.Load() {
			pause, text = time.Second*sickPart/sickBytesPerS, part
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		flush()
	}
}

// eventsManifest is a manifest with a route for streams beside the one for bookings.
func eventsManifest() map[string]any {
	m := bookingManifest(7, deadline)
	m["routes"] = append(m["routes"].([]map[string]any), map[string]any{
		"name": "guide", "hostname": "ficu95.example", "path_prefix": "/lohu930/", "type": "streaming", "timeout_ms": streamDeadline.Milliseconds(),
		"target_latency_ms": 1200, "priority": 0, "service": "brush-assistant", "max_attempts": 2, "public": false,
		"sticky_sessions": true, "resumable": true, "gap_aim_ms": 500,
	})
	m["services"] = append(m["services"].([]map[string]any), map[string]any{
		"name": "brush-assistant", "health_path": "/health", "max_connections": 360, "cold_start_s": 0, "cold_per_s": 0,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 242678, "weights_mb": 230000, "adapter_slots": 8, "loads_per_s": 1.4,
			"models": []map[string]any{{"name": streamModel, "weights_mb": 72700, "load_s": 1.2, "warm_s": 0.32, "disk_s": 0.42, "adapters": 0, "adapter_mb": 66}},
		},
	})
	return m
}

// events plays servers in trouble whose streams hold bytes that are no answer, without end.
func events(h *harness) (bool, error) {
	if err := h.put("op", "config", eventsManifest()); err != nil {
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
	var sick atomic.Bool
	var runs sync.Map
	for i := range engines {
		if err := h.startEngine(fmt.Sprintf("i-brush%d", i), &sick, &runs); err != nil {
			return false, err
		}
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
	end, watched := make(chan struct{}), make(chan struct{})
	kills, peak := 0, int64(0)
	go func() {
		defer close(watched)
		kills, peak = h.platform(g, end)
	}()
	begun := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*sent
	for i := range eventBookings {
		wg.Go(func() {
			c := &caller{h: h, front: g.front, key: "i9n73hh2b9wu3fexd9dn", path: "/yele63/", body: []byte(`{"lantern":17}`)}
			defer c.close()
			for n := 0; time.Since(begun) < eventsEnd; n++ {
				s := c.send(fmt.Sprintf("booking-%d-%d", i, n), deadline)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				pause := rand.N(40 * time.Millisecond)
				if s.err != nil {
					pause += 100 * time.Millisecond
				}
				time.Sleep(pause)
			}
		})
	}
	var streams []*sent
	statuses := make(map[string]int)
	wg.Go(func() {
		var one sync.WaitGroup
		for n, next := 0, begun; time.Since(begun) < eventsEnd; n++ {
			next = next.Add(time.Second / streamsPerSecond)
			time.Sleep(time.Until(next))
			one.Go(func() {
				c := &caller{
					h: h, front: g.front, key: "i9n73hh2b9wu3fexd9dn", path: "/lohu930/", body: []byte(`{}`), stream: true,
					header: fmt.Sprintf("X-Model: %s\r\nX-Token-Usage: 826,42\r\nX-Prompt-Prefix: 5c1e07a2:198,%08x:628\r\n", streamModel, n),
				}
				wait := streamDeadline
				if n%5 < 2 {
					wait = shortDeadline
				}
				s := c.send(fmt.Sprintf("stream-%d", n), wait)
				c.close()
				mu.Lock()
				defer mu.Unlock()
				key := fmt.Sprintf("%s status %d, error %v", map[bool]string{true: "in trouble", false: "before"}[s.at > sickAt], s.status, s.err != nil)
				statuses[key]++
				streams = append(streams, s)
			})
		}
		one.Wait()
	})
	if h.trouble {
		time.Sleep(time.Until(begun.Add(sickAt)))
		h.note("the engines are in trouble")
		sick.Store(true)
		time.Sleep(sickFor)
		h.note("the engines are sound again")
		sick.Store(false)
	}
	wg.Wait()
	close(end)
	<-watched
	for key, n := range statuses {
		h.note("streams %s: %d", key, n)
	}
	for _, s := range streams {
		n := int64(0)
		if v, ok := runs.Load(s.id); ok {
			n = v.(*atomic.Int64).Load()
		}
		h.note("%v, runs %d", s, n)
	}
	return judgeLost(h, g, servers, all, kills, peak), nil
}
