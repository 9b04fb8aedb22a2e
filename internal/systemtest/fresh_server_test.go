package systemtest

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type engineSnapshot struct {
	Incarnation      string `json:"incarnation"`
	MemoryTotalMB    int64  `json:"memory_total_mb"`
	HighWaterMB      int64  `json:"high_water_mb"`
	OverloadFailures int    `json:"fell_over"`
	Running          int    `json:"running"`
	Models           []struct{ Name, State string }
}

func (s *System) engineState(name string) engineSnapshot {
	GinkgoHelper()
	var f engineSnapshot
	getJSON(s.backendServers[name]+"/engine/state", &f)
	return f
}

// Specs of runColdRestarts. They guard against gateways that each send a fresh server as much as it can serve in total,
// against a restarted sidecar that takes the ramp as finished, and against a cold server that keeps receiving the load
// of a warm one.
const (
	freshTogether   = "a fresh backend server bears what two gateways send when they discover it together under load"
	freshSidecar    = "a cold backend server bears the load when its sidecar is killed and restarted"
	freshEmpty      = "a backend server bears the load after it turned cold under load without its models"
	freshLoaded     = "a backend server bears the load after it turned cold under load with its models"
	freshIdleEmpty  = "a backend server bears a burst after it turned cold while idle without its models"
	freshIdleLoaded = "a backend server bears a burst after it turned cold while idle with its models"
)

// runColdRestarts restarts a backend server, with and without its models and also its sidecar, under load and while idle.
func runColdRestarts(v *specResults) {
	fresh := backendServer{name: "brush-2", dataCentre: "walled-city", service: modelService, startedBySpec: true,
		args: []string{"-bears-cold", "2", "-bears-warm", "40", "-warm-up", "4s", "-cold-factor", "3", "-load-time", "50ms"}}
	s := startSystem(layout{
		gateways: 2, backendServers: []backendServer{engines[0], fresh},
		limitsAndPlanner: "limits: {enabled: true}\nplanner: {enabled: true, interval: 300ms, lease_term: 3s}",
		admission:        "{cold_concurrency: 2, ramp_step: 1s}",
	})
	s.AwaitServing(engines[0])
	l := s.startLoad(40, s.gateways...)
	// awaitRequests waits until the fresh server has received that many more chat requests.
	awaitRequests := func(more int) {
		before := s.chatRequests("brush-2")
		Eventually(func() int { return s.chatRequests("brush-2") }, 2*processTimeout, "100ms").
			Should(BeNumerically(">", before+more))
	}
	// checkOverload expects no crash since the previous check. The engine counts the crashes of its process.
	crashes, lastSpec := 0, ""
	checkOverload := func(spec string) {
		all := s.engineState("brush-2").OverloadFailures
		v.gomegaFor(spec).Expect(all-crashes).To(BeZero(), "crashes since the previous check")
		crashes, lastSpec = all, spec
	}
	restartWithoutModels := func() { s.Control(s.backendServers["brush-2"], `{"restart":true}`) }
	restartWithModels := func() {
		checkOverload(lastSpec) // the count starts again with the process
		crashes = 0
		s.procs["backend-brush-2"].Kill()
		s.procs["backend-brush-2"].Restart()
		s.awaitOK(s.backendServers["brush-2"] + "/health")
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
		awaitRequests(20)
	}

	s.startBackendServer(fresh)
	s.startSidecar(1, fresh)
	awaitRequests(60)
	checkOverload(freshTogether)

	restartWithModels()
	awaitRequests(5)
	s.procs["sidecar-brush-2"].Kill()
	s.procs["sidecar-brush-2"].Restart()
	awaitRequests(100)
	checkOverload(freshSidecar)

	restartWithModels()
	awaitRequests(100)
	checkOverload(freshLoaded)

	// Longer than the idle time after which the sidecar ramps the load of its server up again.
	l.end()
	<-time.After(6 * time.Second)
	restartWithModels()
	burst()
	checkOverload(freshIdleLoaded)

	awaitRequests(60)
	restartWithoutModels()
	awaitRequests(60)
	checkOverload(freshEmpty)

	l.end()
	restartWithoutModels()
	burst()
	l.end()
	checkOverload(freshIdleEmpty)
}
