package hostlist_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
	"github.com/pomelowheel/pomelowheel/internal/hostlist"
)

// Guards against a list that is put into use although the head of its answer is malformed.
var _ = Describe("an answer with a malformed head", func() {
	for name, head := range rawserver.MalformedHeads("") {
		It(name+" is no host list", func() {
			server, err := rawserver.Start(rawserver.Answer{Text: head + "[  ]"})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Stop)
			list := hostlist.New(hostlist.Options{URL: "http://" + server.Address + "/hosts"})
			Expect(list.Poll(context.Background())).NotTo(Succeed())
			_, read := list.Age()
			Expect(read).To(BeFalse())
		})
	}
})
