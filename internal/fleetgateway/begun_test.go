package fleetgateway_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
)

// Guards against usage that is reported twice for a request that several servers ran, or for one that none ran, or not at all.
var _ = Describe("a request that began to run", func() {
	var mu sync.Mutex
	var counts map[string]int

	begun := func(r fleet.Route, opts fake.ReplicaOptions, faults ...fake.ReplicaFaults) (*testGateway, func() map[string]int) {
		counts = make(map[string]int)
		s := newTestGatewayWithOptions("1", func(o *fleetgateway.Options) {
			o.CountBegun = func(organisation string) {
				mu.Lock()
				defer mu.Unlock()
				counts[organisation]++
			}
		}, r)
		for i, f := range faults {
			s.add(string(rune('a'+i)), opts, f)
		}
		return s, func() map[string]int {
			mu.Lock()
			defer mu.Unlock()
			return map[string]int{"clerks": counts["clerks"], "": len(counts)}
		}
	}
	times := func(n int) map[string]int { return map[string]int{"clerks": n, "": min(n, 1)} }

	It("counts once for its organisation, also after another server's broken answer or a failure", func() {
		for _, f := range []fake.ReplicaFaults{{}, {Truncate: 1}, {Drop: 1}, {Fail: 1}, {Shed: 1}} {
			s, got := begun(route(idempotent, 2*time.Second), fake.ReplicaOptions{}, f, fake.ReplicaFaults{})
			for i := range 4 {
				_, a := s.send(http.MethodGet, "/a/", nil, "")
				Expect(a.status).To(Equal(http.StatusOK))
				Expect(got()).To(Equal(times(i + 1)))
			}
		}
	})

	It("counts with the first event of a stream, also when the stream breaks off and is resumed", func() {
		for _, f := range []fake.ReplicaFaults{{}, {Truncate: 1}} {
			s, got := begun(route(resumable, 2*time.Second), fake.ReplicaOptions{Events: 5}, f, fake.ReplicaFaults{})
			_, a := s.send(http.MethodPost, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(got()).To(Equal(times(1)))
		}
	})

	It("counts with the failure of a plain service that ran it, and not if no server ran it or it has no organisation", func() {
		s, got := begun(route(once, time.Second), fake.ReplicaOptions{}, fake.ReplicaFaults{Fail: 1})
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusInternalServerError))
		Expect(got()).To(Equal(times(1)))

		s, got = begun(route(once, time.Second), fake.ReplicaOptions{}, fake.ReplicaFaults{Shed: 1})
		_, a = s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got()).To(Equal(times(0)))

		public := route(once, time.Second)
		public.Public = true
		s, got = begun(public, fake.ReplicaOptions{}, fake.ReplicaFaults{})
		_, a = s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(got()).To(Equal(times(0)))
	})
})
