package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/dispatch"
)

const ms = time.Millisecond

// prompt is a request of the Lantern Works: 6,300 of 9,190 tokens are shared.
func prompt(ward string, servers ...string) dispatch.Prompt {
	return dispatch.NewPrompt("m0", 9190, []dispatch.Part{{ID: "rules", Tokens: 2520}, {ID: ward, Tokens: 3780}, {ID: "own", Tokens: 2890}}, servers)
}

func fill(t *dispatch.Table, now time.Duration, p dispatch.Prompt, ids ...string) []dispatch.Candidate {
	list := make([]dispatch.Candidate, 0, len(ids))
	for _, id := range ids {
		c := dispatch.Candidate{ID: id, DataCentre: "a", Slots: 64, Capacity: 240_000}
		t.Fill(&c, now, "m0", "s", p)
		c.Need = c.Uncached
		list = append(list, c)
	}
	return list
}

// Guards against prompts that are read anew although a server still has their shared parts.
func TestAPromptReturnsToTheServerThatCachesIt(t *testing.T) {
	table := dispatch.NewTable()
	ids := []string{"a", "b", "c"}
	p := prompt("ward-7", ids...)
	first := fill(table, 0, p, ids...)
	chosen := first[dispatch.Choose(first, "a")]
	table.Begin(&chosen, 0, "m0", "s", p).Done(400*ms, false)
	again := fill(table, 500*ms, p, ids...)
	if got := again[dispatch.Choose(again, "a")]; got.ID != chosen.ID || got.Uncached > 1 {
		t.Fatalf("chose %s with %.0f tokens to read, expected %s", got.ID, got.Uncached, chosen.ID)
	}
}

// Guards against a cache that attracts a queue: waiting behind many prompts costs more than reading one.
func TestABusyCacheYieldsToAnIdleServer(t *testing.T) {
	table := dispatch.NewTable()
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
	if got := list[dispatch.Choose(list, "a")].ID; got != "b" {
		t.Fatalf("chose %s behind five prompts", got)
	}
}

// Guards against gateways that each send a new prompt elsewhere: they agree without a message.
func TestGatewaysPreferTheSameServerForAPrompt(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	for ward := range 20 {
		p := prompt(fmt.Sprint("ward-", ward), ids...)
		one, two := fill(dispatch.NewTable(), 0, p, ids...), fill(dispatch.NewTable(), 0, p, ids...)
		if a, b := one[dispatch.Choose(one, "a")].ID, two[dispatch.Choose(two, "a")].ID; a != b {
			t.Fatalf("ward %d goes to %s and %s", ward, a, b)
		}
	}
}

// Guards against a slow or failing server that keeps its share, and against one that never gets another request.
func TestSlowAndFailingServersAreLeftAndTriedAgain(t *testing.T) {
	for name, spoil := range map[string]func(*dispatch.Ticket){
		"slow":    func(k *dispatch.Ticket) { k.First(3 * time.Second); k.Done(3*time.Second, false) },
		"failing": func(k *dispatch.Ticket) { k.Done(3*time.Second, true) },
	} {
		t.Run(name, func(t *testing.T) {
			table := dispatch.NewTable()
			for i := range 4 {
				p := prompt(fmt.Sprint(i))
				c := fill(table, 0, p, "a")[0]
				spoil(table.Begin(&c, 0, "m0", "s", p))
			}
			p := prompt("new")
			list := fill(table, 3*time.Second, p, "a", "b")
			if got := list[dispatch.Choose(list, "a")].ID; got != "b" {
				t.Fatalf("chose %s", got)
			}
			later := fill(table, 40*time.Second, p, "a")
			if later[0].Slowness > 1.1 || later[0].PenaltyMS > 1 {
				t.Fatalf("after 40 s still slowness %.2f, penalty %.0f ms", later[0].Slowness, later[0].PenaltyMS)
			}
		})
	}
}

// Guards against a prediction that ignores what the other gateways sent, and against one that keeps it for ever.
func TestLoadsOfPeersCountWhileTheyAreFresh(t *testing.T) {
	table := dispatch.NewTable()
	table.UpdatePeer("g2", 0, map[string]dispatch.Load{"a": {InFlight: 3, Prefill: 20_000}}, true)
	if c := fill(table, time.Second, prompt("x"), "a")[0]; c.Ahead != 20_000 || c.InFlight != 3 {
		t.Fatalf("%d requests and %.0f tokens ahead", c.InFlight, c.Ahead)
	}
	if c := fill(table, 3*time.Second, prompt("x"), "a")[0]; c.Ahead != 0 {
		t.Fatalf("%.0f tokens of a silent peer", c.Ahead)
	}
}

// Guards against a count that drifts: loads return to zero however requests end.
func TestLoadsReturnToZero(t *testing.T) {
	table := dispatch.NewTable()
	for i := range 50 {
		p := prompt(fmt.Sprint(i))
		c := fill(table, 0, p, "a")[0]
		k := table.Begin(&c, 0, "m0", "s", p)
		if i%2 == 0 {
			k.First(time.Duration(i) * ms)
		}
		k.Done(time.Second, i%3 == 0)
		k.Done(time.Second, false)
	}
	if loads := table.Loads(time.Minute); len(loads) != 0 {
		t.Fatalf("left: %+v", loads)
	}
}

// BenchmarkChoose measures a decision among the candidates of a hot model.
func BenchmarkChoose(b *testing.B) {
	table := dispatch.NewTable()
	ids := make([]string, 40)
	for i := range ids {
		ids[i] = fmt.Sprint("server-", i)
	}
	p := prompt("ward", ids...)
	for b.Loop() {
		list := fill(table, 0, p, ids...)
		dispatch.Choose(list, "a")
	}
}

// Guards against streams that crowd on the server with the best cache until all of them are slow. The load is chats of a
// hot model at four servers, where each request in a batch slows the others.
func TestStreamsSpreadOverTheServersOfAModel(t *testing.T) {
	table := dispatch.NewTable()
	ids := []string{"a", "b", "c", "d"}
	n := map[string]int{}
	for i := range 120 {
		parts := []dispatch.Part{{ID: "rules", Tokens: 119}, {ID: fmt.Sprint("topic-", i%3), Tokens: 79}, {ID: fmt.Sprint(i), Tokens: 628}}
		p := dispatch.NewPrompt("m0", 826, parts, ids)
		now := time.Duration(i) * 20 * ms
		list := fill(table, now, p, ids...)
		c := list[dispatch.Choose(list, "a")]
		table.Begin(&c, now, "m0", "s", p).First(now + 25*ms)
		n[c.ID]++
	}
	for _, id := range ids {
		if n[id] < 20 || n[id] > 40 {
			t.Fatalf("streams at the servers: %v", n)
		}
	}
}

// Guards against requests that wait at a host that stands still: it accepts connections and sends nothing. The load is a
// few streams of a hot model; then nothing comes any more from the server that holds the prompt's cache.
func TestAServerThatStandsStillIsLeft(t *testing.T) {
	here, peer := dispatch.NewTable(), dispatch.NewTable()
	ids := []string{"a", "b"}
	p := prompt("ward", ids...)
	tickets := map[*dispatch.Table]*dispatch.Ticket{}
	for _, table := range []*dispatch.Table{here, peer} {
		c := fill(table, 0, p, "a")[0]
		tickets[table] = table.Begin(&c, 0, "m0", "s", p)
		for now := 250 * ms; now <= time.Second; now += 100 * ms {
			tickets[table].First(now)
		}
	}
	if here.Stalled("a", 1900*ms) {
		t.Fatal("stalled although an event came 0.9 s ago")
	}
	if !here.Stalled("a", 2100*ms) {
		t.Fatal("not stalled 1.1 s after the last event")
	}
	list := fill(here, 2100*ms, p, ids...)
	if got := list[dispatch.Choose(list, "a")].ID; got != "b" {
		t.Fatalf("chose %s, which sends nothing", got)
	}
	for i := range list {
		list[i].Reporting = true
	}
	if got := list[dispatch.Choose(list, "a")].ID; got != "a" {
		t.Fatalf("chose %s although the host of the other one reports", got)
	}

	third := dispatch.NewTable()
	third.UpdatePeer("here", 2100*ms, here.Loads(2100*ms), true)
	if !third.Stalled("a", 2100*ms) {
		t.Fatal("a gateway without requests there does not take the peer's word")
	}
	tickets[peer].First(2100 * ms)
	third.UpdatePeer("peer", 2100*ms, peer.Loads(2100*ms), true)
	if third.Stalled("a", 2100*ms) {
		t.Fatal("stalled although it works for another gateway")
	}
	tickets[here].Done(2200*ms, true)
	if here.Stalled("a", 3*time.Second) {
		t.Fatal("stalled without requests")
	}
}
