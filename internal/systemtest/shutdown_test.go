package systemtest

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a graceful shutdown", func() {
	// Guards against streams that are cut by a gateway or a sidecar that leaves, against an exit code that
	// hides such a cut, and against a stream lost when a neighbour dies during the shutdown.
	It("cuts no stream, twice in a row, while a neighbour sidecar is killed", func() {
		replicas := []backend{
			{name: "brush-1", dataCentre: "walled-city", service: models},
			{name: "brush-2", dataCentre: "walled-city", service: models},
			{name: "brush-3", dataCentre: "walled-city", service: models},
		}
		s := NewSystem(layout{gateways: 2, backends: replicas})
		for round := range 2 {
			leaveOnce(s, replicas, round)
		}
	})
})

// leaveOnce runs streams over both gateways while a gateway and a sidecar leave and another sidecar dies.
func leaveOnce(s *System, replicas []backend, round int) {
	GinkgoHelper()
	var streams []*stream
	var wants []string
	prompt := func(i int) string { return fmt.Sprintf("schedule %d of round %d, tokens:300", i, round) }
	for i := range 8 {
		wants = append(wants, "")
		streams = append(streams, s.Stream(s.gateways[i%2], "crews-1", prompt(i)))
		Eventually(streams[i].count, startTime, "5ms").Should(BeNumerically(">", 0))
	}
	busy := s.busy(streams, replicas)
	Expect(len(busy)).To(BeNumerically(">=", 2), "the streams run on one replica only")
	l := s.startLoad(2, s.gateways[1])
	leaving, neighbour := s.procs["sidecar-"+busy[0]], s.procs["sidecar-"+busy[1]]
	s.procs["gateway-1"].Terminate()
	leaving.Terminate()
	neighbour.Kill()
	for i, st := range streams {
		Eventually(st.done, startTime).Should(BeClosed())
		text, whole, failure := st.result()
		Expect(failure).To(BeEmpty(), "stream %d", i)
		Expect(whole).To(BeTrue(), "stream %d", i)
		wants[i] = text
	}
	Expect(s.procs["gateway-1"].wait()).To(Equal(0))
	Expect(leaving.wait()).To(Equal(0))
	Expect(finished(leaving, streams)).To(BeNumerically(">", 0), "the sidecar that left finished no stream itself")
	l.end()
	Expect(l.failed.Load()).To(BeNil())
	for _, p := range []*process{s.procs["gateway-1"], leaving, neighbour} {
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
		Eventually(st.done, startTime).Should(BeClosed())
		text, _, _ := st.result()
		Expect(wants[i]).To(Equal(text), "stream %d differs from the uninterrupted one", i)
	}
}

// finished returns how many streams the sidecar served to their end. A stream that it broke off fails the spec,
// although another replica continued it.
func finished(sidecar *process, streams []*stream) int {
	GinkgoHelper()
	n := 0
	log := sidecar.logText()
	for _, st := range streams {
		if !strings.Contains(log, "request_id="+st.id+" attempt=1 ") {
			continue
		}
		Expect(log).To(ContainSubstring("request_id=" + st.id + " attempt=1 kind=none handed_over=true"))
		n++
	}
	return n
}

// busy returns the replicas that serve streams.
func (s *System) busy(streams []*stream, replicas []backend) []string {
	GinkgoHelper()
	var names []string
	for _, b := range replicas {
		for _, st := range streams {
			if s.serving(st.id, []backend{b}) != "" {
				names = append(names, b.name)
				break
			}
		}
	}
	return names
}
