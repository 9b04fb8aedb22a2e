package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/engine"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

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
func (s *Server) ensureAdapter(ctx context.Context, model config.Model) error {
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
			victim := s.idleAdapter()
			s.mu.Unlock()
			if victim != "" {
				// Its memory is free only when the engine's next report shows it.
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
		"loaded", a.loaded, "reason", "a request needs it", "error", err)
	if err != nil {
		delete(s.adapters, model.Name)
		return errkind.Wrap(errkind.ModelNotResident, err, "load adapter %q", model.Name)
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
