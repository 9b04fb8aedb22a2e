package systemtest

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var engines = []backendServer{
	{name: "brush-1", dataCentre: "walled-city", service: modelService},
	{name: "brush-2", dataCentre: "gulberg", service: modelService},
}

// servingBackendServer returns the name of the first backend server in from whose sidecar logged the request ID, or nothing.
func (s *System) servingBackendServer(id string, from []backendServer) string {
	GinkgoHelper()
	for _, b := range from {
		if strings.Contains(s.procs["sidecar-"+b.name].logText(), id) {
			return b.name
		}
	}
	return ""
}

type engineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (s *System) requestsInEngine(name string) int {
	GinkgoHelper()
	var state engineLoad
	getJSON(s.backendServers[name]+"/engine/state", &state)
	return state.Running + state.Waiting
}

var _ = Describe("a whole answer", Ordered, func() {
	var s *System
	BeforeAll(func() { s = NewSystem(layout{gateways: 1, backendServers: engines}) })
	injectAll := func(fault string) {
		for _, b := range engines {
			s.Control(s.backendServers[b.name], fault)
		}
	}
	clearFaults := func() { injectAll(`{"cut_streams":0,"truncate_streams":0,"cross_answers":0}`) }
	AfterEach(clearFaults)

	// Guards against a gap or a repetition in the text where another replica continues it.
	It("continues on another replica when an engine cuts the stream", func() {
		const prompt = "schedule of the cut, tokens:60"
		want := s.Chat(s.gateways[0], "crews-1", prompt).text()
		Expect(strings.Fields(want)).To(HaveLen(60))
		resumes := s.GatewayMetrics(s.gateways[0])["resumes"].(float64)
		// The replica in the gateway's own data centre is chosen first.
		s.Control(s.backendServers["brush-1"], `{"cut_streams":1,"cut_after_tokens":17}`)
		st := s.Stream(s.gateways[0], "crews-1", prompt)
		Eventually(st.done, processTimeout).Should(BeClosed())
		text, whole, failure := st.result()
		Expect(failure).To(BeEmpty())
		Expect(whole).To(BeTrue())
		Expect(text).To(Equal(want))
		Expect(s.GatewayMetrics(s.gateways[0])["resumes"].(float64)).To(BeNumerically(">", resumes))
	})

	// Guards against an answer to another request, or a truncated answer, that looks complete to the caller.
	DescribeTable("never hands on a wrong answer as a whole one", func(fault string) {
		prompt := "summary with " + fault + ", tokens:9"
		want := s.Chat(s.gateways[0], "crews-1", prompt).text()
		Expect(strings.Fields(want)).To(HaveLen(9))
		askBothWays := func(injectFault func()) (whole reply, text string, ended bool) {
			injectFault()
			whole = s.Chat(s.gateways[0], "crews-1", prompt)
			clearFaults()
			injectFault()
			st := s.Stream(s.gateways[0], "crews-1", prompt)
			Eventually(st.done, processTimeout).Should(BeClosed())
			clearFaults()
			text, ended, _ = st.result()
			return whole, text, ended
		}
		// No replica gives a correct and complete answer, so the gateway returns an error.
		r, _, ended := askBothWays(func() { injectAll(fault) })
		Expect(r.status).To(Equal(http.StatusBadGateway), r.body)
		Expect(ended).To(BeFalse())
		// The other replica gives a correct and complete answer.
		r, text, ended := askBothWays(func() { s.Control(s.backendServers["brush-1"], fault) })
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Expect(r.text()).To(Equal(want))
		Expect(ended).To(BeTrue())
		Expect(text).To(Equal(want))
	},
		Entry("crossed", `{"cross_answers":1}`),
		Entry("truncated", `{"truncate_streams":1}`),
		Entry("cut at the start", `{"cut_streams":1,"cut_after_tokens":0}`),
		Entry("cut before the last event", `{"cut_streams":1,"cut_after_tokens":9}`),
	)

	// Guards against an engine that continues to generate after the caller has disconnected.
	It("frees the engine when the caller disconnects", func() {
		st := s.Stream(s.gateways[0], "crews-1", "long question, tokens:4000")
		Eventually(st.tokenCount, processTimeout).Should(BeNumerically(">", 2))
		Expect(s.requestsInEngine("brush-1") + s.requestsInEngine("brush-2")).To(Equal(1))
		st.cancel()
		Eventually(func() int { return s.requestsInEngine("brush-1") + s.requestsInEngine("brush-2") }, "5s").Should(BeZero())
	})

	// Guards against a stream that fails because the sidecar of its engine was killed.
	It("continues on another replica when a sidecar is killed", func() {
		const prompt = "schedule of the killed sidecar, tokens:200"
		want := s.Chat(s.gateways[0], "crews-1", prompt).text()
		st := s.Stream(s.gateways[0], "crews-1", prompt)
		Eventually(st.tokenCount, processTimeout).Should(BeNumerically(">", 10))
		victim := s.procs["sidecar-"+s.servingBackendServer(st.id, engines)]
		victim.Kill()
		Eventually(st.done, processTimeout).Should(BeClosed())
		text, whole, failure := st.result()
		Expect(failure).To(BeEmpty())
		Expect(whole).To(BeTrue())
		Expect(text).To(Equal(want))
	})
})
