package fleetgateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

var _ = Describe("a request that may run once", func() {
	It("reaches the server unchanged, without the key and with its organisation", func() {
		s := newTestGateway(route(once, time.Second))
		server := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		id, a := s.send(http.MethodPost, "/a/%2e%2e//b?x=%41", map[string]string{"X-Tenant": "forged", "X-Hold": "h"}, "body")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.header.Get("X-Response-Signature")).To(Equal(fake.Signature(a.body)))
		runs, _ := server.Runs()
		Expect(runs).To(HaveLen(1))
		Expect(runs[0]).To(And(
			HaveField("ID", id), HaveField("Organisation", "clerks"), HaveField("Target", "/a/%2e%2e//b?x=%41"),
			HaveField("Body", "body"), HaveField("KeySeen", false)))
	})

	It("is not sent again after its answer was lost, and is not called not run", func() {
		s := newTestGateway(route(once, time.Second))
		first := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Drop: 1})
		second := s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{Drop: 1})
		id, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusBadGateway))
		Expect(runsOf(id, first, second)).To(Equal(1))
	})

	It("goes on to another server after one that did not run it, and after one that refuses connections", func() {
		s := newTestGateway(route(once, time.Second))
		s.list("i-0", unusedAddress(), false)
		full := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Shed: 1})
		free := s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		for range 6 {
			id, a := s.send(http.MethodPost, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(runsOf(id, full, free)).To(Equal(1))
		}
	})

	It("is refused as not run, with a time to return, when no server takes it", func() {
		s := newTestGateway(route(once, time.Second))
		full := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Shed: 1})
		id, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(a.header.Get("X-Response-Signature")).To(BeEmpty())
		Expect(runsOf(id, full)).To(Equal(0))
		Expect(s.lines(id)).NotTo(BeEmpty())
	})

	It("gets the server's own failure unchanged", func() {
		s := newTestGateway(route(once, time.Second))
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Fail: 1})
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusInternalServerError))
		Expect(a.header.Get("X-Response-Signature")).NotTo(BeEmpty())
	})

	It("gets its final answer at the route's timeout, not later", func() {
		s := newTestGateway(route(once, 200*time.Millisecond))
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Hang: 1})
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusGatewayTimeout))
		Expect(a.duration).To(BeNumerically(">=", 200*time.Millisecond))
		Expect(a.duration).To(BeNumerically("<", 700*time.Millisecond), "half a second is the platform's bound")
	})
})

var _ = Describe("a request that may run again", func() {
	It("is answered by another server after a lost, broken, unsigned or failed answer", func() {
		for _, f := range []fake.ReplicaFaults{{Drop: 1}, {Truncate: 1}, {Unsigned: 1}, {Fail: 1}} {
			s := newTestGateway(route(idempotent, 2*time.Second))
			s.add("i-1", fake.ReplicaOptions{}, f)
			s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
			for range 4 {
				_, a := s.send(http.MethodGet, "/a/", nil, "")
				Expect(a.status).To(Equal(http.StatusOK))
				Expect(a.header.Get("X-Response-Signature")).To(Equal(fake.Signature(a.body)))
			}
		}
	})

	It("gets a server's own failure when no other server takes it", func() {
		for _, second := range []fake.ReplicaFaults{{Shed: 1}, {Drop: 1}} {
			s := newTestGateway(route(idempotent, 2*time.Second))
			s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Fail: 1})
			_, a := s.send(http.MethodGet, "/a/", nil, "")
			s.add("i-2", fake.ReplicaOptions{}, second)
			for range 3 {
				Expect(a.status).To(Equal(http.StatusInternalServerError))
				Expect(a.header.Get("X-Response-Signature")).NotTo(BeEmpty())
				_, a = s.send(http.MethodGet, "/a/", nil, "")
			}
		}
	})

	// Guards against a request whose attempt is cancelled because its server is silent, although no other server
	// could take it.
	It("waits for a slow server when there is no other", func() {
		s := newTestGateway(route(idempotent, 3*time.Second))
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Slow: 900 * time.Millisecond})
		_, a := s.send(http.MethodGet, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
	})

	It("goes to another server when its server is silent", func() {
		s := newTestGateway(route(idempotent, 4*time.Second))
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Hang: 1})
		s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		for range 2 {
			_, a := s.send(http.MethodGet, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusOK))
		}
	})
})

var _ = Describe("a stream", func() {
	events := fake.ReplicaOptions{Events: 6, Pause: 5 * time.Millisecond}

	It("passes on as the server made it", func() {
		s := newTestGateway(route(stream, 2*time.Second))
		s.add("i-1", events, fake.ReplicaFaults{})
		id, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(fake.Body(id, 0, 6)))
	})

	It("does not look whole when it broke off and may not be resumed", func() {
		s := newTestGateway(route(stream, 2*time.Second))
		first := s.add("i-1", events, fake.ReplicaFaults{Truncate: 1})
		id, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.err).To(HaveOccurred())
		Expect(a.body).To(Equal(fake.Body(id, 0, 3)), "only whole events")
		Expect(runsOf(id, first)).To(Equal(1))
	})

	It("goes on at another server without a lost or repeated event when it may be resumed", func() {
		s := newTestGateway(route(resumable, 2*time.Second))
		s.add("i-1", events, fake.ReplicaFaults{Truncate: 1})
		s.add("i-2", events, fake.ReplicaFaults{})
		for range 3 {
			id, a := s.send(http.MethodPost, "/a/", nil, "")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(fake.Body(id, 0, 6)))
			Expect(a.header.Get("X-Response-Signature")).To(Equal(fake.Signature(a.body)))
		}
	})

	It("ends at the server when the caller leaves", func() {
		s := newTestGateway(route(stream, 5*time.Second))
		server := s.add("i-1", fake.ReplicaOptions{Events: 1000, Pause: 5 * time.Millisecond}, fake.ReplicaFaults{})
		client := http.Client{Timeout: 100 * time.Millisecond}
		r, err := http.NewRequest(http.MethodPost, s.url+"/a/", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "crew.example"
		r.Header.Set("Authorization", "Bearer key")
		r.Header.Set("X-Request-Id", "leaves")
		resp, err := client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, 1<<16)
		for err == nil {
			_, err = resp.Body.Read(buffer)
		}
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(s.server.Active, 2*time.Second).Should(BeEquivalentTo(0))
		runs, _ := server.Runs()
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Whole).To(BeFalse())
	})
})

var _ = Describe("admission", func() {
	It("answers unknown routes, keys and bodies that are too long", func() {
		s := newTestGateway(route(once, time.Second), func(c *fleet.Configuration) { c.Limits.BodyBytes = 10 })
		server := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		for _, c := range []struct {
			path, key, body string
			status          int
		}{
			{"/other/", "key", "", http.StatusNotFound},
			{"/a/", "stolen", "", http.StatusUnauthorized},
			{"/a/", "", "", http.StatusUnauthorized},
			{"/a/", "key", "more than ten bytes", http.StatusRequestEntityTooLarge},
		} {
			_, a := s.send(http.MethodPost, c.path, map[string]string{"Authorization": "Bearer " + c.key}, c.body)
			Expect(a.status).To(Equal(c.status), "%+v", c)
		}
		runs, _ := server.Runs()
		Expect(runs).To(BeEmpty())
	})

	It("serves public routes without a key, and the newest configuration only", func() {
		public := route(once, time.Second)
		public.Public = true
		s := newTestGateway(public)
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		_, a := s.send(http.MethodPost, "/a/", map[string]string{"Authorization": ""}, "")
		Expect(a.status).To(Equal(http.StatusOK))
		s.configure(route(once, time.Second), func(c *fleet.Configuration) { c.Keys = nil })
		_, a = s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusUnauthorized))
	})

	It("keeps an organisation to its burst and rate, by tokens, and refunds what did not run", func() {
		limited := func(c *fleet.Configuration) {
			c.Organisations["clerks"] = &fleet.Organisation{
				Name: "clerks", Rate: 100, Burst: 1000, ByTokens: true, DefaultTokens: 10}
		}
		s := newTestGateway(route(once, time.Second), limited)
		tokens := map[string]string{"X-Token-Usage": "300,100"}
		_, a := s.send(http.MethodPost, "/a/", tokens, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable), "no server yet")
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		for range 2 {
			_, a = s.send(http.MethodPost, "/a/", tokens, "")
			Expect(a.status).To(Equal(http.StatusOK))
		}
		_, a = s.send(http.MethodPost, "/a/", tokens, "")
		Expect(a.status).To(Equal(http.StatusTooManyRequests))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("keeps to the data centres and servers that are in service", func() {
		s := newTestGateway(route(once, time.Second))
		server := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		s.view.SetOutOfService("a", true, 1000)
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		runs, _ := server.Runs()
		Expect(runs).To(BeEmpty())
		s.view.SetOutOfService("a", false, 1001)
		_, a = s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
	})

	It("is not ready and refuses as not run while it knows no configuration", func() {
		s := newTestGateway(route(once, time.Second))
		Expect(s.server.Ready()).To(BeFalse(), "no server is listed")
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		Expect(s.server.Ready()).To(BeTrue())
		s.server.Drain()
		Expect(s.server.Ready()).To(BeFalse())
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK), "requests that still arrive are served for a while")
	})

	// Guards against a draining gateway that accepts requests on kept connections until its process ends with them.
	It("refuses requests as not run once it has been stopping for 2.5 s", func() {
		s := newTestGateway(route(once, time.Second))
		server := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		s.server.Drain()
		s.clockOffset.Store(int64(2400 * time.Millisecond))
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.connectionClosed).To(BeTrue(), "the caller is to come back elsewhere")
		s.clockOffset.Store(int64(3 * time.Second))
		id, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runsOf(id, server)).To(Equal(0))
	})

	// The examples of docs/OPERATIONS.md: finding the cause of a failure from a request's ID.
	It("logs why a request was refused, late or broken off", func() {
		s := newTestGateway(route(stream, 300*time.Millisecond))
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		s.add("i-1", fake.ReplicaOptions{Events: 4, Pause: 5 * time.Millisecond}, fake.ReplicaFaults{Truncate: 1})
		refused := s.lines(`"request_id":"` + a.header.Get("X-Request-Id") + `"`)
		Expect(refused).To(ContainElement(And(ContainSubstring("request ended"), ContainSubstring("no_candidate"))))

		broken, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.err).To(HaveOccurred())
		Expect(s.lines(broken)).To(ContainElement(And(ContainSubstring("server chosen"), ContainSubstring("i-1"))))
		Expect(s.lines(broken)).To(ContainElement(And(ContainSubstring("attempt failed"), ContainSubstring("outcome_unknown"))))

		late := newTestGateway(route(once, 200*time.Millisecond))
		late.add("i-9", fake.ReplicaOptions{}, fake.ReplicaFaults{Hang: 1})
		id, a := late.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusGatewayTimeout))
		Expect(late.lines(id)).To(ContainElement(And(ContainSubstring("request ended"), ContainSubstring("deadline_exceeded"),
			ContainSubstring("i-9"))))
	})
})

var _ = Describe("a frozen host", func() {
	// Guards against requests that wait most of their time at a server that sends nothing to any gateway, because a
	// single silent response is given up only after seconds.
	It("loses its requests to another server as soon as it is overdue for all of them", func() {
		r := route(idempotent, 8*time.Second)
		r.Target = 6 * time.Second // half of it is the time-out for one silent server
		s := newTestGateway(r)
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Hang: 1})
		s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		for range 2 {
			_, a := s.send(http.MethodGet, "/a/", map[string]string{"X-Deadline-Ms": "8000"}, "")
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.duration).To(BeNumerically("<", 2*time.Second), "the time-out for a silent server is 3 s")
		}
	})
})

var _ = Describe("a server whose address another one took over", func() {
	// Guards against requests that go first to every server of the time before a restart, because the list still has
	// them.
	It("gets one request and no more for five seconds or until the list says something new of it", func() {
		s := newTestGateway(route(once, time.Second))
		// It is slow, so that the other server is preferred.
		now := s.add("i-new", fake.ReplicaOptions{}, fake.ReplicaFaults{Slow: 100 * time.Millisecond})
		address := s.view.Snapshot().Replicas["i-new"].Address
		s.version++
		s.view.SetReplica(&fleet.Replica{
			ID: "i-a", Service: "s", Address: address, DataCentre: "a", Slots: 64, ListVersion: s.version})
		for range 8 {
			_, a := s.send(http.MethodPost, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusOK))
		}
		runs, _ := now.Runs()
		Expect(runs).To(HaveLen(8))
		Expect(s.lines("server did not run the request")).To(HaveLen(1))
		s.clockOffset.Add(int64(6 * time.Second))
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(s.lines("server did not run the request")).To(HaveLen(2),
			"one wrong response does not exclude a server permanently")
	})
})
