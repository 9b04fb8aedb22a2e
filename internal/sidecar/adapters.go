package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/engineclient"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// maxAdapterReports is the maximum number of engine reports that a request awaits until its adapter's memory is free.
const maxAdapterReports = 4

// adapter is an adapter that is loaded or being loaded.
type adapter struct {
	base     string
	memoryMB int64
	loaded   bool
	usedAt   time.Time // for eviction of the least recently used
	loadedAt time.Time // a report that was requested earlier does not list the adapter
	loadDone chan struct{}
}

// applyAdapterState records the adapters of a report that was requested at askedAt, and puts their memory in mebibytes
// into memory. The caller holds the lock.
func (s *Server) applyAdapterState(snapshot *config.Snapshot, askedAt time.Time, state engineclient.State,
	memory map[string]int64) {
	for _, name := range state.Adapters {
		a, ok := s.adapters[name]
		if !ok {
			a = &adapter{loaded: true}
			s.adapters[name] = a
		}
		if snapshot != nil {
			if model, ok := snapshot.Model(name); ok {
				a.base, a.memoryMB = model.Base, model.MemoryMB
			}
		}
		memory[name] = a.memoryMB
	}
	for name, a := range s.adapters {
		if a.loadDone == nil && a.loadedAt.Before(askedAt) && !slices.Contains(state.Adapters, name) {
			delete(s.adapters, name)
		}
	}
}

// idleAdapterMB returns the memory, in mebibytes, of loaded adapters that no request uses. The caller holds the lock.
func (s *Server) idleAdapterMB() int64 {
	inUse := s.modelsInUse()
	var sum int64
	for name, a := range s.adapters {
		if a.loaded && !inUse[name] {
			sum += a.memoryMB
		}
	}
	return sum
}

// unloadingAdapterMB returns the memory, in mebibytes, of adapters whose unload is not yet visible in a report. The
// caller holds the lock.
func (s *Server) unloadingAdapterMB() int64 {
	sum := s.ledger.AdapterMB()
	for name, a := range s.adapters {
		if s.ledger.HasAdapter(name) {
			sum -= a.memoryMB
		}
	}
	return max(sum, 0)
}

// adaptersOf returns the adapters on a base model. The caller holds the lock.
func (s *Server) adaptersOf(base string) []string {
	var names []string
	for name, a := range s.adapters {
		if a.base == base {
			names = append(names, name)
		}
	}
	return names
}

// ensureAdapter loads the adapter of a request unless it is loaded. At most one load of an adapter runs at a time, and
// at most adapter_slots loads in total, the number at which the weight store serves at full speed.
//
// If memory is short, the least recently used idle adapter is unloaded. Its memory is free only when a report of the
// engine shows it, so the request waits for some reports before it is refused.
func (s *Server) ensureAdapter(ctx context.Context, model config.Model) error {
	var err error
	for range maxAdapterReports {
		if err = s.tryEnsureAdapter(ctx, model); errkind.Of(err) != errkind.MemoryFull {
			return err
		}
		s.wakeResidency()
		if sleepErr := background.Sleep(ctx, s.opts.Settings.Backend.PollInterval.D()); sleepErr != nil {
			return contextError(ctx, "while an adapter waited for memory")
		}
	}
	return err
}

// tryEnsureAdapter loads the adapter unless it is loaded. The error has kind MemoryFull if the memory is not free now.
func (s *Server) tryEnsureAdapter(ctx context.Context, model config.Model) error {
	for {
		s.mu.Lock()
		a, ok := s.adapters[model.Name]
		if ok && a.loaded && a.loadDone == nil {
			a.usedAt = time.Now()
			s.mu.Unlock()
			return nil
		}
		if ok && a.loadDone != nil {
			loadDone := a.loadDone
			s.mu.Unlock()
			select {
			case <-loadDone:
				continue
			case <-ctx.Done():
				return contextError(ctx, "while an adapter was loaded")
			}
		}
		err := s.ledger.LoadAdapter(time.Now(), model.Name, model.MemoryMB)
		if err != nil {
			victim := ""
			if s.ledger.Free()+s.unloadingAdapterMB() < model.MemoryMB {
				victim = s.lruIdleAdapter()
			}
			s.mu.Unlock()
			if victim != "" {
				s.unloadAdapter(ctx, victim)
			}
			return err
		}
		a = &adapter{base: model.Base, memoryMB: model.MemoryMB, loadDone: make(chan struct{}), usedAt: time.Now()}
		s.adapters[model.Name] = a
		s.mu.Unlock()
		return s.loadAdapter(ctx, model, a)
	}
}

func (s *Server) loadAdapter(ctx context.Context, model config.Model, a *adapter) error {
	var err error
	select {
	case s.adapterSlots <- struct{}{}:
		err = s.engine.LoadAdapter(ctx, model.Name, model.WeightPath)
		<-s.adapterSlots
	case <-ctx.Done():
		err = contextError(ctx, "while an adapter was loaded")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.loaded, a.loadedAt = err == nil, time.Now()
	close(a.loadDone)
	a.loadDone = nil
	s.log.Info("placement", "model", model.Name, "choice", "adapter load", "memory_mb", model.MemoryMB,
		"loaded", a.loaded, "error", err)
	if err != nil {
		delete(s.adapters, model.Name)
		return errkind.Wrap(errkind.ModelNotResident, err, "load adapter %q", model.Name)
	}
	return nil
}

// applyAdapterOrder carries out a planner's order for an adapter. A load uses only free memory and evicts nothing,
// because evictions are left to requests in progress.
func (s *Server) applyAdapterOrder(ctx context.Context, action string, model config.Model) error {
	s.mu.Lock()
	resident, free := s.resident(model.Base), s.ledger.Free()
	inUse, known := s.modelsInUse()[model.Name], s.adapters[model.Name] != nil
	draining := s.draining
	s.mu.Unlock()
	switch {
	case action == actionLoad && draining:
		return errkind.New(errkind.Draining, "host %q", s.opts.Settings.Process.Host)
	case action == actionLoad && !resident:
		return errkind.New(errkind.ModelNotResident, "base model %q", model.Base)
	case action == actionLoad && !known && free < model.MemoryMB:
		return errkind.New(errkind.MemoryFull, "the adapter needs %d MB, %d MB are free", model.MemoryMB, free)
	case action == actionLoad:
		return s.ensureAdapter(ctx, model)
	case inUse:
		return errkind.New(errkind.Overloaded, "adapter %q is in use", model.Name)
	case known:
		s.unloadAdapter(ctx, model.Name)
	}
	return nil
}

// modelsInUse returns the models and adapters of queued and running requests. The caller holds the lock.
func (s *Server) modelsInUse() map[string]bool {
	inUse := make(map[string]bool)
	for _, t := range s.tasks {
		inUse[t.model.Name] = true
	}
	return inUse
}

// lruIdleAdapter returns the least recently used loaded adapter that no request uses, or "". The caller holds the lock.
func (s *Server) lruIdleAdapter() string {
	inUse := s.modelsInUse()
	name := ""
	for n, a := range s.adapters {
		if a.loaded && a.loadDone == nil && !inUse[n] && (name == "" || a.usedAt.Before(s.adapters[name].usedAt)) {
			name = n
		}
	}
	return name
}

// unloadAdapter unloads an adapter. Its memory stays reserved until a report of the engine no longer lists it.
func (s *Server) unloadAdapter(ctx context.Context, name string) {
	s.mu.Lock()
	if a, ok := s.adapters[name]; ok {
		a.loaded = false
		delete(s.adapters, name)
	}
	s.mu.Unlock()
	err := s.engine.UnloadAdapter(ctx, name)
	s.log.Info("placement", "model", name, "choice", "adapter unload", "reason", "memory is needed", "error", err)
}
