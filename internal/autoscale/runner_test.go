package autoscale_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/autoscale"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/internal/vardoc"
	"github.com/pomelowheel/pomelowheel/platform"
)

// fakePlatform stands in for the duty, the interface and the store, which all gateways of a test share.
type fakePlatform struct {
	now    time.Duration
	holder *gateway
	token  int64

	calls      []scaleCall
	down       bool // calls fail before they arrive
	loseAnswer bool // calls arrive and fail
	notSent    bool // calls are not sent, as those beyond the permitted rate

	rows        map[string]platform.Row
	version     int64 // without the era
	era         int64
	storeAway   bool
	loseWrite   bool // writes are made and fail
	beforeWrite func()
	afterWrite  func()
}

type scaleCall struct {
	at    time.Duration
	token int64
	key   string
	count int
}

var errFake = errors.New("fault of the test")

func (f *fakePlatform) List(context.Context, string) (platform.Page, error) {
	if f.storeAway {
		return platform.Page{}, errFake
	}
	page := platform.Page{Version: f.joined(f.version)}
	for _, r := range f.rows {
		r.Version = f.joined(r.Version)
		page.Rows = append(page.Rows, r)
	}
	return page, nil
}

// joined returns a version in the present era.
func (f *fakePlatform) joined(number int64) int64 {
	v, err := rowversion.Join(f.era, number)
	if err != nil {
		panic(err)
	}
	return v
}

// restoreFrom restores the store from a copy of its rows.
func (f *fakePlatform) restoreFrom(rows map[string]platform.Row) {
	f.rows, f.version = maps.Clone(rows), 0
	for _, r := range rows {
		f.version = max(f.version, r.Version)
	}
	f.era++
}

func (f *fakePlatform) Commit(_ context.Context, expected []platform.Precondition, puts []platform.Row) (int64, []platform.Row, bool, error) {
	if f.storeAway {
		return 0, nil, false, errFake
	}
	if f.beforeWrite != nil {
		f.beforeWrite()
	}
	if expected[0].Version != 0 && rowversion.Era(expected[0].Version) != f.era {
		return 0, nil, false, platform.ErrEraChanged
	}
	if current := f.rows[puts[0].Key]; current.Version != rowversion.Number(expected[0].Version) {
		return 0, []platform.Row{current}, false, nil
	}
	f.put(puts[0].Key, puts[0].Value)
	if f.afterWrite != nil {
		f.afterWrite()
	}
	if f.loseWrite {
		return 0, nil, false, errFake
	}
	return f.joined(f.version), nil, true, nil
}

func (f *fakePlatform) put(key string, value []byte) {
	f.version++
	f.rows[key] = platform.Row{Table: autoscale.Table, Key: key, Value: value, Version: f.version}
}

// gateway is one gateway with a runner. Its services have the demand of rates, by data centre.
type gateway struct {
	*fakePlatform
	runner *autoscale.Runner
	rates  map[string]float64
}

func (g *gateway) Token() (int64, bool) { return g.token, g.holder == g }

func (g *gateway) Scale(_ context.Context, token int64, service, dataCentre string, count int) error {
	switch {
	case g.notSent:
		return fmt.Errorf("%w: fault of the test", autoscale.ErrNotSent)
	case g.down:
		return errFake
	}
	g.calls = append(g.calls, scaleCall{g.now, token, service + "/" + dataCentre, count})
	if g.loseAnswer {
		return errFake
	}
	return nil
}

// services returns a service whose servers are as the store's rows say, or two in each data centre.
func (g *gateway) services(time.Duration) []autoscale.Service {
	s := autoscale.Service{Name: "s", Bounds: testBounds, Capacity: 10, News: autoscale.News{Complete: true}}
	for _, name := range slices.Sorted(maps.Keys(g.rates)) {
		dc := autoscale.DataCentre{Name: name, Ready: 2, Demand: autoscale.Demand{Rate: g.rates[name]}}
		var row struct{ Count int }
		if json.Unmarshal(g.rows["s/"+name].Value, &row) == nil {
			dc.Ready = row.Count
		}
		s.DataCentres = append(s.DataCentres, dc)
	}
	return []autoscale.Service{s}
}

func (f *fakePlatform) gateway(rates map[string]float64) *gateway {
	g := &gateway{fakePlatform: f, rates: rates}
	g.runner = autoscale.NewRunner(autoscale.RunnerOptions{
		Duty: g, Caller: g, Store: f, Services: g.services, CallsPerSecond: 2, Era: func() int64 { return f.era },
		Clock: func() time.Duration { return f.now }, Log: slog.New(slog.DiscardHandler),
	})
	return g
}

func (f *fakePlatform) rounds(d time.Duration, gateways ...*gateway) {
	for end := f.now + d; f.now < end; f.now += 250 * time.Millisecond {
		for _, g := range gateways {
			g.runner.Round(context.Background())
		}
	}
}

func (f *fakePlatform) pass(to *gateway) { f.holder, f.token = to, f.token+1 }

func newFake() *fakePlatform { return &fakePlatform{rows: make(map[string]platform.Row)} }

// counts returns the counts of the calls without repeats.
func (f *fakePlatform) counts() []int {
	var list []int
	for _, c := range f.calls {
		list = append(list, c.count)
	}
	return slices.Compact(list)
}

func expectCounts(t *testing.T, f *fakePlatform, expected ...int) {
	t.Helper()
	if got := f.counts(); !slices.Equal(got, expected) {
		t.Fatalf("ordered %v, expected %v; calls %+v", got, expected, f.calls)
	}
}

// Guards against calls without a change, and against a gateway that orders without the duty.
func TestOnlyTheHolderOrdersAndOnlyChanges(t *testing.T) {
	f := newFake()
	a, b := f.gateway(map[string]float64{"x": 40}), f.gateway(map[string]float64{"x": 60})
	f.pass(a)
	f.rounds(time.Minute, a, b)
	expectCounts(t, f, 6)
	if len(f.calls) != 1 {
		t.Fatalf("%+v", f.calls)
	}
}

// Guards against another count in the place of one whose answer was lost, also by a successor.
func TestAnOrderWithoutAnAnswerIsRepeatedExactly(t *testing.T) {
	f := newFake()
	a, b := f.gateway(map[string]float64{"x": 40}), f.gateway(map[string]float64{"x": 60})
	f.pass(a)
	f.loseAnswer = true
	f.rounds(15*time.Second, a, b)
	a.rates["x"] = 50
	f.rounds(5*time.Second, a, b)
	f.pass(b)
	f.rounds(5*time.Second, a, b)
	expectCounts(t, f, 6)
	// With pauses of 0.5, 1, 2 and 4 s, the first holder calls 5 times in its 11 s and the second 4 times in its 5 s.
	if n := len(f.calls); n < 3 || n > 9 {
		t.Fatalf("%d calls in 16 s without an answer", n)
	}
	f.loseAnswer = false
	f.rounds(15*time.Second, a, b)
	expectCounts(t, f, 6, 9)
}

// Guards against an interface that is called without a pause while it is down, and against an order that is forgotten.
func TestAnInterfaceThatIsDownIsCalledLessOften(t *testing.T) {
	f := newFake()
	a := f.gateway(map[string]float64{"x": 40})
	f.pass(a)
	f.rounds(12*time.Second, a)
	f.down, a.rates["x"] = true, 60
	f.rounds(time.Minute, a)
	expectCounts(t, f, 6)
	failures := a.runner.Vars()["scale_call_failures"].String()
	var n int
	if _, err := fmt.Sscan(failures, &n); err != nil || n < 5 || n > 20 {
		t.Fatalf("%s calls in a minute (%v)", failures, err)
	}
	f.down = false
	f.rounds(9*time.Second, a)
	expectCounts(t, f, 6, 9)
}

// Guards against an order that waits for the pause after a failure although nothing was sent, and against calls that are counted
// although none was made.
func TestAnOrderThatWasNotSentIsSentAsSoonAsItMay(t *testing.T) {
	f := newFake()
	a := f.gateway(map[string]float64{"x": 40})
	f.pass(a)
	f.notSent = true
	f.rounds(30*time.Second, a)
	f.notSent = false
	f.rounds(250*time.Millisecond, a)
	expectCounts(t, f, 6)
	if calls := a.runner.Vars()["scale_calls"].String(); calls != "1" {
		t.Fatalf("%s calls counted", calls)
	}
}

// Guards against a call under a token that has passed, and a settled count that nobody sends.
func TestTheDutyIsLostBetweenRowAndCall(t *testing.T) {
	f := newFake()
	a, b := f.gateway(map[string]float64{"x": 40}), f.gateway(map[string]float64{"x": 60})
	f.pass(a)
	f.afterWrite = func() { f.afterWrite = nil; f.pass(b) }
	f.rounds(12*time.Second, a)
	if len(f.calls) != 0 || f.holder != b {
		t.Fatalf("called without the duty: %+v", f.calls)
	}
	f.rounds(15*time.Second, a, b)
	expectCounts(t, f, 6, 9)
	if f.calls[0].token != 2 {
		t.Fatalf("%+v", f.calls)
	}
}

// Guards against an order that is not settled, and one that is settled over a count of another holder.
func TestNothingIsOrderedWithoutTheStore(t *testing.T) {
	f := newFake()
	a := f.gateway(map[string]float64{"x": 40})
	f.pass(a)
	f.rounds(5*time.Second, a)
	f.storeAway = true
	f.rounds(20*time.Second, a)
	expectCounts(t, f)
	f.storeAway = false
	f.beforeWrite = func() { f.beforeWrite = nil; f.put("s/x", []byte(`{"count":7,"token":1}`)) }
	f.rounds(20*time.Second, a)
	expectCounts(t, f, 7)
	f.put("s/x", []byte(`{"count":9,"token":5}`))
	a.rates["x"] = 65
	f.rounds(30*time.Second, a)
	expectCounts(t, f, 7)
}

// Guards against a successor that sends a count of a service that is no longer scaled, or one outside the bounds in force.
func TestRowsThatTheConfigurationDoesNotAllowAreNotSent(t *testing.T) {
	f := newFake()
	a := f.gateway(map[string]float64{"x": 70})
	f.put("s/x", []byte(`{"count":14,"token":1}`))
	f.put("other/x", []byte(`{"count":3,"token":1}`))
	f.put("bad/x", []byte(`{`))
	f.pass(a)
	f.rounds(20*time.Second, a)
	expectCounts(t, f, testBounds.Max)
}

// Guards against two counts that are both sent for one settled row, a token that decreases, more calls than allowed, and an
// order that never arrives, whatever fails.
func TestOrdersFollowTheRowsWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake()
		gateways := []*gateway{f.gateway(nil), f.gateway(nil)}
		for range 40 {
			for _, g := range gateways {
				g.rates = map[string]float64{"x": rapid.Float64Range(0, 65).Draw(t, "x"), "y": rapid.Float64Range(0, 65).Draw(t, "y")}
			}
			if rapid.IntRange(0, 3).Draw(t, "pass") == 0 {
				f.pass(gateways[rapid.IntRange(0, 1).Draw(t, "to")])
			}
			f.down, f.loseAnswer = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "answer lost")
			f.storeAway, f.loseWrite = rapid.Bool().Draw(t, "store away"), rapid.Bool().Draw(t, "write lost")
			before := len(f.calls)
			f.rounds(time.Duration(rapid.IntRange(1, 12).Draw(t, "for"))*time.Second, gateways...)
			for i, c := range f.calls[before:] {
				var row struct{ Count int }
				if err := json.Unmarshal(f.rows[c.key].Value, &row); err != nil {
					t.Fatalf("%+v was sent without a row", c)
				}
				last := i == len(f.calls[before:])-1 || !slices.ContainsFunc(f.calls[before+i+1:], func(o scaleCall) bool { return o.key == c.key })
				if f.loseAnswer && last && c.count != row.Count {
					t.Fatalf("%+v was not answered, and the row now has %d", c, row.Count)
				}
			}
		}
		for i, c := range f.calls {
			if i > 0 && (c.token < f.calls[i-1].token || c.token == f.calls[i-1].token && c.at-f.calls[i-1].at < 500*time.Millisecond) {
				t.Fatalf("%+v after %+v", c, f.calls[i-1])
			}
		}
		f.down, f.loseAnswer, f.storeAway, f.loseWrite = false, false, false, false
		f.pass(gateways[0])
		gateways[0].rates = map[string]float64{"x": 70, "y": 70}
		f.rounds(time.Minute, gateways...)
		for _, key := range []string{"s/x", "s/y"} {
			i := slices.IndexFunc(f.calls, func(c scaleCall) bool { return c.key == key && c.count == int(math.Ceil(70/10/0.7)) })
			if i < 0 {
				t.Fatalf("%s was not ordered: %+v", key, f.calls)
			}
		}
	})
}

// Guards against metrics that the operations page does not list, or lists under a wrong name.
func TestMetricsAreDocumented(t *testing.T) {
	documented, err := vardoc.Documented("../../docs/OPERATIONS.md", "Metrics of the fleet gateway")
	if err != nil {
		t.Fatal(err)
	}
	// The test of the gateway's metrics checks that the page lists no others.
	for _, name := range vardoc.Published(newFake().gateway(nil).runner.Vars()) {
		if !slices.Contains(documented, name) {
			t.Errorf("%s is not documented", name)
		}
	}
}

// Guards against an earlier count that is ordered again, by the holder or its successor, because the store was restored from a copy.
func TestCountsThatTheStoreLostAreWrittenAgain(t *testing.T) {
	for name, older := range map[string]bool{"the copy has an earlier count": true, "the copy lacks the row": false} {
		t.Run(name, func(t *testing.T) {
			f := newFake()
			f.era = 1
			a, b := f.gateway(map[string]float64{"x": 40}), f.gateway(map[string]float64{"x": 60})
			f.pass(a)
			taken := maps.Clone(f.rows)
			f.rounds(12*time.Second, a, b)
			if older {
				taken = maps.Clone(f.rows)
			}
			a.rates["x"] = 60
			f.rounds(30*time.Second, a, b)
			expectCounts(t, f, 6, 9)
			f.restoreFrom(taken)
			f.rounds(5*time.Second, a, b)
			expectCounts(t, f, 6, 9)
			f.pass(b)
			f.rounds(30*time.Second, a, b)
			expectCounts(t, f, 6, 9)
			a.rates["x"], b.rates["x"] = 70, 70
			f.pass(a)
			f.rounds(30*time.Second, a, b)
			if got := f.counts(); got[len(got)-1] <= 9 {
				t.Fatalf("nothing is ordered any more: %v", got)
			}
		})
	}
}
