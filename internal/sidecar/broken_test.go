package sidecar

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against an answer whose head is malformed that reaches a gateway, or is recorded as the outcome of its call and replayed.
var _ = Describe("a plain service's answer with a malformed head", func() {
	for name, head := range rawserver.MalformedHeads("") {
		It(name+" leaves the outcome unknown", func() {
			service, err := rawserver.Start(rawserver.Answer{Text: head + "four"})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(service.Stop)
			h := newHarness("plain", "yard", "http://"+service.Address)
			for i, want := range []errkind.Kind{errkind.OutcomeUnknown, errkind.IdempotencyInProgress} {
				a := h.do(&wirepb.Submit{
					RequestId: fmt.Sprint("r", i), Attempt: 1, Organisation: "org", KeyId: "key", ConfigVersion: 1, Service: "yard",
					Profile: "clerk", DeadlineMs: 30_000, IdempotencyKey: "tow-7",
					Http: &wirepb.HTTPRequest{Method: http.MethodPost, Path: "/book", Body: []byte("x")},
				})
				Expect(a.kind).To(Equal(want))
				Expect(a.replayed).To(BeFalse())
				Expect(a.status).To(BeZero())
			}
			Expect(service.Requests()).To(Equal(1))
		})
	}
})
