package fleetgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

// contended is a gateway in front of one engine, whose load a test sets.
type contended struct {
	*testGateway
	backend *backend
	table   *fleetroute.Table
	limits  *fleetgateway.Limits
}

// contendedRoute is a streaming route with the given target. The service is covered if the timeout is at least 16 times as long.
func contendedRoute(target, timeout time.Duration) fleet.Route {
	r := route(resumable, timeout)
	r.Target, r.MaxEventGap = target, 0
	return r
}

// withEngine makes the service one of model engines, and the organisation's limit one of tokens.
func withEngine(c *fleet.Configuration) {
	c.Services["s"].Engine = &fleet.Engine{Slots: 8, CacheTokens: 1e6, Models: map[string]*fleet.Model{"m": {Name: "m"}}}
	*c.Organisations["clerks"] = fleet.Organisation{Name: "clerks", Rate: 1e6, Burst: 1e6, ByTokens: true}
}

func newContended(r fleet.Route) *contended {
	GinkgoHelper()
	s := &contended{}
	s.testGateway = newTestGatewayWithOptions("1", func(o *fleetgateway.Options) { s.table, s.limits = o.Table, o.Limits }, r, withEngine)
	s.backend = s.addBackend("i-1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("data: x\n\n")) }, "m")
	return s
}

// setWait sets the wait ahead at the engine, as another gateway's load. It counts for two seconds.
func (s *contended) setWait(wait time.Duration) {
	const defaultRate = 40 // prompt tokens per millisecond
	s.table.UpdatePeer("g-2", bootclock.Now(), map[string]fleetroute.Load{
		"i-1": {InFlight: 1, Prefill: float64(wait.Milliseconds() * defaultRate)},
	}, true)
}

// waitingRequest sends a request that waits for room, and returns the channel that gets the response.
func (s *contended) waitingRequest(id string) <-chan response {
	GinkgoHelper()
	done := s.inBackground(id, map[string]string{"X-Model": "m", "X-Token-Usage": "100,100"})
	Eventually(s.server.Waiting, "1s", "1ms").Should(BeEquivalentTo(1))
	Expect(s.lines("request waits for room")).To(HaveLen(1))
	return done
}

func (s *contended) charged() (units int64) {
	for _, u := range s.limits.Use() {
		units += u.GetUsed()
	}
	return units
}

var _ = Describe("a request whose wait at the engine exceeds its allowance", func() {
	// The allowance is 1.8 s, and 2.5 s are within 0.8 of the deadline.
	const target, covered, wait = 3 * time.Second, 48 * time.Second, 2500 * time.Millisecond

	// Guards against requests that stay in the queue although there is room.
	It("waits, and is sent when room appears", func() {
		s := newContended(contendedRoute(target, covered))
		s.setWait(wait)
		done := s.waitingRequest("waits")
		Consistently(s.backend.received.Load, "100ms", "10ms").Should(BeZero())
		s.setWait(0)
		a := <-done
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.duration).To(BeNumerically("<", time.Second), "the load of the other gateway counts for 2 s")
		Expect(s.server.Waiting()).To(BeZero())
		Expect(s.backend.received.Load()).To(BeEquivalentTo(1))
	})

	// Guards against requests that are sent after their callers left, and against places in the queue that are never given back.
	It("leaves the queue when its caller disconnects", func() {
		s := newContended(contendedRoute(target, covered))
		s.setWait(wait)
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/a/", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "crew.example"
		r.Header.Set("Authorization", "Bearer key")
		r.Header.Set("X-Model", "m")
		go func() { _, _ = http.DefaultClient.Do(r) }() // it fails when the request is cancelled
		Eventually(s.server.Waiting, "1s", "1ms").Should(BeEquivalentTo(1))
		cancel()
		Eventually(s.server.Waiting, "1s", "1ms").Should(BeZero())
		s.setWait(0)
		Consistently(s.backend.received.Load, "100ms", "10ms").Should(BeZero())
	})

	// Guards against a graceful shutdown that loses waiting requests, or that they hold up.
	It("is still sent while the gateway drains, and refused as not run when the process ends", func() {
		s := newContended(contendedRoute(target, covered))
		s.setWait(wait)
		done := s.waitingRequest("drains")
		s.server.Drain()
		Consistently(done, "100ms").ShouldNot(Receive())
		s.setWait(0)
		a := <-done
		Expect(a.status).To(Equal(http.StatusOK))

		other := newContended(contendedRoute(target, covered))
		other.setWait(wait)
		done = other.waitingRequest("ends")
		other.server.EndRequests()
		a = <-done
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(other.charged()).To(BeZero())
		Expect(other.backend.received.Load()).To(BeZero())
	})

	// Guards against waiting requests that are held until their deadline without a chance, and against a charge for what did not run.
	It("is refused with the time at which room is expected, and not charged, when it is late and there is no room for long", func() {
		refused := func(s *contended, a response, retryAfter time.Duration) {
			GinkgoHelper()
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			Expect(a.body).To(ContainSubstring("deadline_unreachable"))
			Expect(strconv.ParseFloat(a.header.Get("Retry-After"), 64)).To(BeNumerically("~", retryAfter.Seconds(), 0.2))
			Expect(a.duration).To(BeNumerically("<", 1900*time.Millisecond), "before the load of the other gateway ends")
			Expect(s.charged()).To(BeZero())
			Expect(s.backend.received.Load()).To(BeZero())
			Expect(s.lines("request refused: no room")).To(HaveLen(1))
		}
		s := newContended(contendedRoute(time.Millisecond, time.Second*4)) // its own prompt takes longer than the target
		s.setWait(wait)
		_, a := s.send(http.MethodPost, "/a/", map[string]string{"X-Model": "m", "X-Token-Usage": "100,100"}, "")
		refused(s, a, wait)
		Expect(s.lines("request waits for room")).To(BeEmpty(), "the wait ahead exceeds the time for which it may be held")

		const shortWait = 300 * time.Millisecond
		s = newContended(contendedRoute(250*time.Millisecond, time.Second*4))
		s.setWait(shortWait)
		done := s.inBackground("late", map[string]string{"X-Model": "m", "X-Token-Usage": "12000,100"})
		refused(s, <-done, shortWait)
		Expect(s.lines("request waits for room")).To(HaveLen(1), "room was expected in time at first")
	})

	// Guards against queues that hold as many requests as callers send.
	It("is refused at once if the queue is full", func() {
		const bound = 128
		s := newContended(contendedRoute(target, covered))
		s.setWait(wait)
		var waiting []<-chan response
		for i := range bound {
			waiting = append(waiting, s.inBackground(fmt.Sprint("waiting-", i), map[string]string{"X-Model": "m", "X-Token-Usage": "100,100"}))
		}
		Eventually(s.server.Waiting, "1500ms", "5ms").Should(BeEquivalentTo(bound))
		_, a := s.send(http.MethodPost, "/a/", map[string]string{"X-Model": "m", "X-Token-Usage": "100,100"}, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.body).To(ContainSubstring("overloaded"))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(s.charged()).To(BeEquivalentTo(bound * 200))
		s.server.EndRequests()
		for _, done := range waiting {
			a := <-done
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(s.charged()).To(BeZero())
		Expect(s.server.Waiting()).To(BeZero())
	})

	// Guards against changes of services whose deadlines are near their targets.
	It("is sent at once if its service is not covered", func() {
		s := newContended(contendedRoute(target, covered-time.Millisecond))
		s.setWait(wait)
		_, a := s.send(http.MethodPost, "/a/", map[string]string{"X-Model": "m"}, "")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.duration).To(BeNumerically("<", time.Second))
		Expect(s.lines("waits for room")).To(BeEmpty())
	})

	// Guards against waiting requests that do not follow the configuration.
	It("follows a change of the configuration", func() {
		s := newContended(contendedRoute(target, covered))
		s.setWait(wait)
		done := s.waitingRequest("changes")
		s.configure(contendedRoute(target, time.Second*4), withEngine) // no longer covered
		a := <-done
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.duration).To(BeNumerically("<", time.Second))

		s.configure(contendedRoute(target, covered), withEngine)
		s.setWait(wait)
		done = s.inBackground("withdrawn", map[string]string{"X-Model": "m"})
		Eventually(s.server.Waiting, "1s", "1ms").Should(BeEquivalentTo(1))
		s.configure(contendedRoute(target, covered), withEngine, func(c *fleet.Configuration) { c.Keys = nil })
		a = <-done
		Expect(a.status).To(Equal(http.StatusUnauthorized))
		Expect(a.duration).To(BeNumerically("<", time.Second))
		Expect(s.backend.received.Load()).To(BeEquivalentTo(1))
	})
})
