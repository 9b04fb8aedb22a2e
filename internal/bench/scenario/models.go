package scenario

import (
	"fmt"
	"math"

	"github.com/pomelowheel/pomelowheel/internal/config"
)

// Model is a model or an adapter with its demand relative to the other models.
type Model struct {
	config.Model
	Demand float64
}

// ModelList expands the model groups. A base model's adapters share a fraction of its demand.
func (s *Scenario) ModelList() []Model {
	const adapterShare = 0.5 // fraction of a base model's demand that goes to its adapters, if it has any
	var all []Model
	for _, g := range s.Models {
		adaptersOf := make([]int, g.Count)
		for i := range g.Adapters {
			adaptersOf[i%g.Count]++
		}
		for i := range g.Count {
			name := fmt.Sprintf("%s-%02d", g.Name, i+1)
			demand := g.Demand / math.Pow(float64(i+1), g.Skew)
			own := demand
			if adaptersOf[i] > 0 {
				own *= 1 - adapterShare
			}
			all = append(all, Model{Demand: own, Model: config.Model{
				Name: name, Service: g.Service, MemoryMB: g.MemoryMB, KVTokenKB: g.KVTokenKB, MinCopies: g.MinCopies,
			}})
			for a := range adaptersOf[i] {
				all = append(all, Model{Demand: demand * adapterShare / float64(adaptersOf[i]), Model: config.Model{
					Name: fmt.Sprintf("%s-a%02d", name, a+1), Service: g.Service, Base: name,
					MemoryMB: g.AdapterMB, KVTokenKB: g.KVTokenKB,
				}})
			}
		}
	}
	return all
}

// MaxOutputTokens returns the number of output tokens that the callers allow: three times the mean, which no
// request exceeds.
func (t Traffic) MaxOutputTokens() int64 { return 3 * t.OutputTokens }
