package systemtest

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// changeListedHost sets the state of sidecar i in the host list; an empty state removes the sidecar from it.
func (s *System) changeListedHost(i int, state string) {
	GinkgoHelper()
	b := s.layout.backendServers[i]
	change := map[string]any{"remove_host": s.sidecars[i]}
	if state != "" {
		change = map[string]any{"set_host": map[string]string{
			"address": s.sidecars[i], "host": b.name, "data_centre": b.dataCentre, "role": "sidecar", "state": state}}
	}
	raw, err := json.Marshal(change)
	Expect(err).NotTo(HaveOccurred())
	s.Control("http://"+s.platform, string(raw))
}

// Specs of changeHostList.
const (
	// Guards against new requests for a host that is marked as leaving.
	hostLeaving = "the host list ends new work of a sidecar marked as leaving within 10 s"
	// Guards against ending the use of a sidecar that answers because the host list, which lags, lacks it.
	hostRemoved = "the host list does not end the work of a sidecar that answers but is not listed"
)

// changeHostList marks one sidecar as leaving and removes the other one from the host list, which lags by 2 s.
func changeHostList(v *specResults) {
	s := startSystem(layout{gateways: 2, backendServers: engines, sidecarsFromHostList: true,
		limitsAndPlanner: "limits: {enabled: true}\nplanner: {enabled: true, interval: 300ms, lease_term: 3s}"})
	for _, b := range engines {
		s.AwaitServing(b)
	}
	s.Control("http://"+s.platform, `{"lag_ms":2000}`)
	l := s.startLoad(8, s.gateways...)
	Eventually(func() int { return s.chatRequests("brush-1") }, processTimeout, "50ms").Should(BeNumerically(">", 10))
	s.changeListedHost(0, "leaving")
	s.changeListedHost(1, "")
	<-time.After(inForceLimit)
	before, other, sent := s.chatRequests("brush-1"), s.chatRequests("brush-2"), l.sent.Load()
	Eventually(l.sent.Load, processTimeout).Should(BeNumerically(">", sent+30))
	v.gomegaFor(hostLeaving).Expect(s.chatRequests("brush-1")).To(Equal(before), "new work after 10 s")
	v.gomegaFor(hostRemoved).Expect(s.chatRequests("brush-2")).To(BeNumerically(">", other))
	l.end()
	v.gomegaFor(hostRemoved).Expect(l.failed.Load()).To(BeNil())
}
