package engine

import (
	"maps"
	"slices"
)

// ModelState is the state of a model as the model repository reports it.
type ModelState string

// The states of a model.
const (
	StateReady       ModelState = "READY"
	StateLoading     ModelState = "LOADING"
	StateUnloading   ModelState = "UNLOADING"
	StateUnavailable ModelState = "UNAVAILABLE"
)

const reasonOutOfMemory = "out of memory"

type modelEntry struct {
	state       ModelState
	reason      string
	memoryMB    int64
	inFlight    int
	unloadEnded bool // the unload time has passed; the memory is freed when the last request ends
}

// memory accounts for the use of accelerator memory. It accepts more than the total, so that the high-water mark
// reveals an accounting error of the client that sent the orders.
type memory struct {
	totalMB     int64
	adapterMB   int64
	kvKB        int64
	highWaterMB int64
	models      map[string]*modelEntry
	adapters    map[string]bool // false while the adapter is loading
}

func newMemory(o Options) *memory {
	m := &memory{
		totalMB: o.MemoryTotalMB, adapterMB: o.AdapterMB,
		models: make(map[string]*modelEntry), adapters: make(map[string]bool),
	}
	for _, model := range o.Models {
		m.models[model.Name] = &modelEntry{state: StateReady, memoryMB: model.MemoryMB}
	}
	m.updateHighWater()
	return m
}

func (m *memory) usedMB() int64 {
	used := (m.kvKB + 1023) / 1024
	for _, e := range m.models {
		used += e.memoryMB
	}
	return used + int64(len(m.adapters))*m.adapterMB
}

// updateHighWater raises the high-water mark to the current use. It must be called after each increase.
func (m *memory) updateHighWater() { m.highWaterMB = max(m.highWaterMB, m.usedMB()) }

func (m *memory) overcommitted() bool { return m.totalMB > 0 && m.usedMB() > m.totalMB }

// beginLoad returns the entry whose load starts, or nil if the model is loaded, loading or unloading.
func (m *memory) beginLoad(name string, memoryMB int64) *modelEntry {
	if e, ok := m.models[name]; ok && e.state != StateUnavailable {
		return nil
	}
	e := &modelEntry{state: StateLoading, memoryMB: memoryMB}
	m.models[name] = e
	m.updateHighWater()
	return e
}

// endLoad makes the model ready, or unavailable if the memory is overcommitted.
func (m *memory) endLoad(name string, e *modelEntry) {
	if m.models[name] != e || e.state != StateLoading {
		return
	}
	if m.overcommitted() {
		e.state, e.reason, e.memoryMB = StateUnavailable, reasonOutOfMemory, 0
		return
	}
	e.state = StateReady
}

// beginUnload returns the entry whose unload starts, or nil if there is nothing to unload.
func (m *memory) beginUnload(name string) *modelEntry {
	e, ok := m.models[name]
	if !ok || (e.state != StateReady && e.state != StateLoading) {
		return nil
	}
	e.state = StateUnloading
	return e
}

// endUnload frees the memory at once or, if requests still use the model, when the last of them ends.
func (m *memory) endUnload(name string, e *modelEntry) {
	e.unloadEnded = true
	if e.inFlight == 0 && m.models[name] == e {
		delete(m.models, name)
	}
}

// serving returns the entry of a ready model, or nil and true for a loaded adapter. It returns false if the name
// can't be served.
func (m *memory) serving(name string) (*modelEntry, bool) {
	if loaded, ok := m.adapters[name]; ok {
		return nil, loaded
	}
	e, ok := m.models[name]
	if !ok || e.state != StateReady {
		return nil, false
	}
	return e, true
}

func (m *memory) acquire(e *modelEntry, kvKB int64) {
	if e != nil {
		e.inFlight++
	}
	m.kvKB += kvKB
	m.updateHighWater()
}

func (m *memory) release(name string, e *modelEntry, kvKB int64) {
	m.kvKB -= kvKB
	if e == nil {
		return
	}
	e.inFlight--
	if e.unloadEnded {
		m.endUnload(name, e)
	}
}

func (m *memory) modelNames() []string { return slices.Sorted(maps.Keys(m.models)) }

func (m *memory) adapterNames() []string {
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(m.adapters)) {
		if m.adapters[name] {
			names = append(names, name)
		}
	}
	return names
}
