package gateway_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/gateway"
)

var _ = Describe("the correction of prompt estimates", func() {
	// Guards against prompts that are underestimated permanently.
	It("makes debts rare when the ratio of reported to estimated tokens varies by a fifth", func() {
		random := rand.New(rand.NewPCG(1, 2))
		var c gateway.Correction
		debts, over := 0, 0.0
		for i := range 2000 {
			reported := int64(400 * (1.8 + 0.36*(2*random.Float64()-1)))
			if i >= 100 {
				if c.Apply(400) < reported {
					debts++
				}
				over += float64(c.Apply(400))/float64(reported) - 1
			}
			c.Learn(400, reported)
		}
		GinkgoWriter.Printf("debts %d of 1900, mean excess %.2f\n", debts, over/1900)
		Expect(debts).To(BeNumerically("<", 1900/4))
		Expect(over / 1900).To(BeNumerically("<", 0.2))
	})

	// Guards against implausible usage reports that move the factor without limit.
	It("keeps the factor within its bounds", func() {
		var c gateway.Correction
		for range 1000 {
			c.Learn(100, 1<<40)
		}
		Expect(c.Factor()).To(BeNumerically("<=", 4))
		for range 10000 {
			c.Learn(100, 1)
			c.Learn(100, 0)
			c.Learn(1, 1<<40)
		}
		Expect(c.Factor()).To(BeNumerically("~", 0.5, 0.01))
	})
})
