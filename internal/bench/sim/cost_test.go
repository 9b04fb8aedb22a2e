package sim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/memoryledger"
	"github.com/pomelowheel/pomelowheel/internal/route"
)

// The fleet size that the design is for.
const (
	designReplicas    = 1900
	designModels      = 230
	designDataCentres = 7
	modelsPerReplica  = 6
)

func designTable(at time.Time) *route.Table {
	rng := rand.New(rand.NewPCG(1, 1))
	table := route.NewTable()
	for i := range designReplicas {
		r := route.Replica{
			Address: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), DataCentre: fmt.Sprint("dc-", i%designDataCentres),
			Service: "assistant", Running: rng.Int64N(12), Limit: 16, Ready: true, StatusAt: at,
		}
		for j := range modelsPerReplica {
			r.Resident = append(r.Resident, fmt.Sprintf("model-%03d", (i*modelsPerReplica+j)%designModels))
		}
		for range maxPrefixes {
			r.Prefixes = append(r.Prefixes, fmt.Sprint("prefix-", rng.IntN(5000)))
		}
		table.Set(r)
	}
	return table
}

// BenchmarkRoute measures a routing decision over 230 models and 1,900 replicas under each policy.
func BenchmarkRoute(b *testing.B) {
	names := make([]string, designModels)
	for i := range names {
		names[i] = fmt.Sprintf("model-%03d", i)
	}
	for _, policy := range []route.Policy{
		route.PolicyLoad, route.PolicyProbe, route.PolicyLeastInFlight, route.PolicyRoundRobin, route.PolicyRandom,
	} {
		b.Run(string(policy), func(b *testing.B) {
			table := designTable(epoch)
			rng := rand.New(rand.NewPCG(2, 2))
			r := route.Request{Service: "assistant", DataCentre: "dc-1", PrefixHash: "prefix-7", MaxAge: time.Hour, Count: 2}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Model = names[i%designModels]
				if table.Choose(epoch, r, policy, rng).Chosen() == "" {
					b.Fatal("no candidate")
				}
			}
		})
	}
}

// BenchmarkLimitDebit measures a reservation and its refund.
func BenchmarkLimitDebit(b *testing.B) {
	share := limitshare.NewFull(0, limitOptions, limitshare.BucketConfig{Rate: 1e9, Burst: 1e9, DataCentres: 1})
	b.ReportAllocs()
	for now := time.Duration(0); b.Loop(); now += time.Millisecond {
		reservation, _ := share.Reserve(now, 700)
		share.Refund(now, reservation, 200)
	}
}

// BenchmarkLedger measures a run's start, first token and end with six models and 16 running requests.
func BenchmarkLedger(b *testing.B) {
	l := memoryledger.New(memoryledger.Options{TotalMB: 81920, ChecksOrders: true})
	for i := range modelsPerReplica {
		if _, err := l.Load(epoch, fmt.Sprint("model-", i), 8192); err != nil {
			b.Fatal(err)
		}
	}
	for i := range 16 {
		if err := l.StartRun(fmt.Sprint("run-", i), 256); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := l.StartRun("run", 256); err != nil {
			b.Fatal(err)
		}
		l.RunProducedOutput("run")
		l.EndRun("run", true)
	}
}

// BenchmarkConfigDelta measures merging a delta of one profile into a configuration of the design size.
func BenchmarkConfigDelta(b *testing.B) {
	var entities []config.Entity
	add := func(value any, version int64) config.Entity {
		e, err := config.NewEntity(value)
		if err != nil {
			b.Fatal(err)
		}
		e.Version = version
		return e
	}
	for i := range designModels {
		entities = append(entities, add(config.Model{
			Name: fmt.Sprintf("model-%03d", i), Service: "assistant", MemoryMB: 8192,
		}, 1))
	}
	for i := range 200 {
		name := fmt.Sprint("organisation-", i)
		entities = append(entities, add(config.Organisation{Name: name, Rate: 1000, Burst: 10000}, 1),
			add(config.Key{ID: fmt.Sprint("key-", i), Organisation: name, Digest: config.Digest(name)}, 1))
	}
	snapshot, err := new(config.Snapshot).Apply(1, entities)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for version := int64(2); b.Loop(); version++ {
		delta := []config.Entity{add(config.Profile{Name: "dawn-chat", DeadlineMS: version}, version)}
		if snapshot, err = snapshot.Apply(version, delta); err != nil {
			b.Fatal(err)
		}
	}
}
