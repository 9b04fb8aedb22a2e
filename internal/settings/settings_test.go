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
		Entry("unknown routing policy", "gateway_policy.bad.yml", "6:3: ", "one of load, probe"),
		Entry("limit lease term shorter than the loan term", "gateway_lease_term.bad.yml", "7:3: ", "a duration above loan_term"),
		Entry("status age below its interval", "gateway_status_age.bad.yml", "7:3: ", "at least status_interval"),
		Entry("planner lease term shorter than the interval",
			"gateway_planner_lease.bad.yml", "7:3: ", "a duration above interval"),
		Entry("host list without a scheme", "gateway_host_list_url.bad.yml", "6:3: ", "a URL such as"),
		Entry("table service with another scheme", "gateway_table_url.bad.yml", "5:3: ", "a URL such as"),
		Entry("certificate without its key", "gateway_peers_tls_key.bad.yml", "5:3: ", "peers.tls.key_file: expected a name"),
		Entry("allowed names without a certificate",
			"gateway_allowed_without_certificate.bad.yml", "5:3: ", "peers.tls.cert_file"),
		Entry("CA for the callers' listener", "gateway_callers_ca.bad.yml", "8:5: ", "callers present no certificate"),
		Entry("wrong byte unit", "gateway_byte_unit.bad.yml", "5:", "B, KiB, MiB or GiB"),
		Entry("malformed URL of the backend server", "sidecar_url.bad.yml", "6:3: ", "a URL such as"),
		Entry("warm concurrency limit below the cold one", "sidecar_concurrency.bad.yml", "7:3: ", "at least cold_concurrency"),
		Entry("freshness below the poll interval", "sidecar_fresh_for.bad.yml", "7:3: ", "at least poll_interval"),
		Entry("unknown kind of backend server", "sidecar_kind.bad.yml", "6:3: ", "one of model, plain"),
		Entry("debug address without a port", "sidecar_debug.bad.yml", "5:1: ", "an IP address and port"),
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
