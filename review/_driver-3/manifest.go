package main

import "encoding/json"

// host is the host name of all routes.
const host = "ficu95.example"

type object = map[string]any

// manifest returns a version of the operator's manifest.
func manifest(version int, routes, services, tenants []object) []byte {
	value, err := json.Marshal(object{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return value
}

func plainRoute(name, prefix, kind, service string, attempts int) object {
	return object{
		"name": name, "hostname": host, "path_prefix": prefix, "type": kind, "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
		"service": service, "max_attempts": attempts, "public": false, "sticky_sessions": false, "resumable": false,
	}
}

func plainService(name string) object {
	return object{"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}
}

func tenant(name string, keys ...string) object {
	return object{"name": name, "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 122421, "burst": 122421}
}
