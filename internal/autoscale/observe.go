package autoscale

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// joinTime is the time over which the first rate of a gateway is taken. At 5 requests per second of one gateway, one exchange
// of 250 ms holds one or two requests, which says little about the rate.
const joinTime = 2 * time.Second

// Totals are what the callers of a gateway asked of a service. Work and Refused count since the gateway started; Waiting is
// current.
type Totals struct {
	Work    float64 // that arrived, including what was refused
	Refused float64 // for lack of room
	Waiting float64
}

// ObserverOptions configure an Observer. All fields are required.
type ObserverOptions struct {
	Host       string // of this gateway
	DataCentre string // of this gateway
	Snapshot   func() *fleet.Snapshot
	// Totals returns the totals of this gateway by service.
	Totals func() map[string]Totals
	// InFlight returns the requests that all gateways have at a server, given by its ID.
	InFlight func(server string) int
	// Stalled reports whether a server, given by its ID, sends nothing although requests sent to it are overdue.
	Stalled func(server string) bool
	// Demanded reports whether a model of a service is requested.
	Demanded func(service, model string) bool
	// ListAge returns the time since the server list was last known to be current.
	ListAge func(now time.Duration) time.Duration
	// Gateways returns the number of gateways with a recent update and of known ones, this one included.
	Gateways func() (heard, known int)
}

// Observer builds the input of the decisions from the view of the fleet and from what gateways report. It is safe for
// concurrent use.
type Observer struct {
	opts ObserverOptions

	mu         sync.Mutex
	gateways   map[string]*gatewayReport // by host
	arrivals   map[zoneKey]*arrivals     // by service and data centre of the gateways
	capacities map[string]*CapacityEstimator
	coldUntil  map[incarnationKey]time.Duration
}

// incarnationKey identifies one start of a server.
type incarnationKey struct {
	server string
	born   int64
}

type gatewayReport struct {
	incarnation string
	dataCentre  string
	at          time.Duration
	joined      bool              // its rate is included
	totals      map[string]Totals // that are included; the base of the rate until it has joined
	baseAt      time.Duration     // when the base was received
	last        map[string]Totals // of the last report
}

type arrivals struct{ work, refused *RateEstimator }

// NewObserver returns an Observer that has observed nothing.
func NewObserver(opts ObserverOptions) *Observer {
	return &Observer{
		opts: opts, gateways: make(map[string]*gatewayReport), arrivals: make(map[zoneKey]*arrivals),
		capacities: make(map[string]*CapacityEstimator), coldUntil: make(map[incarnationKey]time.Duration),
	}
}

// Receive records the totals of a gateway. The first totals of an incarnation, or after a time in which the gateway was not
// heard, only set the base: what arrived before is neither a burst nor a step of the demand.
func (o *Observer) Receive(now time.Duration, host, incarnation, dataCentre string, totals map[string]Totals) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.gateways[host]
	if g == nil || g.incarnation != incarnation || g.dataCentre != dataCentre || now-g.at > maxNewsAge {
		o.gateways[host] = &gatewayReport{
			incarnation: incarnation, dataCentre: dataCentre, at: now, totals: totals, baseAt: now, last: totals,
		}
		return
	}
	g.at, g.last = now, totals
	known := now - g.baseAt
	if !g.joined && known < joinTime {
		return
	}
	for service, t := range totals {
		a := o.arrivalsOf(now, zoneKey{service, dataCentre})
		work, refused := t.Work-g.totals[service].Work, t.Refused-g.totals[service].Refused
		if g.joined {
			a.work.Add(work)
			a.refused.Add(refused)
		} else {
			// While the duty is not held nobody advances the averages. That time must not count for the rate that is added now.
			a.work.Advance(now)
			a.refused.Advance(now)
			a.work.Shift(work / known.Seconds())
			a.refused.Shift(refused / known.Seconds())
		}
	}
	g.joined, g.totals = true, totals
}

func (o *Observer) arrivalsOf(now time.Duration, key zoneKey) *arrivals {
	a := o.arrivals[key]
	if a == nil {
		a = &arrivals{NewRateEstimator(now), NewRateEstimator(now)}
		o.arrivals[key] = a
	}
	return a
}

// Drop removes a gateway that is no longer a member.
func (o *Observer) Drop(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.gateways, host)
}

// Services updates the estimates and returns the state of each service with scaling, sorted by name, without orders. It is
// called at short intervals while the duty is held; after a longer pause the gateways' rates are learned again in joinTime.
func (o *Observer) Services(now time.Duration) []Service {
	o.Receive(now, o.opts.Host, "", o.opts.DataCentre, o.opts.Totals())
	snapshot := o.opts.Snapshot()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.arrivals {
		a.work.Advance(now)
		a.refused.Advance(now)
	}
	if snapshot.Config == nil {
		return nil
	}
	o.updateCold(now, snapshot)
	var services []Service
	for name, s := range snapshot.Config.Services {
		if s.Scaling != nil {
			services = append(services, o.service(now, snapshot, name, s))
		}
	}
	slices.SortFunc(services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// updateCold records until when listed servers are cold. The time is counted from the first sight of an incarnation, because
// the entry of a server may not change when it becomes warm.
func (o *Observer) updateCold(now time.Duration, snapshot *fleet.Snapshot) {
	listed := make(map[incarnationKey]time.Duration, len(snapshot.Replicas))
	for id, r := range snapshot.Replicas {
		key := incarnationKey{id, r.Born}
		until, seen := o.coldUntil[key]
		if !seen {
			until = now + max(0, r.Cold)
		}
		listed[key] = until
	}
	o.coldUntil = listed
}

// news returns how far the reports can be relied on.
func (o *Observer) news(now time.Duration) News {
	n := News{ListAge: o.opts.ListAge(now), DemandAge: math.MaxInt64, Complete: true}
	for _, g := range o.gateways {
		age := now - g.at
		n.DemandAge = min(n.DemandAge, age)
		n.Complete = n.Complete && g.joined && age <= maxNewsAge
	}
	heard, known := o.opts.Gateways()
	n.Complete = n.Complete && heard >= known && len(o.gateways) >= known
	return n
}

func (o *Observer) service(now time.Duration, snapshot *fleet.Snapshot, name string, s *fleet.Service) Service {
	out := Service{Name: name, Bounds: *s.Scaling, News: o.news(now)}
	zones := make(map[string]*DataCentre)
	silent := make(map[string]int) // servers that are listed and stalled, by data centre
	resident := make(map[string]bool)
	inFlight, slots, ready := 0, 0, 0
	for _, r := range snapshot.Services[name] {
		zone := zones[r.DataCentre]
		if zone == nil {
			zone = &DataCentre{Name: r.DataCentre, OutOfService: snapshot.OutOfService[r.DataCentre]}
			zones[r.DataCentre] = zone
		}
		for _, m := range r.Models {
			resident[m.Name] = true
		}
		switch {
		case r.Draining:
			zone.Draining++
			continue
		case now < o.coldUntil[incarnationKey{r.ID, r.Born}]:
			zone.Cold++
		default:
			zone.Ready++
			inFlight, slots, ready = inFlight+o.opts.InFlight(r.ID), slots+slotsOf(r, s), ready+1
		}
		if o.opts.Stalled(r.ID) {
			silent[r.DataCentre]++
		}
	}
	taken := 0.0
	for key, a := range o.arrivals {
		if key.service != name {
			continue
		}
		demand := Demand{Rate: a.work.Rate(), Trend: a.work.Trend(), Refused: a.refused.Rate()}
		taken += max(0, demand.Rate-demand.Refused)
		place(&out, zones[key.dataCentre], demand)
	}
	for _, g := range o.gateways {
		place(&out, zones[g.dataCentre], Demand{Waiting: g.last[name].Waiting})
	}
	for _, zone := range zones {
		zone.Lost = zone.listed() > 0 && silent[zone.Name] == zone.listed()
		out.DataCentres = append(out.DataCentres, *zone)
	}
	slices.SortFunc(out.DataCentres, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	if slots > 0 {
		o.capacity(name).Observe(now, taken, ready, float64(inFlight)/float64(slots))
	}
	out.Capacity = o.capacity(name).Value()
	if s.Engine != nil {
		var models []string
		for _, m := range s.Engine.Models {
			out.Load = max(out.Load, m.Load)
			if resident[m.Name] || o.opts.Demanded(name, m.Name) {
				models = append(models, m.Name)
			}
		}
		out.ModelReplicas = ModelReplicas(s.Engine, models)
	}
	return out
}

// place adds demand to a data centre, or to the demand without a place if the service has no server there.
func place(s *Service, zone *DataCentre, demand Demand) {
	if zone == nil {
		s.Unplaced = s.Unplaced.plus(demand)
		return
	}
	zone.Demand = zone.Demand.plus(demand)
}

func (o *Observer) capacity(service string) *CapacityEstimator {
	c := o.capacities[service]
	if c == nil {
		c = new(CapacityEstimator)
		o.capacities[service] = c
	}
	return c
}

// slotsOf returns the number of requests that a server runs at the same time.
func slotsOf(r *fleet.Replica, s *fleet.Service) int {
	if r.Slots <= 0 && s.Engine != nil {
		return max(0, s.Engine.Slots)
	}
	return max(0, r.Slots)
}
