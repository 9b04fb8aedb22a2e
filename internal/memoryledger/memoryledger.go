// Package memoryledger accounts for the memory of one accelerator, in mebibytes: models, adapters and the KV cache of
// requests. Reserve memory before an order is sent; it is released only when the engine's reported state shows
// that it is free and no order in flight can allocate it again. The package does no I/O and reads no clock:
// callers pass the time and serialise the calls.
package memoryledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// Options configures a Ledger.
type Options struct {
	TotalMB            int64  // memory of the accelerator, in mebibytes
	ChecksOrders       bool   // the engine rejects orders with an old fencing number
	FirstFencingNumber uint64 // greater than any fencing number that an earlier process used
	// OrderLifetime is the longest time from the sending of an order to its arrival. If the engine ignores fencing
	// numbers, the memory of a load order is held at least that long.
	OrderLifetime time.Duration
	// MaxWeightsFraction is the fraction of the memory that all models together may take, so that running requests
	// keep room for their KV cache. A single model may take more. Zero means no limit.
	MaxWeightsFraction float64
}

// Ledger is the memory account of one accelerator. It is not safe for concurrent use.
type Ledger struct {
	opts              Options
	total             int64
	models            map[string]*entry
	adapters          map[string]*entry
	running           map[string]*run
	ended             map[string]endedRun
	lastCount         countedRuns
	unknown           int64 // used memory that is not accounted for
	kvPeak            int64 // largest KV reservation since the last Begin
	fencing           uint64
	epoch             int64
	clock             uint64 // logical clock of orders and reports
	incarnation       string
	reportRequestedAt time.Time // when the last report was requested
}

type entry struct {
	reserved      int64
	reported      int64
	loadSent      time.Time
	loadOrdered   bool   // a load order has been sent
	loadFencing   uint64 // fencing number of the last load order
	unloadFencing uint64 // highest fencing number of an unload order that the engine accepted
	changedAt     uint64 // logical time of the last order or acceptance
}

func (e *entry) mb() int64 { return max(e.reserved, e.reported) }

// run is a running request. The times are logical, and zero before the first part of the response.
type run struct {
	mb        int64
	firstSeen uint64
	lastSeen  uint64
}

type endedRun struct {
	mb        int64
	changedAt uint64
}

// countedRuns is the number of running requests in a previous report.
type countedRuns struct {
	running    int
	mark       ReportTime
	observedAt uint64
}

// EngineState is the state that the engine reports, with memory in mebibytes. Models holds the memory of each
// model that is loading, ready or unloading.
type EngineState struct {
	Incarnation string
	TotalMB     int64
	UsedMB      int64
	Running     int // requests running or waiting in the engine
	Models      map[string]int64
	Adapters    map[string]int64
}

// New returns a ledger without reservations.
func New(opts Options) *Ledger {
	return &Ledger{
		opts: opts, total: opts.TotalMB, fencing: opts.FirstFencingNumber,
		models: make(map[string]*entry), adapters: make(map[string]*entry),
		running: make(map[string]*run), ended: make(map[string]endedRun),
	}
}

// Total returns the memory of the accelerator in mebibytes: the configured total, or the reported one if that
// is lower.
func (l *Ledger) Total() int64 { return l.total }

// ModelsMB returns the memory in mebibytes that is not KV cache: models, adapters and memory that is not accounted
// for.
func (l *Ledger) ModelsMB() int64 {
	sum := l.unknown
	for _, e := range l.models {
		sum += e.mb()
	}
	for _, e := range l.adapters {
		sum += e.mb()
	}
	return sum
}

// Committed returns all reserved memory in mebibytes.
func (l *Ledger) Committed() int64 { return l.ModelsMB() + l.reservedKV() }

// Free returns the memory in mebibytes that may still be reserved. It is negative if the engine holds more than
// the ledger allowed.
func (l *Ledger) Free() int64 { return l.total - l.Committed() }

func (l *Ledger) reservedKV() int64 {
	var sum int64
	for _, r := range l.running {
		sum += r.mb
	}
	for _, r := range l.ended {
		sum += r.mb
	}
	return sum
}

// CheckEpoch records the epoch of a planner, and refuses with an error of kind BadRequest if an order of a
// later epoch was seen before.
func (l *Ledger) CheckEpoch(epoch int64) error {
	if epoch < l.epoch {
		return errkind.New(errkind.BadRequest, "planner epoch %d is older than epoch %d seen before", epoch, l.epoch)
	}
	l.epoch = epoch
	return nil
}

// Epoch returns the highest epoch of a planner that was seen, or zero.
func (l *Ledger) Epoch() int64 { return l.epoch }

// Load reserves mb mebibytes for a model and returns the fencing number of the load order to send. A repeated
// order uses the same reservation. It refuses with an error of kind MemoryFull.
func (l *Ledger) Load(now time.Time, model string, mb int64) (uint64, error) {
	if err := l.checkWeights(model, mb); err != nil {
		return 0, err
	}
	e, err := reserve(l, l.models, model, mb)
	if err != nil {
		return 0, err
	}
	l.fencing++
	l.markChanged(e)
	e.loadOrdered, e.loadFencing, e.loadSent = true, l.fencing, now
	return l.fencing, nil
}

// checkWeights refuses a model that would leave too little room for the KV cache. Memory of an unconfirmed
// unload counts, because a report may still show it.
func (l *Ledger) checkWeights(model string, mb int64) error {
	fixed := l.ModelsMB()
	if e, ok := l.models[model]; ok {
		fixed -= e.mb()
	}
	bound := int64(l.opts.MaxWeightsFraction * float64(l.total))
	if bound > 0 && fixed > 0 && fixed+mb > bound {
		return errkind.New(errkind.MemoryFull, "model needs %d MB beside %d MB allocated, models may take %d MB", mb, fixed, bound)
	}
	return nil
}

// LoadAdapter reserves mb mebibytes for an adapter; call it before sending the load order. It refuses with an
// error of kind MemoryFull.
func (l *Ledger) LoadAdapter(now time.Time, adapter string, mb int64) error {
	e, err := reserve(l, l.adapters, adapter, mb)
	if err != nil {
		return err
	}
	l.markChanged(e)
	e.loadOrdered, e.loadSent = true, now
	return nil
}

func reserve(l *Ledger, entries map[string]*entry, name string, mb int64) (*entry, error) {
	e, ok := entries[name]
	if !ok {
		e = new(entry)
	}
	if more := mb - e.mb(); more > 0 && more > l.Free() {
		return nil, errkind.New(errkind.MemoryFull, "not enough accelerator memory: %d MB needed, %d MB free", more, l.Free())
	}
	e.reserved = max(e.reserved, mb)
	entries[name] = e
	return e, nil
}

func (l *Ledger) markChanged(e *entry) {
	l.clock++
	e.changedAt = l.clock
}

// Unload returns the fencing number of the unload order to send. The memory stays reserved until a report shows
// that it is free.
func (l *Ledger) Unload(model string) uint64 {
	l.fencing++
	if e, ok := l.models[model]; ok {
		l.markChanged(e)
	}
	return l.fencing
}

// UnloadAccepted records that the engine accepted the unload order with the given fencing number. An engine that
// checks orders rejects the earlier ones from then on.
func (l *Ledger) UnloadAccepted(model string, fencing uint64) {
	if e, ok := l.models[model]; ok {
		l.markChanged(e)
		e.unloadFencing = max(e.unloadFencing, fencing)
	}
}

// StartRun reserves mb mebibytes of KV cache for a running request. It refuses with an error of kind
// MemoryFull.
func (l *Ledger) StartRun(id string, mb int64) error {
	if mb > l.Free() {
		return errkind.New(errkind.MemoryFull, "not enough accelerator memory: %d MB of KV cache needed, %d MB free", mb, l.Free())
	}
	l.running[id] = &run{mb: mb}
	l.kvPeak = max(l.kvPeak, l.reservedKV())
	return nil
}

// fencingStep is added to the fencing number after the engine rejected one as old, which happens when an
// earlier process took its first number from a clock that was ahead. The unit is microseconds, so one step covers
// a clock that was ahead by up to 71 minutes.
const fencingStep = 1 << 32

// OrderRejected records that the engine rejected the fencing number of an order as old, and raises the next
// ones.
func (l *Ledger) OrderRejected() { l.fencing += fencingStep }

// RunProducedOutput records that a part of the response arrived, which shows that the engine runs the request.
func (l *Ledger) RunProducedOutput(id string) {
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

// EndRun ends a running request. whole reports whether its response was complete; if not, its KV cache stays
// reserved until a report shows that the engine has stopped it.
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

// ReportTime is the logical time at which a report was requested.
type ReportTime uint64

// BeginReport returns the mark of a report that is about to be requested. Only one report may be requested at a time.
func (l *Ledger) BeginReport(now time.Time) ReportTime {
	l.clock++
	l.reportRequestedAt = now
	l.kvPeak = l.reservedKV()
	return ReportTime(l.clock)
}

// Observe applies the report that was requested at mark. Memory that the ledger did not know of is added;
// memory that the report no longer shows is released unless an order under way can take it again.
func (l *Ledger) Observe(mark ReportTime, r EngineState) {
	if r.TotalMB > 0 {
		l.total = min(l.opts.TotalMB, r.TotalMB)
	}
	if r.Incarnation != l.incarnation {
		l.engineRestarted(r.Incarnation)
	}
	explained := l.kvPeak
	explained += observe(l.models, r.Models, func(e *entry) bool { return l.modelReleasable(mark, e) })
	explained += observe(l.adapters, r.Adapters, func(e *entry) bool { return l.adapterReleasable(mark, e) })
	l.unknown = max(r.UsedMB-explained, 0)
	l.observeRuns(mark, r.Running)
}

// engineRestarted records a new engine process, which no longer knows the fencing numbers of earlier orders.
func (l *Ledger) engineRestarted(incarnation string) {
	l.incarnation = incarnation
	for _, e := range l.models {
		e.unloadFencing = 0
	}
}

// observe updates entries from the report, deletes those that are releasable and returns the reported memory.
func observe(entries map[string]*entry, reported map[string]int64, releasable func(*entry) bool) int64 {
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
		if releasable(e) {
			delete(entries, name)
		}
	}
	return sum
}

// modelReleasable reports whether no order under way can still load a model that is missing from a report.
func (l *Ledger) modelReleasable(mark ReportTime, e *entry) bool {
	switch {
	case e.changedAt >= uint64(mark):
		return false
	case !e.loadOrdered:
		return true
	case l.opts.ChecksOrders:
		return e.unloadFencing > e.loadFencing
	}
	return l.loadOrderExpired(e)
}

// loadOrderExpired reports whether the last load order could no longer arrive when the report was requested.
// The time at which the report arrived is not used, since an order may have arrived after the request and before
// the report.
func (l *Ledger) loadOrderExpired(e *entry) bool {
	return l.reportRequestedAt.Sub(e.loadSent) > l.opts.OrderLifetime
}

// adapterReleasable is modelReleasable for adapters, whose orders carry no fencing number.
func (l *Ledger) adapterReleasable(mark ReportTime, e *entry) bool {
	return e.changedAt < uint64(mark) && (!e.loadOrdered || l.loadOrderExpired(e))
}

// observeRuns releases the KV cache of ended runs. A report gives only the number of running requests, so any
// of them may be ended runs, except those that are known to have been running at that time.
func (l *Ledger) observeRuns(mark ReportTime, running int) {
	knownRunning := 0
	for _, r := range l.running {
		if r.firstSeen > 0 && r.firstSeen < uint64(l.lastCount.mark) && r.lastSeen > l.lastCount.observedAt {
			knownRunning++
		}
	}
	l.keepLargestEnded(l.lastCount.mark, max(l.lastCount.running-knownRunning, 0))
	l.keepLargestEnded(mark, running)
	l.clock++
	l.lastCount = countedRuns{running: running, mark: mark, observedAt: l.clock}
}

// keepLargestEnded keeps the n largest of the runs that ended before mark and deletes the others. The engine
// still holds at most n of them, so the kept ones are an upper bound for their memory.
func (l *Ledger) keepLargestEnded(mark ReportTime, n int) {
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

// HasModel reports whether memory is reserved for a model.
func (l *Ledger) HasModel(model string) bool {
	_, ok := l.models[model]
	return ok
}

// HasAdapter reports whether memory is reserved for an adapter.
func (l *Ledger) HasAdapter(adapter string) bool {
	_, ok := l.adapters[adapter]
	return ok
}
