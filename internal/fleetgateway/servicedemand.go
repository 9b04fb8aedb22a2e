package fleetgateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// maxRequestWork bounds the work of one request. Callers state the number of tokens, so without a bound the sums could overflow.
const maxRequestWork = 1 << 30

// ServiceDemand counts what callers ask of the services with scaling, in requests of plain services and in prompt tokens of others.
// Other services are not counted. It is safe for concurrent use and takes no lock for a request.
type ServiceDemand struct {
	services sync.Map // *serviceCounters by name
}

type serviceCounters struct {
	work, refused atomic.Int64 // since the start
	waiting       atomic.Int64
}

// ServiceTotals are what callers asked of a service.
type ServiceTotals struct {
	Work    int64 // since the start, including what was refused for lack of room
	Refused int64 // for lack of room, since the start
	Waiting int64 // for lack of room, now
}

// NewServiceDemand returns a ServiceDemand without any work.
func NewServiceDemand() *ServiceDemand { return new(ServiceDemand) }

func (d *ServiceDemand) service(name string) *serviceCounters {
	counters, ok := d.services.Load(name)
	if !ok {
		counters, _ = d.services.LoadOrStore(name, new(serviceCounters))
	}
	return counters.(*serviceCounters)
}

// Totals returns the totals by service.
func (d *ServiceDemand) Totals() map[string]ServiceTotals {
	totals := make(map[string]ServiceTotals)
	d.services.Range(func(name, counters any) bool {
		c := counters.(*serviceCounters)
		totals[name.(string)] = ServiceTotals{c.work.Load(), c.refused.Load(), c.waiting.Load()}
		return true
	})
	return totals
}

// ToWire returns the totals as protobuf messages.
func (d *ServiceDemand) ToWire() []*wirepb.ServiceDemand {
	var list []*wirepb.ServiceDemand
	for name, t := range d.Totals() {
		list = append(list, &wirepb.ServiceDemand{Service: name, Work: t.Work, Refused: t.Refused, Waiting: t.Waiting})
	}
	return list
}

// scaledRequest is a request that is counted for a service with scaling. The zero value is not counted.
type scaledRequest struct {
	counters *serviceCounters
	work     int64
	tooLong  bool // it would not meet its deadline at an idle server either
}

// countScaled counts the request's work if its service has scaling; later calls do nothing. c is the chosen server, or nil if there
// is none yet.
func (q *request) countScaled(c *fleetroute.Candidate) {
	demand, service := q.server.opts.ServiceDemand, q.config.Services[q.service]
	if demand == nil || service == nil || service.Scaling == nil || q.scaled.counters != nil {
		return
	}
	q.scaled.counters, q.scaled.work = demand.service(q.service), 1
	if service.Engine != nil {
		q.scaled.work = int64(math.Ceil(max(1, min(q.work(c), maxRequestWork))))
	}
	q.scaled.counters.work.Add(q.scaled.work)
}

// waitForRoom counts the request as waiting until the returned function is called.
func (r *scaledRequest) waitForRoom() (done func()) {
	if r.counters == nil {
		return func() {}
	}
	r.counters.waiting.Add(r.work)
	return func() { r.counters.waiting.Add(-r.work) }
}

// countRefused counts a request that ended with err, and that its caller is told did not run, if more servers could have taken it.
func (r *scaledRequest) countRefused(err error, notRun bool) {
	if r.counters != nil && notRun && !r.tooLong && isLackOfRoom(errkind.Of(err)) {
		r.counters.refused.Add(r.work)
	}
}

// isLackOfRoom reports whether more servers could have taken a request that was refused with an error of the given kind. A model that
// is not loaded is not among them: the planner loads it, and servers are ordered for models by their memory.
func isLackOfRoom(kind errkind.Kind) bool {
	switch kind {
	case errkind.Overloaded, errkind.DeadlineUnreachable, errkind.WarmingUp, errkind.Draining, errkind.MemoryFull, errkind.NoCandidate:
		return true
	}
	return false
}

// fitsIdle reports whether the predicted time at the server would be within the limit if it had no other requests.
func fitsIdle(c fleetroute.Candidate, limit time.Duration) bool {
	c.InFlight, c.QueuedTokens, c.TurnWaitMS = 0, 0, 0
	return c.Predicted() <= limit
}
