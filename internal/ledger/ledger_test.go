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

	// Guards against models, also half unloaded ones, that leave running requests no memory.
	It("refuses a load that leaves no room for the cache, unless the model is alone", func() {
		l := New(Options{TotalMB: 100, ChecksOrders: true, WeightsPart: 0.8})
		_, err := l.Load(t0, "a", 90)
		Expect(err).NotTo(HaveOccurred())
		l = New(Options{TotalMB: 100, ChecksOrders: true, WeightsPart: 0.8})
		for _, model := range []string{"a", "b"} {
			_, err := l.Load(t0, model, 40)
			Expect(err).NotTo(HaveOccurred())
		}
		l.Unload("b")
		_, err = l.Load(t0, "c", 20)
		Expect(errkind.Of(err)).To(Equal(errkind.MemoryFull))
		_, err = l.Load(t0, "a", 40)
		Expect(err).NotTo(HaveOccurred(), "a repeated order needs no more memory")
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

// memoryModel drives a ledger and a model engine by drawn steps.
type memoryModel struct {
	t      *rapid.T
	checks bool
	engine *modelEngine
	ledger *Ledger
	late   []order
	mark   Mark
	report *EngineState
	now    time.Time
	runs   int
}

// send executes an order, or keeps it to arrive late, or both.
func (m *memoryModel) send(o order) bool {
	o.sent = m.now
	fate := rapid.IntRange(0, 2).Draw(m.t, "fate")
	if fate > 0 {
		m.late = append(m.late, o)
	}
	return fate < 2 && m.engine.execute(o)
}

func (m *memoryModel) load(model string) {
	mb := 30 + 10*int64(model[1]-'0')
	if fencing, err := m.ledger.Load(m.now, model, mb); err == nil {
		m.send(order{load: true, model: model, fencing: fencing, mb: mb})
	}
}

func (m *memoryModel) unload(model string) {
	fencing := m.ledger.Unload(model)
	if m.send(order{model: model, fencing: fencing}) {
		m.ledger.UnloadTaken(model, fencing)
	}
}

// deliverLate executes an order again or late. Without fencing, an order arrives only within its life.
func (m *memoryModel) deliverLate() {
	if len(m.late) == 0 {
		return
	}
	o := m.late[rapid.IntRange(0, len(m.late)-1).Draw(m.t, "late")]
	if m.checks || m.now.Sub(o.sent) < life {
		m.engine.execute(o)
	}
}

func (m *memoryModel) askReport() {
	m.mark = m.ledger.Begin(m.now)
	r := m.engine.report()
	m.report = &r
}

func (m *memoryModel) takeReport() {
	if m.report != nil {
		m.ledger.Observe(m.mark, *m.report)
		m.report = nil
	}
}

func (m *memoryModel) startRun() {
	m.runs++
	id := fmt.Sprint(m.runs)
	mb := rapid.Int64Range(1, 40).Draw(m.t, "kv")
	if m.ledger.StartRun(id, mb) == nil {
		m.engine.kv[id] = mb
		m.engine.high = max(m.engine.high, m.engine.used())
	}
}

// endRun ends one run; the engine may go on with one that was cut.
func (m *memoryModel) endRun() {
	for _, id := range slices.Sorted(maps.Keys(m.ledger.running)) {
		m.ledger.SeenRun(id)
		if rapid.Bool().Draw(m.t, "continues") {
			continue
		}
		whole := rapid.Bool().Draw(m.t, "whole")
		m.ledger.EndRun(id, whole)
		if whole || rapid.Bool().Draw(m.t, "stopped") {
			delete(m.engine.kv, id)
		}
		return
	}
}

func (m *memoryModel) passTime() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 6).Draw(m.t, "seconds")) * time.Second)
	for id := range m.engine.kv {
		if _, live := m.ledger.running[id]; !live {
			delete(m.engine.kv, id)
		}
	}
}

// Guards against overcommitted memory when orders are lost, late or doubled.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "checks")
		m := &memoryModel{
			t: t, checks: checks, now: t0,
			engine: &modelEngine{checks: checks, models: map[string]int64{}, kv: map[string]int64{}},
			ledger: New(Options{TotalMB: 100, ChecksOrders: checks, OrderLife: life}),
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			model := fmt.Sprint("m", rapid.IntRange(0, 3).Draw(t, "model"))
			steps := []func(){
				func() { m.load(model) }, func() { m.load(model) }, func() { m.unload(model) },
				m.deliverLate, m.askReport, m.takeReport, m.startRun, m.endRun, m.passTime,
			}
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "action")]()
			if m.engine.high > 100 {
				t.Fatalf("the engine's high-water mark is %d MB of 100 MB", m.engine.high)
			}
		}
	})
}
