package autoscale_test

import (
	"math/rand/v2"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/autoscale"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

const (
	modelTick     = 250 * time.Millisecond
	modelCapacity = 10.0 // work per second of a server
	modelWait     = 500 * time.Millisecond
	modelQueue    = time.Second // longer waits are refused
)

// queueModel is a service in some data centres. Work that arrives at a data centre waits there in one queue; with a lost
// data centre it arrives at the others.
type queueModel struct {
	random  *rand.Rand
	noise   float64                                  // samples vary by this fraction either way
	rate    func(zone int, at time.Duration) float64 // work per second
	lost    func(zone int, at time.Duration) bool
	deaf    func(at time.Duration) bool // some gateways are not heard
	boot    time.Duration               // that servers take, which may differ from the configured one
	service autoscale.Service
	fixed   int // servers in each data centre if no count is decided

	decider                 *autoscale.Decider
	estimators              []*autoscale.RateEstimator
	refusals                []*autoscale.RateEstimator
	servers                 [][]time.Duration // when each serves, by data centre
	queue                   []float64
	arrived, inTime, billed float64
	ups, downs, reversals   int // changes of counts, and those that follow one in the other direction
	lastStep                map[string]int
	check                   func(at time.Duration, s autoscale.Service, decisions []autoscale.Decision)
}

func newModel(zones, start int, bounds fleet.Scaling) *queueModel {
	m := &queueModel{
		random: rand.New(rand.NewPCG(1, 2)), boot: bounds.Boot, decider: autoscale.NewDecider(), lastStep: make(map[string]int),
		service: autoscale.Service{Name: "s", Bounds: bounds, Capacity: modelCapacity, News: autoscale.News{Complete: true}},
		lost:    func(int, time.Duration) bool { return false }, deaf: func(time.Duration) bool { return false },
		queue: make([]float64, zones), servers: make([][]time.Duration, zones), fixed: -1,
	}
	for z := range zones {
		m.estimators = append(m.estimators, autoscale.NewRateEstimator(-modelTick))
		m.refusals = append(m.refusals, autoscale.NewRateEstimator(-modelTick))
		m.servers[z] = make([]time.Duration, start)
		m.service.DataCentres = append(m.service.DataCentres, autoscale.DataCentre{
			Name: string(rune('a' + z)), Order: autoscale.Order{Known: true, Count: start, At: -time.Hour},
		})
	}
	return m
}

func (m *queueModel) run(duration time.Duration) {
	for at := time.Duration(0); at < duration; at += modelTick {
		alive := 0
		for z := range m.queue {
			if !m.lost(z, at) {
				alive++
			}
		}
		moved := 0.0
		for z := range m.queue {
			if m.lost(z, at) {
				moved += m.rate(z, at) / float64(alive)
			}
		}
		for z := range m.queue {
			rate := moved + m.rate(z, at)
			if m.lost(z, at) {
				rate = 0
			}
			m.serve(z, at, rate*(1+m.noise*(2*m.random.Float64()-1))*modelTick.Seconds())
		}
		if m.fixed < 0 {
			m.decide(at)
		}
	}
}

// serve lets work arrive at a data centre, and its servers take what they can.
func (m *queueModel) serve(z int, at time.Duration, work float64) {
	dc := &m.service.DataCentres[z]
	dc.Ready, dc.Cold, dc.Lost = 0, 0, m.lost(z, at)
	for _, from := range m.servers[z] {
		if at >= from && !dc.Lost {
			dc.Ready++
		}
	}
	m.billed += float64(len(m.servers[z])) * modelTick.Seconds()
	capacity := float64(dc.Ready) * modelCapacity
	accepted := min(work, max(0, capacity*(modelQueue+modelTick).Seconds()-m.queue[z]))
	m.arrived += work
	m.queue[z] = max(0, m.queue[z]+accepted-capacity*modelTick.Seconds())
	if m.queue[z] <= capacity*modelWait.Seconds() {
		m.inTime += accepted
	}
	m.estimators[z].Add(work)
	m.refusals[z].Add(work - accepted)
	m.estimators[z].Advance(at)
	m.refusals[z].Advance(at)
	dc.Demand = autoscale.Demand{
		Rate: m.estimators[z].Rate(), Trend: m.estimators[z].Trend(), Waiting: m.queue[z], Refused: m.refusals[z].Rate(),
	}
}

func (m *queueModel) decide(at time.Duration) {
	m.service.News.Complete = !m.deaf(at)
	decisions := m.decider.Decide(at, m.service)
	if m.check != nil {
		m.check(at, m.service, decisions)
	}
	for z, dec := range decisions {
		before := m.service.DataCentres[z].Order.Count
		step := 0
		switch {
		case dec.Count > before:
			step, m.ups = 1, m.ups+1
			for range dec.Count - before {
				m.servers[z] = append(m.servers[z], at+m.boot)
			}
		case dec.Count < before:
			step, m.downs = -1, m.downs+1
			m.servers[z] = m.servers[z][:dec.Count]
		default:
			continue
		}
		if m.lastStep[dec.DataCentre] == -step {
			m.reversals++
		}
		m.lastStep[dec.DataCentre] = step
		m.service.DataCentres[z].Order = autoscale.Order{Known: true, Count: dec.Count, At: at}
	}
}

func (m *queueModel) share() float64 { return m.inTime / m.arrived }
