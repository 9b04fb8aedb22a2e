package systemtest

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// listHost changes the state of a sidecar in the host list, or removes it with an empty state.
func (s *System) listHost(i int, state string) {
	GinkgoHelper()
	b := s.layout.backends[i]
	change := map[string]any{"remove_host": s.sidecars[i]}
	if state != "" {
		change = map[string]any{"set_host": map[string]string{
			"address": s.sidecars[i], "host": b.name, "data_centre": b.dataCentre, "role": "sidecar", "state": state}}
	}
	raw, err := json.Marshal(change)
	Expect(err).NotTo(HaveOccurred())
	s.Control("http://"+s.platform, string(raw))
}

var _ = Describe("the host list", func() {
	// Guards against work for a host that leaves, and against a host that is lost because the lagging list lacks
	// it: with a lag of 2 s, the only sidecar left answers although it is not listed.
	It("ends new work of a leaving sidecar within 10 s and does not decide who serves", func() {
		s := startSystem(layout{gateways: 2, backends: engines,
			duties: "limits: {enabled: true}\nplanner: {enabled: true, interval: 300ms, lease_term: 3s}"})
		for _, b := range engines {
			s.AwaitServing(b)
		}
		s.Control("http://"+s.platform, `{"lag_ms":2000}`)
		l := s.startLoad(8, s.gateways...)
		Eventually(func() int { return s.chatCalls("brush-1") }, startTime, "50ms").Should(BeNumerically(">", 10))
		s.listHost(0, "leaving")
		s.listHost(1, "")
		marked := time.Now()
		<-time.After(time.Until(marked.Add(inForce)))
		before, other, sent := s.chatCalls("brush-1"), s.chatCalls("brush-2"), l.sent.Load()
		Eventually(l.sent.Load, startTime).Should(BeNumerically(">", sent+30))
		Expect(s.chatCalls("brush-1")).To(Equal(before), "new work 10 s after the host was marked as leaving")
		Expect(s.chatCalls("brush-2")).To(BeNumerically(">", other), "the sidecar that is not listed serves nothing")
		l.end()
		Expect(l.failed.Load()).To(BeNil())
	})
})
