package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/config"
)

// maxJoinedNames is the largest number of names listed in one line of text.
const maxJoinedNames = 10

// Impact describes what a change affects.
type Impact struct {
	Organisations  []string `json:"organisations"`
	Keys           []string `json:"keys"`
	Services       []string `json:"services"`
	Models         []string `json:"models"`
	Accelerators   int      `json:"accelerators"`     // resident copies that the models require (sum of min_copies)
	MemoryMB       int64    `json:"memory_mb"`        // memory of these copies after the change, in mebibytes
	MemoryChangeMB int64    `json:"memory_change_mb"` // added by the change, in mebibytes
	Sidecars       int      `json:"sidecars"`         // listed backend servers in a changed data centre
}

// impactSets collects names while an Impact is computed.
type impactSets struct {
	organisations, keys, services, models map[string]bool
}

// ImpactOf returns the impact of the changed entities, given the configuration before and after the change. It does not
// count sidecars.
func ImpactOf(before, after *config.Snapshot, entities []config.Entity) Impact {
	s := impactSets{
		organisations: make(map[string]bool), keys: make(map[string]bool),
		services: make(map[string]bool), models: make(map[string]bool),
	}
	for _, e := range entities {
		for _, view := range []*config.Snapshot{before, after} {
			s.addEntity(view, e)
		}
	}
	if len(s.services) > 0 {
		for _, k := range after.Keys() {
			if !k.Withdrawn {
				s.organisations[k.Organisation] = true
			}
		}
	}
	impact := Impact{
		Organisations: sortedNames(s.organisations), Keys: sortedNames(s.keys),
		Services: sortedNames(s.services), Models: sortedNames(s.models),
	}
	copies, memory := residentCopies(after, impact.Models)
	_, memoryBefore := residentCopies(before, impact.Models)
	impact.Accelerators, impact.MemoryMB, impact.MemoryChangeMB = copies, memory, memory-memoryBefore
	return impact
}

func sortedNames(set map[string]bool) []string {
	if sorted := slices.Sorted(maps.Keys(set)); sorted != nil {
		return sorted
	}
	return []string{}
}

// residentCopies returns the number of copies of models that must stay resident and their memory in mebibytes.
func residentCopies(s *config.Snapshot, models []string) (copies int, memoryMB int64) {
	for _, name := range models {
		if m, ok := s.Model(name); ok {
			copies += m.MinCopies
			memoryMB += int64(m.MinCopies) * m.MemoryMB
		}
	}
	return copies, memoryMB
}

// addEntity adds what e affects in the configuration view.
func (s *impactSets) addEntity(view *config.Snapshot, e config.Entity) {
	switch e.Kind {
	case config.KindOrganisation:
		s.organisations[e.Name] = true
		for _, k := range view.Keys() {
			if k.Organisation == e.Name && !k.Withdrawn {
				s.keys[k.ID] = true
			}
		}
	case config.KindKey:
		s.keys[e.Name] = true
		if k, ok := view.Key(e.Name); ok {
			s.organisations[k.Organisation] = true
		}
	case config.KindProfile:
		for _, v := range view.Services() {
			if v.Profile == e.Name || slices.Contains(v.AllowedProfiles, e.Name) {
				s.addService(view, v.Name)
			}
		}
	case config.KindService:
		s.addService(view, e.Name)
	case config.KindModel:
		s.addModel(view, e.Name)
	case config.KindDataCentre:
		for _, v := range view.Services() {
			s.addService(view, v.Name)
		}
	}
}

func (s *impactSets) addService(view *config.Snapshot, name string) {
	s.services[name] = true
	for _, m := range view.Models() {
		if m.Service == name {
			s.models[m.Name] = true
		}
	}
}

func (s *impactSets) addModel(view *config.Snapshot, name string) {
	s.models[name] = true
	if m, ok := view.Model(name); ok {
		s.services[m.Service] = true
	}
	for _, m := range view.Models() {
		if m.Base == name {
			s.models[m.Name] = true
		}
	}
}

// String returns the impact as one line of text for the change log.
func (i Impact) String() string {
	parts := []string{
		"organisations: " + joinBounded(i.Organisations),
		"keys: " + joinBounded(i.Keys),
		"services: " + joinBounded(i.Services),
		"models: " + joinBounded(i.Models),
		fmt.Sprintf("accelerators: %d resident copies", i.Accelerators),
		fmt.Sprintf("memory: %d MB (%+d MB)", i.MemoryMB, i.MemoryChangeMB),
	}
	if i.Sidecars > 0 {
		parts = append(parts, fmt.Sprintf("backend servers in the data centre: %d", i.Sidecars))
	}
	return strings.Join(parts, "; ")
}

// joinBounded joins at most maxJoinedNames names with commas and counts the others.
func joinBounded(all []string) string {
	switch {
	case len(all) == 0:
		return "none"
	case len(all) > maxJoinedNames:
		return fmt.Sprintf("%s and %d more", strings.Join(all[:maxJoinedNames], ", "), len(all)-maxJoinedNames)
	}
	return strings.Join(all, ", ")
}
