package fleetgateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
)

func scaled(c *fleet.Configuration) { c.Services["s"].Scaling = &fleet.Scaling{Min: 1, Max: 4} }

var _ = Describe("the demand for services with scaling", func() {
	// Guards against a service that is never scaled because its requests or refusals are not counted, and against a request that is
	// counted once for each server it was sent to.
	It("counts each request of a plain service once, and the refused ones", func() {
		s := newTestGateway(route(idempotent, 4*time.Second), scaled)
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Shed: 1})
		other := s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		for range 6 {
			_, a := s.send(http.MethodGet, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusOK))
		}
		Expect(s.scaled.Totals()).To(HaveKeyWithValue("s", fleetgateway.ServiceTotals{Work: 6}))
		other.SetFaults(fake.ReplicaFaults{Shed: 1})
		_, a := s.send(http.MethodGet, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.scaled.Totals()).To(HaveKeyWithValue("s", fleetgateway.ServiceTotals{Work: 7, Refused: 1}))
	})

	// Guards against a cost for services that are not scaled.
	It("counts nothing without scaling", func() {
		s := newTestGateway(route(once, 4*time.Second))
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		_, a := s.send(http.MethodGet, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(s.scaled.Totals()).To(BeEmpty())
	})

	// Guards against servers that are ordered for prompts that no number of servers answers in time.
	It("does not count a prompt that is too long for an idle server as refused for lack of room", func() {
		s := newTestGateway(route(once, 4*time.Second), engine, scaled)
		s.addHolding("i-1", "s", "m")
		_, a := s.send(http.MethodGet, "/a/", map[string]string{"X-Model": "m", "X-Token-Usage": "1000,5"}, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(s.scaled.Totals()).To(HaveKeyWithValue("s", fleetgateway.ServiceTotals{Work: 1040}))
		_, a = s.send(http.MethodGet, "/a/", map[string]string{"X-Model": "m", "X-Token-Usage": "10000000,5"}, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.scaled.Totals()).To(HaveKeyWithValue("s", fleetgateway.ServiceTotals{Work: 10001080}))
	})

	// Guards against demand that is not seen while its requests wait, and against requests that are counted as waiting for ever.
	It("counts a request that waits for a turn at a cold server as waiting", func() {
		before, resume := make(chan string, 4), make(chan struct{}, 4)
		s := newGatewayWithAgent(&testAgent{before: before, resume: resume}, route(once, 4*time.Second), 1)
		s.configure(route(once, 4*time.Second), engine, scaled, func(c *fleet.Configuration) { c.Services["s"].ColdPerSecond = 1 })
		b := s.addBackend("i-1", http.NotFound)
		s.update(b, func(r *fleet.Replica) { r.Cold = time.Minute })
		s.awaitReport("i-1")
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer GinkgoRecover()
			s.send(http.MethodGet, "/a/", nil, "")
		}()
		Eventually(before, "3s").Should(Receive())
		Expect(s.scaled.Totals()).To(HaveKeyWithValue("s", fleetgateway.ServiceTotals{Work: 1, Waiting: 1}))
		resume <- struct{}{}
		Eventually(done, "5s").Should(BeClosed())
		Expect(s.scaled.Totals()).To(HaveKeyWithValue("s", fleetgateway.ServiceTotals{Work: 1}))
	})
})
