// Package sim plays a scenario in virtual time. Gateways and sidecars are reduced to the order in which they
// call the decision packages route, admission, ledger, limit and placement; engines and the weight store
// are fakes with the scenario's times. There is no network beyond fixed delays, and no process.
package sim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/bench/report"
	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/ledger"
)

const (
	// configDelay bounds the time until a change is in force at a gateway, sidecarDelay that of a sidecar
	// after its gateways: the polls of the head version and of the deltas.
	configDelay  = 4 * time.Second
	sidecarDelay = 3 * time.Second
	// enginePoll is the time between two reads of the engine's state.
	enginePoll = 500 * time.Millisecond
	// sameCentre is the delay between two hosts of one data centre, one way.
	sameCentre = 100 * time.Microsecond
	// lostAfter is the time after which a gateway gives up the streams of a host that fell silent: three
	// status polls.
	lostAfter = 3
)

// epoch is the wall-clock time at which virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// centre is a data centre with what lives in it.
type centre struct {
	scenario.DataCentre
	gateways []*gateway
	replicas []*replica
	lost     bool
}

type world struct {
	events
	s         *scenario.Scenario
	rng       *rand.Rand // of decisions; demand has its own, so that it is equal under every policy
	centres   []*centre
	gateways  []*gateway
	replicas  []*replica
	byAddress map[string]*replica
	models    []scenario.Model
	byModel   map[string]*scenario.Model
	profiles  map[string]scenario.Profile
	limits    limiter
	planner   *planner
	orgs      []*org
	tableAway bool
	out       *report.Recorder
}

// Run plays the scenario with a seed.
func Run(s *scenario.Scenario, seed uint64) *report.Report {
	w := &world{
		s: s, rng: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*replica),
		byModel: make(map[string]*scenario.Model), profiles: make(map[string]scenario.Profile),
	}
	accelerators := 0
	for _, v := range s.Services {
		if v.Kind == "model" {
			accelerators += v.Replicas
		}
	}
	w.out = report.NewRecorder(s.Name, seed, s.Duration.D(), accelerators)
	w.out.SetPolicies(s.Policies)
	w.build()
	w.start(seed)
	// Requests that arrived before the end get time to finish.
	longest := time.Duration(0)
	for _, p := range s.Profiles {
		longest = max(longest, p.Deadline.D())
	}
	w.run(s.Duration.D() + longest + time.Second)
	return w.out.Report()
}

func (w *world) build() {
	w.models = w.s.ModelList()
	for i := range w.models {
		w.byModel[w.models[i].Name] = &w.models[i]
	}
	for _, p := range w.s.Profiles {
		w.profiles[p.Name] = p
	}
	for _, d := range w.s.DataCentres {
		c := &centre{DataCentre: d}
		w.centres = append(w.centres, c)
		for i := range d.Gateways {
			g := newGateway(w, c, fmt.Sprintf("%s-gateway-%d", d.Name, i+1))
			c.gateways = append(c.gateways, g)
			w.gateways = append(w.gateways, g)
		}
	}
	for i := range w.s.Services {
		service := &w.s.Services[i]
		for n := range service.Replicas {
			c := w.centres[n%len(w.centres)]
			r := w.newReplica(service, c, fmt.Sprintf("%s-%02d", service.Name, n))
			c.replicas = append(c.replicas, r)
			w.replicas = append(w.replicas, r)
			w.byAddress[r.address] = r
		}
	}
	w.limits = newLimiter(w)
	w.planner = newPlanner(w)
	w.planner.place()
}

func (w *world) newReplica(service *scenario.Service, c *centre, address string) *replica {
	a := w.s.Admission
	r := &replica{
		w: w, service: service, centre: c, address: address, startedAt: -service.WarmUp.D(),
		queue: admission.New(admission.Options{
			Policy: admission.Policy(w.s.Policies.Queueing), MaxQueue: a.MaxQueue, MaxQueueOrg: a.MaxQueueOrg,
			BatchConcurrency: a.BatchConcurrency,
		}),
		ramp: admission.NewRamp(admission.RampOptions{
			Cold: service.ColdConcurrency, Max: service.MaxConcurrency, Step: a.RampStep.D(),
		}),
		ledger:   ledger.New(ledger.Options{TotalMB: service.MemoryMB, ChecksOrders: true}),
		resident: make(map[string]bool), tasks: make(map[*admission.Item]*task), tokens: make(map[string]int64),
	}
	r.cache.limit, r.prefixes.limit, r.adapters.limit = service.CachePrefixes, maxPrefixes, service.LoadedAdapters
	// The scenario begins with warm servers.
	r.ramp.Incarnation(r.incarnationID())
	for at := time.Duration(0); !r.ramp.Warm(); at += a.RampStep.D() / 8 {
		r.ramp.Good(epoch.Add(-time.Hour + at))
	}
	return r
}

func (w *world) start(seed uint64) {
	for _, g := range w.gateways {
		for _, r := range w.replicas {
			g.store(r, 0)
			jitter := time.Duration(w.rng.Int64N(int64(w.s.Routing.StatusInterval)))
			w.after(jitter, func() { g.poll(r) })
		}
	}
	for _, r := range w.replicas {
		w.after(time.Duration(w.rng.Int64N(int64(enginePoll))), r.pollEngine)
	}
	for i, o := range w.s.Organisations {
		w.orgs = append(w.orgs, newOrg(w, o, seed, uint64(i)))
	}
	for _, e := range w.s.Events {
		w.at(e.At.D(), func() { w.happen(e) })
	}
	w.planner.start()
}

// delay returns the time one way between two data centres.
func (w *world) delay(a, b *centre) time.Duration {
	if a == b {
		return sameCentre
	}
	return w.s.BetweenDelay.D()
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) centre(name string) *centre {
	i := slices.IndexFunc(w.centres, func(c *centre) bool { return c.Name == name })
	return w.centres[i]
}

func (w *world) replicaOf(service string, n int) *replica {
	return w.byAddress[fmt.Sprintf("%s-%02d", service, n)]
}

// happen makes an event of the scenario happen.
func (w *world) happen(e scenario.Event) {
	w.out.Mark(w.now, cmp.Or(e.DataCentre, e.Model, e.Service)+" "+e.Kind)
	switch e.Kind {
	case scenario.EventDataCentreOut, scenario.EventDataCentreIn:
		w.setOut(w.centre(e.DataCentre), e.Kind == scenario.EventDataCentreOut)
	case scenario.EventDataCentreLost:
		c := w.centre(e.DataCentre)
		c.lost = true
		for _, g := range c.gateways {
			g.lose()
		}
		for _, r := range c.replicas {
			r.lose()
		}
	case scenario.EventDataCentreBack:
		c := w.centre(e.DataCentre)
		c.lost = false
		for _, g := range c.gateways {
			g.lost = false
		}
		for _, r := range c.replicas {
			r.back()
		}
	case scenario.EventReplicaLost:
		w.replicaOf(e.Service, e.Replica).lose()
	case scenario.EventReplicaBack:
		w.replicaOf(e.Service, e.Replica).back()
	case scenario.EventReplicaCold:
		w.replicaOf(e.Service, e.Replica).turnCold()
	case scenario.EventTableAway, scenario.EventTableBack:
		w.tableAway = e.Kind == scenario.EventTableAway
	case scenario.EventDemand:
		w.byModel[e.Model].Demand *= e.Factor
	}
}

// setOut brings the operator's change into force at each process after its own delay.
func (w *world) setOut(c *centre, out bool) {
	for _, g := range w.gateways {
		w.after(time.Duration(w.rng.Int64N(int64(configDelay))), func() { g.setOut(c.Name, out) })
	}
	for _, r := range c.replicas {
		w.after(time.Duration(w.rng.Int64N(int64(configDelay+sidecarDelay))), func() { r.setOut(out) })
	}
}
