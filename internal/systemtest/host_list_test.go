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

// Specs of markHosts.
const (
	// Guards against work for a host that leaves.
	hostLeaving = "the host list ends new work of a sidecar marked as leaving within 10 s"
	// Guards against a host that is lost because the lagging list lacks it.
	hostRemoved = "the host list does not end the work of a sidecar that answers but is not listed"
)

// markHosts marks one sidecar as leaving and removes the other one from the list, which lags by 2 s.
func markHosts(v *verdicts) {
	s := startSystem(layout{gateways: 2, backends: engines, listOnly: true,
		duties: "limits: {enabled: true}\nplanner: {enabled: true, interval: 300ms, lease_term: 3s}"})
	for _, b := range engines {
		s.AwaitServing(b)
	}
	s.Control("http://"+s.platform, `{"lag_ms":2000}`)
	l := s.startLoad(8, s.gateways...)
	Eventually(func() int { return s.chatCalls("brush-1") }, startTime, "50ms").Should(BeNumerically(">", 10))
	s.listHost(0, "leaving")
	s.listHost(1, "")
	<-time.After(inForce)
	before, other, sent := s.chatCalls("brush-1"), s.chatCalls("brush-2"), l.sent.Load()
	Eventually(l.sent.Load, startTime).Should(BeNumerically(">", sent+30))
	v.of(hostLeaving).Expect(s.chatCalls("brush-1")).To(Equal(before), "new work after 10 s")
	v.of(hostRemoved).Expect(s.chatCalls("brush-2")).To(BeNumerically(">", other))
	l.end()
	v.of(hostRemoved).Expect(l.failed.Load()).To(BeNil())
}
