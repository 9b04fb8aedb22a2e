package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestScenario(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scenario")
}

const examples = "../../../examples/scenarios"

var _ = Describe("the loader", func() {
	It("accepts every example that is not marked as bad", func() {
		paths, err := filepath.Glob(filepath.Join(examples, "*.yml"))
		Expect(err).NotTo(HaveOccurred())
		good := 0
		for _, path := range paths {
			if strings.HasSuffix(path, ".bad.yml") {
				continue
			}
			_, err := Load(path)
			Expect(err).NotTo(HaveOccurred())
			good++
		}
		Expect(good).To(BeNumerically(">=", 2))
	})

	It("reports each fault of the bad examples, so that no run starts from a wrong file", func() {
		paths, err := filepath.Glob(filepath.Join(examples, "*.bad.yml"))
		Expect(err).NotTo(HaveOccurred())
		Expect(paths).NotTo(BeEmpty())
		for _, path := range paths {
			source, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			_, err = Load(path)
			Expect(err).To(HaveOccurred(), path)
			Expect(err.Error()).To(ContainSubstring(filepath.Base(path)))
			expected := 0
			for line := range strings.Lines(string(source)) {
				if want, ok := strings.CutPrefix(line, "# expect: "); ok {
					expected++
					Expect(err.Error()).To(ContainSubstring(strings.TrimSpace(want)), path)
				}
			}
			Expect(expected).To(BeNumerically(">", 0), path)
		}
	})

	It("expands the examples to their number of models and adapters", func() {
		for file, want := range map[string][2]int{"lantern-works.yml": {20, 75}, "halvorsen.yml": {35, 95}} {
			s, err := Load(filepath.Join(examples, file))
			Expect(err).NotTo(HaveOccurred())
			var got [2]int
			for _, m := range s.ModelList() {
				if m.Adapter() {
					got[1]++
				} else {
					got[0]++
				}
			}
			Expect(got).To(Equal(want), file)
			Expect(s.Organisations).To(HaveLen(5), file)
			Expect(s.DataCentres).To(HaveLen(3), file)
		}
	})
})
