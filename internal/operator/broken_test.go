package operator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
)

// Guards against an operator who is told that a prompt is served again, or which ones are refused, by an answer that is broken.
var _ = Describe("a gateway's answer with a malformed head", func() {
	for name, head := range rawserver.MalformedHeads("") {
		It(name+" fails the command", func() {
			server, err := rawserver.Start(rawserver.Answer{Text: head + "[  ]"})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Stop)
			cli := new(testCLI)
			Expect(cli.run("prompt", "refused", "-gateway", server.Address)).NotTo(BeZero())
			Expect(cli.run("prompt", "clear", "-gateway", server.Address, "a1")).NotTo(BeZero())
			Expect(server.Requests()).To(Equal(2))
		})
	}

	It("is read if it is sound", func() {
		server, err := rawserver.Start(rawserver.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[  ]"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Stop)
		cli := new(testCLI)
		Expect(cli.run("prompt", "refused", "-gateway", server.Address)).To(BeZero(), cli.stderr)
	})
})
