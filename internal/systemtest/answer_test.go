package systemtest

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var engines = []backend{
	{name: "brush-1", dataCentre: "walled-city", service: models},
	{name: "brush-2", dataCentre: "gulberg", service: models},
}

// serving returns the name of the backend whose engine saw the request last.
func (s *System) serving(id string, from []backend) string {
	GinkgoHelper()
	for _, b := range from {
		if strings.Contains(s.procs["sidecar-"+b.name].logText(), id) {
			return b.name
		}
	}
	return ""
}

type engineState struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (s *System) running(backend string) int {
	GinkgoHelper()
	var state engineState
	getJSON(s.backends[backend]+"/engine/state", &state)
	return state.Running + state.Waiting
}

var _ = Describe("a whole answer", Ordered, func() {
	var s *System
	BeforeAll(func() { s = NewSystem(layout{gateways: 1, backends: engines}) })
	all := func(fault string) {
		for _, b := range engines {
			s.Control(s.backends[b.name], fault)
		}
	}
	noFaults := func() { all(`{"cut_streams":0,"truncate_streams":0,"cross_answers":0}`) }
	AfterEach(noFaults)

	// Guards against a text with a gap or a repetition at the join of two replicas.
	It("continues on another replica when an engine cuts the stream", func() {
		const prompt = "schedule of the cut, tokens:60"
		want := s.Chat(s.gateways[0], "crews-1", prompt).text()
		Expect(strings.Fields(want)).To(HaveLen(60))
		resumes := s.Vars(s.gateways[0])["resumes"].(float64)
		// The replica in the gateway's own data centre is chosen first.
		s.Control(s.backends["brush-1"], `{"cut_streams":1,"cut_after_tokens":17}`)
		st := s.Stream(s.gateways[0], "crews-1", prompt)
		Eventually(st.done, startTime).Should(BeClosed())
		text, whole, failure := st.result()
		Expect(failure).To(BeEmpty())
		Expect(whole).To(BeTrue())
		Expect(text).To(Equal(want))
		Expect(s.Vars(s.gateways[0])["resumes"].(float64)).To(BeNumerically(">", resumes))
	})

	// Guards against an answer of another request, or an answer without its end, that looks whole to the caller.
	DescribeTable("never hands on a wrong answer as a whole one", func(fault string) {
		prompt := "summary with " + fault + ", tokens:9"
		want := s.Chat(s.gateways[0], "crews-1", prompt).text()
		Expect(strings.Fields(want)).To(HaveLen(9))
		ask := func(arm func()) (whole reply, text string, ended bool) {
			arm()
			whole = s.Chat(s.gateways[0], "crews-1", prompt)
			noFaults()
			arm()
			st := s.Stream(s.gateways[0], "crews-1", prompt)
			Eventually(st.done, startTime).Should(BeClosed())
			noFaults()
			text, ended, _ = st.result()
			return whole, text, ended
		}
		// No replica gives a whole answer, so there is none.
		r, _, ended := ask(func() { all(fault) })
		Expect(r.status).To(Equal(http.StatusBadGateway), r.body)
		Expect(ended).To(BeFalse())
		// The other replica gives it.
		r, text, ended := ask(func() { s.Control(s.backends["brush-1"], fault) })
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

	// Guards against an engine that generates for a caller who has left.
	It("frees the engine when the caller goes away", func() {
		st := s.Stream(s.gateways[0], "crews-1", "long question, tokens:4000")
		Eventually(st.count, startTime).Should(BeNumerically(">", 2))
		Expect(s.running("brush-1") + s.running("brush-2")).To(Equal(1))
		st.cancel()
		Eventually(func() int { return s.running("brush-1") + s.running("brush-2") }, "5s").Should(BeZero())
	})

	// Guards against a stream that dies with the process beside its engine.
	It("continues on another replica when a sidecar is killed", func() {
		const prompt = "schedule of the killed sidecar, tokens:200"
		want := s.Chat(s.gateways[0], "crews-1", prompt).text()
		st := s.Stream(s.gateways[0], "crews-1", prompt)
		Eventually(st.count, startTime).Should(BeNumerically(">", 10))
		victim := s.procs["sidecar-"+s.serving(st.id, engines)]
		victim.Kill()
		Eventually(st.done, startTime).Should(BeClosed())
		text, whole, failure := st.result()
		Expect(failure).To(BeEmpty())
		Expect(whole).To(BeTrue())
		Expect(text).To(Equal(want))
	})
})
