// Package contention decides, while a service is short of capacity, which requests are sent to its engines now, which wait in
// the gateway and which are refused. Use it in a gateway between the choice of a server and the sending of a request. It has no
// clock, network or globals.
//
// It is designed for targets far below the deadlines: there, admission by deadline fills the engines with work that finishes
// late and delays the work behind it. A request is sent only if the wait ahead of it at the engine is within an allowance, which
// depends on its priority and on how long it has waited.
package contention

import (
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// minTimeoutFactor is the least ratio of timeout to target of a service's most urgent streaming route. Admission by deadline
// admits many times more work than can finish in time only if the timeout is much longer than the target.
const minTimeoutFactor = 16

// Policy holds what the decisions about the requests of one service need from the configuration. It is immutable.
type Policy struct {
	ShortestTarget time.Duration // of the streaming routes of the service
	MaxGap         time.Duration // shortest MaxEventGap of these routes; zero if none has one
	priorities     []int         // that a request may have, in ascending order
}

// Policies returns the policies of the covered services by name. A service is covered if it has engines and the timeout of its
// most urgent streaming route is at least minTimeoutFactor times the target.
func Policies(c *fleet.Configuration) map[string]*Policy {
	policies := make(map[string]*Policy)
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		if p := newPolicy(c, name); p != nil {
			policies[name] = p
		}
	}
	return policies
}

func newPolicy(c *fleet.Configuration, service string) *Policy {
	var urgent *fleet.Route
	p := new(Policy)
	for i := range c.Routes {
		r := &c.Routes[i]
		if !slices.ContainsFunc(r.Targets, func(t fleet.Target) bool { return t.Service == service }) {
			continue
		}
		p.priorities = append(p.priorities, r.Priority)
		if r.Repeat != fleet.Stream || r.Target <= 0 {
			continue
		}
		if urgent == nil || r.Priority < urgent.Priority || r.Priority == urgent.Priority && r.Target < urgent.Target {
			urgent = r
		}
		p.ShortestTarget = shorter(p.ShortestTarget, r.Target)
		p.MaxGap = shorter(p.MaxGap, r.MaxEventGap)
	}
	if urgent == nil || urgent.Timeout < minTimeoutFactor*urgent.Target {
		return nil
	}
	for _, o := range c.Organisations {
		if o.HasPriority {
			p.priorities = append(p.priorities, o.Priority)
		}
	}
	slices.Sort(p.priorities)
	p.priorities = slices.Compact(p.priorities)
	return p
}

// shorter returns the shorter of two durations, of which zero means none.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Rank returns the position of a priority among those that requests to the service may have, zero for the most urgent.
func (p *Policy) Rank(priority int) int {
	rank, _ := slices.BinarySearch(p.priorities, priority)
	return rank
}
