package memoryledger

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

const orderLife = 10 * time.Second

var _ = Describe("the ledger", func() {
	newLedger := func(checks bool) *Ledger {
		l := New(Options{TotalMB: 100, ChecksOrders: checks, OrderLifetime: orderLife})
		l.Observe(l.BeginReport(t0), EngineState{Incarnation: "a", TotalMB: 100})
		return l
	}

	It("counts memory that the engine reports and the ledger does not know", func() {
		l := newLedger(true)
		l.Observe(l.BeginReport(t0), EngineState{Incarnation: "a", UsedMB: 70, Models: map[string]int64{"m": 40}})
		Expect(l.Free()).To(BeEquivalentTo(30))
		_, err := l.Load(t0, "n", 31)
		Expect(errkind.Of(err)).To(Equal(errkind.MemoryFull))
	})

	It("keeps the reservation of a lost order, and of an unload that is not confirmed", func() {
		l := newLedger(true)
		load, err := l.Load(t0, "m", 60)
		Expect(err).NotTo(HaveOccurred())
		l.Observe(l.BeginReport(t0), EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(40))
		unload := l.Unload("m")
		Expect(unload).To(BeNumerically(">", load))
		mark := l.BeginReport(t0)
		l.UnloadAccepted("m", unload)
		l.Observe(mark, EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(40), "the report was requested before the engine accepted the order")
		l.Observe(l.BeginReport(t0), EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(100))
	})

	It("holds the memory of a load order for OrderLife when the engine ignores fencing numbers", func() {
		l := newLedger(false)
		_, err := l.Load(t0, "m", 60)
		Expect(err).NotTo(HaveOccurred())
		l.UnloadAccepted("m", l.Unload("m"))
		l.Observe(l.BeginReport(t0.Add(orderLife)), EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(40))
		l.Observe(l.BeginReport(t0.Add(orderLife+1)), EngineState{Incarnation: "a"})
		Expect(l.Free()).To(BeEquivalentTo(100))
	})

	It("holds the KV cache of a cancelled request until a report shows that the engine stopped it", func() {
		l := newLedger(true)
		Expect(l.StartRun("r", 80)).To(Succeed())
		mark := l.BeginReport(t0)
		l.EndRun("r", false)
		l.Observe(mark, EngineState{Incarnation: "a"})
		Expect(errkind.Of(l.StartRun("s", 30))).To(Equal(errkind.MemoryFull))
		l.Observe(l.BeginReport(t0), EngineState{Incarnation: "a", Running: 1, UsedMB: 80})
		Expect(errkind.Of(l.StartRun("s", 30))).To(Equal(errkind.MemoryFull))
		l.Observe(l.BeginReport(t0), EngineState{Incarnation: "a"})
		Expect(l.StartRun("s", 30)).To(Succeed())
	})

	It("releases the KV cache of a cancelled request while others keep running", func() {
		l := newLedger(true)
		Expect(l.StartRun("live", 20)).To(Succeed())
		Expect(l.StartRun("cancelled", 70)).To(Succeed())
		l.RunProducedOutput("live")
		l.EndRun("cancelled", false)
		for range 2 {
			Expect(errkind.Of(l.StartRun("next", 60))).To(Equal(errkind.MemoryFull))
			l.Observe(l.BeginReport(t0), EngineState{Incarnation: "a", Running: 1})
			l.RunProducedOutput("live")
		}
		Expect(l.StartRun("next", 60)).To(Succeed())
	})

	// Guards against models, including those still unloading, that leave no memory for running requests.
	It("refuses a load that leaves no room for the KV cache, unless the model is the only one", func() {
		l := New(Options{TotalMB: 100, ChecksOrders: true, MaxWeightsFraction: 0.8})
		_, err := l.Load(t0, "a", 90)
		Expect(err).NotTo(HaveOccurred())
		l = New(Options{TotalMB: 100, ChecksOrders: true, MaxWeightsFraction: 0.8})
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

// order is an order to the simulated engine.
type order struct {
	load    bool
	model   string
	fencing uint64
	mb      int64
	sent    time.Time
}

// simulatedEngine executes orders immediately, late, twice or never.
type simulatedEngine struct {
	checksOrders bool
	fencing      uint64
	models       map[string]int64
	kv           map[string]int64
	peakMB       int64
}

func (e *simulatedEngine) used() int64 {
	var sum int64
	for _, mb := range e.models {
		sum += mb
	}
	for _, mb := range e.kv {
		sum += mb
	}
	return sum
}

func (e *simulatedEngine) execute(o order) (accepted bool) {
	if e.checksOrders && o.fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.fencing)
	if o.load {
		e.models[o.model] = o.mb
	} else {
		delete(e.models, o.model)
	}
	e.peakMB = max(e.peakMB, e.used())
	return true
}

func (e *simulatedEngine) report() EngineState {
	r := EngineState{Incarnation: "a", TotalMB: 100, UsedMB: e.used(), Running: len(e.kv), Models: map[string]int64{}}
	for name, mb := range e.models {
		r.Models[name] = mb
	}
	return r
}

// memorySimulation applies randomly drawn steps to a ledger and a simulated engine.
type memorySimulation struct {
	t            *rapid.T
	checksOrders bool
	engine       *simulatedEngine
	ledger       *Ledger
	lateOrders   []order
	mark         ReportTime
	report       *EngineState
	now          time.Time
	runs         int
}

// send executes an order, queues it for late delivery, or does both. It reports whether the engine accepted it.
func (m *memorySimulation) send(o order) bool {
	o.sent = m.now
	delivery := rapid.IntRange(0, 2).Draw(m.t, "delivery")
	if delivery > 0 {
		m.lateOrders = append(m.lateOrders, o)
	}
	return delivery < 2 && m.engine.execute(o)
}

func (m *memorySimulation) load(model string) {
	mb := 30 + 10*int64(model[1]-'0')
	if fencing, err := m.ledger.Load(m.now, model, mb); err == nil {
		m.send(order{load: true, model: model, fencing: fencing, mb: mb})
	}
}

func (m *memorySimulation) unload(model string) {
	fencing := m.ledger.Unload(model)
	if m.send(order{model: model, fencing: fencing}) {
		m.ledger.UnloadAccepted(model, fencing)
	}
}

// deliverLate executes a queued order, late or a second time. Without fencing, an order arrives only within
// orderLife.
func (m *memorySimulation) deliverLate() {
	if len(m.lateOrders) == 0 {
		return
	}
	o := m.lateOrders[rapid.IntRange(0, len(m.lateOrders)-1).Draw(m.t, "late")]
	if m.checksOrders || m.now.Sub(o.sent) < orderLife {
		m.engine.execute(o)
	}
}

func (m *memorySimulation) requestReport() {
	m.mark = m.ledger.BeginReport(m.now)
	r := m.engine.report()
	m.report = &r
}

func (m *memorySimulation) observeReport() {
	if m.report != nil {
		m.ledger.Observe(m.mark, *m.report)
		m.report = nil
	}
}

func (m *memorySimulation) startRun() {
	m.runs++
	id := fmt.Sprint(m.runs)
	mb := rapid.Int64Range(1, 40).Draw(m.t, "kv")
	if m.ledger.StartRun(id, mb) == nil {
		m.engine.kv[id] = mb
		m.engine.peakMB = max(m.engine.peakMB, m.engine.used())
	}
}

// endRun ends one run. The engine may continue a run whose response was cut off.
func (m *memorySimulation) endRun() {
	for _, id := range slices.Sorted(maps.Keys(m.ledger.running)) {
		m.ledger.RunProducedOutput(id)
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

func (m *memorySimulation) advanceTime() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 6).Draw(m.t, "seconds")) * time.Second)
	for id := range m.engine.kv {
		if _, live := m.ledger.running[id]; !live {
			delete(m.engine.kv, id)
		}
	}
}

// Guards against memory that is overcommitted when orders are lost, late or duplicated.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checksOrders := rapid.Bool().Draw(t, "checks")
		m := &memorySimulation{
			t: t, checksOrders: checksOrders, now: t0,
			engine: &simulatedEngine{checksOrders: checksOrders, models: map[string]int64{}, kv: map[string]int64{}},
			ledger: New(Options{TotalMB: 100, ChecksOrders: checksOrders, OrderLifetime: orderLife}),
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			model := fmt.Sprint("m", rapid.IntRange(0, 3).Draw(t, "model"))
			steps := []func(){
				func() { m.load(model) }, func() { m.load(model) }, func() { m.unload(model) },
				m.deliverLate, m.requestReport, m.observeReport, m.startRun, m.endRun, m.advanceTime,
			}
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "action")]()
			if m.engine.peakMB > 100 {
				t.Fatalf("engine used up to %d MB of 100 MB", m.engine.peakMB)
			}
		}
	})
}
