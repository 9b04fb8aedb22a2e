package main

import (
	"expvar"

	"github.com/pomelowheel/pomelowheel/internal/process"
)

// vars returns what /debug/vars shows beside the Go runtime, by the names in docs/OPERATIONS.md.
func (p *parts) vars() map[string]expvar.Var {
	edge := p.gateway.Vars()
	edge.Set("pool_sessions", expvar.Func(func() any { return p.pool.Len() }))
	edge.Set("host_list_age_ms", expvar.Func(func() any {
		age, known := p.hosts.Age()
		if !known {
			return nil
		}
		return age.Milliseconds()
	}))
	all := map[string]expvar.Var{
		"gateway":                     edge,
		"table_service":               p.store.Vars(),
		"certificate_reload_failures": process.ReloadFailures(p.certificates...),
	}
	if p.limits != nil {
		all["limits"] = p.limits.Vars()
	}
	if p.planner != nil {
		all["planner"] = p.planner.Vars()
	}
	return all
}
