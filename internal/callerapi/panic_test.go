package callerapi_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a request that ends with a closed connection, without an answer or a log line, because of a panic.
var _ = It("answers a request whose handler panics, and logs why", func() {
	f := startFixture(defaultProfile, 1, 1, answerCompletely)
	f.snap.Store(nil) // without a configuration, the handler panics
	r, text := f.do(bg, "POST", chatPath, completeBody)
	Expect(r.StatusCode).To(Equal(500))
	Expect(errorCode(text)).To(Equal("internal"))
	Expect(f.log.String()).To(ContainSubstring("panic in a request"))
})
