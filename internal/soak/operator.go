package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// operator writes the configuration and records which routes, keys and data centres it changed.
type operator struct {
	system *system

	mu            sync.Mutex
	version       int64
	probeRoutes   int                  // number of routes /v1/ to /vN/, one added with each version
	withdrawnKeys map[string]bool      // withdrawn spare keys
	out           map[string]time.Time // when each data centre was taken out of service
}

const (
	watchedKey = "key-watched" // key of the organisation with a token limit
	freeKey    = "key-free"
	spareKeys  = 40 // number of further keys of the organisation "free", which may be withdrawn
)

// routeTimeout is the longest time until the end of an answer that the configuration allows.
const routeTimeout = 2500 * time.Millisecond

const spareKeyPrefix = "key-spare-"

func spareKey(i int) string { return spareKeyPrefix + fmt.Sprint(i) }

func newOperator(s *system) *operator {
	return &operator{system: s, withdrawnKeys: make(map[string]bool), out: make(map[string]time.Time)}
}

func streamRoute(prefix string, resumable bool) map[string]any {
	r := baseRoute(prefix, "streaming", engineService)
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
		"name": "r" + prefix, "hostname": "soak.example", "path_prefix": prefix, "type": kind, "timeout_ms": routeTimeout.Milliseconds(),
		"target_latency_ms": 600, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
	}
}

// writeConfig stores the next version of the configuration, with one more probe route.
func (o *operator) writeConfig() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.probeRoutes++
	routes := []map[string]any{
		baseRoute("/book/", "unsafe", deskService), baseRoute("/look/", "safe", deskService),
		streamRoute("/chat/", true), streamRoute("/brief/", false),
	}
	for _, route := range routes { // a change that concerns requests in progress
		route["target_latency_ms"] = 600 + 50*(o.version%3)
	}
	for i := 1; i <= o.probeRoutes; i++ {
		probe := baseRoute(fmt.Sprintf("/v%d/", i), "safe", deskService)
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
		if !o.withdrawnKeys[spareKey(i)] {
			keys = append(keys, spareKey(i))
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes,
		"services": []map[string]any{
			{"name": engineService, "max_connections": 300, "cold_start_s": 0, "cold_per_s": 0, "engine": map[string]any{
				"slots": 16, "kv_capacity": 200000, "weights_mb": 230000, "adapter_slots": 4, "loads_per_s": loadsPerSecond,
				"models": models,
			}},
			{"name": deskService, "max_connections": 300 + o.version%2},
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
	return o.system.sendControl(o.system.storeAddress(), "/control/rows",
		map[string]any{"puts": []map[string]any{{"table": "op", "key": "config", "value": value}}})
}

// withdrawKey removes a spare key from the configuration.
func (o *operator) withdrawKey(i int) error {
	o.mu.Lock()
	o.withdrawnKeys[spareKey(i%spareKeys)] = true
	o.mu.Unlock()
	return o.writeConfig()
}

// setOutOfService takes a data centre out of service or restores it.
func (o *operator) setOutOfService(name string, out bool) error {
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
	return o.system.sendControl(o.system.storeAddress(), "/control/rows", body)
}

// probeState returns the number of probe routes added so far and the withdrawn keys.
func (o *operator) probeState() (probeRoutes int, withdrawnKeys []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.withdrawnKeys {
		withdrawnKeys = append(withdrawnKeys, key)
	}
	return o.probeRoutes, withdrawnKeys
}
