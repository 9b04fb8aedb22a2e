package process_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/settings"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

// runMain calls Main for the gateway or the sidecar, by the name of the settings file. It returns the exit code, the text
// written to standard error, and whether run was called.
func runMain(path string, flags ...string) (code int, stderr string, ran bool) {
	var out bytes.Buffer
	args := append([]string{"-config", path}, flags...)
	if strings.HasPrefix(filepath.Base(path), "sidecar") {
		code = process.Main("pomelo-sidecar", args, &out, settings.LoadSidecar,
			func(*settings.Sidecar) error { ran = true; return nil })
	} else {
		code = process.Main("pomelo-gateway", args, &out, settings.LoadGateway,
			func(*settings.Gateway) error { ran = true; return nil })
	}
	return code, out.String(), ran
}

// Only run opens sockets. Guards against an invalid settings file that is detected only after callers have connected, and
// against a -check that starts the process.
var _ = Describe("Main", func() {
	It("rejects every invalid settings file before anything is opened", func() {
		files, err := filepath.Glob("../settings/testdata/*.bad.yml")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(files)).To(BeNumerically(">", 15))
		for _, f := range append(files, "missing.yml") {
			for _, flags := range [][]string{nil, {"-check"}} {
				code, stderr, ran := runMain(f, flags...)
				Expect(code).To(Equal(process.ExitSettings), f)
				Expect(stderr).To(ContainSubstring(f))
				Expect(ran).To(BeFalse(), f)
			}
		}
	})

	It("only checks a valid settings file with -check, and calls run without it", func() {
		for _, f := range []string{"../settings/testdata/gateway_tls.yml", "../settings/testdata/sidecar_plain.yml"} {
			code, stderr, ran := runMain(f, "-check")
			Expect([]any{code, stderr, ran}).To(Equal([]any{process.ExitDone, "", false}))
			code, _, ran = runMain(f)
			Expect([]any{code, ran}).To(Equal([]any{process.ExitDone, true}))
		}
	})

	It("refuses a start without a settings file", func() {
		code, stderr, ran := runMain("")
		Expect([]any{code, ran}).To(Equal([]any{process.ExitSettings, false}))
		Expect(stderr).To(ContainSubstring("usage: pomelo-gateway"))
	})
})
