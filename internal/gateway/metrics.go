package gateway

import (
	"expvar"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// Metrics holds the counters of a gateway. docs/OPERATIONS.md describes the names.
type Metrics struct {
	requests         expvar.Int
	retries          expvar.Int
	limitWaits       expvar.Int
	resumes          expvar.Int
	routingDecisions expvar.Int
	refusals         expvar.Map
	attainment       *Attainment
}

func newMetrics() *Metrics {
	m := &Metrics{attainment: NewAttainment()}
	m.refusals.Init()
	return m
}

// CountRefusal counts an error response of kind k to a caller.
func (g *Gateway) CountRefusal(k errkind.Kind) { g.metrics.refusals.Add(k.String(), 1) }

// Vars returns the metrics of the gateway for expvar, by the names in docs/OPERATIONS.md.
func (g *Gateway) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("requests", &g.metrics.requests)
	m.Set("refusals", &g.metrics.refusals)
	m.Set("retries", &g.metrics.retries)
	m.Set("limit_waits", &g.metrics.limitWaits)
	m.Set("resumes", &g.metrics.resumes)
	m.Set("routing_decisions", &g.metrics.routingDecisions)
	m.Set("attainment", g.metrics.attainment.expvar())
	m.Set("in_flight", expvar.Func(func() any { return g.InFlight() }))
	m.Set("config_version", expvar.Func(func() any { return g.opts.Config.Snapshot().Version() }))
	if ager, ok := g.opts.Config.(interface{ ConfirmedAge() (time.Duration, bool) }); ok {
		m.Set("config_age_ms", expvar.Func(func() any {
			age, known := ager.ConfirmedAge()
			if !known {
				return nil
			}
			return age.Milliseconds()
		}))
	}
	m.Set("sidecars_known", expvar.Func(func() any { return g.opts.Sidecars.KnownCount() }))
	m.Set("status_poll_failures", expvar.Func(func() any { return g.opts.Sidecars.PollFailures() }))
	m.Set("protocol_errors", expvar.Func(func() any { return g.opts.Sidecars.ProtocolErrors() }))
	return m
}
