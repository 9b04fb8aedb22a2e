package callers_test

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
	DescribeTable("each mistake has its kind and did not run",
		func(want, method, path, body string, headers ...string) {
			w := start(usual, 3, 1, answerWhole)
			r, text := w.do(bg, method, path, body, headers...)
			Expect(code(text)).To(Equal(want))
			Expect(r.Header.Get("Pomelo-Ran")).To(Equal("no"))
			Expect(r.Header.Get("X-Request-Id")).NotTo(BeEmpty())
			Expect(w.attempts.Load()).To(BeZero())
		},
		Entry("no key", "key_missing", "POST", chatPath, wholeBody, "Authorization", ""),
		Entry("unknown key", "key_unknown", "POST", chatPath, wholeBody, "Authorization", "Bearer nobody"),
		Entry("withdrawn key", "key_withdrawn", "POST", chatPath, wholeBody, "Authorization", "Bearer withdrawn-key"),
		Entry("unknown route", "route_not_found", "GET", "/v2", ""),
		Entry("unknown service", "route_not_found", "GET", "/services/none/x", ""),
		Entry("wrong method", "method_not_allowed", "GET", chatPath, ""),
		Entry("foreign profile", "profile_not_allowed", "POST", chatPath, wholeBody, "Pomelo-Profile", "night"),
		Entry("unknown model", "model_unknown", "POST", chatPath, strings.Replace(wholeBody, "7b", "9b", 1)),
		Entry("broken JSON", "bad_request", "POST", chatPath, wholeBody[:40]),
		Entry("null", "bad_request", "POST", chatPath, "null"),
		Entry("invalid UTF-8", "bad_request", "POST", chatPath, strings.Replace(wholeBody, "crew", "\xff", 1)),
		Entry("negative tokens", "bad_request", "POST", chatPath, strings.Replace(wholeBody, ":9", ":-9", 1)),
		Entry("huge tokens", "bad_request", "POST", chatPath, strings.Replace(wholeBody, ":9", ":9e99", 1)),
		Entry("more tokens than the profile allows", "bad_request", "POST", chatPath, strings.Replace(wholeBody, ":9", ":65", 1)),
		Entry("no messages", "bad_request", "POST", chatPath, `{"model":"colour-7b","messages":[]}`),
		Entry("large body", "body_too_large", "POST", chatPath, strings.Repeat(" ", 5000)),
		Entry("parent segment", "bad_request", "GET", "/services/lantern-ledger/%2e%2e/admin", ""),
	)

	It("holds no connection for a body that a refused caller does not send", func() {
		w := start(usual, 1, 1, answerWhole)
		conn, err := net.Dial("tcp", w.edge.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_ = conn.SetReadDeadline(time.Now().Add(20 * bodyTimeout))
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(ContainSubstring("key_missing"))
	})

	It("answers every kind that a sidecar may give by the table", func() {
		for _, k := range errkind.All() {
			w := newWorld(usual, 1, 1, func(t *talk) { t.refuse(k) })
			r, body := w.do(bg, "POST", "/services/lantern-ledger/bookings", `{}`)
			w.close()
			answer := k.Answer()
			Expect(r.StatusCode).To(Equal(answer.HTTPStatus), answer.Code)
			Expect(code(body)).To(Equal(answer.Code))
			Expect(r.Header.Get("Pomelo-Ran")).To(Equal(string(answer.Ran)), answer.Code)
			Expect(r.Header.Get("Retry-After") != "").To(Equal(answer.RetryAfter > 0), answer.Code)
		}
	})

	It("refuses new work while leaving and lets a running request end", func() {
		running, finish := make(chan struct{}), make(chan struct{})
		w := start(usual, 1, 1, func(t *talk) {
			close(running)
			<-finish
			answerWhole(t)
		})
		got := make(chan int)
		go func() {
			r, _ := w.do(bg, "POST", chatPath, wholeBody)
			got <- r.StatusCode
		}()
		Eventually(running).Should(BeClosed())
		w.server.Leave()
		r, _ := w.do(bg, "GET", "/v1/models", "")
		Expect(r.StatusCode).To(Equal(200))
		Expect(r.Close).To(BeTrue())
		w.gateway.Drain()
		_, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(code(body)).To(Equal("draining"))
		r, _ = w.do(bg, "GET", "/readyz", "")
		Expect(r.StatusCode).To(Equal(503))
		close(finish)
		Eventually(got).WithTimeout(5 * time.Second).Should(Receive(Equal(200)))
	})
})
