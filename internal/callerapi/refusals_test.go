package callerapi_test

import (
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

var _ = Describe("refusals", func() {
	DescribeTable("invalid requests get the kind of their error and do not run",
		func(want, method, path, body string, headers ...string) {
			f := startFixture(defaultProfile, 3, 1, answerCompletely)
			r, text := f.do(bg, method, path, body, headers...)
			Expect(errorCode(text)).To(Equal(want))
			Expect(r.Header.Get("Pomelo-Ran")).To(Equal("no"))
			Expect(r.Header.Get("X-Request-Id")).NotTo(BeEmpty())
			Expect(f.attempts.Load()).To(BeZero())
		},
		Entry("no key", "key_missing", "POST", chatPath, completeBody, "Authorization", ""),
		Entry("unknown key", "key_unknown", "POST", chatPath, completeBody, "Authorization", "Bearer nobody"),
		Entry("withdrawn key", "key_withdrawn", "POST", chatPath, completeBody, "Authorization", "Bearer withdrawn-key"),
		Entry("unknown route", "route_not_found", "GET", "/v2", ""),
		Entry("unknown service", "route_not_found", "GET", "/services/none/x", ""),
		Entry("wrong method", "method_not_allowed", "GET", chatPath, ""),
		Entry("profile that the service does not allow", "profile_not_allowed", "POST", chatPath, completeBody,
			"Pomelo-Profile", "night"),
		Entry("unknown model", "model_unknown", "POST", chatPath, strings.Replace(completeBody, "7b", "9b", 1)),
		Entry("malformed JSON", "bad_request", "POST", chatPath, completeBody[:40]),
		Entry("null", "bad_request", "POST", chatPath, "null"),
		Entry("invalid UTF-8", "bad_request", "POST", chatPath, strings.Replace(completeBody, "crew", "\xff", 1)),
		Entry("negative tokens", "bad_request", "POST", chatPath, strings.Replace(completeBody, ":9", ":-9", 1)),
		Entry("huge tokens", "bad_request", "POST", chatPath, strings.Replace(completeBody, ":9", ":9e99", 1)),
		Entry("more tokens than the profile allows", "bad_request", "POST", chatPath, strings.Replace(completeBody, ":9", ":65", 1)),
		Entry("no messages", "bad_request", "POST", chatPath, `{"model":"colour-7b","messages":[]}`),
		Entry("large body", "body_too_large", "POST", chatPath, strings.Repeat(" ", 5000)),
		Entry("parent segment", "bad_request", "GET", "/services/lantern-ledger/%2e%2e/admin", ""),
	)

	It("closes the connection when a refused caller does not send the body", func() {
		f := startFixture(defaultProfile, 1, 1, answerCompletely)
		conn, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_ = conn.SetReadDeadline(time.Now().Add(20 * bodyTimeout))
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(ContainSubstring("key_missing"))
	})

	It("answers every kind that a sidecar returns according to the error table", func() {
		for _, k := range errkind.All() {
			f := newFixture(defaultProfile, 1, 1, func(t *conversation) { t.refuse(k) })
			r, body := f.do(bg, "POST", "/services/lantern-ledger/bookings", `{}`)
			f.close()
			answer := k.Answer()
			Expect(r.StatusCode).To(Equal(answer.HTTPStatus), answer.Code)
			Expect(errorCode(body)).To(Equal(answer.Code))
			Expect(r.Header.Get("Pomelo-Ran")).To(Equal(string(answer.Ran)), answer.Code)
			Expect(r.Header.Get("Retry-After") != "").To(Equal(answer.RetryAfter > 0), answer.Code)
		}
	})

	It("refuses new requests during shutdown and lets running ones end", func() {
		running, finish := make(chan struct{}), make(chan struct{})
		f := startFixture(defaultProfile, 1, 1, func(t *conversation) {
			close(running)
			<-finish
			answerCompletely(t)
		})
		got := make(chan int)
		go func() {
			r, _ := f.do(bg, "POST", chatPath, completeBody)
			got <- r.StatusCode
		}()
		Eventually(running).Should(BeClosed())
		f.server.AnnounceShutdown()
		r, _ := f.do(bg, "GET", "/v1/models", "")
		Expect(r.StatusCode).To(Equal(200))
		Expect(r.Close).To(BeTrue())
		f.gateway.Drain()
		_, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(errorCode(body)).To(Equal("draining"))
		r, _ = f.do(bg, "GET", "/readyz", "")
		Expect(r.StatusCode).To(Equal(503))
		close(finish)
		Eventually(got).WithTimeout(5 * time.Second).Should(Receive(Equal(200)))
	})
})
