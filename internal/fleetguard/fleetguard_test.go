package fleetguard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fleetguard"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

// fleetOf are Guards that exchange reports when told to. Time starts at an hour, so that nothing is at zero.
type fleetOf struct {
	*guards
	now time.Duration
	ids int
}

func newFleet(n int) *fleetOf { return &fleetOf{newGuards(n, true), time.Hour, 0} }

func (f *fleetOf) exposure(model string, parts ...string) fleetguard.Exposure {
	f.ids++
	return fleetguard.NewExposure(fmt.Sprint("r", f.ids), model, append(parts, fmt.Sprint("own", f.ids)))
}

// pass lets time pass with exchanges every 100 ms.
func (f *fleetOf) pass(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		f.now += 100 * time.Millisecond
		f.tick(f.now)
	}
}

// end ends a new server under the given requests at a gateway, half a second after the last.
func (f *fleetOf) end(gateway int, requests ...fleetguard.Exposure) {
	f.pass(500 * time.Millisecond)
	f.ids++
	for _, r := range requests {
		f.ended(gateway, serversigns.Server{ID: fmt.Sprint("i-", f.ids), Born: 1}, r, f.now)
	}
}

func (f *fleetOf) answer(gateway int, r fleetguard.Exposure) {
	f.answered(gateway, serversigns.Server{ID: "sound", Born: 1}, r, f.now, f.now)
}

// reportOf returns what a gateway tells one that has just started.
func (f *fleetOf) reportOf(i int) fleetguard.Report {
	r, _ := f.all[i].Report(0, true)
	return r
}

// refused reports whether each gateway refuses a request, without a trial.
func (f *fleetOf) refused(r fleetguard.Exposure) []bool {
	var list []bool
	for _, g := range f.all {
		list = append(list, g.Refuses(r))
	}
	return list
}

// Guards against gateways of which each waits for crashes that it has not seen itself, and against one crash that counts twice.
func TestGatewaysCountCrashesTogetherAndOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	for i := range 2 {
		f.end(i, f.exposure("m", "a", "f00d"))
	}
	// The same end, seen by the other gateways through other requests.
	last := serversigns.Server{ID: fmt.Sprint("i-", f.ids), Born: 1}
	for i := range 4 {
		f.ended(i, last, f.exposure("m", "a", "f00d"), f.now)
	}
	f.pass(2 * time.Second)
	g.Expect(f.refused(f.exposure("m", "a", "f00d"))).To(HaveEach(false))
	f.end(3, f.exposure("m", "a", "f00d"))
	f.pass(time.Second)
	g.Expect(f.refused(f.exposure("m", "a", "f00d"))).To(HaveEach(true))
}

// Guards against the refusal of sound requests that share a part with those that crash servers.
func TestOnlyThePartInAllCrashesIsRefused(t *testing.T) {
	cases := map[string]struct {
		crashing      [][]string // model and parts of requests
		sound         [][]string // answered in between
		refused, kept [][]string
	}{
		"a shared part that is answered elsewhere": {
			crashing: [][]string{{"m", "a", "f00d"}, {"n", "a", "f00d"}, {"m", "a", "f00d"}},
			sound:    [][]string{{"m", "a", "b"}},
			refused:  [][]string{{"m", "a", "f00d"}, {"x", "c", "f00d"}, {"m", "f00d"}},
			kept:     [][]string{{"m", "a", "b"}, {"n", "a", "c"}},
		},
		"two parts that never come apart": {
			crashing: [][]string{{"m", "u", "f00d"}, {"n", "u", "f00d"}, {"o", "u", "f00d"}},
			refused:  [][]string{{"m", "u", "f00d"}, {"x", "f00d", "u"}},
			kept:     [][]string{{"m", "u"}, {"m", "f00d"}},
		},
		"a part that came with the other by chance": {
			crashing: [][]string{{"m", "u", "f00d"}, {"n", "u", "f00d"}, {"o", "u", "f00d"}, {"o", "v", "f00d"}},
			refused:  [][]string{{"m", "u", "f00d"}, {"x", "f00d"}},
			kept:     [][]string{{"m", "u"}, {"m", "v"}},
		},
		"a part that crashes the servers of one model": {
			crashing: [][]string{{"m", "a", "f00d"}, {"m", "b", "f00d"}, {"m", "c", "f00d"}, {"m", "a", "f00d"}},
			sound:    [][]string{{"n", "a", "f00d"}},
			refused:  [][]string{{"m", "f00d"}},
			kept:     [][]string{{"n", "f00d"}, {"m", "a"}},
		},
		"a single session that is repeated": {
			crashing: [][]string{{"m", "d", "=s"}, {"m", "d", "=s"}, {"m", "d", "=s"}},
			kept:     [][]string{{"m", "d"}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(3)
			request := func(of []string) fleetguard.Exposure {
				if last := len(of) - 1; strings.HasPrefix(of[last], "=") {
					return fleetguard.NewExposure(of[0], of[0], append([]string{}, of[1:]...))
				}
				return f.exposure(of[0], of[1:]...)
			}
			for i, of := range c.crashing {
				f.end(i%3, request(of))
				for _, of := range c.sound {
					f.answer((i+1)%3, request(of))
				}
			}
			f.pass(2 * time.Second)
			for _, of := range c.refused {
				g.Expect(f.refused(request(of))).To(HaveEach(true), "%v", of)
			}
			for _, of := range c.kept {
				g.Expect(f.refused(request(of))).To(HaveEach(false), "%v", of)
			}
		})
	}
}

// Guards against refusals that outlast their cause, that cost a server each few seconds, or that a new gateway does not know.
func TestRefusalsEnd(t *testing.T) {
	crash := func(f *fleetOf, n int) {
		for i := range n {
			f.end(i%2, f.exposure("m", "f00d"))
		}
		f.pass(time.Second)
	}
	// trials sends requests for a time and returns how many are let through. Each crashes its server if crashes is set.
	trials := func(f *fleetOf, d time.Duration, crashes bool) int {
		n := 0
		step := max(100*time.Millisecond, d/200)
		for range d / step {
			f.now += step - 100*time.Millisecond
			f.pass(100 * time.Millisecond)
			for i := range f.all {
				r := f.exposure("m", "f00d")
				if v := f.check(i, r, f.now); v.Refused {
					continue
				}
				n++
				if crashes {
					f.end(i, r)
				} else {
					f.answer(i, r)
				}
			}
		}
		return n
	}
	t.Run("by a trial", func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(2)
		crash(f, 3)
		g.Expect(trials(f, 3*time.Second, false)).To(BeZero())
		g.Expect(trials(f, 4*time.Second, false)).To(BeNumerically(">", 5))
		g.Expect(f.all[0].Refusals()).To(BeEmpty())
	})
	t.Run("not by trials that crash their servers", func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(2)
		crash(f, 3)
		g.Expect(trials(f, time.Minute, true)).To(Equal(2))
		f = newFleet(2)
		crash(f, 5)
		g.Expect(trials(f, 9*time.Minute, true)).To(BeZero())
		g.Expect(trials(f, 4*time.Hour, true)).To(BeNumerically("<=", 3))
	})
	t.Run("by an operator, at all gateways", func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(3)
		crash(f, 8)
		g.Expect(f.refused(f.exposure("m", "f00d"))).To(HaveEach(true))
		g.Expect(f.all[2].Clear("other", f.now)).To(BeFalse())
		g.Expect(f.all[2].Clear("f00d", f.now)).To(BeTrue())
		f.pass(time.Second)
		g.Expect(f.refused(f.exposure("m", "f00d"))).To(HaveEach(false))
		crash(f, 5)
		g.Expect(f.refused(f.exposure("m", "f00d"))).To(HaveEach(true))
	})
	t.Run("not by a restart of a gateway", func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(3)
		crash(f, 6)
		f.now += 2 * time.Hour
		f.pass(100 * time.Millisecond) // the ends are forgotten
		f.all[1] = fleetguard.New(fleetguard.Options{Rank: func(string) int { return 1 }})
		for i := range f.sent {
			f.sent[i][1], f.sent[1][i] = 0, 0
		}
		f.pass(200 * time.Millisecond)
		g.Expect(f.refused(f.exposure("m", "f00d"))).To(HaveEach(true))
	})
}

// Guards against a part that other gateways blame for ends after which this one saw a sound answer, also gateways that have just started.
func TestAcquittalsAreTold(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	known := func(i int) (at time.Duration) {
		for _, s := range f.reportOf(i).Sound {
			if s.Feature == (fleetguard.Feature{Part: "a"}) {
				at = s.At
			}
		}
		return at
	}
	for range 30 {
		f.end(0, f.exposure("m", "a"))
		ended := f.now
		f.pass(100 * time.Millisecond)
		f.answer(1, f.exposure("m", "a"))
		f.pass(1700 * time.Millisecond)
		g.Expect(known(0)).To(BeNumerically(">", ended))
		g.Expect(known(1)).To(BeNumerically(">", ended))
	}
	first := f.reportOf(1)
	g.Expect(len(first.Ends)).To(BeNumerically("<", 30))
	g.Expect(first.Sound).NotTo(BeEmpty(), "an end is never told without what acquits of it")

	// Two ends and answers in quick succession.
	f = newFleet(2)
	f.end(0, f.exposure("m", "a"))
	f.answer(1, f.exposure("m", "a"))
	f.pass(400 * time.Millisecond)
	f.end(0, f.exposure("m", "a"))
	ended := f.now
	f.pass(100 * time.Millisecond)
	f.answer(1, f.exposure("m", "a"))
	f.pass(1700 * time.Millisecond)
	g.Expect(known(0)).To(BeNumerically(">", ended))
}

// Guards against reports that arrive late, twice or not at all, and against made-up parts that fill the memory.
func TestReportsMerge(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.exchange = false
	for range 4 {
		f.end(0, f.exposure("m", "f00d"))
	}
	f.pass(time.Second)
	all, until := f.all[0].Report(0, true)
	again, _ := f.all[0].Report(until, true)
	g.Expect(again.Empty()).To(BeTrue())
	f.now += 10 * time.Second
	for range 3 {
		f.all[1].Receive(fleetguard.Report{Ends: all.Ends}, f.now)
		f.all[1].Receive(fleetguard.Report{Refusals: all.Refusals}, f.now)
		f.all[1].Tick(f.now)
	}
	g.Expect(f.all[1].Refusals()).To(HaveLen(1))
	g.Expect(f.all[1].Refusals()[0].Ends).To(Equal(4))
	relayed, _ := f.all[1].Report(0, false)
	g.Expect(relayed.Ends).To(BeEmpty(), "only providers of rows pass them on")

	long := strings.Repeat("x", 10_000)
	var flood fleetguard.Report
	for i := range 2000 {
		end := fleetguard.EndReport{Server: serversigns.Server{ID: fmt.Sprint(long, i)}, At: f.now}
		for j := range 50 {
			end.Exposures = append(end.Exposures, fleetguard.Exposure{RequestID: fmt.Sprint(i, j), Parts: []string{fmt.Sprint(i, j)}, Session: long})
		}
		flood.Ends = append(flood.Ends, end)
		flood.Sound = append(flood.Sound, fleetguard.SoundReport{Feature: fleetguard.Feature{Part: fmt.Sprint(i, long)}, At: f.now})
		flood.Refusals = append(flood.Refusals, fleetguard.Refusal{Features: []fleetguard.Feature{{Part: fmt.Sprint("p", i)}}, LastEnd: f.now})
	}
	f.all[1].Receive(flood, f.now)
	g.Expect(len(f.all[1].Refusals())).To(BeNumerically("<=", 64))
	sent := 0
	for position := uint64(0); ; {
		r, next := f.all[1].Report(position, true)
		if next == position {
			break
		}
		position = next
		for _, e := range r.Ends {
			g.Expect(len(e.Server.ID)).To(BeNumerically("<=", 64))
			g.Expect(len(e.Exposures)).To(BeNumerically("<=", 32))
			sent++
		}
	}
	g.Expect(sent).To(BeNumerically("<=", 256))
}

// BenchmarkCalmRequest is what a request of eight parts costs while nothing is refused: the check and its whole answer.
func BenchmarkCalmRequest(b *testing.B) {
	guard := fleetguard.New(fleetguard.Options{Rank: func(string) int { return 0 }})
	now := time.Hour
	server := serversigns.Server{ID: "i-1", Born: 1}
	b.ReportAllocs()
	for b.Loop() {
		parts := []string{"5c1e07a2", "91bd3f06", "e4402b7d", "0a0b0c0d", "1a1b1c1d", "2a2b2c2d", "3a3b3c3d", "own"}
		e := fleetguard.NewExposure("9c41d07be2a35f68", "daka510000", parts)
		guard.Check(e, now)
		guard.Answered(server, e, now, now)
		now += time.Millisecond
	}
}
