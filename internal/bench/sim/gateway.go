package sim

import (
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	gatewaypkg "github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/route"
)

// dialTimeout is the time after which a connection attempt to a lost host fails.
const dialTimeout = time.Second

// gateway follows the request path of package gateway: reserve, route, dispatch, retry.
type gateway struct {
	w              *world
	dataCentre     *dataCentre
	name           string
	table          *route.Table
	outDataCentres []string
	orgBudgets     map[string]*gatewaypkg.Budget
	profileBudgets map[string]*gatewaypkg.Budget
	lost           bool
	lostAt         time.Duration
	incarnation    int // incremented when the gateway is lost, so that its open requests fail
}

func newGateway(w *world, c *dataCentre, name string) *gateway {
	return &gateway{
		w: w, dataCentre: c, name: name, table: route.NewTable(),
		orgBudgets: make(map[string]*gatewaypkg.Budget), profileBudgets: make(map[string]*gatewaypkg.Budget),
	}
}

// avoidedByBalancer reports whether the load balancer has noticed the loss of the gateway.
func (g *gateway) avoidedByBalancer() bool {
	return g.lost && g.w.now >= g.lostAt+g.w.s.BalancerDelay.D()
}

func (g *gateway) fail() {
	g.lost, g.lostAt = true, g.w.now
	g.incarnation++
}

func (g *gateway) setOut(name string, out bool) {
	g.outDataCentres = slices.DeleteFunc(g.outDataCentres, func(n string) bool { return n == name })
	if out {
		g.outDataCentres = append(g.outDataCentres, name)
	}
}

// storeStatus stores the replica's current status with the time of its request.
func (g *gateway) storeStatus(r *replica, at time.Duration) {
	status := r.status()
	status.StatusAt = epoch.Add(at)
	g.table.Set(status)
}

// poll requests a sidecar's status now and again after each interval.
func (g *gateway) poll(r *replica) {
	asked := g.w.now
	delay := g.w.delay(g.dataCentre, r.dataCentre)
	g.w.after(delay, func() {
		if r.lost {
			return
		}
		status := r.status()
		status.StatusAt = epoch.Add(asked)
		g.w.after(delay, func() { g.table.Set(status) })
	})
	if g.w.now < g.w.s.Duration.D()+time.Minute {
		g.w.after(g.w.s.Routing.StatusInterval.D(), func() { g.poll(r) })
	}
}

// dispatch is one request in progress at a gateway.
type dispatch struct {
	g                  *gateway
	r                  *request
	route              route.Request
	lastKind           errkind.Kind
	gatewayIncarnation int
}

// handle reserves the request's tokens and starts its first attempt.
func (g *gateway) handle(r *request) {
	if g.lost {
		r.end(errkind.OutcomeUnknown)
		return
	}
	d := &dispatch{g: g, r: r, gatewayIncarnation: g.incarnation}
	g.w.limits.reserve(g, r, func(ok bool) {
		if !ok {
			d.end(errkind.RateLimited)
			return
		}
		d.begin()
	})
}

func (d *dispatch) begin() {
	g, r := d.g, d.r
	d.route = route.Request{
		Service: r.traffic.Service, Plain: r.model == nil, DataCentre: g.dataCentre.Name, PrefixHash: r.prefix,
		MaxAge: g.w.s.Routing.StatusMaxAge.D(), Count: g.w.s.Routing.ProbeCount,
	}
	if r.model != nil {
		d.route.Model, d.route.Base = r.model.Name, r.model.Base
	}
	for _, b := range d.budgets() {
		b.RecordFirstAttempt(r.profile.RetryBudget)
	}
	d.attempt()
}

func (d *dispatch) budgets() [2]*gatewaypkg.Budget {
	org, profile := d.r.org.Name, d.r.profile.Name
	if d.g.orgBudgets[org] == nil {
		d.g.orgBudgets[org] = new(gatewaypkg.Budget)
	}
	if d.g.profileBudgets[profile] == nil {
		d.g.profileBudgets[profile] = new(gatewaypkg.Budget)
	}
	return [2]*gatewaypkg.Budget{d.g.orgBudgets[org], d.g.profileBudgets[profile]}
}

// takeRetry takes one retry from both the organisation's and the profile's budget and reports whether both had
// one. With the retry policy off, every retry is allowed.
func (d *dispatch) takeRetry() bool {
	if d.g.w.s.Policies.Retries == "off" {
		return true
	}
	budgets := d.budgets()
	if !budgets[0].Allows() || !budgets[1].Allows() {
		return false
	}
	budgets[0].Take()
	budgets[1].Take()
	return true
}

// attempt routes the request and sends it to the chosen sidecar.
func (d *dispatch) attempt() {
	g := d.g
	d.route.OutDataCentres, d.route.Tried = g.outDataCentres, d.r.tried
	policy := route.Policy(g.w.s.Policies.Routing)
	decision := g.table.Choose(g.w.time(), d.route, policy, g.w.rng)
	if decision.Chosen() == "" {
		if d.lastKind == errkind.None {
			d.lastKind = errkind.NoCandidate
		}
		d.end(d.lastKind)
		return
	}
	if d.lastKind != errkind.None {
		if !d.takeRetry() {
			d.end(d.lastKind)
			return
		}
		g.w.out.Retries++
	}
	d.r.attempts++
	if policy == route.PolicyProbe && len(decision.Candidates) > 1 {
		d.probe(decision.Candidates)
		return
	}
	d.send(g.w.byAddress[decision.Chosen()])
}

// probe asks the candidates and sends the request to the best one. A lost candidate does not answer, which
// is noticed when the probe times out.
func (d *dispatch) probe(candidates []route.Candidate) {
	const noReplyMS = 1e9
	g := d.g
	wait := time.Duration(0)
	best, bestFigure := g.w.byAddress[candidates[0].Address], float64(2*noReplyMS)
	for _, c := range candidates {
		r := g.w.byAddress[c.Address]
		delay := g.w.delay(g.dataCentre, r.dataCentre)
		if r.lost {
			wait = max(wait, 50*time.Millisecond)
		}
		wait = max(wait, 2*delay)
		g.w.after(delay, func() {
			figure := float64(noReplyMS)
			if !r.lost {
				figure = r.probe(d.r)
			}
			if figure < bestFigure {
				best, bestFigure = r, figure
			}
		})
	}
	g.w.after(wait+1, func() { d.send(best) })
}

// send submits the request to a sidecar.
func (d *dispatch) send(r *replica) {
	g := d.g
	d.r.tried = append(d.r.tried, r.address)
	g.table.Start(r.address)
	delay := g.w.delay(g.dataCentre, r.dataCentre)
	g.w.after(delay, func() {
		if r.lost {
			g.w.after(dialTimeout, func() {
				g.table.Expire(r.address)
				d.handleReply(r, errkind.BackendUnreachable, false)
			})
			return
		}
		r.submit(d, func(kind errkind.Kind) {
			g.w.after(delay, func() { d.handleReply(r, kind, true) })
		})
	})
}

// handleReply ends an attempt and makes another if the kind allows it. A last frame carries a status, which is
// stored.
func (d *dispatch) handleReply(r *replica, kind errkind.Kind, status bool) {
	g := d.g
	g.table.Done(r.address)
	if status && !r.lost {
		g.storeStatus(r, g.w.now-g.w.delay(g.dataCentre, r.dataCentre))
	}
	d.lastKind = kind
	if kind == errkind.None || d.gatewayIncarnation != g.incarnation || d.r.done {
		d.end(kind)
		return
	}
	if g.w.now >= d.r.deadline {
		if !d.r.started {
			kind = errkind.DeadlineUnreachable
		}
		d.end(kind)
		return
	}
	if d.r.attempts >= g.w.s.Routing.MaxAttempts || !d.mayRetry(kind) {
		d.end(kind)
		return
	}
	d.attempt()
}

// mayRetry follows the rules of package gateway: a request that did not run may go to another backend server,
// and model calls resume after a failure.
func (d *dispatch) mayRetry(kind errkind.Kind) bool {
	if kind.NotRun() {
		return kind.Answer().Retry == errkind.RetryAnother || kind == errkind.ConfigStale || kind == errkind.NotReady
	}
	switch kind {
	case errkind.BackendFailed, errkind.OutcomeUnknown, errkind.ProtocolError, errkind.Internal:
		return d.r.model != nil
	}
	return false
}

// end answers the caller. If the gateway was lost in the meantime, the caller gets no answer and the outcome is
// unknown.
func (d *dispatch) end(kind errkind.Kind) {
	if d.gatewayIncarnation != d.g.incarnation {
		kind = errkind.OutcomeUnknown
	}
	d.g.w.after(d.g.w.s.ClientDelay.D(), func() { d.r.end(kind) })
}
