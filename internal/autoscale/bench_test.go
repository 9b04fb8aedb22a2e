package autoscale_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/autoscale"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// BenchmarkRound measures what a round costs the holder: the reports of all gateways, the input and the decisions of five
// services in three data centres. It guards against rounds that take a noticeable part of a core.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ gateways, servers int }{{28, 51}, {103, 180}, {400, 1900}} {
		b.Run(fmt.Sprintf("%d-gateways-%d-servers", size.gateways, size.servers), func(b *testing.B) {
			c := &fleet.Configuration{Version: 1, Services: make(map[string]*fleet.Service)}
			names := []string{"a", "b", "c", "d", "e"}
			for _, name := range names {
				c.Services[name] = &fleet.Service{Name: name, Scaling: &fleet.Scaling{Min: 1, Max: size.servers, Boot: 6 * time.Second}}
			}
			s := &fleet.Snapshot{Config: c, Services: make(map[string][]*fleet.Replica), Replicas: make(map[string]*fleet.Replica)}
			for i := range size.servers {
				r := &fleet.Replica{ID: fmt.Sprint("i-", i), Service: names[i%5], DataCentre: fmt.Sprint("dc-", i%3), Slots: 6}
				s.Replicas[r.ID], s.Services[r.Service] = r, append(s.Services[r.Service], r)
			}
			totals := make(map[string]autoscale.Totals)
			o := autoscale.NewObserver(autoscale.ObserverOptions{
				Host: "g0", DataCentre: "dc-0", Snapshot: func() *fleet.Snapshot { return s },
				Totals: func() map[string]autoscale.Totals { return totals }, InFlight: func(string) int { return 3 },
				Stalled: func(string) bool { return false }, Demanded: func(string, string) bool { return false },
				ListAge:  func(time.Duration) time.Duration { return 0 },
				Gateways: func() (int, int) { return size.gateways, size.gateways },
			})
			d, now := autoscale.NewDecider(), time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 250 * time.Millisecond
				totals = make(map[string]autoscale.Totals, len(names))
				for _, name := range names {
					totals[name] = autoscale.Totals{Work: now.Seconds()}
				}
				for i := 1; i < size.gateways; i++ {
					o.Receive(now, fmt.Sprint("g", i), "1", fmt.Sprint("dc-", i%3), totals)
				}
				for _, service := range o.Services(now) {
					d.Decide(now, service)
				}
			}
		})
	}
}
