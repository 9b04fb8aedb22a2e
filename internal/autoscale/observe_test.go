package autoscale_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/autoscale"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// observed plays a service with two servers in "north" that each take 10 work per second and are half busy, one that
// drains, and one in "south" that is stalled.
func observed(t *testing.T) (o *autoscale.Observer, play func(from, to time.Duration, peers ...string), s func(time.Duration) autoscale.Service) {
	g := NewWithT(t)
	view := fleet.NewView()
	view.SetConfiguration(&fleet.Configuration{Version: 1, Services: map[string]*fleet.Service{
		"plain": {Name: "plain"},
		"s": {Name: "s", Scaling: &testBounds, Engine: &fleet.Engine{WeightsMB: 100, Models: map[string]*fleet.Model{
			"m": {Name: "m", WeightsMB: 70, Load: 2 * time.Second}, "n": {Name: "n", WeightsMB: 70}, "unused": {Name: "unused", WeightsMB: 70},
		}}},
	}}, 1)
	for i, r := range []fleet.Replica{
		{ID: "n1", DataCentre: "north", Models: []fleet.ResidentModel{{Name: "m"}}}, {ID: "n2", DataCentre: "north", Cold: 3 * time.Second},
		{ID: "n3", DataCentre: "north", Draining: true}, {ID: "s1", DataCentre: "south"},
	} {
		r.Service, r.Address, r.Slots, r.ListVersion = "s", r.ID+":1", 8, int64(i+2)
		view.SetReplica(&r)
	}
	own, peer := 0.0, 0.0
	o = autoscale.NewObserver(autoscale.ObserverOptions{
		Host: "g1", DataCentre: "north", Snapshot: view.Snapshot,
		Totals:   func() map[string]autoscale.Totals { return map[string]autoscale.Totals{"s": {Work: own, Waiting: 3}} },
		InFlight: func(id string) int { return map[string]int{"n1": 4, "n2": 4, "s1": 4}[id] },
		Stalled:  func(id string) bool { return id == "s1" },
		Demanded: func(_, model string) bool { return model == "n" },
		ListAge:  func(time.Duration) time.Duration { return time.Second }, Gateways: func() (int, int) { return 3, 3 },
	})
	play = func(from, to time.Duration, peers ...string) {
		for at := from; at < to; at += 250 * time.Millisecond {
			for _, host := range peers {
				o.Receive(at, host, "1", map[string]string{"g2": "south", "g3": "east"}[host], map[string]autoscale.Totals{"s": {Work: 1000 + peer}})
			}
			own, peer = own+2, peer+1
			g.Expect(o.Services(at)).To(HaveLen(1), "only services with scaling")
		}
	}
	return o, play, func(at time.Duration) autoscale.Service { return o.Services(at)[0] }
}

// Guards against an input that takes what a gateway served before for new demand, counts servers that drain, places demand
// in the wrong data centre, or misses that a data centre is silent.
func TestObserverBuildsTheInput(t *testing.T) {
	g := NewWithT(t)
	_, play, service := observed(t)
	play(0, 2*time.Second, "g2", "g3")
	g.Expect(service(2 * time.Second).DataCentres[0]).To(And(HaveField("Ready", 1), HaveField("Cold", 1), HaveField("Draining", 1)))
	play(2*time.Second, 2*time.Minute, "g2", "g3")
	s := service(2*time.Minute - 250*time.Millisecond) // the last moment that was played
	g.Expect(s.Bounds).To(Equal(testBounds))
	g.Expect(s.Load).To(Equal(2 * time.Second))
	g.Expect(s.ModelReplicas).To(Equal(2), "a resident and a requested model that do not fit on one server")
	g.Expect(s.News.Complete).To(BeTrue())
	g.Expect(s.DataCentres).To(HaveLen(2))
	north, south := s.DataCentres[0], s.DataCentres[1]
	g.Expect(north).To(And(HaveField("Ready", 2), HaveField("Cold", 0), HaveField("Lost", false), HaveField("Demand.Waiting", 3.0)))
	g.Expect(north.Demand.Rate).To(BeNumerically("~", 8, 0.1))
	g.Expect(south).To(And(HaveField("Lost", true), HaveField("Demand.Rate", BeNumerically("~", 4, 0.1))))
	g.Expect(s.Unplaced.Rate).To(BeNumerically("~", 4, 0.1), "the service has no server in the data centre of g3")
	// 16 work per second, three servers in use, half of the slots busy.
	g.Expect(s.Capacity).To(BeNumerically("~", 16.0/3/0.5, 0.5))
}

// Guards against counts that fall because a gateway is silent, and against news that stays incomplete after it has left.
func TestObserverNoticesSilentGateways(t *testing.T) {
	g := NewWithT(t)
	o, play, service := observed(t)
	play(0, 5*time.Second, "g2")
	g.Expect(service(5*time.Second).News.Complete).To(BeFalse(), "g3 was never heard")
	play(5*time.Second, 10*time.Second, "g2", "g3")
	g.Expect(service(10 * time.Second).News.Complete).To(BeTrue())
	play(10*time.Second, 15*time.Second, "g3")
	g.Expect(service(15*time.Second).News.Complete).To(BeFalse(), "g2 is silent")
	o.Drop("g2")
	play(15*time.Second, 16*time.Second, "g3", "g4")
	g.Expect(service(16*time.Second).News.Complete).To(BeFalse(), "the rate of g4 is not known yet")
	play(16*time.Second, 20*time.Second, "g3", "g4")
	g.Expect(service(20 * time.Second).News.Complete).To(BeTrue())
}

// Guards against a new holder that takes the demand of gateways it hears for the first time, or again, for a step or a burst,
// and orders servers for it.
func TestObserverTakesNoNewGatewayForAStep(t *testing.T) {
	g := NewWithT(t)
	_, play, service := observed(t)
	for i, peers := range [][]string{{}, {"g2"}, {"g2", "g3"}, {"g3"}, {"g2", "g3"}} {
		from := time.Duration(i) * 20 * time.Second
		for at := from; at < from+20*time.Second; at += 250 * time.Millisecond {
			play(at, at+250*time.Millisecond, peers...)
			s := service(at)
			all := s.Unplaced
			for _, dc := range s.DataCentres {
				all.Rate, all.Trend = all.Rate+dc.Demand.Rate, max(all.Trend, dc.Demand.Trend)
			}
			// 16 work per second arrive, and one sample holds an eighth more or less of a second.
			g.Expect(all.Rate).To(BeNumerically("<", 16*1.125), "at %v", at)
			g.Expect(all.Trend).To(BeZero(), "at %v", at)
		}
	}
}

// Guards against a gateway that acquires the duty again and takes the time in which it did not hold it for a time without demand: the
// reports arrive before it may act, and the demand that it then sees would look like a steep ramp.
func TestObserverKnowsTheRatesWhenTheDutyReturns(t *testing.T) {
	g := NewWithT(t)
	o, play, service := observed(t)
	play(0, 20*time.Second, "g2", "g3")
	work := 5000.0
	report := func(at time.Duration) {
		work++
		o.Receive(at, "g2", "1", "south", map[string]autoscale.Totals{"s": {Work: work}})
	}
	at := 2 * time.Minute
	for ; at < 2*time.Minute+3*time.Second; at += 250 * time.Millisecond {
		report(at)
	}
	for ; at < 2*time.Minute+10*time.Second; at += 250 * time.Millisecond {
		report(at)
		south := service(at).DataCentres[1].Demand
		g.Expect(south.Rate).To(BeNumerically("~", 4, 0.5), "at %v", at)
		g.Expect(south.Trend).To(BeZero(), "at %v", at)
	}
}
