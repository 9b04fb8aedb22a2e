package gateway_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/gateway"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var _ = Describe("the retry budget", func() {
	It("allows no retry for a ratio of zero", func() {
		var b gateway.Budget
		for range 100 {
			b.First(0)
		}
		Expect(b.Has()).To(BeFalse())
	})
})

// Guards against retries that multiply the load of an overloaded fleet.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const savedUp = 32
		ratio := rapid.Float64Range(0, 1).Draw(rt, "ratio")
		firsts, retries := 0, 0
		var b gateway.Budget
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(rt, "steps") {
			if !retry {
				b.First(ratio)
				firsts++
			} else if b.Has() {
				b.Take()
				retries++
			}
		}
		if float64(retries) > savedUp+ratio*float64(firsts)+1e-6 {
			rt.Fatalf("%d retries for %d first attempts at ratio %v", retries, firsts, ratio)
		}
	})
}
