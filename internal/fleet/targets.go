package fleet

import "time"

// tightTargetRatio is the ratio of timeout to target of a service's most urgent streams from which its targets count as
// tight. Admission by deadline then accepts many times the work that can be in time.
const tightTargetRatio = 16

// TightTarget returns the target of the most urgent streaming routes of a service with model engines, the shortest one if
// there are several, and whether it is tight: the routes' timeout is at least tightTargetRatio times as long.
func (c *Configuration) TightTarget(service string) (target time.Duration, tight bool) {
	if s := c.Services[service]; s == nil || s.Engine == nil {
		return 0, false
	}
	var urgent *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Repeat != Stream || r.Target <= 0 || !r.targets(service) {
			continue
		}
		if urgent == nil || r.Priority < urgent.Priority || r.Priority == urgent.Priority && r.Target < urgent.Target {
			urgent = r
		}
	}
	if urgent == nil {
		return 0, false
	}
	return urgent.Target, urgent.Timeout >= tightTargetRatio*urgent.Target
}

func (r *Route) targets(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service {
			return true
		}
	}
	return false
}
