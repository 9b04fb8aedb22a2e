package sim

import (
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	gatewaypkg "github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/route"
)

// dialTimeout is the time until a connection to a lost host is given up.
const dialTimeout = time.Second

// gateway follows the request path of package gateway: reserve, route, dispatch, retry.
type gateway struct {
	w        *world
	centre   *centre
	name     string
	table    *route.Table
	outNames []string
	orgs     map[string]*gatewaypkg.Budget
	profiles map[string]*gatewaypkg.Budget
	lost     bool
	lostAt   time.Duration
	lives    int // grows when the gateway is lost, so that its requests end
}

func newGateway(w *world, c *centre, name string) *gateway {
	return &gateway{
		w: w, centre: c, name: name, table: route.NewTable(),
		orgs: make(map[string]*gatewaypkg.Budget), profiles: make(map[string]*gatewaypkg.Budget),
	}
}

func (g *gateway) avoided() bool { return g.lost && g.w.now >= g.lostAt+g.w.s.BalancerDelay.D() }

func (g *gateway) lose() {
	g.lost, g.lostAt = true, g.w.now
	g.lives++
}

func (g *gateway) setOut(name string, out bool) {
	g.outNames = slices.DeleteFunc(g.outNames, func(n string) bool { return n == name })
	if out {
		g.outNames = append(g.outNames, name)
	}
}

// store keeps a status that was asked for at the given time.
func (g *gateway) store(r *replica, at time.Duration) {
	status := r.status()
	status.At = epoch.Add(at)
	g.table.Set(status)
}

// poll asks a sidecar for its status, at once and then again after each interval.
func (g *gateway) poll(r *replica) {
	asked := g.w.now
	delay := g.w.delay(g.centre, r.centre)
	g.w.after(delay, func() {
		if r.lost {
			return
		}
		status := r.status()
		status.At = epoch.Add(asked)
		g.w.after(delay, func() { g.table.Set(status) })
	})
	if g.w.now < g.w.s.Duration.D()+time.Minute {
		g.w.after(g.w.s.Routing.StatusInterval.D(), func() { g.poll(r) })
	}
}

// dispatch is one request at a gateway.
type dispatch struct {
	g     *gateway
	r     *request
	route route.Request
	last  errkind.Kind
	life  int
}

// take begins a request.
func (g *gateway) take(r *request) {
	if g.lost {
		r.end(errkind.OutcomeUnknown)
		return
	}
	d := &dispatch{g: g, r: r, life: g.lives}
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
		Service: r.traffic.Service, Plain: r.model == nil, DataCentre: g.centre.Name, PrefixHash: r.prefix,
		MaxAge: g.w.s.Routing.StatusMaxAge.D(), Count: g.w.s.Routing.ProbeCount,
	}
	if r.model != nil {
		d.route.Model, d.route.Base = r.model.Name, r.model.Base
	}
	for _, b := range d.budgets() {
		b.First(r.profile.RetryBudget)
	}
	d.attempt()
}

func (d *dispatch) budgets() [2]*gatewaypkg.Budget {
	org, profile := d.r.org.Name, d.r.profile.Name
	if d.g.orgs[org] == nil {
		d.g.orgs[org] = new(gatewaypkg.Budget)
	}
	if d.g.profiles[profile] == nil {
		d.g.profiles[profile] = new(gatewaypkg.Budget)
	}
	return [2]*gatewaypkg.Budget{d.g.orgs[org], d.g.profiles[profile]}
}

// takeRetry takes a retry from both budgets. Without budgets every retry is allowed.
func (d *dispatch) takeRetry() bool {
	if d.g.w.s.Policies.Retries == "off" {
		return true
	}
	budgets := d.budgets()
	if !budgets[0].Has() || !budgets[1].Has() {
		return false
	}
	budgets[0].Take()
	budgets[1].Take()
	return true
}

// attempt routes the request and sends it to the chosen sidecar.
func (d *dispatch) attempt() {
	g := d.g
	d.route.OutCentres, d.route.Tried = g.outNames, d.r.tried
	policy := route.Policy(g.w.s.Policies.Routing)
	decision := g.table.Choose(g.w.time(), d.route, policy, g.w.rng)
	if decision.Chosen() == "" {
		if d.last == errkind.None {
			d.last = errkind.NoCandidate
		}
		d.end(d.last)
		return
	}
	if d.last != errkind.None {
		if !d.takeRetry() {
			d.end(d.last)
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

// probe asks the candidates and sends the request to the best. A lost one stays silent, which is noticed
// after the probe's time limit.
func (d *dispatch) probe(candidates []route.Scored) {
	const silentMS = 1e9
	g := d.g
	wait := time.Duration(0)
	best, bestFigure := g.w.byAddress[candidates[0].Address], float64(2*silentMS)
	for _, c := range candidates {
		r := g.w.byAddress[c.Address]
		delay := g.w.delay(g.centre, r.centre)
		if r.lost {
			wait = max(wait, 50*time.Millisecond)
		}
		wait = max(wait, 2*delay)
		g.w.after(delay, func() {
			figure := float64(silentMS)
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
	delay := g.w.delay(g.centre, r.centre)
	g.w.after(delay, func() {
		if r.lost {
			g.w.after(dialTimeout, func() {
				g.table.Expire(r.address)
				d.answered(r, errkind.BackendUnreachable, false)
			})
			return
		}
		r.submit(d, func(kind errkind.Kind) {
			g.w.after(delay, func() { d.answered(r, kind, true) })
		})
	})
}

// answered ends an attempt and makes another if the kind allows it. A last frame carries the status.
func (d *dispatch) answered(r *replica, kind errkind.Kind, status bool) {
	g := d.g
	g.table.Done(r.address)
	if status && !r.lost {
		g.store(r, g.w.now-g.w.delay(g.centre, r.centre))
	}
	d.last = kind
	if kind == errkind.None || d.life != g.lives || d.r.done {
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
	if d.r.attempts >= g.w.s.Routing.MaxAttempts || !d.mayRepeat(kind) {
		d.end(kind)
		return
	}
	d.attempt()
}

// mayRepeat follows the gateway: what did not run may go to another backend server, and model calls resume.
func (d *dispatch) mayRepeat(kind errkind.Kind) bool {
	if kind.NotRun() {
		return kind.Answer().Retry == errkind.RetryAnother || kind == errkind.ConfigStale || kind == errkind.NotReady
	}
	switch kind {
	case errkind.BackendFailed, errkind.OutcomeUnknown, errkind.ProtocolError, errkind.Internal:
		return d.r.model != nil
	}
	return false
}

// end answers the caller. A gateway that was lost on the way answers nothing.
func (d *dispatch) end(kind errkind.Kind) {
	if d.life != d.g.lives {
		kind = errkind.OutcomeUnknown
	}
	d.g.w.after(d.g.w.s.ClientDelay.D(), func() { d.r.end(kind) })
}
