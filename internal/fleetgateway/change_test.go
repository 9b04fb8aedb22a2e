package fleetgateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// changes are changes of the configuration beside a request on route r that a server runs.
var changes = map[string]func(s *testGateway, r fleet.Route){
	"route moved": func(s *testGateway, r fleet.Route) {
		r.Targets = []fleet.Target{{Service: "t", Weight: 1}}
		s.configure(r, func(c *fleet.Configuration) { c.Services["t"] = &fleet.Service{Name: "t"} })
	},
	"route removed":   func(s *testGateway, r fleet.Route) { s.configure(r, func(c *fleet.Configuration) { c.Routes = nil }) },
	"service removed": func(s *testGateway, r fleet.Route) { s.configure(r, func(c *fleet.Configuration) { c.Services = nil }) },
	"key removed":     func(s *testGateway, r fleet.Route) { s.configure(r, func(c *fleet.Configuration) { c.Keys = nil }) },
	"key moved": func(s *testGateway, r fleet.Route) {
		s.configure(r, func(c *fleet.Configuration) {
			c.Organisations["other"] = &fleet.Organisation{Name: "other", Rate: 1e-3, Burst: 1e-3}
			c.Keys[fleet.DigestKey("key")] = "other"
		})
	},
	"limit lowered": func(s *testGateway, r fleet.Route) {
		s.configure(r, func(c *fleet.Configuration) {
			c.Organisations["clerks"].Rate, c.Organisations["clerks"].Burst = 1e-3, 1e-3
		})
	},
	"timeout lowered": func(s *testGateway, r fleet.Route) { r.Timeout = 100 * time.Millisecond; s.configure(r) },
	"body limit lowered": func(s *testGateway, r fleet.Route) {
		s.configure(r, func(c *fleet.Configuration) { c.Limits.BodyBytes = 1 })
	},
	"attempts lowered": func(s *testGateway, r fleet.Route) { r.MaxAttempts = 1; s.configure(r) },
	"too old":          func(s *testGateway, _ fleet.Route) { s.stale.Store(true) },
	"behind":           func(s *testGateway, r fleet.Route) { s.behind.Store(true); s.configure(r) },
	"server draining": func(s *testGateway, _ fleet.Route) {
		replica := *s.view.Snapshot().Replicas["i-1"]
		s.list("i-1", replica.Address, true)
	},
	"server removed": func(s *testGateway, _ fleet.Route) {
		s.version++
		Expect(s.view.RemoveReplica("i-1", s.version, 0)).To(BeTrue())
		s.server.ForgetServers([]string{"i-1"})
	},
	"data centre out": func(s *testGateway, _ fleet.Route) {
		s.version++
		s.view.SetOutOfService("a", true, s.version)
	},
}

// Guards against a change of the configuration or of the list of servers that ends a request in progress.
var _ = Describe("a request that a sound server runs while the configuration changes", func() {
	const silence = 1100 * time.Millisecond
	DescribeTable("gets its whole answer", func(kind int, faults fake.ReplicaFaults) {
		var done sync.WaitGroup
		defer done.Wait()
		for name, change := range changes {
			r := route(kind, 5*time.Second)
			s := newTestGateway(r)
			options := fake.ReplicaOptions{}
			if r.Repeat == fleet.Stream {
				options = fake.ReplicaOptions{Events: 6, Pause: 50 * time.Millisecond}
			}
			server := s.add("i-1", options, faults)
			backend := httptest.NewServer(fake.NewReplica(fake.ReplicaOptions{ID: "i-2", Service: "s"}).Handler()) // full
			DeferCleanup(backend.Close)
			done.Go(func() {
				defer GinkgoRecover()
				changed := make(chan struct{})
				go func() {
					defer GinkgoRecover()
					defer close(changed)
					Eventually(func() int { runs, _ := server.Runs(); return len(runs) }, "3s", "5ms").Should(Equal(1))
					s.list("i-2", backend.Listener.Addr().String(), false)
					change(s, r)
				}()
				id := fmt.Sprintf("change-%d-%s", kind, name)
				a := s.sendAs(id, http.MethodPost, "/a/", map[string]string{"X-Deadline-Ms": "5000"}, "body")
				<-changed
				Expect(a.err).NotTo(HaveOccurred(), name)
				Expect(a.status).To(Equal(http.StatusOK), "%s: %s", name, a.body)
				if r.Repeat == fleet.Stream {
					Expect(a.body).To(Equal(fake.Body(id, 0, 6)), name)
				}
			})
		}
	},
		Entry("once", once, fake.ReplicaFaults{}),
		Entry("once, beside a silence", once, fake.ReplicaFaults{SilentHead: 1, Silence: silence}),
		Entry("idempotent, beside a silence", idempotent, fake.ReplicaFaults{SilentHead: 1, Silence: silence}),
		Entry("stream", stream, fake.ReplicaFaults{}),
		Entry("stream, beside a silence", stream, fake.ReplicaFaults{SilentBody: 1, Silence: silence}),
		Entry("resumable stream", resumable, fake.ReplicaFaults{}),
		Entry("resumable stream, beside a silence", resumable, fake.ReplicaFaults{SilentBody: 1, Silence: silence}),
	)
})

// Guards against a second run that the configuration in force does not allow, because the route allowed it when the request arrived.
var _ = DescribeTable("a route that allows only one run since the request arrived", func(change func(*fleet.Route)) {
	s := newTestGateway(route(idempotent, 4*time.Second))
	first := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Drop: 1})
	second := s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{Drop: 1})
	changed := route(idempotent, 4*time.Second)
	change(&changed)
	onDial := func() { s.configure(changed) }
	s.onDial.Store(&onDial)
	id, a := s.send(http.MethodPost, "/a/", nil, "")
	Expect(a.status).To(Equal(http.StatusBadGateway))
	Expect(runsOf(id, first, second)).To(Equal(1))
},
	Entry("by its type", func(r *fleet.Route) { r.Repeat = fleet.Once }),
	Entry("by its number of attempts", func(r *fleet.Route) { r.MaxAttempts = 1 }),
)
