package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bench/report"
	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/limit"
)

// org is an organisation's callers, with one exact bucket that judges which requests are within the rate.
type org struct {
	scenario.Organisation
	w     *world
	rng   *rand.Rand
	judge *limit.Share
	next  int
}

// request is one call from its arrival to its end.
type request struct {
	id       string
	org      *org
	traffic  scenario.Traffic
	profile  scenario.Profile
	model    *scenario.Model // nil for plain services
	prompt   int64
	output   int64
	most     int64 // output tokens that the caller allows
	prefix   string
	arrived  time.Duration
	deadline time.Duration

	within bool              // the organisation's rate, by the exact bucket
	judged limit.Reservation // in the exact bucket
	charge func(unused int64)

	tried    []string
	attempts int
	started  bool // a backend server ran it
	tokens   int64
	firstAt  time.Duration // at the caller
	lastAt   time.Duration // at the caller
	done     bool
}

func newOrg(w *world, o scenario.Organisation, seed, number uint64) *org {
	v := &org{
		Organisation: o, w: w, rng: rand.New(rand.NewPCG(seed, 100+number)),
		judge: limit.NewFull(0, limitOptions, limit.Base{Rate: o.Rate, Burst: o.Burst, DataCentres: 1}),
	}
	w.after(v.gap(), v.arrive)
	return v
}

// gap returns the time to the next arrival at the rate of now.
func (o *org) gap() time.Duration {
	rate := o.Requests
	for _, b := range o.Bursts {
		if o.w.now >= b.At.D() && o.w.now < (b.At+b.Length).D() {
			rate *= b.Factor
		}
	}
	// A long gap of a quiet time must not jump over the beginning of a burst.
	return min(time.Duration(o.rng.ExpFloat64()/rate*float64(time.Second)), time.Minute)
}

func (o *org) arrive() {
	if o.w.now >= o.w.s.Duration.D() {
		return
	}
	o.w.after(o.gap(), o.arrive)
	o.next++
	r := &request{id: fmt.Sprintf("%s-%d", o.Name, o.next), org: o, arrived: o.w.now, traffic: o.pick()}
	r.profile = o.w.profiles[r.traffic.Profile]
	r.deadline = r.arrived + r.profile.Deadline.D()
	r.prompt, r.output = o.spread(r.traffic.PromptTokens), o.spread(r.traffic.OutputTokens)
	r.most = max(r.output, r.traffic.MostOutput())
	r.model = o.pickModel(r.traffic.Service)
	if r.model != nil && o.rng.Float64() < r.traffic.PrefixReuse {
		r.prefix = fmt.Sprintf("%s/%s/%d", o.Name, r.model.Name, o.rng.IntN(r.traffic.Prefixes))
	}
	r.judged, _ = o.judge.Reserve(o.w.now, r.reserved())
	r.within = r.judged != 0
	if r.within {
		// The bucket is charged for refused requests too and gets the rest back after the time of an idle
		// server, so that a policy does not change what is judged.
		o.w.after(o.w.alone(r), func() { o.judge.Refund(o.w.now, r.judged, r.most-r.output) })
	}
	o.w.out.Arrived(o.w.now, o.Name, r.model != nil, r.within)
	g := o.gateway()
	o.w.after(o.w.s.ClientDelay.D(), func() { g.take(r) })
}

// alone returns the time of a request on a warm server without other load.
func (w *world) alone(r *request) time.Duration {
	i := slices.IndexFunc(w.s.Services, func(v scenario.Service) bool { return v.Name == r.traffic.Service })
	v := w.s.Services[i]
	return v.ServiceTime.D() + v.FirstToken.D() + time.Duration(r.prompt)*v.PromptToken.D() +
		time.Duration(r.output)*v.BetweenTokens.D()
}

func (r *request) reserved() int64 { return max(r.prompt+r.most, 1) }

func (o *org) pick() scenario.Traffic {
	total := 0.0
	for _, t := range o.Mix {
		total += t.Share
	}
	at := o.rng.Float64() * total
	for _, t := range o.Mix {
		if at -= t.Share; at < 0 {
			return t
		}
	}
	return o.Mix[len(o.Mix)-1]
}

// spread returns a token count from a quarter of the mean to three times the mean.
func (o *org) spread(mean int64) int64 {
	if mean == 0 {
		return 0
	}
	factor := math.Min(math.Max(o.rng.ExpFloat64(), 0.25), 3)
	return max(1, int64(float64(mean)*factor))
}

func (o *org) pickModel(service string) *scenario.Model {
	at, total := o.rng.Float64(), 0.0
	for _, m := range o.w.models {
		if m.Service == service {
			total += m.Demand
		}
	}
	at *= total
	var last *scenario.Model
	for i := range o.w.models {
		m := &o.w.models[i]
		if m.Service != service {
			continue
		}
		last = m
		if at -= m.Demand; at < 0 {
			break
		}
	}
	return last
}

// gateway returns the one that the balancer picks. It avoids gateways that have been lost for a while.
func (o *org) gateway() *gateway {
	home := o.rng.Float64() < o.HomePart
	at, where := o.rng.Float64(), o.rng.Float64()
	var open []*centre
	total := 0.0
	for _, c := range o.w.centres {
		if c.gateways[0].avoided() {
			continue
		}
		if home && c.Name == o.Home {
			return c.pick(where)
		}
		open = append(open, c)
		total += c.Share
	}
	if len(open) == 0 {
		return o.w.gateways[0]
	}
	at *= total
	for _, c := range open {
		if at -= c.Share; at < 0 {
			return c.pick(where)
		}
	}
	return open[len(open)-1].pick(where)
}

// pick returns the first gateway with the part Skew, and the others in equal parts.
func (c *centre) pick(where float64) *gateway {
	n := len(c.gateways)
	if c.Skew == 0 || n == 1 {
		return c.gateways[int(where*float64(n))]
	}
	if where < c.Skew {
		return c.gateways[0]
	}
	return c.gateways[1+int((where-c.Skew)/(1-c.Skew)*float64(n-1))]
}

// end records how the request ended and settles its charges.
func (r *request) end(kind errkind.Kind) {
	if r.done {
		return
	}
	r.done = true
	o := r.org
	unused := r.reserved() - r.prompt - r.tokens
	if kind != errkind.None && !r.started {
		unused = r.reserved()
	}
	if r.charge != nil {
		r.charge(unused)
	}
	out := report.Outcome{
		Organisation: o.Name, Class: r.profile.Class, Model: r.model != nil, Within: r.within, Kind: kind,
		Ran: r.started, Booking: r.traffic.Booking, At: r.arrived,
	}
	if r.firstAt > 0 {
		out.FirstToken = r.firstAt - r.arrived
	}
	if r.tokens > 1 {
		out.BetweenTokens = (r.lastAt - r.firstAt) / time.Duration(r.tokens-1)
	}
	out.Met = kind == errkind.None && o.w.now <= r.deadline &&
		meets(out.FirstToken, r.profile.FirstToken.D()) && meets(out.BetweenTokens, r.profile.BetweenTokens.D())
	o.w.out.Ended(out)
}

func meets(figure, target time.Duration) bool { return target == 0 || figure <= target }
