package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/dispatch"
)

// Figures of the engines of the site files.
const (
	chunkTokens   = 2048  // of prompts that one step reads
	tokensPerMS   = 44.2  // of prompts
	stepMS        = 3.4   // a step without prompts
	slotMS        = 0.017 // more for each request in the batch
	pairsMS       = 0.737 // for a million pairs of tokens that attend to each other
	eventTokens   = 8
	cacheTokens   = 150_000
	longestPause  = 500 * time.Millisecond
	longTarget    = 800 * time.Millisecond
	chatTarget    = 1500 * time.Millisecond
	gateways      = 7
	exchangeEvery = 250 * time.Millisecond
)

// streamed is one request in the simulation.
type streamed struct {
	long     bool
	at       time.Duration
	prompt   dispatch.Prompt
	parts    []dispatch.Part
	output   int
	ticket   *dispatch.Ticket
	left     float64 // tokens to read
	context  float64
	produced int
	first    time.Duration
	last     time.Duration // event
	pause    time.Duration // longest
}

func (r *streamed) inTime() bool {
	target := chatTarget
	if r.long {
		target = longTarget
	}
	return r.first-r.at <= target && r.pause <= longestPause
}

// engine computes steps: each reads a piece of the prompts that wait and one token for every stream.
type engine struct {
	id      string
	slow    float64
	free    time.Duration // end of the last step
	waiting []*streamed
	running []*streamed
	cached  map[string]time.Duration // last use of a prompt up to a part
	sizes   map[string]float64
}

func (e *engine) add(r *streamed, now time.Duration) {
	key, known := "", true
	r.left = 0
	for i, part := range r.parts {
		key += "/" + part.ID
		if _, ok := e.cached[key]; !ok || !known {
			known = false
			r.left += float64(part.Tokens)
		}
		r.context += float64(part.Tokens)
		if i < len(r.parts)-1 {
			e.cached[key], e.sizes[key] = now, float64(part.Tokens)
		}
	}
	e.evict()
	e.waiting = append(e.waiting, r)
}

func (e *engine) evict() {
	total, oldest := 0.0, ""
	for key, at := range e.cached {
		total += e.sizes[key]
		if oldest == "" || at < e.cached[oldest] {
			oldest = key
		}
	}
	if total > cacheTokens {
		delete(e.cached, oldest)
	}
}

// step returns the requests that ended.
func (e *engine) step(now time.Duration) (ended []*streamed) {
	budget, took := float64(chunkTokens), stepMS+slotMS*float64(len(e.running))
	var started []*streamed
	for budget > 0 && len(e.waiting) > 0 {
		r := e.waiting[0]
		n := min(budget, r.left)
		budget -= n
		r.left -= n
		took += n/tokensPerMS + pairsMS*n*(r.context-r.left)/1e6
		if r.left > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		started = append(started, r)
	}
	end := now + time.Duration(took*e.slow*float64(time.Millisecond))
	e.free = end
	e.running = slices.DeleteFunc(e.running, func(r *streamed) bool {
		r.produced++
		if r.produced%eventTokens == 0 {
			r.pause = max(r.pause, end-r.last)
			r.last = end
			r.ticket.First(end)
		}
		if r.produced < r.output {
			return false
		}
		r.ticket.Done(end, false)
		ended = append(ended, r)
		return true
	})
	for _, r := range started {
		r.first, r.last = end, end
		r.ticket.First(end)
		e.running = append(e.running, r)
	}
	return ended
}

// playStreams sends long prompts and chats of one model, a second each, to its engines through several gateways that tell
// each other their loads, and returns the parts of both kinds that are in time.
func playStreams(engines int, longs, chats float64, seconds int) (long, chat float64) {
	rng := rand.New(rand.NewPCG(11, 11))
	ids := make([]string, engines)
	all := make([]*engine, engines)
	for i := range all {
		ids[i] = fmt.Sprint("i-", i)
		slow := 1.0
		if i%3 == 2 {
			slow = 1.3
		}
		all[i] = &engine{id: ids[i], slow: slow, cached: make(map[string]time.Duration), sizes: make(map[string]float64)}
	}
	tables := make([]*dispatch.Table, gateways)
	for i := range tables {
		tables[i] = dispatch.NewTable()
	}
	var asked, good [2]float64
	length := time.Duration(seconds) * time.Second
	for now := time.Duration(0); now < length+20*time.Second; now += ms {
		if now%exchangeEvery == 0 {
			for i, from := range tables {
				loads := from.Loads(now)
				for j, to := range tables {
					if i != j {
						to.UpdatePeer(fmt.Sprint(i), now, loads, true)
					}
				}
			}
		}
		for _, e := range all {
			for e.free <= now && len(e.waiting)+len(e.running) > 0 {
				for _, r := range e.step(max(e.free, now)) {
					if r.inTime() {
						good[boolIndex(r.long)]++
					}
				}
			}
		}
		if now >= length {
			continue
		}
		for k, rate := range []float64{chats, longs} {
			if rng.Float64() > rate/1000 {
				continue
			}
			r := &streamed{long: k == 1, at: now, output: 288}
			r.parts = []dispatch.Part{{ID: "c", Tokens: 119}, {ID: fmt.Sprint("topic", rng.IntN(136)), Tokens: 79}, {ID: fmt.Sprint(now), Tokens: 628}}
			if r.long {
				r.output = 56
				r.parts = []dispatch.Part{{ID: "w", Tokens: 2520}, {ID: fmt.Sprint("ward", rng.IntN(66)), Tokens: 3780}, {ID: fmt.Sprint(now), Tokens: 2890}}
			}
			asked[k]++
			total := 0
			for _, p := range r.parts {
				total += p.Tokens
			}
			r.prompt = dispatch.NewPrompt("m0", total, r.parts, ids)
			table := tables[rng.IntN(gateways)]
			list := make([]dispatch.Candidate, 0, engines)
			for _, id := range ids {
				c := dispatch.Candidate{ID: id, DataCentre: "a", Slots: 64, Capacity: 205_000}
				table.Fill(&c, now, "m0", "s", r.prompt)
				c.Need = c.Uncached + float64(r.output)
				list = append(list, c)
			}
			at := dispatch.Choose(list, "a")
			r.ticket = table.Begin(&list[at], now, "m0", "s", r.prompt)
			all[at].add(r, now)
		}
	}
	return good[1] / asked[1], good[0] / asked[0]
}

func boolIndex(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against chats whose streams stand still for longer than their callers accept, and against long prompts that are
// late, because prompts push each other out of the caches and are read again at servers full of streams. The load is that of
// a hot model at six engines: an ordinary day, on which nine of ten requests are to be in time, and a heavy one, on which
// half are.
func TestChatsFlowBesideLongPrompts(t *testing.T) {
	for _, load := range []struct{ longs, chats, target float64 }{{20, 30, 0.9}, {30, 40, 0.5}} {
		long, chat := playStreams(6, load.longs, load.chats, 20)
		if long < load.target || chat < load.target {
			t.Errorf("%.0f long prompts and %.0f chats a second: %.3f and %.3f are in time, the target is %.1f",
				load.longs, load.chats, long, chat, load.target)
		}
	}
}
