package fleetgateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// Guards against a request that ends with a closed connection, without an answer, a refusal or a log line, because of a panic.
var _ = It("answers a request whose processing panics, and logs why", func() {
	s := newTestGateway(route(idempotent, 2*time.Second))
	s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
	onCheck := func() { panic("unexpected state") }
	s.onCheck.Store(&onCheck)
	_, a := s.send(http.MethodPost, "/a/", nil, "")
	Expect(a.err).NotTo(HaveOccurred())
	Expect(a.status).To(Equal(http.StatusInternalServerError))
	Expect(s.lines("panic in a request")).To(ContainElement(ContainSubstring("unexpected state")))
	_, a = s.send(http.MethodPost, "/a/", nil, "")
	Expect(a.status).To(Equal(http.StatusOK))
})
