package systemtest

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type engineFigures struct {
	Incarnation   string `json:"incarnation"`
	MemoryTotalMB int64  `json:"memory_total_mb"`
	HighWaterMB   int64  `json:"high_water_mb"`
	FellOver      int    `json:"fell_over"`
	Running       int    `json:"running"`
	Models        []struct{ Name, State string }
}

func (s *System) engine(backend string) engineFigures {
	GinkgoHelper()
	var f engineFigures
	getJSON(s.backends[backend]+"/engine/state", &f)
	return f
}

var _ = Describe("a fresh backend server", Ordered, func() {
	fresh := backend{name: "brush-2", dataCentre: "walled-city", service: models, late: true,
		args: []string{"-bears-cold", "2", "-bears-warm", "40", "-warm-up", "4s", "-cold-factor", "3", "-load-time", "50ms"}}
	var s *System
	var l *load
	BeforeAll(func() {
		s = startSystem(layout{
			gateways: 2, backends: []backend{engines[0], fresh},
			duties:    "limits: {enabled: true}\nplanner: {enabled: true, interval: 300ms, lease_term: 3s}",
			admission: "{cold_concurrency: 2, ramp_step: 1s}",
		})
		s.AwaitServing(engines[0])
		l = s.startLoad(40, s.gateways...)
	})
	AfterAll(func() { l.end() })

	restarted := func() {
		GinkgoHelper()
		s.procs["backend-brush-2"].Kill()
		s.procs["backend-brush-2"].Restart()
		s.awaitOK(s.backends["brush-2"] + "/health")
	}
	// serves waits until the fresh server has answered more requests and bears its full load.
	serves := func(more int) {
		GinkgoHelper()
		before := s.chatCalls("brush-2")
		Eventually(func() int { return s.chatCalls("brush-2") }, startTime, "100ms").Should(BeNumerically(">", before+more))
	}

	// Guards against gateways that each send a fresh server what it can bear in all.
	It("bears what two gateways send when they discover it together under load", func() {
		s.startBackend(fresh)
		s.startSidecar(1, fresh)
		serves(60)
		Expect(s.engine("brush-2").FellOver).To(BeZero())
	})

	// Guards against a ramp that a restarted sidecar takes as done, and against requests of the dead sidecar
	// that the new one does not count.
	It("bears the load of a sidecar that was killed and restarted while the server is cold", func() {
		restarted()
		serves(5)
		s.procs["sidecar-brush-2"].Kill()
		s.procs["sidecar-brush-2"].Restart()
		serves(60)
		Expect(s.engine("brush-2").FellOver).To(BeZero())
	})

	// Guards against the load of a warm server that continues on a cold one.
	DescribeTable("bears the load after it turned cold without warning", func(restart func()) {
		serves(60)
		incarnation := s.engine("brush-2").Incarnation
		restart()
		serves(40)
		f := s.engine("brush-2")
		Expect(f.Incarnation).NotTo(Equal(incarnation))
		Expect(f.FellOver).To(BeZero())
	},
		Entry("without its models", func() { s.Control(s.backends["brush-2"], `{"restart":true}`) }),
		Entry("with its models", restarted),
	)

	// Guards against a burst at the limit that the server bore before it turned cold while no request ran.
	DescribeTable("bears a burst after it turned cold while idle", func(restart func()) {
		serves(60)
		l.end()
		restart()
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(s.Chat(s.gateways[i%2], "clerks-1", "burst, tokens:10").status).To(Equal(http.StatusOK))
			})
		}
		wg.Wait()
		l = s.startLoad(40, s.gateways...)
		serves(20)
		Expect(s.engine("brush-2").FellOver).To(BeZero())
	},
		Entry("without its models", func() { s.Control(s.backends["brush-2"], `{"restart":true}`) }),
		Entry("with its models, after the idle time", func() {
			<-time.After(6 * time.Second)
			restarted()
		}),
		Entry("with its models, within the idle time", restarted),
	)
})
