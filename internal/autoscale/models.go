package autoscale

import (
	"cmp"
	"math"
	"slices"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// ModelReplicas returns the number of servers whose memory holds one copy of each of the given models beside the memory for
// adapters, by first fit in decreasing order. A model larger than a server is ignored, because no number of servers holds
// it. Models that are not in the configuration are ignored too.
func ModelReplicas(engine *fleet.Engine, models []string) int {
	if engine == nil {
		return 0
	}
	adapterMB := 0.0
	var sizes []float64
	for _, m := range engine.Models {
		adapterMB = max(adapterMB, m.AdapterMB)
	}
	memory := engine.WeightsMB - adapterMB*float64(engine.AdapterSlots)
	for _, name := range models {
		if m := engine.Models[name]; m != nil && m.WeightsMB > 0 && m.WeightsMB <= memory {
			sizes = append(sizes, math.Ceil(m.WeightsMB))
		}
	}
	slices.SortFunc(sizes, func(a, b float64) int { return cmp.Compare(b, a) })
	var free []float64
	for _, size := range sizes {
		i := slices.IndexFunc(free, func(left float64) bool { return left >= size })
		if i < 0 {
			free = append(free, memory)
			i = len(free) - 1
		}
		free[i] -= size
	}
	return len(free)
}
