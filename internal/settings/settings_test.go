package settings

import (
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func loadFile(path string) error {
	if strings.HasPrefix(filepath.Base(path), "sidecar") {
		_, err := LoadSidecar(path)
		return err
	}
	_, err := LoadGateway(path)
	return err
}

var _ = Describe("settings files", func() {
	DescribeTable("a mistake is reported with file, line, column and what was expected",
		func(name, where, expected string) {
			path := filepath.Join("testdata", name)
			err := loadFile(path)
			Expect(err).To(MatchError(HavePrefix(path + ":" + where)))
			Expect(err).To(MatchError(ContainSubstring(expected)))
		},
		Entry("unknown key", "gateway_unknown_key.bad.yml", "5:3: ", `unknown field "max_boddy"`),
		Entry("value without unit", "gateway_unit.bad.yml", "5:", "a number with a unit"),
		Entry("missing address", "gateway_missing_address.bad.yml", "3:", "peers.listen: expected an IP address and port"),
		Entry("duplicate address", "gateway_duplicate.bad.yml", "7:7: ", "each address once"),
		Entry("model engine without memory", "sidecar_memory.bad.yml", "3:", "mebibytes above zero"),
	)

	It("accepts every good example", func() {
		files, err := filepath.Glob("testdata/*.yml")
		Expect(err).NotTo(HaveOccurred())
		good := 0
		for _, f := range files {
			if strings.HasSuffix(f, ".bad.yml") {
				Expect(loadFile(f)).NotTo(Succeed(), f)
				continue
			}
			Expect(loadFile(f)).To(Succeed(), f)
			good++
		}
		Expect(good).To(BeNumerically(">=", 2))
	})
})
