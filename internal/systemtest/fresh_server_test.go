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

// Specs of turnCold. They guard against gateways that each send a fresh server what it bears in all, against a ramp
// that a restarted sidecar takes as done, and against the load of a warm server that continues on a cold one.
const (
	freshTogether   = "a fresh backend server bears what two gateways send when they discover it together under load"
	freshSidecar    = "a cold backend server bears the load when its sidecar is killed and restarted"
	freshEmpty      = "a backend server bears the load after it turned cold under load without its models"
	freshLoaded     = "a backend server bears the load after it turned cold under load with its models"
	freshIdleEmpty  = "a backend server bears a burst after it turned cold while idle without its models"
	freshIdleLoaded = "a backend server bears a burst after it turned cold while idle with its models"
)

// turnCold restarts a backend server and its sidecar in several ways, under load and while idle.
func turnCold(v *verdicts) {
	fresh := backend{name: "brush-2", dataCentre: "walled-city", service: models, late: true,
		args: []string{"-bears-cold", "2", "-bears-warm", "40", "-warm-up", "4s", "-cold-factor", "3", "-load-time", "50ms"}}
	s := startSystem(layout{
		gateways: 2, backends: []backend{engines[0], fresh},
		duties:    "limits: {enabled: true}\nplanner: {enabled: true, interval: 300ms, lease_term: 3s}",
		admission: "{cold_concurrency: 2, ramp_step: 1s}",
	})
	s.AwaitServing(engines[0])
	l := s.startLoad(40, s.gateways...)
	// serves waits until the fresh server has received more requests, as it does when its load grows.
	serves := func(more int) {
		before := s.chatCalls("brush-2")
		Eventually(func() int { return s.chatCalls("brush-2") }, 2*startTime, "100ms").Should(BeNumerically(">", before+more))
	}
	judge := func(spec string) { v.of(spec).Expect(s.engine("brush-2").FellOver).To(BeZero()) }
	empty := func() { s.Control(s.backends["brush-2"], `{"restart":true}`) }
	loaded := func() {
		s.procs["backend-brush-2"].Kill()
		s.procs["backend-brush-2"].Restart()
		s.awaitOK(s.backends["brush-2"] + "/health")
	}
	burst := func() {
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
	}

	s.startBackend(fresh)
	s.startSidecar(1, fresh)
	serves(60)
	judge(freshTogether)

	loaded()
	serves(5)
	s.procs["sidecar-brush-2"].Kill()
	s.procs["sidecar-brush-2"].Restart()
	serves(100)
	judge(freshSidecar)

	loaded()
	serves(100)
	judge(freshLoaded)

	// Longer than the time after which the sidecar tries an idle server out again.
	l.end()
	<-time.After(6 * time.Second)
	loaded()
	burst()
	judge(freshIdleLoaded)

	serves(60)
	empty()
	serves(60)
	judge(freshEmpty)

	l.end()
	empty()
	burst()
	l.end()
	judge(freshIdleEmpty)
}
