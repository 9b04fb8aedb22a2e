package fleetgateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// sendBeside sends a request, and calls beside once server has begun to run it.
func (s *testGateway) sendBeside(server *fake.Replica, method string, beside func()) (id string, a response) {
	GinkgoHelper()
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Eventually(func() int { runs, _ := server.Runs(); return len(runs) }, "3s", "5ms").Should(Equal(1))
		beside()
	}()
	id, a = s.send(method, "/a/", map[string]string{"X-Deadline-Ms": "8500"}, "")
	<-done
	return id, a
}

// addSlow adds a server that pauses before each event of a stream but the first.
func (s *testGateway) addSlow(id string, events int, pause time.Duration, started chan<- struct{}) {
	GinkgoHelper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", request)
		w.Header().Set("X-Response-Signature", fake.Signature(fake.Body(request, 0, events)))
		for i := range events {
			if i > 0 {
				select {
				case <-time.After(pause):
				case <-r.Context().Done():
					return
				}
			}
			_, _ = io.WriteString(w, fake.Event(request, i)) // the gateway may have left
			_ = http.NewResponseController(w).Flush()
			if i == 0 {
				started <- struct{}{}
			}
		}
	}))
	DeferCleanup(backend.Close)
	s.list(id, backend.Listener.Addr().String(), false)
}

// Guards against an answer that is cut, or replaced by an error, because its sound server was silent for a while.
var _ = Describe("the answer of a sound server that is silent for a while", func() {
	const streamSilence, silence = 1800 * time.Millisecond, 1300 * time.Millisecond
	events := fake.ReplicaOptions{Events: 6, Pause: 5 * time.Millisecond}
	reject := func(s *testGateway) { s.add("i-2", events, fake.ReplicaFaults{Shed: 1}) }
	fail := func(s *testGateway) { s.add("i-2", events, fake.ReplicaFaults{Fail: 1}) }
	hang := func(s *testGateway) { s.add("i-2", events, fake.ReplicaFaults{Hang: 1}) }
	refuse := func(s *testGateway) { s.list("i-2", unusedAddress(), false) }
	breakOff := func(s *testGateway) { s.add("i-2", events, fake.ReplicaFaults{Drop: 1}) }
	stale := func(s *testGateway) {
		s.add("i-2", events, fake.ReplicaFaults{})
		s.stale.Store(true)
	}
	answerEmpty := func(s *testGateway) { // the stream ends with its connection
		s.addBackend("i-2", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	}
	answerWith := func(code int) func(*testGateway) {
		return func(s *testGateway) { s.addBackend("i-2", status(code)) }
	}
	move := func(s *testGateway) {
		s.add("i-2", events, fake.ReplicaFaults{})
		moved := route(resumable, 9*time.Second)
		moved.Targets = []fleet.Target{{Service: "t", Weight: 1}}
		s.configure(moved, func(c *fleet.Configuration) { c.Services["t"] = &fleet.Service{Name: "t"} })
	}

	DescribeTable("arrives whole when it is a stream, and meanwhile", func(beside func(*testGateway)) {
		s := newTestGateway(route(resumable, 9*time.Second))
		first := s.add("i-1", events, fake.ReplicaFaults{SilentBody: 1, Silence: streamSilence})
		id, a := s.sendBeside(first, http.MethodPost, func() { beside(s) })
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.body).To(Equal(fake.Body(id, 0, 6)))
	},
		Entry("another server rejects it", reject),
		Entry("another server fails", fail),
		Entry("another server does not answer", hang),
		Entry("another server refuses connections", refuse),
		Entry("another server breaks off", breakOff),
		Entry("another server sends a stream without events", answerEmpty),
		Entry("the configuration cannot be confirmed", stale),
		Entry("its route moves to another service", move),
	)

	DescribeTable("arrives when the request may be repeated, and meanwhile",
		func(faults fake.ReplicaFaults, beside func(*testGateway)) {
			s := newTestGateway(route(idempotent, 9*time.Second))
			first := s.add("i-1", fake.ReplicaOptions{}, faults)
			_, a := s.sendBeside(first, http.MethodGet, func() { beside(s) })
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.header.Get("X-Response-Signature")).To(Equal(fake.Signature(a.body)))
		},
		Entry("another server rejects it", fake.ReplicaFaults{SilentHead: 1, Silence: silence}, reject),
		Entry("another server fails", fake.ReplicaFaults{SilentHead: 1, Silence: silence}, fail),
		Entry("another server does not answer", fake.ReplicaFaults{SilentHead: 1, Silence: silence}, hang),
		Entry("another server does not know it", fake.ReplicaFaults{SilentHead: 1, Silence: silence}, answerWith(http.StatusNotFound)),
		Entry("the configuration cannot be confirmed", fake.ReplicaFaults{SilentHead: 1, Silence: silence}, stale),
		Entry("another server rejects it, within the body", fake.ReplicaFaults{SilentBody: 1, Silence: silence}, reject),
		Entry("another server fails, within the body", fake.ReplicaFaults{SilentBody: 1, Silence: silence}, fail),
	)

	// Guards against the opposite fault: a request that waits for a silent server although another one would answer.
	It("comes from another server that begins first, and the silent one stops its work", func() {
		s := newTestGateway(route(resumable, 9*time.Second))
		first := s.add("i-1", events, fake.ReplicaFaults{SilentBody: 1, Silence: 4 * time.Second})
		var second *fake.Replica
		id, a := s.sendBeside(first, http.MethodPost, func() { second = s.add("i-2", events, fake.ReplicaFaults{}) })
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(fake.Body(id, 0, 6)))
		Expect(a.duration).To(BeNumerically("<", streamSilence))
		Expect(runsOf(id, first, second)).To(Equal(2))
		Eventually(first.Active, "400ms", "5ms").Should(BeZero())
	})

	// Guards against a slow server that keeps a stream because each of its rare events ends the attempt at a fast one.
	It("comes from another server when its own one is slow between events", func() {
		s := newTestGateway(route(resumable, 9*time.Second))
		started := make(chan struct{}, 1)
		s.addSlow("i-1", 6, 1150*time.Millisecond, started)
		go func() {
			defer GinkgoRecover()
			<-started
			s.add("i-2", events, fake.ReplicaFaults{SilentHead: 1, Silence: 300 * time.Millisecond})
		}()
		id, a := s.send(http.MethodPost, "/a/", map[string]string{"X-Deadline-Ms": "8500"}, "")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(fake.Body(id, 0, 6)))
		Expect(a.duration).To(BeNumerically("<", 3*time.Second))
	})

	// Guards against work that goes on at two servers after the first one has gone on.
	It("ends the attempt at the other server when the silent one goes on first", func() {
		s := newTestGateway(route(resumable, 9*time.Second))
		first := s.add("i-1", events, fake.ReplicaFaults{SilentBody: 1, Silence: streamSilence})
		var second *fake.Replica
		id, a := s.sendBeside(first, http.MethodPost, func() {
			second = s.add("i-2", events, fake.ReplicaFaults{SilentHead: 1, Silence: 4 * time.Second})
		})
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(fake.Body(id, 0, 6)))
		Eventually(second.Active, "400ms", "5ms").Should(BeZero())
	})

	// Guards against work that goes on at one of two servers after the caller has left.
	It("is given up at both servers when the caller leaves", func() {
		s := newTestGateway(route(idempotent, 9*time.Second))
		first := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Hang: 1})
		second := s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{Hang: 1})
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return first.Active() + second.Active() }, "3s", "5ms").Should(Equal(2))
			leave()
		}()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/a/", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "crew.example"
		r.Header.Set("Authorization", "Bearer key")
		_, err = http.DefaultClient.Do(r)
		Expect(err).To(MatchError(context.Canceled))
		Eventually(func() int { return first.Active() + second.Active() }, "500ms", "5ms").Should(BeZero())
		Eventually(s.server.Active, "1s").Should(BeZero())
	})

	// Guards against a retry budget that is used up by second attempts that never began.
	It("costs no retry when no second attempt begins", func() {
		s := newTestGateway(route(idempotent, 9*time.Second))
		slow := fake.ReplicaOptions{Slots: 100}
		first := s.add("i-1", slow, fake.ReplicaFaults{SilentHead: 1, Silence: 2500 * time.Millisecond})
		var done sync.WaitGroup
		for i := range 60 {
			id := fmt.Sprint("waits-", i)
			done.Go(func() {
				defer GinkgoRecover()
				Expect(s.sendAs(id, http.MethodGet, "/a/", nil, "").status).To(Equal(http.StatusOK))
			})
		}
		Eventually(first.Active, "2s", "2ms").Should(Equal(60))
		s.stale.Store(true)
		second, third := s.add("i-2", slow, fake.ReplicaFaults{Drop: 1}), s.add("i-3", slow, fake.ReplicaFaults{Drop: 1})
		done.Wait()
		s.stale.Store(false)
		id, _ := s.send(http.MethodGet, "/a/", nil, "")
		Expect(runsOf(id, second, third)).To(Equal(2))
	})
})
