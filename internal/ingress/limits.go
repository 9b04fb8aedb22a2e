package ingress

import (
	"math"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/orglimit"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// adoptFor is the time after the start for which a gateway takes over lower levels that its peers report. They know what
// was admitted before it started.
const adoptFor = 3 * time.Second

// Limits keeps the organisations' limits at this gateway. It is safe for concurrent use.
type Limits struct {
	clock    bootclock.Clock
	gateways func() (heard, known int)
	share    func() float64 // of the burst at the start
	lookup   func(organisation string) *fleet.Organisation
	started  time.Duration // from when buckets accrue
	heard    float64       // fraction of the gateways that reported at the last look

	mu      sync.Mutex
	buckets map[string]*orglimit.Bucket
	used    map[string]float64 // admitted here since the start
	pending map[string]float64 // admitted elsewhere before the organisation was known
	levels  map[string]float64 // that a peer reported before the organisation was known
}

// NewLimits returns limits of a gateway among those that gateways counts. share returns the part of the burst that a
// bucket starts with, 0 to 1: all of it when the whole fleet starts, and this gateway's part after a restart, because the
// others may have admitted the rest just now. lookup returns an organisation of the newest configuration, or nil.
func NewLimits(clock bootclock.Clock, gateways func() (heard, known int), share func() float64,
	lookup func(organisation string) *fleet.Organisation) *Limits {
	return &Limits{
		clock: clock, gateways: gateways, share: share, lookup: lookup, started: clock(), heard: 1,
		buckets: make(map[string]*orglimit.Bucket), used: make(map[string]float64), pending: make(map[string]float64),
		levels: make(map[string]float64),
	}
}

// reach returns the fraction of the gateways that report. When some are no longer heard, the buckets leave them their
// part at once: they go on without this gateway.
func (l *Limits) reach() float64 {
	heard, known := l.gateways()
	fraction := float64(heard) / float64(max(1, known))
	if fraction < l.heard {
		for _, b := range l.buckets {
			b.Split(fraction / l.heard)
		}
	}
	l.heard = fraction
	return fraction
}

func (l *Limits) bucket(o *fleet.Organisation) *orglimit.Bucket {
	reach := l.reach()
	limit := orglimit.Limit{Rate: o.Rate, Burst: o.Burst}
	b := l.buckets[o.Name]
	if b == nil {
		b = orglimit.New(limit, l.started, l.share())
		l.buckets[o.Name] = b
	}
	b.Update(l.clock(), limit, reach)
	if level, ok := l.levels[o.Name]; ok {
		b.Lower(level)
		delete(l.levels, o.Name)
	}
	if elsewhere := l.pending[o.Name]; elsewhere != 0 {
		b.UsedElsewhere(elsewhere)
		delete(l.pending, o.Name)
	}
	return b
}

// Take admits a request of an organisation, or returns the time until it could be. level is what the bucket held
// before.
func (l *Limits) Take(o *fleet.Organisation, size float64) (ok bool, wait time.Duration, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(o)
	level = b.Level()
	ok, wait = b.Take(size)
	if ok {
		l.used[o.Name] += size
	}
	return ok, wait, level
}

// Again charges a request that may run once more. It reports whether the limit holds it.
func (l *Limits) Again(o *fleet.Organisation, size float64) bool {
	ok, _, _ := l.Take(o, size)
	return ok
}

// Refund returns what a request took that did not run. The other gateways learn of it with the next update.
func (l *Limits) Refund(o *fleet.Organisation, size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(o).Refund(size)
	l.used[o.Name] -= size
}

// UsedElsewhere counts what another gateway admitted; a negative figure is a refund.
func (l *Limits) UsedElsewhere(use map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, size := range use {
		if b := l.bucketOf(name); b != nil {
			b.UsedElsewhere(size)
		} else {
			l.pending[name] += size
		}
	}
}

// bucketOf returns the bucket of an organisation, or nil if it is not known yet. A bucket must exist from the first report
// on, also if no request of the organisation came here: what is subtracted later all at once would not accrue again
// meanwhile.
func (l *Limits) bucketOf(name string) *orglimit.Bucket {
	if o := l.lookup(name); o != nil {
		return l.bucket(o)
	}
	return l.buckets[name]
}

// Adopt lowers the levels of a gateway that has just started to those that a peer reports.
func (l *Limits) Adopt(use []*wirepb.OrganisationUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock()-l.started > adoptFor {
		return
	}
	for _, u := range use {
		if b := l.bucketOf(u.GetOrganisation()); b != nil {
			b.Lower(u.GetLevel())
		} else {
			l.levels[u.GetOrganisation()] = u.GetLevel()
		}
	}
}

// Use returns what was admitted here since the start.
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

// Demand counts what callers ask of each model. It is safe for concurrent use.
type Demand struct {
	mu    sync.Mutex
	total map[string]float64 // prompt tokens of work since the start, by service and model
}

// NewDemand returns an empty count.
func NewDemand() *Demand { return &Demand{total: make(map[string]float64)} }

// demandKey joins a service and a model.
func demandKey(service, model string) string { return service + "\x00" + model }

// Add counts the work that a request asks of a model.
func (d *Demand) Add(service, model string, work float64) {
	if model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total[demandKey(service, model)] += work
}

// Totals returns the work since the start by service and model, joined by a zero byte.
func (d *Demand) Totals() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	totals := make(map[string]float64, len(d.total))
	for k, v := range d.total {
		totals[k] = v
	}
	return totals
}

// Wire returns the totals as messages.
func (d *Demand) Wire() []*wirepb.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*wirepb.ModelDemand, 0, len(d.total))
	for k, v := range d.total {
		list = append(list, &wirepb.ModelDemand{Model: k, WorkTokens: v})
	}
	return list
}
