package limitshare

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("CompareSkew", func() {
	It("guards against loans that give an organisation little more than a static split", func() {
		for _, holders := range []int{3, 7} {
			f := CompareSkew(1, holders, 10*time.Minute)
			GinkgoWriter.Printf("holders %d: %+v\n", holders, f)
			Expect(f.WithLoans).To(BeNumerically(">", 0.8))
			Expect(f.WithLoans).To(BeNumerically("<=", 1))
			Expect(f.StaticSplit).To(BeNumerically("<=", 1/float64(holders)))
		}
	})
})
