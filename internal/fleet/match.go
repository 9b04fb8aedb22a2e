package fleet

import (
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Match returns the route for the Host header and path of a request: among the routes of the hostname, the one with the
// longest matching prefix. A port is ignored and so is the case of the hostname. Match returns nil if no route matches.
func (c *Configuration) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.ToLower(host)
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Hostname == host && strings.HasPrefix(path, r.PathPrefix) &&
			(best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Authenticate returns the organisation that owns an API key, or nil if the key is unknown.
func (c *Configuration) Authenticate(key string) *Organisation {
	name, ok := c.Keys[DigestKey(key)]
	if !ok {
		return nil
	}
	return c.Organisations[name]
}

// Pick returns the name of the service for a request of the route. Request IDs are distributed over the targets in
// proportion to their weights, and a request ID gives the same service at every gateway. Pick returns an empty string if
// no target has a positive weight.
func (r *Route) Pick(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return ""
}

// PriorityOf returns the priority of a request, where 0 is the most urgent. The organisation's priority overrides the
// route's. o may be nil.
func PriorityOf(r *Route, o *Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority
	}
	return r.Priority
}

// LimitCost returns the cost of a request against its organisation's limit: the tokens of its prompt and output if the
// limit counts tokens, DefaultTokens if the request states no token counts, and 1 if the limit counts requests.
func (o *Organisation) LimitCost(hasTokens bool, prompt, output int) float64 {
	switch {
	case !o.ByTokens:
		return 1
	case hasTokens:
		return float64(prompt + output)
	}
	return float64(o.DefaultTokens)
}
