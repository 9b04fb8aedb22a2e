// Package ledger accounts for the memory of one accelerator, in mebibytes. Memory is reserved before an
// order is sent and released only when the engine's reported state shows that it is free and no order that
// is still under way can take it again. The package is pure; the caller serialises the calls.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// Options configures a Ledger.
type Options struct {
	TotalMB      int64  // memory of the accelerator
	ChecksOrders bool   // the engine refuses orders with an old fencing number
	FirstFencing uint64 // greater than any number that an earlier process used
	// OrderLife is how long an order may arrive after it was sent. If the engine ignores fencing numbers,
	// the memory of a load order is held at least that long.
	OrderLife time.Duration
	// WeightsPart is the part of the memory that models may take together, so that running requests keep room
	// for their cache. One model alone may take more. Zero sets no bound.
	WeightsPart float64
}

// Ledger is the account of one accelerator.
type Ledger struct {
	opts        Options
	total       int64
	models      map[string]*entry
	adapters    map[string]*entry
	running     map[string]*run
	ended       map[string]endedRun
	last        countedRuns
	unknown     int64 // used memory that no known item explains
	kvPeak      int64 // largest KV reservation since the last Begin
	fencing     uint64
	epoch       int64
	clock       uint64 // logical time of orders and reports
	incarnation string
	askedAt     time.Time // when the last report was asked for
}

type entry struct {
	reserved  int64
	reported  int64
	loadSent  time.Time
	ordered   bool   // a load order was sent
	load      uint64 // fencing number of the last load order
	fenced    uint64 // highest fencing number that the engine acknowledged in an unload order
	changedAt uint64 // logical time of the last order or acknowledgement
}

func (e *entry) mb() int64 { return max(e.reserved, e.reported) }

// run is a running request. The times are logical, and zero before the first part of the answer.
type run struct {
	mb        int64
	firstSeen uint64
	lastSeen  uint64
}

type endedRun struct {
	mb        int64
	changedAt uint64
}

// countedRuns is how many requests an earlier report counted as running.
type countedRuns struct {
	running    int
	mark       Mark
	observedAt uint64
}

// EngineState is the engine's state in the ledger's terms. Models holds the memory of each model that is
// loading, ready or unloading.
type EngineState struct {
	Incarnation string
	TotalMB     int64
	UsedMB      int64
	Running     int // running or waiting in the engine
	Models      map[string]int64
	Adapters    map[string]int64
}

// New returns a ledger with nothing reserved.
func New(opts Options) *Ledger {
	return &Ledger{
		opts: opts, total: opts.TotalMB, fencing: opts.FirstFencing,
		models: make(map[string]*entry), adapters: make(map[string]*entry),
		running: make(map[string]*run), ended: make(map[string]endedRun),
	}
}

// Total returns the memory of the accelerator.
func (l *Ledger) Total() int64 { return l.total }

// Fixed returns the memory that is not KV cache: models, adapters and memory of unknown use.
func (l *Ledger) Fixed() int64 {
	sum := l.unknown
	for _, e := range l.models {
		sum += e.mb()
	}
	for _, e := range l.adapters {
		sum += e.mb()
	}
	return sum
}

// Committed returns all reserved memory.
func (l *Ledger) Committed() int64 { return l.Fixed() + l.kv() }

// Free returns the memory that may still be reserved. It is negative if the engine holds more than the
// ledger allowed.
func (l *Ledger) Free() int64 { return l.total - l.Committed() }

func (l *Ledger) kv() int64 {
	var sum int64
	for _, r := range l.running {
		sum += r.mb
	}
	for _, r := range l.ended {
		sum += r.mb
	}
	return sum
}

// CheckEpoch refuses an order of a planner whose epoch is older than one seen before, with kind BadRequest.
func (l *Ledger) CheckEpoch(epoch int64) error {
	if epoch < l.epoch {
		return errkind.New(errkind.BadRequest, "planner epoch %d is older than %d", epoch, l.epoch)
	}
	l.epoch = epoch
	return nil
}

// Load reserves memory for a model and returns the fencing number of the load order to send. A repeated
// order uses the same reservation. It refuses with kind MemoryFull.
func (l *Ledger) Load(now time.Time, model string, mb int64) (uint64, error) {
	if err := l.checkWeights(model, mb); err != nil {
		return 0, err
	}
	e, err := reserve(l, l.models, model, mb)
	if err != nil {
		return 0, err
	}
	l.fencing++
	l.touch(e)
	e.ordered, e.load, e.loadSent = true, l.fencing, now
	return l.fencing, nil
}

// checkWeights keeps room for the cache. Memory of an unconfirmed unload counts, because a report may still
// show it.
func (l *Ledger) checkWeights(model string, mb int64) error {
	fixed := l.Fixed()
	if e, ok := l.models[model]; ok {
		fixed -= e.mb()
	}
	bound := int64(l.opts.WeightsPart * float64(l.total))
	if bound > 0 && fixed > 0 && fixed+mb > bound {
		return errkind.New(errkind.MemoryFull, "%d MB beside %d MB, models may take %d MB", mb, fixed, bound)
	}
	return nil
}

// LoadAdapter reserves memory for an adapter before its load order. It refuses with kind MemoryFull.
func (l *Ledger) LoadAdapter(now time.Time, adapter string, mb int64) error {
	e, err := reserve(l, l.adapters, adapter, mb)
	if err != nil {
		return err
	}
	l.touch(e)
	e.ordered, e.loadSent = true, now
	return nil
}

func reserve(l *Ledger, entries map[string]*entry, name string, mb int64) (*entry, error) {
	e, ok := entries[name]
	if !ok {
		e = new(entry)
	}
	if more := mb - e.mb(); more > 0 && more > l.Free() {
		return nil, errkind.New(errkind.MemoryFull, "%d MB are needed, %d MB are free", more, l.Free())
	}
	e.reserved = max(e.reserved, mb)
	entries[name] = e
	return e, nil
}

func (l *Ledger) touch(e *entry) {
	l.clock++
	e.changedAt = l.clock
}

// Unload returns the fencing number of the unload order to send. The memory stays reserved.
func (l *Ledger) Unload(model string) uint64 {
	l.fencing++
	if e, ok := l.models[model]; ok {
		l.touch(e)
	}
	return l.fencing
}

// UnloadTaken notes that the engine took the unload order with that fencing number, so that an engine that
// checks orders refuses the earlier ones.
func (l *Ledger) UnloadTaken(model string, fencing uint64) {
	if e, ok := l.models[model]; ok {
		l.touch(e)
		e.fenced = max(e.fenced, fencing)
	}
}

// StartRun reserves KV cache for a running request. It refuses with kind MemoryFull.
func (l *Ledger) StartRun(id string, mb int64) error {
	if mb > l.Free() {
		return errkind.New(errkind.MemoryFull, "%d MB of KV cache are needed, %d MB are free", mb, l.Free())
	}
	l.running[id] = &run{mb: mb}
	l.kvPeak = max(l.kvPeak, l.kv())
	return nil
}

// fencingStep is how far the fencing number rises after the engine refused one as old, which happens when an
// earlier process took its first number from a clock that was ahead: over an hour in microseconds.
const fencingStep = 1 << 32

// OrderRefused notes that the engine refused an order's fencing number as old.
func (l *Ledger) OrderRefused() { l.fencing += fencingStep }

// SeenRun notes that a part of the answer arrived, which shows that the engine runs the request.
func (l *Ledger) SeenRun(id string) {
	r, ok := l.running[id]
	if !ok {
		return
	}
	l.clock++
	r.lastSeen = l.clock
	if r.firstSeen == 0 {
		r.firstSeen = l.clock
	}
}

// EndRun ends a running request. The KV cache of one that did not end with a whole answer stays reserved
// until a report shows that the engine has stopped it.
func (l *Ledger) EndRun(id string, whole bool) {
	r, ok := l.running[id]
	if !ok {
		return
	}
	delete(l.running, id)
	if !whole {
		l.clock++
		l.ended[id] = endedRun{mb: r.mb, changedAt: l.clock}
	}
}

// Mark is the logical time at which a report was asked for.
type Mark uint64

// Begin returns the mark of a report that is about to be asked for. Reports are asked for one at a time.
func (l *Ledger) Begin(now time.Time) Mark {
	l.clock++
	l.askedAt = now
	l.kvPeak = l.kv()
	return Mark(l.clock)
}

// Observe takes the report asked for at mark. What the ledger doesn't know is counted; what the report no
// longer shows is released if it can't come back.
func (l *Ledger) Observe(mark Mark, r EngineState) {
	if r.TotalMB > 0 {
		l.total = min(l.opts.TotalMB, r.TotalMB)
	}
	if r.Incarnation != l.incarnation {
		l.restarted(r.Incarnation)
	}
	explained := l.kvPeak
	explained += observe(l.models, r.Models, func(e *entry) bool { return l.modelGone(mark, e) })
	explained += observe(l.adapters, r.Adapters, func(e *entry) bool { return l.adapterGone(mark, e) })
	l.unknown = max(r.UsedMB-explained, 0)
	l.observeRuns(mark, r.Running)
}

// restarted notes a new engine process. It has forgotten which orders are old.
func (l *Ledger) restarted(incarnation string) {
	l.incarnation = incarnation
	for _, e := range l.models {
		e.fenced = 0
	}
}

// observe updates entries from the report and returns the reported memory.
func observe(entries map[string]*entry, reported map[string]int64, gone func(*entry) bool) int64 {
	var sum int64
	for name, mb := range reported {
		sum += mb
		e, ok := entries[name]
		if !ok {
			e = &entry{reserved: mb}
			entries[name] = e
		}
		e.reported = mb
	}
	for name, e := range entries {
		if _, ok := reported[name]; ok {
			continue
		}
		if gone(e) {
			delete(entries, name)
		}
	}
	return sum
}

// modelGone reports whether a model that a report doesn't show can't be loaded by an order under way.
func (l *Ledger) modelGone(mark Mark, e *entry) bool {
	switch {
	case e.changedAt >= uint64(mark):
		return false
	case !e.ordered:
		return true
	case l.opts.ChecksOrders:
		return e.fenced > e.load
	}
	return l.expired(e)
}

// expired reports whether the last load order could not arrive any more when the report was asked for. The
// time of its answer doesn't count, since an order may have arrived between the two.
func (l *Ledger) expired(e *entry) bool { return l.askedAt.Sub(e.loadSent) > l.opts.OrderLife }

// adapterGone is modelGone for adapters, whose orders carry no fencing number.
func (l *Ledger) adapterGone(mark Mark, e *entry) bool {
	return e.changedAt < uint64(mark) && (!e.ordered || l.expired(e))
}

// observeRuns releases the KV cache of ended runs. A report counts the running requests without naming them,
// so any of the counted ones may be ended runs, except those that are known to have run at that time.
func (l *Ledger) observeRuns(mark Mark, running int) {
	certain := 0
	for _, r := range l.running {
		if r.firstSeen > 0 && r.firstSeen < uint64(l.last.mark) && r.lastSeen > l.last.observedAt {
			certain++
		}
	}
	l.keepLargest(l.last.mark, max(l.last.running-certain, 0))
	l.keepLargest(mark, running)
	l.clock++
	l.last = countedRuns{running: running, mark: mark, observedAt: l.clock}
}

// keepLargest keeps the n largest of the runs that ended before mark. The engine still holds at most n of
// them, so that the kept ones bound their memory.
func (l *Ledger) keepLargest(mark Mark, n int) {
	var ids []string
	for id, r := range l.ended {
		if r.changedAt < uint64(mark) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(l.ended[b].mb, l.ended[a].mb) })
	for _, id := range ids[min(n, len(ids)):] {
		delete(l.ended, id)
	}
}

// Held reports whether memory is reserved for a model.
func (l *Ledger) Held(model string) bool {
	_, ok := l.models[model]
	return ok
}

// HeldAdapter reports whether memory is reserved for an adapter.
func (l *Ledger) HeldAdapter(adapter string) bool {
	_, ok := l.adapters[adapter]
	return ok
}
