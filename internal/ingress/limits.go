package ingress

import (
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/orglimit"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// startShare is the part of the burst that a gateway starts with. The others may have admitted the rest just now.
const startShare = 0.5

// Limits keeps the organisations' limits at this gateway. It is safe for concurrent use.
type Limits struct {
	clock    bootclock.Clock
	gateways func() (heard, known int)

	mu      sync.Mutex
	buckets map[string]*orglimit.Bucket
	used    map[string]float64 // admitted here since the start
	pending map[string]float64 // admitted elsewhere before the bucket existed
}

// NewLimits returns limits of a gateway among those that gateways counts.
func NewLimits(clock bootclock.Clock, gateways func() (heard, known int)) *Limits {
	return &Limits{
		clock: clock, gateways: gateways, buckets: make(map[string]*orglimit.Bucket),
		used: make(map[string]float64), pending: make(map[string]float64),
	}
}

func (l *Limits) bucket(o *fleet.Organisation) *orglimit.Bucket {
	now := l.clock()
	heard, known := l.gateways()
	limit := orglimit.Limit{Rate: o.Rate, Burst: o.Burst}
	b := l.buckets[o.Name]
	if b == nil {
		b = orglimit.New(limit, now, startShare)
		l.buckets[o.Name] = b
	}
	b.Update(now, limit, float64(heard)/float64(max(1, known)))
	if elsewhere := l.pending[o.Name]; elsewhere != 0 {
		b.UsedElsewhere(elsewhere)
		delete(l.pending, o.Name)
	}
	return b
}

// Take admits a request of an organisation, or returns the time until it could be.
func (l *Limits) Take(o *fleet.Organisation, size float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, wait = l.bucket(o).Take(size)
	if ok {
		l.used[o.Name] += size
	}
	return ok, wait
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
		l.pending[name] += size
	}
}

// Use returns what was admitted here since the start.
func (l *Limits) Use() []*wirepb.OrganisationUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*wirepb.OrganisationUse, 0, len(l.used))
	for name, used := range l.used {
		list = append(list, &wirepb.OrganisationUse{Organisation: name, Used: used})
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
