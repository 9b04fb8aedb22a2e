package failover_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/failover"
)

const timeout = 350 * time.Millisecond

// Guards against more runs, rejections or preparations than allowed, and against an attempt that ends for any other reason than its
// own end or another one that advances the answer.
func TestAttemptsStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := failover.Options{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxRuns: rapid.IntRange(1, 3).Draw(t, "runs"), MaxNotRun: 4}
		r := failover.New(opts)
		var live []int
		var now time.Duration
		number, ran, notRun, unsent := 0, 0, 0, 0
		end := func(attempt int, o failover.Outcome) {
			r.End(attempt, o)
			live = slices.DeleteFunc(live, func(n int) bool { return n == attempt })
			switch o {
			case failover.MayHaveRun:
				ran++
			case failover.NotRun:
				notRun++
			case failover.Unsent:
				unsent++
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action == 0 && len(live) == 0 && r.MayBegin(),
				action == 1 && r.Replace(now, rapid.Bool().Draw(t, "stalled")):
				r.Begin(number, now, timeout)
				live = append(live, number)
				number++
			case action == 2 && len(live) > 0:
				end(rapid.SampledFrom(live).Draw(t, "ended"), failover.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
			case action == 3 && len(live) > 0:
				first := rapid.SampledFrom(live).Draw(t, "first")
				for _, n := range r.Progress(first, now, timeout, 100*time.Millisecond) {
					end(n, failover.MayHaveRun)
				}
				if live[0] != first {
					t.Fatalf("of %v, earlier attempts go on beside %d, which has begun to answer", live, first)
				}
			}
			most := 1
			if opts.Repeatable {
				most = opts.MaxRuns
			}
			if ran+len(live) > most || notRun > opts.MaxNotRun || unsent > opts.MaxNotRun+ran {
				t.Fatalf("%d ran, %d live, %d not run, %d unsent; bounds %+v", ran, len(live), notRun, unsent, opts)
			}
			if !slices.Equal(r.Live(), live) || r.Runs() != ran {
				t.Fatalf("live %v, ran %d; the race has %v and %d", live, ran, r.Live(), r.Runs())
			}
		}
	})
}

// Guards against a silent server that keeps a request to itself, and against a second attempt beside one that makes progress.
func TestASecondAttemptBeginsOnlyBesideASilentOne(t *testing.T) {
	const ms = time.Millisecond
	begin := func() *failover.Race {
		r := failover.New(failover.Options{Repeatable: true, MaxRuns: 2, MaxNotRun: 4})
		r.Begin(0, 0, 3*time.Second)
		return r
	}
	for _, c := range []struct {
		name     string
		progress time.Duration // of the first attempt; none if zero
		at       time.Duration
		stalled  bool
		want     bool
	}{
		{"before the timeout", 0, 2900 * ms, false, false},
		{"after the timeout", 0, 3 * time.Second, false, true},
		{"before the timeout, at a server that answers nobody", 0, 600 * ms, true, true},
		{"immediately, at a server that answers nobody", 0, 400 * ms, true, false},
		{"after an event", 2900 * ms, 3100 * ms, false, false},
	} {
		r := begin()
		if c.progress > 0 {
			r.Progress(0, c.progress, time.Second, 100*ms)
		}
		if got := r.Replace(c.at, c.stalled); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	r := begin()
	if !r.Replace(3*time.Second, false) {
		t.Fatal("no replacement after the timeout")
	}
	r.ReplacementFailed(3 * time.Second)
	if next := r.NextCheck(3 * time.Second); next < 300*ms {
		t.Errorf("asked again after %v although no server took the request", next)
	}
	r.Extend(3050*ms, timeout)
	if r.Replace(3300*ms, false) || !r.Replace(3400*ms, false) {
		t.Error("the first attempt does not get the time of Extend")
	}
	r.Begin(1, 3400*ms, timeout)
	if r.NextCheck(4*time.Second) < time.Minute || r.Replace(5*time.Second, true) {
		t.Error("a third run of at most two")
	}
}

// Guards against a slow server that keeps its request by an event now and then, and against a sound one that loses it after a pause.
func TestAServerThatWasSilentKeepsItsRequestAtANormalPaceOnly(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		at   []time.Duration // events of the first attempt after the second one began
		want []int           // attempts that are replaced at the last of them
	}{
		{"one event", []time.Duration{1100 * ms}, nil},
		{"slow events", []time.Duration{1100 * ms, 1500 * ms, 1900 * ms}, nil},
		{"two events at a normal pace", []time.Duration{1100 * ms, 1150 * ms}, []int{1}},
	} {
		r := failover.New(failover.Options{Repeatable: true, MaxRuns: 2, MaxNotRun: 4})
		r.Begin(0, 0, timeout)
		r.Progress(0, 10*ms, timeout, 100*ms)
		r.Begin(1, 1010*ms, timeout)
		var replaced []int
		for _, at := range c.at {
			replaced = r.Progress(0, at, timeout, 100*ms)
		}
		if !slices.Equal(replaced, c.want) {
			t.Errorf("%s: %v", c.name, replaced)
		}
		if len(c.want) == 0 && !slices.Equal(r.Progress(1, 2*time.Second, timeout, 100*ms), []int{0}) {
			t.Errorf("%s: the second attempt began to answer and did not replace the first", c.name)
		}
	}
}
