package fleet

import (
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Match returns the route for a hostname and path: among the routes of the host the one with the longest prefix.
// It returns nil if there is none.
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

// Authenticate returns the organisation of an API key, or nil.
func (c *Configuration) Authenticate(key string) *Organisation {
	name, ok := c.Keys[DigestKey(key)]
	if !ok {
		return nil
	}
	return c.Organisations[name]
}

// Pick returns the service for a request of the route, in proportion to the weights. The same request ID gives the
// same service at every gateway.
func (r *Route) Pick(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return ""
}

// UrgencyOf returns the priority of a request: the organisation's goes before the route's.
func UrgencyOf(r *Route, o *Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority
	}
	return r.Priority
}

// TokensOf returns what a request takes of its organisation's limit.
func (o *Organisation) TokensOf(hasTokens bool, prompt, output int) float64 {
	switch {
	case !o.ByTokens:
		return 1
	case hasTokens:
		return float64(prompt + output)
	}
	return float64(o.PlainTokens)
}
