package fleetgateway_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// engine describes service s, whose model m takes a second to load.
func engine(c *fleet.Configuration) {
	c.Services["s"].Engine = &fleet.Engine{Slots: 8, CacheTokens: 1 << 20,
		Models: map[string]*fleet.Model{"m": {Name: "m", Load: time.Second}}}
}

// addHolding starts a server of a service that holds the given models.
func (s *testGateway) addHolding(id, service string, models ...string) *fake.Replica {
	GinkgoHelper()
	replica := fake.NewReplica(fake.ReplicaOptions{ID: id, Service: service, Slots: 8, Models: models})
	backend := httptest.NewServer(replica.Handler())
	DeferCleanup(backend.Close)
	s.setHolding(id, service, backend.Listener.Addr().String(), models...)
	return replica
}

func (s *testGateway) setHolding(id, service, address string, models ...string) {
	s.version++
	r := &fleet.Replica{ID: id, Service: service, Address: address, DataCentre: "a", Slots: 8, ListVersion: s.version}
	for _, m := range models {
		r.Models = append(r.Models, fleet.ResidentModel{Name: m})
	}
	s.view.SetReplica(r)
	s.server.FleetChanged()
}

// suspend lets the clock that runs during a suspension of the host pass the deadlines of all requests.
func suspend(s *testGateway) { s.clockOffset.Add(int64(time.Minute)) }

var _ = Describe("a request that waits while the configuration changes", func() {
	toT := func() fleet.Route {
		r := route(once, 4*time.Second)
		r.Targets = []fleet.Target{{Service: "t", Weight: 1}}
		return r
	}
	withT := func(c *fleet.Configuration) { c.Services["t"] = &fleet.Service{Name: "t"} }

	// Guards against a request that reaches a server by a configuration that was replaced while the request waited.
	DescribeTable("is sent as the new configuration says", func(change func(*testGateway), status, runsAtT int) {
		s := newTestGateway(route(once, 4*time.Second), engine, withT)
		other := s.addHolding("t-1", "t", "m")
		s.setHolding("s-0", "s", unusedAddress()) // lacks the model
		added := make(chan *fake.Replica, 1)
		go func() {
			defer GinkgoRecover()
			// The demand is counted when the request begins to wait for the model.
			Eventually(s.demand.Totals, "3s", "5ms").ShouldNot(BeEmpty())
			change(s)
			added <- s.addHolding("s-1", "s", "m")
		}()
		id, a := s.send(http.MethodPost, "/a/", map[string]string{"X-Model": "m", "X-Token-Usage": "10,10"}, "")
		holder := <-added
		Expect(a.status).To(Equal(status))
		Expect(runsOf(id, holder)).To(Equal(0), "runs by the old configuration")
		Expect(runsOf(id, other)).To(Equal(runsAtT))
		if status == http.StatusServiceUnavailable {
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		}
	},
		Entry("which moves the route to another service", func(s *testGateway) { s.configure(toT(), withT) },
			http.StatusOK, 1),
		Entry("which removes the route", func(s *testGateway) {
			s.configure(toT(), func(c *fleet.Configuration) { c.Routes = nil })
		}, http.StatusNotFound, 0),
		Entry("which removes the key", func(s *testGateway) {
			s.configure(route(once, 4*time.Second), engine, func(c *fleet.Configuration) { c.Keys = nil })
		}, http.StatusUnauthorized, 0),
		Entry("and becomes too old", func(s *testGateway) { s.stale.Store(true) }, http.StatusServiceUnavailable, 0),
		Entry("unless its deadline passes while the host is suspended", suspend, http.StatusServiceUnavailable, 0),
	)

	// Guards against a request that reaches a server although its reason to go there ended while the connection was opened.
	DescribeTable("is checked again after its connection was opened", func(change func(*testGateway), status, runsAtT int) {
		s := newTestGateway(route(once, 4*time.Second), withT)
		other, holder := s.addHolding("t-1", "t"), s.addHolding("s-1", "s")
		onDial := func() { change(s) }
		s.onDial.Store(&onDial)
		id, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(status))
		Expect(runsOf(id, holder)).To(Equal(0))
		Expect(runsOf(id, other)).To(Equal(runsAtT))
	},
		Entry("when the route moves to another service", func(s *testGateway) { s.configure(toT(), withT) }, http.StatusOK, 1),
		Entry("when the server leaves", func(s *testGateway) { s.list("s-1", unusedAddress(), true) },
			http.StatusServiceUnavailable, 0),
		Entry("when the data centre goes out of service", func(s *testGateway) {
			s.version++
			s.view.SetOutOfService("a", true, s.version)
		}, http.StatusServiceUnavailable, 0),
		Entry("when the key is withdrawn", func(s *testGateway) {
			s.configure(route(once, 4*time.Second), withT, func(c *fleet.Configuration) { c.Keys = nil })
		}, http.StatusUnauthorized, 0),
		Entry("when the configuration becomes too old", func(s *testGateway) { s.stale.Store(true) },
			http.StatusServiceUnavailable, 0),
		Entry("when its deadline passes while the host is suspended", suspend, http.StatusServiceUnavailable, 0),
	)
})

var _ = Describe("a gateway without the newest configuration", func() {
	// Guards against 404 and 401 for routes and keys that the newest configuration has.
	It("does not say that a route or a key does not exist", func() {
		s := newTestGateway(route(idempotent, time.Second))
		replica := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		other := map[string]string{"Authorization": "Bearer new"}
		for behind, statuses := range map[bool][]int{
			false: {http.StatusOK, http.StatusNotFound, http.StatusUnauthorized},
			true:  {http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		} {
			s.behind.Store(behind)
			_, known := s.send(http.MethodGet, "/a/", nil, "")
			_, route := s.send(http.MethodGet, "/new/", nil, "")
			_, key := s.send(http.MethodGet, "/a/", other, "")
			Expect([]int{known.status, route.status, key.status}).To(Equal(statuses))
		}
		s.stale.Store(true)
		id, a := s.send(http.MethodGet, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(runsOf(id, replica)).To(Equal(0))
	})

	// Guards against 413 and 401 for a body that the newest configuration allows and a route that it makes public.
	It("does not say that a body is too large or a key is missing", func() {
		s := newTestGateway(route(idempotent, time.Second), func(c *fleet.Configuration) { c.Limits.BodyBytes = 10 })
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		_, a := s.send(http.MethodPost, "/a/", nil, "eleven byte")
		Expect(a.status).To(Equal(http.StatusRequestEntityTooLarge))
		_, a = s.send(http.MethodGet, "/a/", map[string]string{"Authorization": ""}, "")
		Expect(a.status).To(Equal(http.StatusUnauthorized))
		s.behind.Store(true)
		_, a = s.send(http.MethodGet, "/a/", map[string]string{"Authorization": ""}, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		_, a = s.send(http.MethodPost, "/a/", nil, "eleven byte")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		_, a = s.send(http.MethodPost, "/a/", nil, "ten bytes.")
		Expect(a.status).To(Equal(http.StatusOK))
	})
})
