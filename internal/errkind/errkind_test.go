package errkind_test

import (
	"errors"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

func TestErrkind(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "errkind")
}

var _ = Describe("the error table", func() {
	It("has a complete row with a unique code for every kind", func() {
		seen := make(map[string]errkind.Kind)
		for _, k := range errkind.All() {
			a := k.Answer()
			Expect(a.Code).NotTo(BeEmpty(), "kind %d", k)
			Expect(a.Text).NotTo(BeEmpty(), a.Code)
			Expect(a.HTTPStatus).To(BeNumerically(">=", 400), a.Code)
			Expect(seen).NotTo(HaveKey(a.Code))
			seen[a.Code] = k
		}
	})

	It("allows a repeat without a check only if the request did not run", func() {
		for _, k := range errkind.All() {
			if r := k.Answer().Retry; r == errkind.RetryAnother || r == errkind.RetryLater {
				Expect(k.NotRun()).To(BeTrue(), k.String())
			}
		}
	})

	It("treats errors without a kind as internal and kinds out of range as possibly run", func() {
		Expect(errkind.Of(errors.New("x"))).To(Equal(errkind.Internal))
		Expect(errkind.Of(fmt.Errorf("wrapped: %w", errkind.New(errkind.Draining, "x")))).To(Equal(errkind.Draining))
		Expect(errkind.Kind(9999).NotRun()).To(BeFalse())
		Expect(errkind.Of(nil)).To(Equal(errkind.None))
	})

	// Guards against an error kind that the operators' documentation lacks.
	It("has an entry for every kind in docs/OPERATIONS.md", func() {
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, k := range errkind.All() {
			Expect(string(page)).To(ContainSubstring("\n| `"+k.String()+"` | "), k.String())
		}
	})

	It("is the same in docs/api.md as in the code", func() {
		page, err := os.ReadFile("../../docs/api.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(errkind.Markdown()))
	})
})
