package fleetgateway_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

// newGatewayWithAgent starts a gateway and an agent on the loopback address that stands in for the agents of all servers.
func newGatewayWithAgent(agent *testAgent, r fleet.Route, perSecond float64) *testGateway {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	_, port, err := net.SplitHostPort(l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	s := newTestGatewayWithAgents(port, r, engine, func(c *fleet.Configuration) { c.Services["s"].ColdPerSecond = perSecond })
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = transport.NewServer(l, nil, agent.handle, slog.New(slog.DiscardHandler)).Serve(ctx) })
	done.Go(func() { _ = s.agents.Run(ctx) })
	DeferCleanup(func() { cancel(); done.Wait() })
	return s
}

func (s *testGateway) awaitReport(id string) {
	GinkgoHelper()
	Eventually(func() bool {
		_, ok := s.agents.Report(s.view.Snapshot().Replicas[id], bootclock.Now())
		return ok
	}, "2s", "5ms").Should(BeTrue())
}

// streamWithSilence answers with three events and is silent for 1.4 s before the last two.
func streamWithSilence(w http.ResponseWriter, r *http.Request) {
	for i := range 3 {
		if i == 1 {
			time.Sleep(1400 * time.Millisecond)
		}
		_, _ = w.Write([]byte(fake.Event(r.Header.Get("X-Request-Id"), i))) // the gateway may have left
		_ = http.NewResponseController(w).Flush()
	}
}

// Guards against a request that waits for an agent's reply beyond its deadline, or while its server goes on with the answer.
var _ = DescribeTable("an agent that does not reply", func(perSecond float64, model string) {
	before, resume := make(chan string, 4), make(chan struct{}, 4)
	s := newGatewayWithAgent(&testAgent{before: before, resume: resume}, route(resumable, 3*time.Second), perSecond)
	DeferCleanup(func() { close(resume) })
	cold := func(r *fleet.Replica) { r.Cold = time.Minute }
	b := s.addBackend("i-1", streamWithSilence)
	s.update(b, cold)
	s.awaitReport("i-1")
	resume <- struct{}{}
	first := s.inBackground("first", map[string]string{"X-Model": model})
	Eventually(b.received.Load, "2s", "5ms").Should(BeEquivalentTo(1))
	s.update(s.addBackend("i-2", status(http.StatusOK)), cold)
	s.awaitReport("i-2")
	a := <-first
	Expect(a.err).NotTo(HaveOccurred(), "the sound server went on")
	Expect(a.body).To(Equal(fake.Body("first", 0, 3)))
	Expect(a.duration).To(BeNumerically("<", 2*time.Second))

	b.setAnswer(status(http.StatusOK))
	a = s.sendAs("second", http.MethodPost, "/a/", map[string]string{"X-Model": model, "X-Deadline-Ms": "1000"}, "")
	Expect(a.err).NotTo(HaveOccurred(), "an answer at the deadline")
	Expect(a.duration).To(BeNumerically("<", 1300*time.Millisecond))
},
	Entry("to a request for an adapter", 0.0, "m/a1"),
	Entry("to a request for a turn at a cold server", 50.0, "m"),
)
