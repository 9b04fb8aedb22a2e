package ledger

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const life = 10 * time.Second

var _ = Describe("the ledger", func() {
	newLedger := func(checks bool) *Ledger {
		l := New(Options{TotalMB: 100, ChecksOrders: checks, OrderLife: life})
		l.Observe(l.Begin(t0), EngineState{Incarnation: "a", TotalMB: 100})
		return l
	}

	It("counts what the engine reports and the ledger does not know", func() {
		l := newLedger(true)
		l.Observe(l.Begin(t0), EngineState{Incarnation: "a", UsedMB: 70, Models: map[string]int64{"m": 40}})
		Expect(l.Free()).To(BeEquivalentTo(30))
		_, err := l.Load(t0, "n", 31)
		Expect(errkind.Of(err)).To(Equal(errkind.MemoryFull))
	})

	It("keeps the reservation of a lost order, and of an unload that is not confirmed", func() {
		l := newLedger(true)
		load, err := l.Load(t0, "m", 60)
		Expect(err).NotTo(HaveOccurred())
		l.Observe(l.Begin(t0), EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(40))
		unload := l.Unload("m")
		Expect(unload).To(BeNumerically(">", load))
		mark := l.Begin(t0)
		l.UnloadTaken("m", unload)
		l.Observe(mark, EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(40), "the report was asked for before the order was taken")
		l.Observe(l.Begin(t0), EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(100))
	})

	It("holds the worst case for the life of an order when the engine ignores fencing numbers", func() {
		l := newLedger(false)
		_, err := l.Load(t0, "m", 60)
		Expect(err).NotTo(HaveOccurred())
		l.UnloadTaken("m", l.Unload("m"))
		l.Observe(l.Begin(t0.Add(life)), EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(40))
		l.Observe(l.Begin(t0.Add(life+1)), EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(100))
	})

	It("holds the KV cache of a cancelled request until a report shows that the engine stopped it", func() {
		l := newLedger(true)
		Expect(l.StartRun("r", 80)).To(Succeed())
		mark := l.Begin(t0)
		l.EndRun("r", false)
		l.Observe(mark, EngineState{Incarnation: "a"})
		Expect(errkind.Of(l.StartRun("s", 30))).To(Equal(errkind.MemoryFull))
		l.Observe(l.Begin(t0), EngineState{Incarnation: "a", Running: 1, UsedMB: 80})
		Expect(errkind.Of(l.StartRun("s", 30))).To(Equal(errkind.MemoryFull))
		l.Observe(l.Begin(t0), EngineState{Incarnation: "a"})
		Expect(l.StartRun("s", 30)).To(Succeed())
	})

	It("releases the KV cache of a cancelled request while others keep running", func() {
		l := newLedger(true)
		Expect(l.StartRun("live", 20)).To(Succeed())
		Expect(l.StartRun("cancelled", 70)).To(Succeed())
		l.SeenRun("live")
		l.EndRun("cancelled", false)
		for range 2 {
			Expect(errkind.Of(l.StartRun("next", 60))).To(Equal(errkind.MemoryFull))
			l.Observe(l.Begin(t0), EngineState{Incarnation: "a", Running: 1})
			l.SeenRun("live")
		}
		Expect(l.StartRun("next", 60)).To(Succeed())
	})

	It("refuses a planner with an older epoch", func() {
		l := newLedger(true)
		Expect(l.CheckEpoch(5)).To(Succeed())
		Expect(errkind.Of(l.CheckEpoch(4))).To(Equal(errkind.BadRequest))
	})
})

// order is one order under way to the model engine.
type order struct {
	load    bool
	model   string
	fencing uint64
	mb      int64
	sent    time.Time
}

// modelEngine executes orders at once, late, twice or never.
type modelEngine struct {
	checks  bool
	fencing uint64
	models  map[string]int64
	kv      map[string]int64
	high    int64
}

func (e *modelEngine) used() int64 {
	var sum int64
	for _, mb := range e.models {
		sum += mb
	}
	for _, mb := range e.kv {
		sum += mb
	}
	return sum
}

func (e *modelEngine) execute(o order) (taken bool) {
	if e.checks && o.fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.fencing)
	if o.load {
		e.models[o.model] = o.mb
	} else {
		delete(e.models, o.model)
	}
	e.high = max(e.high, e.used())
	return true
}

func (e *modelEngine) report() EngineState {
	r := EngineState{Incarnation: "a", TotalMB: 100, UsedMB: e.used(), Running: len(e.kv), Models: map[string]int64{}}
	for name, mb := range e.models {
		r.Models[name] = mb
	}
	return r
}

// Guards against overcommitted memory when orders are lost, late or doubled.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "checks")
		e := &modelEngine{checks: checks, models: map[string]int64{}, kv: map[string]int64{}}
		l := New(Options{TotalMB: 100, ChecksOrders: checks, OrderLife: life})
		var late []order
		var mark Mark
		var report *EngineState
		now, runs := t0, 0
		send := func(o order) bool {
			o.sent = now
			fate := rapid.IntRange(0, 2).Draw(t, "fate")
			if fate > 0 {
				late = append(late, o)
			}
			return fate < 2 && e.execute(o)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			model := fmt.Sprint("m", rapid.IntRange(0, 3).Draw(t, "model"))
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0, 1:
				mb := 30 + 10*int64(model[1]-'0')
				if fencing, err := l.Load(now, model, mb); err == nil {
					send(order{load: true, model: model, fencing: fencing, mb: mb})
				}
			case 2:
				fencing := l.Unload(model)
				if send(order{model: model, fencing: fencing}) {
					l.UnloadTaken(model, fencing)
				}
			case 3:
				if len(late) > 0 {
					i := rapid.IntRange(0, len(late)-1).Draw(t, "late")
					if checks || now.Sub(late[i].sent) < life {
						e.execute(late[i])
					}
				}
			case 4:
				mark = l.Begin(now)
				r := e.report()
				report = &r
			case 5:
				if report != nil {
					l.Observe(mark, *report)
					report = nil
				}
			case 6:
				runs++
				id := fmt.Sprint(runs)
				if mb := rapid.Int64Range(1, 40).Draw(t, "kv"); l.StartRun(id, mb) == nil {
					e.kv[id] = mb
					e.high = max(e.high, e.used())
				}
			case 7:
				for _, id := range slices.Sorted(maps.Keys(l.running)) {
					l.SeenRun(id)
					if rapid.Bool().Draw(t, "continues") {
						continue
					}
					whole := rapid.Bool().Draw(t, "whole")
					l.EndRun(id, whole)
					if whole || rapid.Bool().Draw(t, "stopped") {
						delete(e.kv, id)
					}
					break
				}
			case 8:
				now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
				for id := range e.kv {
					if _, live := l.running[id]; !live {
						delete(e.kv, id)
					}
				}
			}
			if e.high > 100 {
				t.Fatalf("the engine's high-water mark is %d MB of 100 MB", e.high)
			}
		}
	})
}
