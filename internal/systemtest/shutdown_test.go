package systemtest

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a graceful shutdown", func() {
	// Guards against streams that a gateway or sidecar cuts when it shuts down, against an exit code that hides such a
	// cut, and against a stream lost when another sidecar is killed during the shutdown.
	It("cuts no stream, twice in a row, while another sidecar is killed", func() {
		replicas := []backendServer{
			{name: "brush-1", dataCentre: "walled-city", service: modelService},
			{name: "brush-2", dataCentre: "walled-city", service: modelService},
			{name: "brush-3", dataCentre: "walled-city", service: modelService},
		}
		s := NewSystem(layout{gateways: 2, backendServers: replicas})
		for round := range 2 {
			shutDownOnce(s, replicas, round)
		}
	})
})

// shutDownOnce runs streams over both gateways while a gateway and a sidecar shut down and another sidecar is killed.
func shutDownOnce(s *System, replicas []backendServer, round int) {
	GinkgoHelper()
	var streams []*stream
	var wants []string
	prompt := func(i int) string { return fmt.Sprintf("schedule %d of round %d, tokens:300", i, round) }
	for i := range 8 {
		wants = append(wants, "")
		streams = append(streams, s.Stream(s.gateways[i%2], "crews-1", prompt(i)))
		Eventually(streams[i].tokenCount, processTimeout, "5ms").Should(BeNumerically(">", 0))
	}
	servingBackendServers := s.servingBackendServers(streams, replicas)
	Expect(len(servingBackendServers)).To(BeNumerically(">=", 2), "the streams run on one replica only")
	l := s.startLoad(2, s.gateways[1])
	leaving, killed := s.procs["sidecar-"+servingBackendServers[0]], s.procs["sidecar-"+servingBackendServers[1]]
	s.procs["gateway-1"].Terminate()
	leaving.Terminate()
	killed.Kill()
	for i, st := range streams {
		Eventually(st.done, processTimeout).Should(BeClosed())
		text, whole, failure := st.result()
		Expect(failure).To(BeEmpty(), "stream %d", i)
		Expect(whole).To(BeTrue(), "stream %d", i)
		wants[i] = text
	}
	Expect(s.procs["gateway-1"].wait()).To(Equal(0))
	Expect(leaving.wait()).To(Equal(0))
	Expect(completedStreams(leaving, streams)).To(BeNumerically(">", 0),
		"the sidecar that was shut down completed no stream itself")
	l.end()
	Expect(l.failed.Load()).To(BeNil())
	for _, p := range []*process{s.procs["gateway-1"], leaving, killed} {
		p.Restart()
	}
	s.awaitOK(s.gateways[0] + "/readyz")
	for _, b := range replicas {
		s.AwaitServing(b)
	}
	for i := range streams {
		st := s.Stream(s.gateways[i%2], "crews-1", prompt(i))
		streams[i] = st
	}
	for i, st := range streams {
		Eventually(st.done, processTimeout).Should(BeClosed())
		text, _, _ := st.result()
		Expect(wants[i]).To(Equal(text), "stream %d differs from the uninterrupted one", i)
	}
}

// completedStreams returns the number of streams that the sidecar served to their end. A stream that it cut fails the spec,
// although another replica continued it.
func completedStreams(sidecar *process, streams []*stream) int {
	GinkgoHelper()
	n := 0
	log := sidecar.logText()
	for _, st := range streams {
		if !strings.Contains(log, "request_id="+st.id+" attempt=1 ") {
			continue
		}
		Expect(log).To(MatchRegexp("request_id=" + st.id + " attempt=1 .*kind=none handed_over=true"))
		n++
	}
	return n
}

// servingBackendServers returns the names of the replicas that serve any of the streams.
func (s *System) servingBackendServers(streams []*stream, replicas []backendServer) []string {
	GinkgoHelper()
	var names []string
	for _, b := range replicas {
		for _, st := range streams {
			if s.servingBackendServer(st.id, []backendServer{b}) != "" {
				names = append(names, b.name)
				break
			}
		}
	}
	return names
}
