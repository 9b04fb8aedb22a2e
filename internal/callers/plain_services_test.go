package callers_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/prototext"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

var _ = Describe("plain services", func() {
	It("dispatches a call that may not be repeated once, also if the connection is lost", func() {
		w := start(usual, 3, 2, func(*talk) {})
		r, body := w.do(bg, "POST", "/services/lantern-ledger/bookings?a=1", `{}`)
		Expect(code(body)).To(Equal("outcome_unknown"))
		Expect(r.Header.Get("Pomelo-Ran")).To(Equal("unknown"))
		Expect(w.attempts.Load()).To(BeEquivalentTo(1))
	})

	It("takes no error after hand-over for not run, whatever kind it has", func() {
		w := start(usual, 3, 2, func(t *talk) {
			t.accept()
			t.end(errkind.Draining)
		})
		r, _ := w.do(bg, "POST", "/services/lantern-ledger/bookings", `{}`)
		Expect(r.Header.Get("Pomelo-Ran")).To(Equal("unknown"))
		Expect(w.attempts.Load()).To(BeEquivalentTo(1))
	})

	It("repeats a lookup whose connection is lost", func() {
		w := start(usual, 3, 2, func(t *talk) {
			if t.submit.Attempt > 1 {
				t.chunk("hung", 0)
				t.end(errkind.None)
			}
		})
		r, body := w.do(bg, "GET", "/services/lantern-ledger/status/9", "")
		Expect(r.StatusCode).To(Equal(200))
		Expect(body).To(Equal("hung"))
	})

	It("cuts the connection when a body breaks after its first byte", func() {
		w := start(usual, 3, 2, func(t *talk) { t.chunk("hu", 0) })
		_, body := w.do(bg, "GET", "/services/lantern-ledger/status/9", "")
		Expect(body).To(Equal("hu [cut]"))
	})

	DescribeTable("a frame that does not belong closes the conversation",
		func(change func(c *wirepb.Chunk)) {
			w := start(usual, 3, 2, func(t *talk) {
				c := &wirepb.Chunk{RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Sequence: 1, HttpStatus: 200}
				change(c)
				t.send(c)
				t.next = 1
				t.end(errkind.None)
			})
			_, body := w.do(bg, "POST", "/services/lantern-ledger/bookings", `{}`)
			Expect(code(body)).To(Equal("protocol_error"))
			Expect(w.client.ProtocolErrors()).To(BeEquivalentTo(1))
			Expect(w.attempts.Load()).To(BeEquivalentTo(1))
		},
		Entry("foreign request", func(c *wirepb.Chunk) { c.RequestId = "other" }),
		Entry("late attempt", func(c *wirepb.Chunk) { c.Attempt++ }),
		Entry("gap", func(c *wirepb.Chunk) { c.Sequence = 2 }),
		Entry("repetition", func(c *wirepb.Chunk) { c.Sequence = 0 }),
	)

	It("passes no key to the sidecar or the log, wherever the caller put it", func() {
		w := start(usual, 1, 1, func(t *talk) { t.refuse(errkind.Overloaded) })
		query := "?api_key=" + testKey + "&key=" + testKey + "&crew=4&x=a" + testKey
		_, body := w.do(bg, "PUT", "/services/lantern-ledger/jobs/7"+query, `{}`, "X-Api-Key", testKey, "Api-Key", testKey,
			"Cookie", "a=1; s="+testKey+"; b=2", "X-Extra", "v "+testKey, "X-Kept", "yes", "Connection", "X-Hop", "X-Hop", "1")
		Expect(code(body)).To(Equal("overloaded"))
		submit := w.sent()[0]
		text := prototext.Format(submit)
		Expect(text).NotTo(ContainSubstring(testKey))
		Expect(w.log.String()).NotTo(ContainSubstring(testKey))
		Expect(w.log.String()).To(ContainSubstring("routing decision"))
		Expect(submit.GetHttp().GetQuery()).To(Equal("crew=4"))
		Expect(text).To(ContainSubstring(`"a=1; b=2"`))
		Expect(text).To(ContainSubstring("X-Kept"))
		Expect(text).NotTo(ContainSubstring("X-Hop"))
		Expect(submit.GetKeyId()).To(Equal("k1"))
	})

	It("serves an open service without a key", func() {
		w := start(usual, 1, 1, func(t *talk) { t.chunk("open", 0); t.end(errkind.None) })
		_, body := w.do(bg, "GET", "/services/notices/today", "", "Authorization", "")
		Expect(body).To(Equal("open"))
	})
})
