package agent_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetplanner"
)

var _ = Describe("the placement for a stalled host", func() {
	// Guards against a planner that counts the only copy of a model although its host is stalled, so that callers wait for
	// it. A dead agent alone must not cause a load.
	It("loads the host's model elsewhere only once the backend server is stalled too", func() {
		h := newHost("b")
		gateway, replica, view := h.newGateway()
		models := make(map[string]*fleet.Model)
		for _, name := range []string{"a", "b"} {
			models[name] = &fleet.Model{Name: name, WeightsMB: 90, AdapterMB: 1, Load: 100 * time.Millisecond}
		}
		engine := &fleet.Engine{Slots: 8, WeightsMB: 300, AdapterSlots: 2, LoadsPerSecond: 4, Models: models}
		view.SetConfiguration(&fleet.Configuration{
			Version: 1, Services: map[string]*fleet.Service{"s": {Name: "s", Engine: engine}},
		}, 1)
		replica.ListVersion = 2
		view.SetReplica(replica)
		view.SetReplica(&fleet.Replica{ // without an agent that answers
			ID: "i-2", Service: "s", Address: "127.0.0.9:1", ListVersion: 3, Models: []fleet.ResidentModel{{Name: "a"}},
		})
		log := slog.New(slog.DiscardHandler)
		lease := duty.NewLease(duty.LeaseOptions{
			Store: h.client, Host: "g", Incarnation: "1", Clock: bootclock.Now, Log: log,
			Demand: func() map[string]float64 { return nil }, OnAcquired: func(map[string]float64) {},
		})
		var stalled atomic.Bool
		planner := fleetplanner.New(fleetplanner.Options{
			View: view, Agents: gateway, Lease: lease, Clock: bootclock.Now, FirstStart: true, Log: log,
			PrefillRate: func(string) float64 { return 40 }, DemandTotals: func() map[string]float64 { return nil },
			Stalled: func(server string) bool { return server == "i-2" && stalled.Load() },
		})
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		for _, run := range []func(context.Context) error{lease.Run, planner.Run, gateway.Run} {
			done.Go(func() { _ = run(ctx) })
		}
		DeferCleanup(func() { cancel(); done.Wait() })
		Eventually(lease.Epoch, eventuallyTimeout).ShouldNot(BeZero())
		Consistently(h.models, time.Second).ShouldNot(ContainElement("a"))
		stalled.Store(true)
		Eventually(h.models, eventuallyTimeout).Should(ContainElement("a"))
	})
})
