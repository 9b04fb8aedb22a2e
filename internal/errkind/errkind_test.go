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
	It("has a complete row for every kind, with a code of its own", func() {
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

	It("lets another backend server be tried only if the request did not run", func() {
		for _, k := range errkind.All() {
			if r := k.Answer().Retry; r == errkind.RetryAnother || r == errkind.RetryLater {
				Expect(k.NotRun()).To(BeTrue(), k.String())
			}
		}
	})

	It("treats an error without a kind, and a kind out of range, as internal with unknown outcome", func() {
		Expect(errkind.Of(errors.New("x"))).To(Equal(errkind.Internal))
		Expect(errkind.Of(fmt.Errorf("wrapped: %w", errkind.New(errkind.Draining, "x")))).To(Equal(errkind.Draining))
		Expect(errkind.Kind(9999).NotRun()).To(BeFalse())
		Expect(errkind.Of(nil)).To(Equal(errkind.None))
	})

	// Guards against a refusal that operators cannot look up.
	It("is explained to operators in docs/OPERATIONS.md", func() {
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, k := range errkind.All() {
			Expect(string(page)).To(ContainSubstring("\n| `"+k.String()+"` | "), k.String())
		}
	})

	It("stands in docs/api.md as it is in the code", func() {
		page, err := os.ReadFile("../../docs/api.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(errkind.Markdown()))
	})
})
