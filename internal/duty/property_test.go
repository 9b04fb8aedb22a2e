package duty_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/platform"
)

// reports returns the reported counts by window.
func (s *simFleet) reports(t *rapid.T) map[int64]map[string]int64 {
	reported := make(map[int64]map[string]int64)
	for _, c := range s.calls {
		var r platform.UsageReport
		if err := json.Unmarshal([]byte(c.Body), &r); err != nil {
			t.Fatal(err)
		}
		reported[r.Window] = r.Counts
	}
	return reported
}

// checkCalls checks the rules of calls that hold under all faults.
func (s *simFleet) checkCalls(t *rapid.T) {
	if violations := fake.CheckCloudCalls(s.calls, simLease); len(violations) > 0 {
		t.Fatalf("%d violations in %d calls, first: %s", len(violations), len(s.calls), violations[0])
	}
	for i, c := range s.calls[min(1, len(s.calls)):] {
		if before := s.calls[i]; before.Holder != c.Holder && c.At-before.At < simLease {
			t.Fatalf("%s called %v after %s", c.Holder, c.At-before.At, before.Holder)
		}
	}
	if s.unleased > 0 {
		t.Fatalf("%d calls arrived after the lease had ended", s.unleased)
	}
	if s.rewritten > 0 {
		t.Fatalf("%d settled windows were written again with other counts", s.rewritten)
	}
}

// check checks the rules that hold under all faults. The last calm seconds of the simulation must suffice to report all windows. Windows
// before the first row are not known to any later holder, if all processes ended before they could write one.
func (s *simFleet) check(t *rapid.T, calm time.Duration) map[int64]map[string]int64 {
	s.checkCalls(t)
	reported := s.reports(t)
	last := usage.WindowAt(s.wall().Add(-simLate), simWindow) - 1
	for w, counts := range s.truth {
		if reported[w] == nil && w <= last && w > s.first {
			t.Errorf("window %d, %v before the end, is not reported after %v without a fault", w,
				s.wall().Sub(usage.WindowEnd(w, simWindow)), calm)
		}
		for org, n := range reported[w] {
			if n > counts[org] {
				t.Errorf("window %d: %d requests of %s reported, %d began", w, n, org, counts[org])
			}
		}
	}
	if len(reported) == 0 {
		t.Errorf("no window is reported")
	}
	return reported
}

// stop ends a process as a planned stop does.
func (s *simFleet) stop(p *simProcess) {
	for p.loops[0].busy || s.now < p.frozenUntil {
		s.advance(simTick)
	}
	if !p.dead {
		p.released = true
		p.loops[0].busy = true // Release waits for a step in progress, and a step for Release
		p.lease.Release(context.Background())
		s.advance(time.Second)
		p.refuses = true
		s.advance(2 * time.Second)
		s.kill(p, 0)
	}
}

// inject injects a fault of the given length. A process that ends is started again with start.
func (s *simFleet) inject(fault string, p *simProcess, length time.Duration, start func(host string) *simProcess) {
	switch fault {
	case "kill":
		s.kill(p, 0)
		s.advance(length / 4)
		start(p.host)
	case "stop":
		s.stop(p)
		s.advance(length / 4)
		start(p.host)
	case "freeze":
		p.frozenUntil = s.now + length
	case "freeze in call":
		p.freezeCall = length
	case "freeze before call":
		p.freezeSend = 2 * length
	case "freeze before row":
		p.freezeRow = 2 * length
	case "cut store":
		p.cutStore = s.now + length
	case "cut peers":
		p.cutPeers = s.now + length
	case "store down":
		s.storeDown = s.now + length
	case "cloud down":
		s.cloudDown = s.now + length
	case "cloud limited":
		s.cloudLimited = s.now + length
	case "lose":
		s.loseAnswers = 0.4
	case "slow":
		s.storeSlow = 900 * time.Millisecond
	}
}

// process returns a running process chosen by n, every other time the holder of the lease.
func (s *simFleet) process(n int) *simProcess {
	if n%2 == 0 {
		for _, p := range s.processes {
			if p.lease.Epoch() != 0 {
				return p
			}
		}
	}
	return s.processes[n%len(s.processes)]
}

// Guards against two reports of one window with different counts, tokens that fall or are shared, holders that alternate within the
// lease time, requests that are counted twice, and windows that are never reported, whatever ends, freezes or is cut off.
func TestReportsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimFleet(rapid.Uint64().Draw(t, "seed"))
		hosts := rapid.IntRange(1, 4).Draw(t, "hosts")
		for i := range hosts {
			s.start(fmt.Sprint("g", i))
		}
		s.advance(time.Duration(rapid.IntRange(0, 15).Draw(t, "start s")) * time.Second)
		for range rapid.IntRange(1, 14).Draw(t, "faults") {
			s.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause ds")) * 100 * time.Millisecond)
			length := time.Duration(rapid.IntRange(2, 90).Draw(t, "length ds")) * 100 * time.Millisecond
			p := s.process(rapid.IntRange(0, 7).Draw(t, "process"))
			fault := rapid.SampledFrom([]string{"kill", "stop", "freeze", "freeze in call", "freeze before call", "freeze before row", "cut store", "cut peers", "store down",
				"cloud down", "cloud limited", "lose", "slow"}).Draw(t, "fault")
			s.inject(fault, p, length, s.start)
		}
		s.loseAnswers, s.storeSlow, s.storeDown, s.cloudDown, s.cloudLimited = 0, 0, 0, 0, 0
		const calm = 45 * time.Second
		s.advance(calm)
		s.check(t, calm)
	})
}

// Guards against requests that are lost although their gateway reported them before it ended, whichever gateway ends.
func TestReportsAreWholeWhenGatewaysEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startSimFleet(t, rapid.Just(4), rapid.Just(10))
		for range rapid.IntRange(1, 5).Draw(t, "ends") {
			s.advance(time.Duration(rapid.IntRange(100, 160).Draw(t, "pause ds")) * 100 * time.Millisecond)
			p := s.process(rapid.IntRange(0, 7).Draw(t, "process"))
			if rapid.Bool().Draw(t, "planned") {
				s.stop(p)
			} else {
				s.kill(p, time.Second+2*simExchange) // reports are a second apart
			}
			s.start(p.host)
		}
		const calm = 25 * time.Second
		s.advance(calm)
		reported := s.check(t, calm)
		for w, counts := range s.truth {
			for org, n := range counts {
				if reported[w] != nil && reported[w][org] < n-s.lost[w][org] {
					t.Errorf("window %d: %d requests of %s reported, %d began, %d of them just before their gateway ended", w,
						reported[w][org], org, n, s.lost[w][org])
				}
			}
		}
	})
}
