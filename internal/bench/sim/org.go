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
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
)

// org generates the requests of an organisation. One exact token bucket decides which of them are within the
// organisation's rate.
type org struct {
	scenario.Organisation
	w           *world
	rng         *rand.Rand
	exactBucket *limitshare.Share
	sequence    int
}

// request is one call from its arrival to its end.
type request struct {
	id        string
	org       *org
	traffic   scenario.Traffic
	profile   scenario.Profile
	model     *scenario.Model // nil for plain services
	prompt    int64           // tokens
	output    int64           // tokens that a complete answer has
	maxOutput int64           // tokens that the caller allows for the answer
	prefix    string
	arrived   time.Duration
	deadline  time.Duration

	withinRate       bool                   // the exact bucket granted it
	exactReservation limitshare.Reservation // zero if the exact bucket refused it
	charge           func(unused int64)

	tried    []string
	attempts int
	started  bool          // a backend server started to run it
	tokens   int64         // generated so far, over all attempts
	firstAt  time.Duration // at the caller
	lastAt   time.Duration // at the caller
	done     bool
}

func newOrg(w *world, o scenario.Organisation, seed, number uint64) *org {
	v := &org{
		Organisation: o, w: w, rng: rand.New(rand.NewPCG(seed, 100+number)),
		exactBucket: limitshare.NewFull(0, limitOptions, limitshare.BucketConfig{Rate: o.Rate, Burst: o.Burst, DataCentres: 1}),
	}
	w.after(v.nextGap(), v.arrive)
	return v
}

// nextGap returns the time to the next arrival at the current rate.
func (o *org) nextGap() time.Duration {
	rate := o.Requests
	for _, b := range o.Bursts {
		if o.w.now >= b.At.D() && o.w.now < (b.At+b.Length).D() {
			rate *= b.Factor
		}
	}
	// At a low rate, one long gap must not skip the beginning of a burst.
	return min(time.Duration(o.rng.ExpFloat64()/rate*float64(time.Second)), time.Minute)
}

func (o *org) arrive() {
	if o.w.now >= o.w.s.Duration.D() {
		return
	}
	o.w.after(o.nextGap(), o.arrive)
	o.sequence++
	r := &request{id: fmt.Sprintf("%s-%d", o.Name, o.sequence), org: o, arrived: o.w.now, traffic: o.pickTraffic()}
	r.profile = o.w.profiles[r.traffic.Profile]
	r.deadline = r.arrived + r.profile.Deadline.D()
	r.prompt, r.output = o.randomTokens(r.traffic.PromptTokens), o.randomTokens(r.traffic.OutputTokens)
	r.maxOutput = max(r.output, r.traffic.MaxOutputTokens())
	r.model = o.pickModel(r.traffic.Service)
	if r.model != nil && o.rng.Float64() < r.traffic.PrefixReuse {
		r.prefix = fmt.Sprintf("%s/%s/%d", o.Name, r.model.Name, o.rng.IntN(r.traffic.Prefixes))
	}
	r.exactReservation, _ = o.exactBucket.Reserve(o.w.now, r.reservedTokens())
	r.withinRate = r.exactReservation != 0
	if r.withinRate {
		// The exact bucket is charged whether or not the system refuses the request, and gets the unused tokens
		// back after the time that an unloaded server takes. So the policy under test does not change which
		// requests count as within the rate.
		o.w.after(o.w.unloadedTime(r), func() { o.exactBucket.Refund(o.w.now, r.exactReservation, r.maxOutput-r.output) })
	}
	o.w.out.Arrived(o.w.now, o.Name, r.model != nil, r.withinRate)
	g := o.gateway()
	o.w.after(o.w.s.ClientDelay.D(), func() { g.handle(r) })
}

// unloadedTime returns the service time of a request on a warm server without other load.
func (w *world) unloadedTime(r *request) time.Duration {
	i := slices.IndexFunc(w.s.Services, func(v scenario.Service) bool { return v.Name == r.traffic.Service })
	v := w.s.Services[i]
	return v.ServiceTime.D() + v.FirstToken.D() + time.Duration(r.prompt)*v.PromptToken.D() +
		time.Duration(r.output)*v.BetweenTokens.D()
}

// reservedTokens returns the tokens that are reserved for the request at its arrival.
func (r *request) reservedTokens() int64 { return max(r.prompt+r.maxOutput, 1) }

// pickTraffic draws a kind of request from the organisation's mix, by share.
func (o *org) pickTraffic() scenario.Traffic {
	total := 0.0
	for _, t := range o.Mix {
		total += t.Share
	}
	remaining := o.rng.Float64() * total
	for _, t := range o.Mix {
		if remaining -= t.Share; remaining < 0 {
			return t
		}
	}
	return o.Mix[len(o.Mix)-1]
}

// randomTokens draws a token count between a quarter of the mean and three times the mean.
func (o *org) randomTokens(mean int64) int64 {
	if mean == 0 {
		return 0
	}
	factor := math.Min(math.Max(o.rng.ExpFloat64(), 0.25), 3)
	return max(1, int64(float64(mean)*factor))
}

// pickModel draws a model of the service, by demand; nil if the service has none.
func (o *org) pickModel(service string) *scenario.Model {
	remaining, total := o.rng.Float64(), 0.0
	for _, m := range o.w.models {
		if m.Service == service {
			total += m.Demand
		}
	}
	remaining *= total
	var last *scenario.Model
	for i := range o.w.models {
		m := &o.w.models[i]
		if m.Service != service {
			continue
		}
		last = m
		if remaining -= m.Demand; remaining < 0 {
			break
		}
	}
	return last
}

// gateway returns the gateway that the load balancer picks. The balancer avoids gateways that were lost
// longer than its delay ago.
func (o *org) gateway() *gateway {
	home := o.rng.Float64() < o.HomeShare
	remaining, gatewayDraw := o.rng.Float64(), o.rng.Float64()
	var available []*dataCentre
	total := 0.0
	for _, c := range o.w.dataCentres {
		if c.gateways[0].avoidedByBalancer() {
			continue
		}
		if home && c.Name == o.Home {
			return c.pickGateway(gatewayDraw)
		}
		available = append(available, c)
		total += c.Share
	}
	if len(available) == 0 {
		return o.w.gateways[0]
	}
	remaining *= total
	for _, c := range available {
		if remaining -= c.Share; remaining < 0 {
			return c.pickGateway(gatewayDraw)
		}
	}
	return available[len(available)-1].pickGateway(gatewayDraw)
}

// pickGateway returns the first gateway with probability Skew, and the others with equal probability.
func (c *dataCentre) pickGateway(draw float64) *gateway {
	n := len(c.gateways)
	if c.Skew == 0 || n == 1 {
		return c.gateways[int(draw*float64(n))]
	}
	if draw < c.Skew {
		return c.gateways[0]
	}
	return c.gateways[1+int((draw-c.Skew)/(1-c.Skew)*float64(n-1))]
}

// end records the outcome of the request and refunds its unused tokens.
func (r *request) end(kind errkind.Kind) {
	if r.done {
		return
	}
	r.done = true
	o := r.org
	unused := r.reservedTokens() - r.prompt - r.tokens
	if kind != errkind.None && !r.started {
		unused = r.reservedTokens()
	}
	if r.charge != nil {
		r.charge(unused)
	}
	out := report.Outcome{
		Organisation: o.Name, Class: r.profile.Class, Model: r.model != nil, WithinRate: r.withinRate, Kind: kind,
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
