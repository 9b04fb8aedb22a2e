package contention_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/contention"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

const ms = time.Millisecond

// kinds returns the kinds of requests at a load that keeps the engines' prompt processing busy, for an organisation with the given part
// of it.
func kinds(org string, part float64) []*kind {
	return []*kind{
		{route: streamRoute("chat", 0, 500*ms, 15*time.Second), shared: []int{119, 79}, topics: 136, own: 628, output: 288, rate: 40 * part, org: org},
		{route: streamRoute("draft", 1, 800*ms, 6*time.Second), shared: []int{2520, 3780}, topics: 66, own: 2890, output: 56, rate: 34 * part, org: org},
		{route: streamRoute("background", 2, 8*time.Second, 12*time.Second), shared: []int{2520, 3780}, topics: 66, own: 2890, output: 56,
			rate: 5 * part, org: org},
	}
}

func policyOf(list []*kind) *contention.Policy {
	c := &fleet.Configuration{Services: map[string]*fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{Slots: slots}}}}
	for _, k := range list {
		c.Routes = append(c.Routes, k.route)
	}
	return contention.Policies(c)["s"]
}

// sum adds the outcomes whose name contains the text.
func sum(outcomes map[string]*outcome, text string) (all outcome) {
	for name, o := range outcomes {
		if strings.Contains(name, text) {
			all.inTime += o.inTime
			all.late += o.late
			all.paused += o.paused
			all.refused += o.refused
		}
	}
	return all
}

// Guards against engines whose queues fill with work that finishes late, and against fewer requests in time than with admission by
// deadline: at half the load in total, at the full load of each kind.
func TestMoreRequestsAreInTimeThanWithAdmissionByDeadline(t *testing.T) {
	for _, part := range []float64{0.5, 1} {
		list := kinds("", part)
		byDeadline, underContention := make(map[string]*outcome), make(map[string]*outcome)
		for seed := range uint64(4) {
			load := draw(seed, list, 10*time.Second)
			for name, o := range play(load, nil) {
				byDeadline[fmt.Sprint(name, seed)] = o
			}
			for name, o := range play(load, policyOf(list)) {
				underContention[fmt.Sprint(name, seed)] = o
			}
		}
		for _, name := range []string{"chat", "draft", "background", ""} {
			before, after := sum(byDeadline, name), sum(underContention, name)
			t.Logf("load %.1f %q: by deadline %+v, under contention %+v", part, name, before, after)
			if (part == 1 || name == "") && after.inTime <= before.inTime {
				t.Errorf("load %.1f %q: %d in time, %d with admission by deadline", part, name, after.inTime, before.inTime)
			}
			if part == 1 && after.late > before.late && name != "background" {
				t.Errorf("load %.1f %q: %d late, %d with admission by deadline", part, name, after.late, before.late)
			}
		}
	}
}

// Guards against an organisation that takes the capacity of the others: one sends twice as much as the others together, and more than
// what is left. The others have to fare better than it, and better than with admission by deadline.
func TestOneOrganisationLeavesTheOthersTheirShare(t *testing.T) {
	var others []*kind
	for i := range 4 {
		others = append(others, kinds(fmt.Sprint("/other", i), 0.12)...)
	}
	alone := draw(1, others, 10*time.Second)
	both := append(slices.Clone(alone), draw(51, kinds("/large", 1), 10*time.Second)...)
	slices.SortStableFunc(both, func(a, b arrival) int { return int(a.at - b.at) })
	policy := policyOf(others)
	undisturbed, byDeadline, shared := play(alone, policy), play(both, nil), play(both, policy)
	part := func(o outcome) float64 { return float64(o.inTime) / float64(o.inTime+o.late+o.paused+o.refused) }
	small, large := sum(shared, "/other"), sum(shared, "/large")
	t.Logf("others %+v, alone %+v, by deadline %+v; large one %+v, by deadline %+v", small, sum(undisturbed, "/other"),
		sum(byDeadline, "/other"), large, sum(byDeadline, "/large"))
	if part(small) <= part(large) || part(small) <= part(sum(byDeadline, "/other")) {
		t.Errorf("%.2f of the requests of the others were in time, of the large organisation's %.2f", part(small), part(large))
	}
}

// Guards against services that are covered although admission by deadline suits them, and the reverse.
func TestServicesAreCoveredByTheirMostUrgentStreamingRoute(t *testing.T) {
	urgent := streamRoute("a", 0, 500*ms, 8*time.Second)
	later, calls := streamRoute("b", 1, time.Second, time.Second), streamRoute("c", -1, time.Second, time.Second)
	calls.Repeat = fleet.Idempotent
	tight := urgent
	tight.Timeout--
	for name, test := range map[string]struct {
		engine  *fleet.Engine
		routes  []fleet.Route
		covered bool
	}{
		"16 times the target":               {&fleet.Engine{}, []fleet.Route{urgent, later, calls}, true},
		"less than 16 times the target":     {&fleet.Engine{}, []fleet.Route{tight, later}, false},
		"shortest target of equal priority": {&fleet.Engine{}, []fleet.Route{urgent, streamRoute("d", 0, 499*ms, 7*time.Second)}, false},
		"no streaming route":                {&fleet.Engine{}, []fleet.Route{calls}, false},
		"no engines":                        {nil, []fleet.Route{urgent}, false},
	} {
		c := &fleet.Configuration{Routes: test.routes, Services: map[string]*fleet.Service{"s": {Engine: test.engine}}}
		if covered := contention.Policies(c)["s"] != nil; covered != test.covered {
			t.Errorf("%s: covered is %v", name, covered)
		}
	}
}

// Guards against decisions that hold what can't succeed, send what delays others, or refuse what has a chance.
func TestDecisions(t *testing.T) {
	p := policyOf(kinds("", 1))
	chat := contention.Request{Target: 500 * ms, Left: 15 * time.Second, FairShare: 1}
	server := func(ahead, own time.Duration) contention.Server {
		return contention.Server{Predicted: ahead + own, WaitAhead: ahead, Queued: ahead, Own: own, Running: true}
	}
	late := chat
	late.Elapsed = time.Second
	draft := contention.Request{Rank: 1, Target: 800 * ms, Left: 6 * time.Second, FairShare: 1}
	for name, test := range map[string]struct {
		request contention.Request
		server  contention.Server
		load    contention.Load
		action  contention.Action
		reason  contention.Reason
	}{
		"calm":                        {chat, server(0, 20*ms), contention.Load{First: true}, contention.Send, contention.Allowed},
		"over the allowance":          {chat, server(301*ms, 20*ms), contention.Load{First: true}, contention.Wait, contention.OverAllowed},
		"over the allowance of rank":  {draft, server(200*ms, 20*ms), contention.Load{First: true}, contention.Wait, contention.OverAllowed},
		"streams would pause":         {draft, server(150*ms, 80*ms), contention.Load{First: true}, contention.Wait, contention.OverGap},
		"large at a calm engine":      {draft, server(40*ms, 300*ms), contention.Load{First: true}, contention.Send, contention.Allowed},
		"others go first":             {chat, server(0, 20*ms), contention.Load{}, contention.Wait, contention.OthersFirst},
		"left to another gateway":     {chat, server(0, 20*ms), contention.Load{First: true, Others: 10, Draw: 0.99}, contention.Wait, contention.Paced},
		"late, with room":             {late, server(0, 20*ms), contention.Load{First: true}, contention.Send, contention.Allowed},
		"late, room is expected":      {late, server(100*ms, 20*ms), contention.Load{First: true}, contention.Wait, contention.LateWork},
		"late, no room for long":      {late, server(100*ms, 20*ms), contention.Load{First: true, NoRoomFor: 12 * time.Second}, contention.Refuse, contention.NoRoom},
		"past the share of time left": {chat, server(12*time.Second, 20*ms), contention.Load{First: true}, contention.Refuse, contention.NoRoom},
	} {
		if v := p.Decide(test.request, test.server, test.load); v.Action != test.action || v.Reason != test.reason {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// Guards against an order that starves a kind of requests, an organisation or old requests, and against full queues that keep what is late.
func TestWaitingRequestsAreDecidedOnInOrder(t *testing.T) {
	queue := contention.NewQueue(0)
	best := contention.Server{Predicted: 20 * ms, Own: 20 * ms}
	var turns []string
	add := func(name string, rank int, target, arrived time.Duration, served float64) {
		w := &contention.Waiter{ArrivedAt: arrived}
		w.Wake = func() {
			turns = append(turns, name)
			if !w.Displaced {
				queue.Remove(w, time.Second)
			}
		}
		queue.Add(w, arrived)
		queue.Failed(w, contention.Request{Rank: rank, Target: target, Served: served, FairShare: 1}, best, 2*time.Second, arrived)
	}
	add("late", 0, 500*ms, 300*ms, 0)
	add("chat of a large organisation", 0, 500*ms, 600*ms, 9)
	add("younger chat", 0, 500*ms, 700*ms, 1)
	add("older chat", 0, 500*ms, 650*ms, 1)
	add("draft", 1, 800*ms, 900*ms, 0)
	add("draft that has waited", 1, 800*ms, 250*ms, 0)
	queue.StartRound(time.Second)
	want := []string{"draft that has waited", "older chat", "younger chat", "chat of a large organisation", "draft", "late"}
	if !slices.Equal(turns, want) {
		t.Errorf("turns %q, want %q", turns, want)
	}
	turns = nil
	add("late", 0, 500*ms, 300*ms, 0)
	chat := contention.Request{Target: 500 * ms, FairShare: 1}
	if !queue.Displace(chat, best, 0, time.Second) || !slices.Equal(turns, []string{"late"}) || queue.Displace(chat, best, 0, time.Second) {
		t.Errorf("a request that can be in time did not take the place of one late one: %q", turns)
	}
}

// Guards against decisions that take longer than 2 µs in calm.
func BenchmarkCalmDecision(b *testing.B) {
	p := policyOf(kinds("", 1))
	c := fleetroute.Candidate{InFlight: 10, Slots: 64, QueuedTokens: 1000, UncachedTokens: 700, PrefillRate: 38, Slowness: 1}
	r := contention.Request{Target: 500 * ms, Left: 15 * time.Second, FairShare: 1}
	for b.Loop() {
		if reason, _ := p.MaySend(r, contention.ServerOf(&c)); reason != contention.Allowed {
			b.Fatal(reason)
		}
	}
}
