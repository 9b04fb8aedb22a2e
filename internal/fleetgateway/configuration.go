package fleetgateway

import (
	"errors"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
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
	route := c.Match(q.http.Host, q.http.URL.EscapedPath())
	if route == nil {
		return q.disallow(errkind.RouteNotFound, "no route for this host and path")
	}
	q.route, q.org, q.service = route, nil, route.Pick(q.caller.ID)
	if route.Public || len(c.Organisations) == 0 {
		return nil
	}
	if q.caller.Key == "" {
		return q.disallow(errkind.KeyMissing, "the route needs a key")
	}
	if q.org = c.Authenticate(q.caller.Key); q.org == nil {
		return q.disallow(errkind.KeyUnknown, "the key is not in configuration version %d", c.Version)
	}
	return nil
}

// disallow returns an error for a request that q.config does not allow: of the given kind, or ConfigStale if the newest
// configuration, which the gateway lacks, may allow it.
func (q *request) disallow(kind errkind.Kind, format string, args ...any) error {
	if q.server.opts.ConfigurationBehind() {
		return &refusal{errkind.New(errkind.ConfigStale, "configuration version %d is behind: "+format,
			append([]any{q.config.Version}, args...)...), staleRetryAfter}
	}
	return errkind.New(kind, format, args...)
}

// followConfiguration applies a configuration that came into force while the request waited. It returns an error of one of the
// kinds of match, OutcomeUnknown if the route allows no further attempt now, or has another service, organisation or repetition
// although a response has begun or an attempt is live, or RateLimited.
func (q *request) followConfiguration() error {
	if err := q.checkConfiguration(); err != nil {
		return err
	}
	newest := q.server.opts.View.Snapshot().Config
	if newest == q.config {
		return nil
	}
	config, route, service, org := q.config, q.route, q.service, q.org
	q.config = newest
	err := q.match()
	sameOrg := org == q.org || (org != nil && q.org != nil && org.Name == q.org.Name)
	switch {
	case err != nil && len(q.live) == 0:
		q.org = org // the charge is refunded to it
		return err
	case err == nil && len(q.live) > 0 && (q.service != service || q.route.Repeat != route.Repeat || !sameOrg),
		err == nil && q.headSent && (q.service != service || q.route.Repeat != route.Repeat):
		err = errkind.New(errkind.OutcomeUnknown, "the request's service, organisation or repetition has changed since it was sent")
	}
	if err != nil {
		q.config, q.route, q.service, q.org = config, route, service, org
		return err
	}
	if q.race != nil {
		q.race.SetLimits(q.route.Repeatable(), q.route.MaxAttempts)
		if !q.race.MayBegin() {
			return errkind.New(errkind.OutcomeUnknown, "the route allows no further attempt since the configuration changed")
		}
	}
	if q.service != service {
		q.model, q.modelKey = "", ""
		q.describePrompt()
	}
	if sameOrg {
		return nil
	}
	newOrg := q.org
	q.org = org
	q.refund()
	q.org = newOrg
	return q.charge()
}

var errChanged = errors.New("the configuration or the server's state has changed since the server was chosen, or the deadline has passed")

// mayStillSend reports whether the request may be sent to server r now: the configuration is still the one by which r was chosen and
// is not too old, r is listed, in service, not leaving and in no pause that it asked for, the prompt is not refused, and the deadline
// has not passed.
func (q *request) mayStillSend(config *fleet.Configuration, r *fleet.Replica) bool {
	s := q.server
	snapshot := s.opts.View.Snapshot()
	current, now := snapshot.Replicas[r.ID], s.opts.Clock()
	return snapshot.Config == config && s.opts.CheckConfiguration() == nil && current != nil && snapshot.Usable(current) &&
		!s.leaving(current, now) && s.pause(current, now) == 0 && !q.promptRefused() && q.timeLeft() > 0
}
