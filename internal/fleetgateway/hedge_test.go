package fleetgateway_test

import (
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
)

// hedging is a gateway that knows the usual time of its service, which has a near server and one in another data centre.
type hedging struct {
	*testGateway
	metrics   *fleetgateway.Metrics
	near, far *fake.Replica
}

// usualRequests is the number of requests that newHedging sends.
const usualRequests = 120

func newHedging(kind, farSlots int) *hedging {
	GinkgoHelper()
	h := &hedging{}
	h.testGateway = newTestGatewayWithOptions("1", func(o *fleetgateway.Options) { h.metrics = o.Metrics }, route(kind, 9*time.Second))
	h.near = h.serve("near", "a", 100)
	for range usualRequests {
		_, a := h.send(http.MethodGet, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
	}
	h.far = h.serve("far", "b", farSlots)
	return h
}

func (h *hedging) serve(id, dataCentre string, slots int) *fake.Replica {
	GinkgoHelper()
	replica := fake.NewReplica(fake.ReplicaOptions{ID: id, Service: "s", Slots: 100})
	backend := httptest.NewServer(replica.Handler())
	DeferCleanup(backend.Close)
	h.version++
	h.view.SetReplica(&fleet.Replica{ID: id, Service: "s", Address: backend.Listener.Addr().String(), DataCentre: dataCentre,
		Slots: slots, ListVersion: h.version})
	return replica
}

func (h *hedging) count(name string) int {
	v := h.metrics.Vars()["hedges"].(*expvar.Map).Get(name)
	if v == nil {
		return 0
	}
	n, err := strconv.Atoi(v.String())
	Expect(err).NotTo(HaveOccurred())
	return n
}

var _ = Describe("a plain request whose server is late beyond what is usual", func() {
	const notReplaced = 300 * time.Millisecond // a silent server is replaced after 350 ms
	silent := func(d time.Duration) fake.ReplicaFaults { return fake.ReplicaFaults{SilentHead: 1, Silence: d} }

	// Guards against a repeatable request that waits for one slow server although another one is free.
	It("is answered by a second server if it may be repeated", func() {
		h := newHedging(idempotent, 100)
		h.near.SetFaults(silent(1300 * time.Millisecond))
		id, a := h.send(http.MethodGet, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.duration).To(BeNumerically("<", notReplaced))
		Expect(runsOf(id, h.near)).To(Equal(1))
		Expect(runsOf(id, h.far)).To(Equal(1))
		Expect(h.count("sent")).To(Equal(1))
		Expect(h.count("answered_first")).To(Equal(1))
	})

	// Guards against a request that runs twice although it must not.
	It("waits if it may run only once", func() {
		h := newHedging(once, 100)
		h.near.SetFaults(silent(700 * time.Millisecond))
		id, a := h.send(http.MethodGet, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.duration).To(BeNumerically(">=", 700*time.Millisecond))
		Expect(runsOf(id, h.near, h.far)).To(Equal(1))
		Expect(h.count("sent")).To(BeZero())
	})

	// Guards against hedges that add load to servers without a free slot.
	It("waits while no other server has a free slot", func() {
		h := newHedging(idempotent, 0)
		h.near.SetFaults(silent(250 * time.Millisecond))
		_, a := h.send(http.MethodGet, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(h.count("sent")).To(BeZero())
	})

	// Guards against hedges that multiply an overload: when all requests are late, few of them are hedged.
	It("is hedged only within a share of the service's requests", func() {
		const late = 40
		h := newHedging(idempotent, 100)
		h.near.SetFaults(silent(250 * time.Millisecond))
		h.far.SetFaults(silent(250 * time.Millisecond))
		var all sync.WaitGroup
		for i := range late {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(h.sendAs(fmt.Sprint("late-", i), http.MethodGet, "/a/", nil, "").status).To(Equal(http.StatusOK))
			})
		}
		all.Wait()
		Expect(h.count("sent")).To(And(BeNumerically(">", 0), BeNumerically("<=", (usualRequests+late)/20)))
	})
})
