package sim

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bench/report"
	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/settings"
)

func TestSim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sim")
}

func load(name string) *scenario.Scenario {
	GinkgoHelper()
	s, err := scenario.Load("../../../examples/scenarios/" + name + ".yml")
	Expect(err).NotTo(HaveOccurred())
	return s
}

func jsonText(r *report.Report) string {
	GinkgoHelper()
	var b bytes.Buffer
	Expect(r.JSON(&b)).To(Succeed())
	return b.String()
}

// outcomes returns the number of requests that have an outcome.
func outcomes(r *report.Report) int {
	n := r.Served + r.RefusedAboveRate + r.RefusedWithinRate
	for _, count := range r.FailuresByCause {
		n += count
	}
	return n
}

var _ = Describe("a run in virtual time", func() {
	DescribeTable("gives the same figures for the same seed, so that a comparison shows only the policy", func(name string) {
		first := jsonText(Run(load(name), 3))
		Expect(jsonText(Run(load(name), 3))).To(Equal(first))
		Expect(jsonText(Run(load(name), 4))).NotTo(Equal(first))
	}, Entry(nil, "lantern-works"), Entry(nil, "halvorsen"))

	It("offers the same requests under every policy and loses none of them", func() {
		s := load("halvorsen")
		s.Duration = settings.Duration(65 * time.Second)
		s.Events = s.Events[:2] // a change of demand, and a data centre taken out of service
		base := Run(s, 1)
		Expect(outcomes(base)).To(Equal(base.Offered))
		for decision, values := range scenario.PolicyValues() {
			for _, value := range values[1:] {
				varied := *s
				Expect(varied.SetPolicy(decision, value)).To(Succeed())
				r := Run(&varied, 1)
				Expect([]int{r.Offered, r.WithinRate}).To(Equal([]int{base.Offered, base.WithinRate}), value)
				Expect(outcomes(r)).To(Equal(r.Offered), value)
			}
		}
	})

	It("refuses nothing within the rate under the exact policy, so that each refusal counted is a fault", func() {
		s := load("lantern-works")
		s.Events = nil
		Expect(s.SetPolicy("limits", "exact")).To(Succeed())
		// Without a client delay and refunds, the bucket of the run and the exact bucket always hold the same. A
		// refund that only one of them gets lets one request in and keeps another out.
		s.ClientDelay = 0
		for i := range s.Organisations {
			s.Organisations[i].Rate /= 4
			s.Organisations[i].Mix = s.Organisations[i].Mix[:1] // model requests
			s.Organisations[i].Mix[0].OutputTokens = 0
		}
		r := Run(s, 2)
		Expect(r.RefusedAboveRate).To(BeNumerically(">", 0))
		Expect(r.RefusedWithinRateByCause).NotTo(HaveKey("rate_limited"))
	})

	It("refuses bookings while the table service is away, and none before or after", func() {
		s := load("lantern-works")
		s.Events = []scenario.Event{
			{At: settings.Duration(20 * time.Second), Kind: scenario.EventTableAway},
			{At: settings.Duration(30 * time.Second), Kind: scenario.EventTableBack},
		}
		r := Run(s, 1)
		refused := r.RefusedWithinRateByCause["store_unavailable"]
		Expect(refused).To(BeNumerically(">", 0))
		Expect(r.Bookings.Offered - r.Bookings.Done).To(BeNumerically(">=", refused))
		s.Events = nil
		Expect(Run(s, 1).RefusedWithinRateByCause).NotTo(HaveKey("store_unavailable"))
	})
})
