package fleetgateway

import (
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// staleRetryAfter is the Retry-After of a gateway whose configuration is old. The caller's next attempt reaches another gateway.
const staleRetryAfter = 200 * time.Millisecond

// checkConfiguration returns an error of kind ConfigStale if the configuration is too old to be used.
func (q *request) checkConfiguration() error {
	if err := q.server.opts.CheckConfiguration(); err != nil {
		return &refusal{errkind.Wrap(errkind.ConfigStale, err, "configuration version %d", q.config.Version), staleRetryAfter}
	}
	return nil
}

// match sets the route, the service and the organisation of the request by q.config. It returns an error of kind RouteNotFound,
// KeyMissing or KeyUnknown, or ConfigStale if the newest configuration, which the gateway lacks, may allow the request.
func (q *request) match() error {
	c := q.config
	refuse := func(kind errkind.Kind, format string, args ...any) error {
		if q.server.opts.ConfigurationBehind() {
			return &refusal{errkind.New(errkind.ConfigStale, "configuration version %d is behind: "+format,
				append([]any{c.Version}, args...)...), staleRetryAfter}
		}
		return errkind.New(kind, format, args...)
	}
	route := c.Match(q.http.Host, q.http.URL.EscapedPath())
	if route == nil {
		return refuse(errkind.RouteNotFound, "no route for this host and path")
	}
	q.route, q.org, q.service = route, nil, route.Pick(q.caller.ID)
	if route.Public || len(c.Organisations) == 0 {
		return nil
	}
	if q.caller.Key == "" {
		return errkind.New(errkind.KeyMissing, "the route needs a key")
	}
	if q.org = c.Authenticate(q.caller.Key); q.org == nil {
		return refuse(errkind.KeyUnknown, "the key is not in configuration version %d", c.Version)
	}
	return nil
}
