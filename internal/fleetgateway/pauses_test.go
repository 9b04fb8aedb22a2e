package fleetgateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// busyFor returns a handler that rejects each request with 503 and the given Retry-After.
func busyFor(retryAfter string) http.HandlerFunc {
	return status(http.StatusServiceUnavailable, "X-Not-Executed", "1", "Retry-After", retryAfter)
}

// expectRefusal expects a refusal at once that says when to return, in seconds.
func expectRefusal(a response, least, most float64) {
	GinkgoHelper()
	Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	Expect(a.duration).To(BeNumerically("<", 500*time.Millisecond))
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	Expect(seconds).To(And(BeNumerically(">", least), BeNumerically("<=", most)))
}

// Guards against requests to a server during its Retry-After, and against callers that are told to return before it ends.
var _ = Describe("a server that asks for a pause", func() {
	DescribeTable("gets no request in that time", func(retryAfter string, pause time.Duration) {
		s := newTestGateway(route(once, 2*time.Second))
		b := s.addBackend("i-1", busyFor(retryAfter))
		least, most := pause.Seconds()-0.2, max(pause.Seconds(), 0.1)
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		expectRefusal(a, least, most)
		b.setAnswer(status(http.StatusOK))
		for range 5 {
			_, a = s.send(http.MethodPost, "/a/", nil, "")
			expectRefusal(a, least, most)
		}
		Expect(b.received.Load()).To(BeEquivalentTo(1))
		Expect(s.lines("server asks for a pause")).To(HaveLen(1))
		s.clockOffset.Add(int64(pause))
		_, a = s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
	},
		Entry("a fraction of a second", "0.45", 450*time.Millisecond),
		Entry("seconds", " 5 ", 5*time.Second),
		Entry("a minute", "60", time.Minute),
		Entry("longer than the gateway keeps to", "1e9", time.Hour),
	)

	DescribeTable("goes on to get requests", func(unreadable bool, answer http.HandlerFunc) {
		s := newTestGateway(route(once, 2*time.Second))
		b := s.addBackend("i-1", answer)
		s.send(http.MethodPost, "/a/", nil, "")
		b.setAnswer(status(http.StatusOK))
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		lines := s.lines("header of the server's response not readable")
		if !unreadable {
			Expect(lines).To(BeEmpty())
			return
		}
		Expect(lines).To(HaveLen(1))
		Expect(lines[0]).To(And(ContainSubstring(`"server":"i-1"`), ContainSubstring(`"request_id":"request-`), ContainSubstring(`"WARN"`)))
		Expect(len(lines[0])).To(BeNumerically("<", 400))
	},
		Entry("if the pause is 0", false, busyFor("0")),
		Entry("if the header has a date", true, busyFor("Fri, 04 Dec 2026 08:00:00 GMT")),
		Entry("if the header is empty", true, busyFor("")),
		Entry("if the pause is negative", true, busyFor("-5")),
		Entry("if the header is long garbage", true, busyFor(strings.Repeat("x\t", 1000))),
		Entry("if the answer is not 503", false, status(http.StatusTooManyRequests, "X-Not-Executed", "1", "Retry-After", "60")),
		Entry("if it only seems to say that it leaves", true, status(http.StatusOK, "Server-Leaving", "true")),
	)

	It("leaves requests to the others, and when all ask, callers return with the first of them", func() {
		s := newTestGateway(route(once, 4*time.Second))
		first := s.addBackend("i-1", busyFor("60"))
		s.send(http.MethodPost, "/a/", nil, "")
		second := s.addBackend("i-2", status(http.StatusOK))
		for range 3 {
			_, a := s.send(http.MethodPost, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusOK))
		}
		second.setAnswer(busyFor("20"))
		for range 5 {
			_, a := s.send(http.MethodPost, "/a/", nil, "")
			expectRefusal(a, 19, 20)
		}
		Expect(first.received.Load()).To(BeEquivalentTo(1))
		Expect(second.received.Load()).To(BeEquivalentTo(4))
		second.setAnswer(status(http.StatusOK))
		s.clockOffset.Add(int64(21 * time.Second))
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
	})

	// Guards against a caller that is told to return at once after the last allowed attempt was rejected.
	It("tells the caller when to return after the last attempt, too", func() {
		s := newTestGateway(route(once, 4*time.Second))
		for i, pause := range []string{"60", "20", "30", "40"} {
			s.addBackend(fmt.Sprintf("i-%d", i), busyFor(pause))
		}
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		expectRefusal(a, 19, 20)
	})

	It("goes on with the requests that it has", func() {
		s := newTestGateway(route(once, 4*time.Second))
		release := make(chan struct{})
		b := s.addBackend("i-1", after(release, status(http.StatusOK)))
		first := s.inBackground("first", nil)
		Eventually(b.received.Load, "2s", "5ms").Should(BeEquivalentTo(1))
		b.setAnswer(busyFor("60"))
		s.send(http.MethodPost, "/a/", nil, "")
		close(release)
		Expect((<-first).status).To(Equal(http.StatusOK))
	})

	It("is not asked for a stream that another server broke off", func() {
		s := newTestGateway(route(resumable, 4*time.Second))
		b := s.addBackend("i-1", busyFor("60"))
		s.send(http.MethodPost, "/a/", nil, "")
		b.setAnswer(status(http.StatusOK, "Content-Type", "text/event-stream"))
		s.addBackend("i-2", rawAnswer("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: %s\r\n\r\nid: 0\ndata: x\n\nid", true))
		s.send(http.MethodPost, "/a/", nil, "")
		Expect(b.received.Load()).To(BeEquivalentTo(1))
	})

	DescribeTable("does not make requests wait for a model that only it could serve", func(others ...string) {
		s := newTestGateway(route(once, 9*time.Second), engine)
		b := s.addBackend("i-1", busyFor("60"), "m")
		model := map[string]string{"X-Model": "m", "X-Token-Usage": "10,10", "X-Deadline-Ms": "8000"}
		s.send(http.MethodPost, "/a/", model, "")
		for _, id := range others {
			s.addBackend(id, status(http.StatusOK)) // without the model
		}
		if len(others) == 0 {
			s.update(b, func(r *fleet.Replica) { r.Models = nil })
		}
		_, a := s.send(http.MethodPost, "/a/", model, "")
		expectRefusal(a, 55, 60)
		Expect(b.received.Load()).To(BeEquivalentTo(1))
	},
		Entry("because no other holds it", "i-2"),
		Entry("because there is no other"),
	)
})
