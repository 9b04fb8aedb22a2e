package fleetplanner

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/placement"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

// FuzzPlan guards against a configuration, a server entry or a report that ends the planner's goroutine, and with it the
// process.
func FuzzPlan(f *testing.F) {
	report, err := proto.Marshal(&wirepb.AgentUpdate{Models: []*wirepb.EngineModel{{Model: "m"}, {Model: "m"}, {Model: "x"}}, Loading: "m",
		Unloading: "m", Nearby: []string{"m", "m"}, Sequence: math.MinInt64, Born: -1})
	if err != nil {
		f.Fatal(err)
	}
	entry := []byte(`{"service":"s","address":"a:1","zone":"z","state":"ready","models":[{"name":"m"},{"name":"n"},{"name":"m"}]}`)
	for _, size := range []string{"90", "1e308", "-1e308", "0"} {
		f.Add([]byte(`{"services":[{"name":"s","engine":{"weights_mb":`+size+`,"adapter_slots":9223372036854775807,"loads_per_s":`+size+
			`,"models":[{"name":"m","weights_mb":`+size+`,"load_s":`+size+`},{"name":"n","adapter_mb":`+size+`}]}}]}`), entry, report, 1e12)
	}
	f.Fuzz(func(t *testing.T, configuration, entry, report []byte, demand float64) {
		c, err := platform.DecodeConfiguration(configuration)
		if err != nil {
			return
		}
		r, err := platform.DecodeReplica("i-1", entry, 1)
		if err != nil {
			return
		}
		u := new(wirepb.AgentUpdate)
		if proto.Unmarshal(report, u) != nil {
			return
		}
		now := time.Duration(0)
		p := New(Options{Clock: func() time.Duration { return now }, PrefillRate: func(string) float64 { return 1e-3 }})
		for _, s := range c.Services {
			if s.Engine == nil || len(s.Engine.Models) > 100 {
				continue
			}
			p.AddPeerDemand(map[string]float64{s.Name + "\x00m": demand, s.Name + "\x00n": demand})
			now += planInterval
			p.demand.Advance(now)
			for _, in := range planInputs(p, s.Engine, s.Name, r, u, now) {
				placement.Plan(in)
			}
		}
	})
}

// planInputs returns the states of a fleet of two servers with and without a report.
func planInputs(p *Planner, e *fleet.Engine, service string, r *fleet.Replica, u *wirepb.AgentUpdate, now time.Duration) []placement.Input {
	adapterMB := int64(math.Ceil(adapterReserveMB(e)))
	var inputs []placement.Input
	for _, fresh := range []bool{true, false} {
		in := placement.Input{MaxWeightsFraction: 1, OneDataCentre: true}
		other := *r
		other.ID = "i-2"
		in.Servers = []placement.Server{p.server(r, u, fresh, e, adapterMB, now), p.server(&other, &wirepb.AgentUpdate{}, true, e, adapterMB, now)}
		for _, name := range e.Names() {
			in.Models = append(in.Models, p.model(service, e.Models[name]))
		}
		in.LoadBudget = min(p.availableLoads(now, e.LoadsPerSecond), maxConcurrentLoads(e))
		inputs = append(inputs, in)
	}
	return inputs
}
