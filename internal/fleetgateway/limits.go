package fleetgateway

import (
	"math"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/contention"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetlimit"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// adoptionPeriod is the time after the start during which a gateway adopts lower bucket levels that its peers
// report, because the peers know what was admitted before the gateway started.
const adoptionPeriod = 3 * time.Second

// defaultRequestTokens is the work in tokens that a request counts as if its organisation's limit counts requests and states no tokens.
const defaultRequestTokens = 1000

// Limits enforces the organisations' limits at this gateway. It is safe for concurrent use.
type Limits struct {
	clock    bootclock.Clock
	gateways func() (heard, known int)
	share    func() float64 // of the burst, for new buckets
	lookup   func(organisation string) *fleet.Organisation
	started  time.Duration // time from which new buckets refill
	heard    float64       // fraction of the gateways that reported, as of the last update

	mu            sync.Mutex
	buckets       map[string]*fleetlimit.Bucket
	used          map[string]float64 // units admitted by this gateway since its start, less refunds
	pendingUse    map[string]float64 // units admitted by other gateways before the organisation was known
	pendingLevels map[string]float64 // reported by a peer before the organisation was known
	recent        *contention.Shares // work in tokens that this gateway and the others admitted recently
}

// NewLimits returns the limits at one gateway. gateways returns how many gateways report and how many are known.
// share returns the part of the burst that a new bucket starts with, 0 to 1: 1 when the whole fleet starts, and this
// gateway's part after a restart, because the others may just have admitted the rest. lookup returns an organisation
// of the latest configuration, or nil.
func NewLimits(clock bootclock.Clock, gateways func() (heard, known int), share func() float64,
	lookup func(organisation string) *fleet.Organisation) *Limits {
	return &Limits{
		clock: clock, gateways: gateways, share: share, lookup: lookup, started: clock(), heard: 1,
		buckets: make(map[string]*fleetlimit.Bucket), used: make(map[string]float64), pendingUse: make(map[string]float64),
		pendingLevels: make(map[string]float64), recent: contention.NewShares(),
	}
}

// heardFraction returns the fraction of the gateways that report. When it falls, the buckets are
// reduced at once by the share of the gateways that no longer report, because those go on admitting requests without
// this gateway's knowledge.
func (l *Limits) heardFraction() float64 {
	heard, known := l.gateways()
	fraction := float64(heard) / float64(max(1, known))
	if fraction < l.heard {
		for _, b := range l.buckets {
			b.KeepFraction(fraction / l.heard)
		}
	}
	l.heard = fraction
	return fraction
}

func (l *Limits) bucket(o *fleet.Organisation) *fleetlimit.Bucket {
	heardFraction := l.heardFraction()
	limit := fleetlimit.Limit{Rate: o.Rate, Burst: o.Burst}
	b := l.buckets[o.Name]
	if b == nil {
		b = fleetlimit.New(limit, l.started, l.share())
		l.buckets[o.Name] = b
	}
	b.Update(l.clock(), limit, heardFraction)
	if level, ok := l.pendingLevels[o.Name]; ok {
		b.LowerTo(level)
		delete(l.pendingLevels, o.Name)
	}
	if elsewhere := l.pendingUse[o.Name]; elsewhere != 0 {
		b.ChargeRemote(elsewhere)
		delete(l.pendingUse, o.Name)
	}
	return b
}

// Take admits a request of size units, or returns the time until it could be admitted. level is the bucket's level
// before the request, in units.
func (l *Limits) Take(o *fleet.Organisation, size float64) (ok bool, wait time.Duration, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(o)
	level = b.Level()
	ok, wait = b.Take(size)
	if ok {
		l.used[o.Name] += size
		l.recent.Add(o.Name, workOf(o, size), l.clock())
	}
	return ok, wait, level
}

// ChargeAgain charges a request of size units that may run once more. It reports whether the limit allowed it.
func (l *Limits) ChargeAgain(o *fleet.Organisation, size float64) bool {
	ok, _, _ := l.Take(o, size)
	return ok
}

// Refund returns the units charged for a request that did not run. The other gateways learn of it with the next
// update.
func (l *Limits) Refund(o *fleet.Organisation, size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(o).Refund(size)
	l.recent.Add(o.Name, -workOf(o, size), l.clock())
	l.used[o.Name] -= size
}

// UsedElsewhere subtracts the units that another gateway admitted, by organisation; a negative number is a refund.
func (l *Limits) UsedElsewhere(use map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, size := range use {
		if o := l.lookup(name); o != nil {
			l.recent.Add(name, workOf(o, size), l.clock())
		}
		if b := l.bucketByName(name); b != nil {
			b.ChargeRemote(size)
		} else {
			l.pendingUse[name] += size
		}
	}
}

// workOf returns the work in tokens of size units of an organisation's limit. A request of an organisation whose limit counts requests
// counts as its DefaultTokens, or as defaultRequestTokens if there are none.
func workOf(o *fleet.Organisation, size float64) float64 {
	switch {
	case o.ByTokens:
		return size
	case o.DefaultTokens > 0:
		return size * float64(o.DefaultTokens)
	}
	return size * defaultRequestTokens
}

// Share returns the work in tokens that all gateways admitted recently for an organisation, and the factor by which the allowance of its
// requests is lower under contention.
func (l *Limits) Share(organisation string) (work, factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recent.Of(organisation, l.clock())
}

// bucketByName returns the bucket of an organisation, or nil if the organisation is not known yet. It creates the
// bucket with the first report of a peer, even if this gateway has got no request of the organisation: use that is
// subtracted later in one sum would not have been refilled in the meantime.
func (l *Limits) bucketByName(name string) *fleetlimit.Bucket {
	if o := l.lookup(name); o != nil {
		return l.bucket(o)
	}
	return l.buckets[name]
}

// Adopt lowers the buckets' levels to those that a peer reports, if this gateway has just started.
func (l *Limits) Adopt(use []*wirepb.OrganisationUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock()-l.started > adoptionPeriod {
		return
	}
	for _, u := range use {
		if b := l.bucketByName(u.GetOrganisation()); b != nil {
			b.LowerTo(u.GetLevel())
		} else {
			l.pendingLevels[u.GetOrganisation()] = u.GetLevel()
		}
	}
}

// Use returns the units that this gateway has admitted since its start, and the bucket's level, by organisation.
func (l *Limits) Use() []*wirepb.OrganisationUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*wirepb.OrganisationUse, 0, len(l.used))
	for name, used := range l.used {
		u := &wirepb.OrganisationUse{Organisation: name, Used: int64(math.Round(used))}
		if b := l.buckets[name]; b != nil {
			u.Level = b.Level()
		}
		list = append(list, u)
	}
	return list
}

// Demand counts the work that callers request from each model. It is safe for concurrent use.
type Demand struct {
	mu         sync.Mutex
	workTokens map[string]float64 // work in prompt tokens since the start, by demandKey
}

// NewDemand returns a Demand without any work.
func NewDemand() *Demand { return &Demand{workTokens: make(map[string]float64)} }

// demandKey joins a service and a model.
func demandKey(service, model string) string { return service + "\x00" + model }

// Add adds the work of one request, in prompt tokens. An empty model is ignored.
func (d *Demand) Add(service, model string, work float64) {
	if model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workTokens[demandKey(service, model)] += work
}

// Totals returns the work in prompt tokens since the start, by service and model, which are joined by a zero byte.
func (d *Demand) Totals() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	totals := make(map[string]float64, len(d.workTokens))
	for k, v := range d.workTokens {
		totals[k] = v
	}
	return totals
}

// ToWire returns the totals as protobuf messages.
func (d *Demand) ToWire() []*wirepb.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*wirepb.ModelDemand, 0, len(d.workTokens))
	for k, v := range d.workTokens {
		list = append(list, &wirepb.ModelDemand{Model: k, WorkTokens: v})
	}
	return list
}
