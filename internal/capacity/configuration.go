package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
)

// sampleEntities returns n entities: data centres, services, profiles, organisations and models as at full size,
// and keys for the rest.
func sampleEntities(n int) ([]config.Entity, error) {
	values := []any{
		config.Profile{Name: "standard", Class: config.ClassInteractive, FirstTokenMS: 470, BetweenTokensMS: 71,
			DeadlineMS: 30000, MaxOutputTokens: 512, KVTokens: 1024, RetryBudget: 0.2},
		config.Service{Name: "brush-assistant", Kind: config.ServiceModel, Profile: "standard"},
	}
	for i := range 7 {
		values = append(values, config.DataCentre{Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	for i := range 5 {
		values = append(values, config.Organisation{Name: fmt.Sprintf("org-%d", i), Rate: 1e5, Burst: 1e6, Weight: 1})
	}
	for i := range fullModels {
		values = append(values, config.Model{Name: fmt.Sprintf("model-%03d", i), Service: "brush-assistant",
			MemoryMB: 16384, KVTokenKB: 128, MinCopies: 2, WeightPath: fmt.Sprintf("weights/model-%03d", i)})
	}
	for i := len(values); i < n; i++ {
		id := fmt.Sprintf("key-%d", i)
		values = append(values, config.Key{ID: id, Organisation: fmt.Sprintf("org-%d", i%5), Digest: config.Digest(id)})
	}
	entities := make([]config.Entity, 0, n)
	for _, v := range values {
		e, err := config.NewEntity(v)
		if err != nil {
			return nil, err
		}
		e.Version = 1
		entities = append(entities, e)
	}
	return entities, nil
}

func measureConfiguration(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "configuration",
		Note:    "Memory of a configuration snapshot, and the cost of applying a delta of one changed key to it.",
		Columns: []string{"entities", "bytes per entity", "µs per delta", "allocations per delta", "KB allocated per delta"}}
	const rounds = 200
	for _, n := range []int{500, 2000, 5000} {
		before := memoryInUse()
		entities, err := sampleEntities(n)
		if err != nil {
			return nil, err
		}
		last := entities[len(entities)-1]
		snapshot, err := new(config.Snapshot).Apply(1, entities)
		if err != nil {
			return nil, err
		}
		entities = nil
		perEntity := (memoryInUse() - before) / float64(n)
		var m0, m1 runtime.MemStats
		runtime.ReadMemStats(&m0)
		start := time.Now()
		for i := range rounds {
			last.Version = int64(i + 2)
			if snapshot, err = snapshot.Apply(last.Version, []config.Entity{last}); err != nil {
				return nil, err
			}
		}
		spent := time.Since(start)
		runtime.ReadMemStats(&m1)
		t.add(n, perEntity, float64(spent.Microseconds())/rounds, float64(m1.Mallocs-m0.Mallocs)/rounds,
			float64(m1.TotalAlloc-m0.TotalAlloc)/rounds/1000)
		runtime.KeepAlive(snapshot)
	}
	return t, ctx.Err()
}
