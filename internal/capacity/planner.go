package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/limitholder"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/placement"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

const (
	planRounds    = 10
	reserveRounds = 20000
)

// placementInput returns the state of servers that each hold two models, with skewed demand. If full, each holds as
// many models as fit and no request for more copies can be met, which is the slowest case.
func placementInput(models, servers int, full bool) placement.Input {
	random := rand.New(rand.NewPCG(1, 2))
	in := placement.Input{MaxWeightsFraction: 0.7, LoadBudget: 4, AdapterLoadBudget: 16}
	for i := range models {
		m := placement.Model{Name: fmt.Sprintf("m%03d", i), MemoryMB: 8000 + random.Int64N(12000), MinCopies: 2,
			Rate: 40000 / float64(i+1)}
		m.Copies = 1 + int(m.Rate/200)
		if full {
			m.Copies = servers / 30
		}
		in.Models = append(in.Models, m)
	}
	modelsPerServer := 2
	if full {
		modelsPerServer = 3
	}
	for i := range servers {
		s := placement.Server{ID: fmt.Sprintf("s%04d", i), DataCentre: fmt.Sprint("dc-", i%7), MemoryMB: 80000, FreeMB: 80000,
			Usable: true}
		for k := range modelsPerServer {
			m := in.Models[(i*modelsPerServer+k)%models]
			s.Resident = append(s.Resident, m.Name)
			s.FreeMB -= m.MemoryMB
		}
		if full {
			s.FreeMB = min(s.FreeMB, 1000)
		}
		in.Servers = append(in.Servers, s)
	}
	return in
}

func measurePlanner(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "planner",
		Note:    "Processor time of one plan. Full servers: every model needs more copies and no memory is free.",
		Columns: []string{"models", "servers", "ms per plan", "ms per plan with full servers"}}
	for _, size := range [][2]int{{50, 400}, {115, 950}, {230, 1900}} {
		partlyFull := planMilliseconds(placementInput(size[0], size[1], false))
		fullServers := planMilliseconds(placementInput(size[0], size[1], true))
		t.add(size[0], size[1], partlyFull, fullServers)
	}
	return t, ctx.Err()
}

// planMilliseconds returns the processor time of one plan in milliseconds: the mean of planRounds plans after one to
// warm up.
func planMilliseconds(in placement.Input) float64 {
	placement.Plan(in)
	cpu := processorTime()
	for range planRounds {
		placement.Plan(in)
	}
	return float64((processorTime() - cpu).Microseconds()) / 1000 / planRounds
}

func measureLimits(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "limits", Note: "Reservations at one holder of all partitions in one data centre, without messages.",
		Columns: []string{"organisations", "µs per reserve and refund", "bytes per organisation after use"}}
	for _, n := range []int{10, 100, 1000} {
		if err := measureReservations(ctx, t, n); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func measureReservations(ctx context.Context, t *Table, n int) error {
	entities := make([]config.Entity, 0, n+1)
	organisations := make([]config.Organisation, n)
	for i := range n {
		organisations[i] = config.Organisation{Name: fmt.Sprint("org-", i), Rate: 1e6, Burst: 1e9, Weight: 1}
		e, err := config.NewEntity(organisations[i])
		if err != nil {
			return err
		}
		e.Version = 1
		entities = append(entities, e)
	}
	dc, err := config.NewEntity(config.DataCentre{Name: "dc-0", Region: "r"})
	if err != nil {
		return err
	}
	dc.Version = 1
	snapshot, err := new(config.Snapshot).Apply(1, append(entities, dc))
	if err != nil {
		return err
	}
	holder := limitholder.New(limitholder.Options{
		Address: holderAddress, DataCentre: "dc-0", Incarnation: "1", Partitions: limitPartitions, LeaseTerm: time.Hour,
		Limit: limitshare.Options{MaxLoanDuration: 5 * time.Second, LoanReturnMargin: time.Second}, Store: tablestore.NewMemory(),
		Snapshot: func() *config.Snapshot { return snapshot }, Gateways: func() []string { return []string{holderAddress} },
		Removed: func(string) bool { return false }, Fresh: func() bool { return true }, Log: discardLog,
	})
	if err := holder.Round(ctx); err != nil {
		return err
	}
	client, before := limitholder.NewClient(holder), memoryInUse()
	for _, o := range organisations {
		if err := reserveLocal(ctx, client, o); err != nil {
			return err
		}
	}
	cpu := processorTime()
	for i := range reserveRounds {
		if err := reserveLocal(ctx, client, organisations[i%n]); err != nil {
			return err
		}
	}
	spent := processorTime() - cpu
	t.add(n, float64(spent.Microseconds())/reserveRounds, (memoryInUse()-before)/float64(n))
	runtime.KeepAlive(client)
	runtime.KeepAlive(organisations)
	runtime.KeepAlive(entities)
	return nil
}
