package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/engine"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// adapterReports is the number of reports of the engine that a request waits for until memory is free.
const adapterReports = 4

// adapter is one adapter that is loaded or being loaded.
type adapter struct {
	base     string
	memoryMB int64
	loaded   bool
	usedAt   time.Time // for eviction of the least recently used
	loadedAt time.Time // a report asked for earlier doesn't show the adapter
	changing chan struct{}
}

// observeAdapters takes the adapters of a report asked for at askedAt and fills their memory for the ledger.
// The caller holds the lock.
func (s *Server) observeAdapters(snapshot *config.Snapshot, askedAt time.Time, state engine.State, memory map[string]int64) {
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
		if a.changing == nil && a.loadedAt.Before(askedAt) && !slices.Contains(state.Adapters, name) {
			delete(s.adapters, name)
		}
	}
}

// idleAdapterMB returns the memory of adapters that could be unloaded. The caller holds the lock.
func (s *Server) idleAdapterMB() int64 {
	held := s.heldModels()
	var sum int64
	for name, a := range s.adapters {
		if a.loaded && !held[name] {
			sum += a.memoryMB
		}
	}
	return sum
}

// unloadingAdapterMB returns the memory of adapters whose unload no report has shown yet. The caller holds
// the lock.
func (s *Server) unloadingAdapterMB() int64 {
	sum := s.ledger.AdapterMB()
	for name, a := range s.adapters {
		if s.ledger.HeldAdapter(name) {
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

// ensureAdapter loads the adapter of a request if it is not loaded. At most one load of an adapter runs, and
// at most adapter_slots loads in total, the number at which the weight store serves at full speed.
//
// Without free memory the least recently used idle adapter is unloaded. Its memory is free only when a report
// of the engine shows it, so the request waits for some reports before it is refused.
func (s *Server) ensureAdapter(ctx context.Context, model config.Model) error {
	var err error
	for range adapterReports {
		if err = s.tryAdapter(ctx, model); errkind.Of(err) != errkind.MemoryFull {
			return err
		}
		s.wake()
		if pauseErr := duty.Sleep(ctx, s.opts.Settings.Backend.PollInterval.D()); pauseErr != nil {
			return stopped(ctx, "while an adapter waited for memory")
		}
	}
	return err
}

// tryAdapter returns an error of kind MemoryFull if there is no memory now.
func (s *Server) tryAdapter(ctx context.Context, model config.Model) error {
	for {
		s.mu.Lock()
		a, ok := s.adapters[model.Name]
		if ok && a.loaded && a.changing == nil {
			a.usedAt = time.Now()
			s.mu.Unlock()
			return nil
		}
		if ok && a.changing != nil {
			changing := a.changing
			s.mu.Unlock()
			select {
			case <-changing:
				continue
			case <-ctx.Done():
				return stopped(ctx, "while an adapter was loaded")
			}
		}
		err := s.ledger.LoadAdapter(time.Now(), model.Name, model.MemoryMB)
		if err != nil {
			victim := ""
			if s.ledger.Free()+s.unloadingAdapterMB() < model.MemoryMB {
				victim = s.idleAdapter()
			}
			s.mu.Unlock()
			if victim != "" {
				s.dropAdapter(ctx, victim)
			}
			return err
		}
		a = &adapter{base: model.Base, memoryMB: model.MemoryMB, changing: make(chan struct{}), usedAt: time.Now()}
		s.adapters[model.Name] = a
		s.mu.Unlock()
		return s.loadAdapter(ctx, model, a)
	}
}

func (s *Server) loadAdapter(ctx context.Context, model config.Model, a *adapter) error {
	var err error
	select {
	case s.slots <- struct{}{}:
		err = s.engine.LoadAdapter(ctx, model.Name, model.WeightPath)
		<-s.slots
	case <-ctx.Done():
		err = stopped(ctx, "while an adapter was loaded")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.loaded, a.loadedAt = err == nil, time.Now()
	close(a.changing)
	a.changing = nil
	s.log.Info("placement", "model", model.Name, "choice", "adapter load", "memory_mb", model.MemoryMB,
		"loaded", a.loaded, "error", err)
	if err != nil {
		delete(s.adapters, model.Name)
		return errkind.Wrap(errkind.ModelNotResident, err, "load adapter %q", model.Name)
	}
	return nil
}

// takeAdapter carries out an order of the planner for an adapter. A load takes only memory that is free,
// because requests in progress decide which adapters are evicted.
func (s *Server) takeAdapter(ctx context.Context, action string, model config.Model) error {
	s.mu.Lock()
	resident, free := s.resident(model.Base), s.ledger.Free()
	held, known := s.heldModels()[model.Name], s.adapters[model.Name] != nil
	draining := s.draining
	s.mu.Unlock()
	switch {
	case action == actionLoad && draining:
		return errkind.New(errkind.Draining, "host %q", s.opts.Settings.Process.Host)
	case action == actionLoad && !resident:
		return errkind.New(errkind.ModelNotResident, "base model %q", model.Base)
	case action == actionLoad && !known && free < model.MemoryMB:
		return errkind.New(errkind.MemoryFull, "adapter of %d MB, %d MB are free", model.MemoryMB, free)
	case action == actionLoad:
		return s.ensureAdapter(ctx, model)
	case held:
		return errkind.New(errkind.Overloaded, "adapter %q is in use", model.Name)
	case known:
		s.dropAdapter(ctx, model.Name)
	}
	return nil
}

// heldModels returns the models and adapters of queued and running requests. The caller holds the lock.
func (s *Server) heldModels() map[string]bool {
	held := make(map[string]bool)
	for _, t := range s.tasks {
		held[t.model.Name] = true
	}
	return held
}

// idleAdapter returns the least recently used adapter that no request holds. The caller holds the lock.
func (s *Server) idleAdapter() string {
	held := s.heldModels()
	name := ""
	for n, a := range s.adapters {
		if a.loaded && a.changing == nil && !held[n] && (name == "" || a.usedAt.Before(s.adapters[name].usedAt)) {
			name = n
		}
	}
	return name
}

// dropAdapter unloads an adapter. Its memory stays reserved until the engine's report shows it gone.
func (s *Server) dropAdapter(ctx context.Context, name string) {
	s.mu.Lock()
	if a, ok := s.adapters[name]; ok {
		a.loaded = false
		delete(s.adapters, name)
	}
	s.mu.Unlock()
	err := s.engine.UnloadAdapter(ctx, name)
	s.log.Info("placement", "model", name, "choice", "adapter unload", "reason", "memory is needed", "error", err)
}
