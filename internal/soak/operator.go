package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// operator writes the configuration and remembers what was in force when.
type operator struct {
	site *site

	mu        sync.Mutex
	version   int64
	probes    int             // routes /v1/ to /vN/, one added with each version
	withdrawn map[string]bool // keys
	out       map[string]time.Time
}

const (
	watchedKey = "key-watched" // of the organisation with a limit
	freeKey    = "key-free"
	spareKeys  = 40 // keys of the free organisation that may be withdrawn
)

func spareKey(i int) string { return fmt.Sprintf("key-spare-%d", i) }

func newOperator(s *site) *operator {
	return &operator{site: s, withdrawn: make(map[string]bool), out: make(map[string]time.Time)}
}

func streamRoute(prefix string, resumable bool) map[string]any {
	r := baseRoute(prefix, "streaming", "engine")
	r["resumable"], r["gap_aim_ms"], r["sticky_sessions"] = resumable, 300, true
	if !resumable {
		r["max_attempts"] = 1
	}
	return r
}

func baseRoute(prefix, kind, service string) map[string]any {
	attempts := 2
	if kind == "unsafe" {
		attempts = 1
	}
	return map[string]any{
		"name": "r" + prefix, "hostname": "soak.example", "path_prefix": prefix, "type": kind, "timeout_ms": 2500,
		"target_latency_ms": 600, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
	}
}

// write stores the next version of the configuration.
func (o *operator) write() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.probes++
	routes := []map[string]any{
		baseRoute("/book/", "unsafe", "desk"), baseRoute("/look/", "safe", "desk"),
		streamRoute("/chat/", true), streamRoute("/brief/", false),
	}
	for i := 1; i <= o.probes; i++ {
		probe := baseRoute(fmt.Sprintf("/v%d/", i), "safe", "desk")
		probe["public"] = true
		routes = append(routes, probe)
	}
	var models []map[string]any
	for i := range modelCount {
		models = append(models, map[string]any{
			"name": modelName(i), "weights_mb": 70000, "load_s": 0.15, "adapters": adapterCount, "adapter_mb": 60,
			"warm_s": 0.15, "disk_s": 0.15,
		})
	}
	keys := []string{freeKey}
	for i := range spareKeys {
		if !o.withdrawn[spareKey(i)] {
			keys = append(keys, spareKey(i))
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes,
		"services": []map[string]any{
			{"name": "engine", "max_connections": 300, "cold_start_s": 0, "cold_per_s": 0, "engine": map[string]any{
				"slots": 16, "kv_capacity": 200000, "weights_mb": 230000, "adapter_slots": 4, "loads_per_s": loadsPerSecond,
				"models": models,
			}},
			{"name": "desk", "max_connections": 300},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
		"tenants": []map[string]any{
			{"name": "watched", "api_keys": []string{watchedKey}, "unit": "tokens", "plain_tokens": 50,
				"rate_per_s": tokenRate, "burst": tokenBurst},
			{"name": "free", "api_keys": keys},
		},
	})
	if err != nil {
		return err
	}
	return o.site.put(o.site.storeAddress(), "/control/rows",
		map[string]any{"puts": []map[string]any{{"table": "op", "key": "config", "value": value}}})
}

// withdraw takes a spare key away.
func (o *operator) withdraw(i int) error {
	o.mu.Lock()
	o.withdrawn[spareKey(i%spareKeys)] = true
	o.mu.Unlock()
	return o.write()
}

// setOut takes a data centre out of service or back.
func (o *operator) setOut(name string, out bool) error {
	entry := map[string]any{"table": "op", "key": "evacuate/" + name}
	body := map[string]any{"remove": []any{entry}}
	if out {
		entry["value"] = []byte("{}")
		body = map[string]any{"puts": []any{entry}}
	}
	o.mu.Lock()
	if out {
		o.out[name] = time.Now()
	} else {
		delete(o.out, name)
	}
	o.mu.Unlock()
	return o.site.put(o.site.storeAddress(), "/control/rows", body)
}

// known returns the routes that were added so far and the keys that were withdrawn.
func (o *operator) known() (probes int, withdrawn []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.withdrawn {
		withdrawn = append(withdrawn, key)
	}
	return o.probes, withdrawn
}
