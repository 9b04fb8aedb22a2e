package main

import (
	"expvar"

	"github.com/pomelowheel/pomelowheel/internal/process"
)

// vars returns the variables that /debug/vars shows in addition to those of the Go runtime, by the names in
// docs/OPERATIONS.md.
func (p *components) vars() map[string]expvar.Var {
	gatewayVars := p.gateway.Vars()
	gatewayVars.Set("pool_sessions", expvar.Func(func() any { return p.pool.Len() }))
	gatewayVars.Set("host_list_age_ms", expvar.Func(func() any {
		age, known := p.hosts.Age()
		if !known {
			return nil
		}
		return age.Milliseconds()
	}))
	all := map[string]expvar.Var{
		"clients_refused":             p.refusals.Var(),
		"gateway":                     gatewayVars,
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
