// Package sim is a discrete-event simulation of a scenario in virtual time. Use it to compare policies without
// starting processes. Gateways and sidecars are reduced to the order in which they call the decision packages
// route, admission, ledger, limit and placement; engines and the weight store are models with the scenario's
// times. The network consists of fixed delays only.
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
	"github.com/pomelowheel/pomelowheel/internal/memoryledger"
)

const (
	// maxConfigDelay is the longest time until a configuration change is in force at a gateway, and
	// maxSidecarConfigDelay the longest further time until it is in force at a sidecar. They stand for the polls
	// of the head version and of the deltas.
	maxConfigDelay        = 4 * time.Second
	maxSidecarConfigDelay = 3 * time.Second
	// enginePollInterval is the time between two reads of the engine's state.
	enginePollInterval = 500 * time.Millisecond
	// sameDataCentreDelay is the one-way delay between two hosts of one data centre.
	sameDataCentreDelay = 100 * time.Microsecond
	// lostAfterPolls is the number of status intervals after which a gateway gives up the streams of a host that
	// no longer answers.
	lostAfterPolls = 3
)

// epoch is the wall-clock time at which virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// dataCentre is a data centre of the scenario with its gateways and replicas.
type dataCentre struct {
	scenario.DataCentre
	gateways []*gateway
	replicas []*replica
	lost     bool
}

// world is the state of one simulation run.
type world struct {
	eventQueue
	s           *scenario.Scenario
	rng         *rand.Rand // of decisions; arrivals use their own sources, so that demand is equal under every policy
	dataCentres []*dataCentre
	gateways    []*gateway
	replicas    []*replica
	byAddress   map[string]*replica
	models      []scenario.Model
	byModel     map[string]*scenario.Model
	profiles    map[string]scenario.Profile
	limits      limiter
	planner     *planner
	orgs        []*org
	tableAway   bool
	out         *report.Recorder
}

// Run simulates the scenario with the given seed and returns its report. The scenario must be valid, as Load
// checks. The same scenario and seed give the same report.
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
		c := &dataCentre{DataCentre: d}
		w.dataCentres = append(w.dataCentres, c)
		for i := range d.Gateways {
			g := newGateway(w, c, fmt.Sprintf("%s-gateway-%d", d.Name, i+1))
			c.gateways = append(c.gateways, g)
			w.gateways = append(w.gateways, g)
		}
	}
	for i := range w.s.Services {
		service := &w.s.Services[i]
		for n := range service.Replicas {
			c := w.dataCentres[n%len(w.dataCentres)]
			r := w.newReplica(service, c, fmt.Sprintf("%s-%02d", service.Name, n))
			c.replicas = append(c.replicas, r)
			w.replicas = append(w.replicas, r)
			w.byAddress[r.address] = r
		}
	}
	w.limits = newLimiter(w)
	w.planner = newPlanner(w)
	w.planner.placeInitially()
}

func (w *world) newReplica(service *scenario.Service, c *dataCentre, address string) *replica {
	a := w.s.Admission
	r := &replica{
		w: w, service: service, dataCentre: c, address: address, startedAt: -service.WarmUp.D(),
		queue: admission.New(admission.Options{
			Policy: admission.Policy(w.s.Policies.Queueing), MaxQueue: a.MaxQueue, MaxQueueOrg: a.MaxQueueOrg,
			BatchConcurrency: a.BatchConcurrency,
		}),
		ramp: admission.NewRamp(admission.RampOptions{
			Cold: service.ColdConcurrency, Max: service.MaxConcurrency, Step: a.RampStep.D(),
		}),
		ledger:   memoryledger.New(memoryledger.Options{TotalMB: service.MemoryMB, ChecksOrders: true}),
		resident: make(map[string]bool), tasks: make(map[*admission.Item]*task), tokens: make(map[string]int64),
	}
	r.cache.limit, r.prefixes.limit, r.adapters.limit = service.CachePrefixes, maxPrefixes, service.LoadedAdapters
	// Servers are warm at the start of the scenario.
	r.ramp.SetIncarnation(r.incarnationID())
	for at := time.Duration(0); !r.ramp.Warm(); at += a.RampStep.D() / 8 {
		r.ramp.RecordSuccess(epoch.Add(-time.Hour + at))
	}
	return r
}

func (w *world) start(seed uint64) {
	for _, g := range w.gateways {
		for _, r := range w.replicas {
			g.storeStatus(r, 0)
			jitter := time.Duration(w.rng.Int64N(int64(w.s.Routing.StatusInterval)))
			w.after(jitter, func() { g.poll(r) })
		}
	}
	for _, r := range w.replicas {
		w.after(time.Duration(w.rng.Int64N(int64(enginePollInterval))), r.pollEngine)
	}
	for i, o := range w.s.Organisations {
		w.orgs = append(w.orgs, newOrg(w, o, seed, uint64(i)))
	}
	for _, e := range w.s.Events {
		w.at(e.At.D(), func() { w.applyEvent(e) })
	}
	w.planner.start()
}

// delay returns the one-way delay between two data centres.
func (w *world) delay(a, b *dataCentre) time.Duration {
	if a == b {
		return sameDataCentreDelay
	}
	return w.s.BetweenDelay.D()
}

// time returns the wall-clock time of the current virtual time.
func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) dataCentre(name string) *dataCentre {
	i := slices.IndexFunc(w.dataCentres, func(c *dataCentre) bool { return c.Name == name })
	return w.dataCentres[i]
}

func (w *world) replicaOf(service string, n int) *replica {
	return w.byAddress[fmt.Sprintf("%s-%02d", service, n)]
}

// applyEvent applies an event of the scenario and marks it in the report.
func (w *world) applyEvent(e scenario.Event) {
	w.out.Mark(w.now, cmp.Or(e.DataCentre, e.Model, e.Service)+" "+e.Kind)
	switch e.Kind {
	case scenario.EventDataCentreOut, scenario.EventDataCentreIn:
		w.setOut(w.dataCentre(e.DataCentre), e.Kind == scenario.EventDataCentreOut)
	case scenario.EventDataCentreLost:
		c := w.dataCentre(e.DataCentre)
		c.lost = true
		for _, g := range c.gateways {
			g.fail()
		}
		for _, r := range c.replicas {
			r.fail()
		}
	case scenario.EventDataCentreBack:
		c := w.dataCentre(e.DataCentre)
		c.lost = false
		for _, g := range c.gateways {
			g.lost = false
		}
		for _, r := range c.replicas {
			r.restartHost()
		}
	case scenario.EventReplicaLost:
		w.replicaOf(e.Service, e.Replica).fail()
	case scenario.EventReplicaBack:
		w.replicaOf(e.Service, e.Replica).restartHost()
	case scenario.EventReplicaCold:
		w.replicaOf(e.Service, e.Replica).restartCold()
	case scenario.EventTableAway, scenario.EventTableBack:
		w.tableAway = e.Kind == scenario.EventTableAway
	case scenario.EventDemand:
		w.byModel[e.Model].Demand *= e.Factor
	}
}

// setOut takes a data centre out of service, or back in, as an operator's configuration change does: each
// process learns of it after a random delay of its own.
func (w *world) setOut(c *dataCentre, out bool) {
	for _, g := range w.gateways {
		w.after(time.Duration(w.rng.Int64N(int64(maxConfigDelay))), func() { g.setOut(c.Name, out) })
	}
	for _, r := range c.replicas {
		w.after(time.Duration(w.rng.Int64N(int64(maxConfigDelay+maxSidecarConfigDelay))), func() { r.setOut(out) })
	}
}
