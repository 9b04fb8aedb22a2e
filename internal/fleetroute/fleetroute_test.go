package fleetroute_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

const ms = time.Millisecond

// prompt returns a prompt of the Lantern Works scenario: 6,300 of its 9,190 tokens are shared.
func prompt(ward string, servers ...string) fleetroute.Prompt {
	return fleetroute.NewPrompt("m0", 9190,
		[]fleetroute.Part{{ID: "rules", Tokens: 2520}, {ID: ward, Tokens: 3780}, {ID: "own", Tokens: 2890}}, servers)
}

func fill(t *fleetroute.Table, now time.Duration, p fleetroute.Prompt, ids ...string) []fleetroute.Candidate {
	list := make([]fleetroute.Candidate, 0, len(ids))
	for _, id := range ids {
		c := fleetroute.Candidate{ID: id, DataCentre: "a", Slots: 64, CapacityTokens: 240_000}
		t.Fill(&c, now, "m0", "s", p)
		c.NeededTokens = c.UncachedTokens
		list = append(list, c)
	}
	return list
}

// Guards against prompts that are processed again although a server still caches their shared parts.
func TestAPromptReturnsToTheServerThatCachesIt(t *testing.T) {
	table := fleetroute.NewTable()
	ids := []string{"a", "b", "c"}
	p := prompt("ward-7", ids...)
	first := fill(table, 0, p, ids...)
	chosen := first[fleetroute.Choose(first, "a")]
	table.Begin(&chosen, 0, "m0", "s", p).Done(400*ms, false)
	again := fill(table, 500*ms, p, ids...)
	if got := again[fleetroute.Choose(again, "a")]; got.ID != chosen.ID || got.UncachedTokens > 1 {
		t.Fatalf("chose %s with %.0f uncached tokens, expected %s", got.ID, got.UncachedTokens, chosen.ID)
	}
}

// Guards against a queue at the server that caches a prompt: waiting behind many prompts costs more than processing
// one.
func TestAnIdleServerIsPreferredToABusyOneWithTheCache(t *testing.T) {
	table := fleetroute.NewTable()
	ids := []string{"a", "b"}
	p := prompt("ward-7", ids...)
	c := fill(table, 0, p, "a")[0]
	table.Begin(&c, 0, "m0", "s", p).Done(ms, false)
	for i := range 5 {
		other := prompt(fmt.Sprint("other-", i), ids...)
		c := fill(table, 0, other, "a")[0]
		table.Begin(&c, 0, "m0", "s", other)
	}
	list := fill(table, 10*ms, p, ids...)
	if got := list[fleetroute.Choose(list, "a")].ID; got != "b" {
		t.Fatalf("chose %s, where five prompts are waiting", got)
	}
}

// Guards against gateways that each send a new prompt to a different server: they must agree without exchanging
// messages.
func TestGatewaysPreferTheSameServerForAPrompt(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	for ward := range 20 {
		p := prompt(fmt.Sprint("ward-", ward), ids...)
		one, two := fill(fleetroute.NewTable(), 0, p, ids...), fill(fleetroute.NewTable(), 0, p, ids...)
		if a, b := one[fleetroute.Choose(one, "a")].ID, two[fleetroute.Choose(two, "a")].ID; a != b {
			t.Fatalf("the gateways send ward %d to %s and %s", ward, a, b)
		}
	}
}

// Guards against a slow or failing server that keeps getting its share of the requests, and against one that never
// gets another request.
func TestSlowAndFailingServersAreAvoidedAndTriedAgain(t *testing.T) {
	for name, finish := range map[string]func(*fleetroute.Attempt){
		"slow":    func(a *fleetroute.Attempt) { a.RecordProgress(3 * time.Second); a.Done(3*time.Second, false) },
		"failing": func(a *fleetroute.Attempt) { a.Done(3*time.Second, true) },
	} {
		t.Run(name, func(t *testing.T) {
			table := fleetroute.NewTable()
			for i := range 4 {
				p := prompt(fmt.Sprint(i))
				c := fill(table, 0, p, "a")[0]
				finish(table.Begin(&c, 0, "m0", "s", p))
			}
			p := prompt("new")
			list := fill(table, 3*time.Second, p, "a", "b")
			if got := list[fleetroute.Choose(list, "a")].ID; got != "b" {
				t.Fatalf("chose %s, expected b", got)
			}
			later := fill(table, 40*time.Second, p, "a")
			if later[0].Slowness > 1.1 || later[0].PenaltyMS > 1 {
				t.Fatalf("slowness %.2f and penalty %.0f ms after 40 s", later[0].Slowness, later[0].PenaltyMS)
			}
		})
	}
}

// Guards against a prediction that ignores the requests of the other gateways, and against one that counts them for
// ever.
func TestLoadsOfPeersCountWhileTheyAreFresh(t *testing.T) {
	table := fleetroute.NewTable()
	table.UpdatePeer("g2", 0, map[string]fleetroute.Load{"a": {InFlight: 3, Prefill: 20_000}}, true)
	if c := fill(table, time.Second, prompt("x"), "a")[0]; c.QueuedTokens != 20_000 || c.InFlight != 3 {
		t.Fatalf("%d requests and %.0f prompt tokens in flight, expected 3 and 20000", c.InFlight, c.QueuedTokens)
	}
	if c := fill(table, 3*time.Second, prompt("x"), "a")[0]; c.QueuedTokens != 0 {
		t.Fatalf("%.0f prompt tokens counted for a peer that has not reported for 3 s", c.QueuedTokens)
	}
}

// Guards against load counters that drift: loads must return to zero however requests end.
func TestLoadsReturnToZero(t *testing.T) {
	table := fleetroute.NewTable()
	for i := range 50 {
		p := prompt(fmt.Sprint(i))
		c := fill(table, 0, p, "a")[0]
		a := table.Begin(&c, 0, "m0", "s", p)
		if i%2 == 0 {
			a.RecordProgress(time.Duration(i) * ms)
		}
		a.Done(time.Second, i%3 == 0)
		a.Done(time.Second, false)
	}
	if loads := table.Loads(time.Minute); len(loads) != 0 {
		t.Fatalf("loads after all requests ended: %+v", loads)
	}
}

// BenchmarkChoose measures one choice among the candidates of a heavily used model.
func BenchmarkChoose(b *testing.B) {
	table := fleetroute.NewTable()
	ids := make([]string, 40)
	for i := range ids {
		ids[i] = fmt.Sprint("server-", i)
	}
	p := prompt("ward", ids...)
	for b.Loop() {
		list := fill(table, 0, p, ids...)
		fleetroute.Choose(list, "a")
	}
}

// Guards against streams that accumulate on the server with the best cache until all of them are slow. The load is
// chats with one model on four servers, where each request in a batch slows the others.
func TestStreamsSpreadOverTheServersOfAModel(t *testing.T) {
	table := fleetroute.NewTable()
	ids := []string{"a", "b", "c", "d"}
	n := map[string]int{}
	for i := range 120 {
		parts := []fleetroute.Part{{ID: "rules", Tokens: 119}, {ID: fmt.Sprint("topic-", i%3), Tokens: 79},
			{ID: fmt.Sprint(i), Tokens: 628}}
		p := fleetroute.NewPrompt("m0", 826, parts, ids)
		now := time.Duration(i) * 20 * ms
		list := fill(table, now, p, ids...)
		c := list[fleetroute.Choose(list, "a")]
		table.Begin(&c, now, "m0", "s", p).RecordProgress(now + 25*ms)
		n[c.ID]++
	}
	for _, id := range ids {
		if n[id] < 20 || n[id] > 40 {
			t.Fatalf("streams by server: %v, expected 20 to 40 each", n)
		}
	}
}

// Guards against requests that wait at a frozen host, which accepts connections and sends nothing. Two gateways each
// have a stream at the server that caches the prompt, and then it sends nothing more.
func TestAStalledServerIsAvoided(t *testing.T) {
	here, peer := fleetroute.NewTable(), fleetroute.NewTable()
	ids := []string{"a", "b"}
	p := prompt("ward", ids...)
	attempts := map[*fleetroute.Table]*fleetroute.Attempt{}
	for _, table := range []*fleetroute.Table{here, peer} {
		c := fill(table, 0, p, "a")[0]
		attempts[table] = table.Begin(&c, 0, "m0", "s", p)
		for now := 250 * ms; now <= time.Second; now += 100 * ms {
			attempts[table].RecordProgress(now)
		}
	}
	if here.Stalled("a", 1900*ms) {
		t.Fatal("stalled although an event came 0.9 s ago")
	}
	if !here.Stalled("a", 2100*ms) {
		t.Fatal("not stalled although the last event came 1.1 s ago")
	}
	list := fill(here, 2100*ms, p, ids...)
	if got := list[fleetroute.Choose(list, "a")].ID; got != "b" {
		t.Fatalf("chose %s, which sends nothing", got)
	}
	for i := range list {
		list[i].HostReporting = true
	}
	if got := list[fleetroute.Choose(list, "a")].ID; got != "a" {
		t.Fatalf("chose %s, expected a, whose host reports", got)
	}

	third := fleetroute.NewTable()
	third.UpdatePeer("here", 2100*ms, here.Loads(2100*ms), true)
	if !third.Stalled("a", 2100*ms) {
		t.Fatal("a gateway without requests there ignores the report of its peer")
	}
	attempts[peer].RecordProgress(2100 * ms)
	third.UpdatePeer("peer", 2100*ms, peer.Loads(2100*ms), true)
	if third.Stalled("a", 2100*ms) {
		t.Fatal("stalled although it sends events to another gateway")
	}
	attempts[here].Done(2200*ms, true)
	if here.Stalled("a", 3*time.Second) {
		t.Fatal("stalled although it has no requests")
	}
}
