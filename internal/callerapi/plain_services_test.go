package callerapi_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/prototext"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

var _ = Describe("plain services", func() {
	It("makes only one attempt of a call that is not repeatable, even if the connection is lost", func() {
		f := startFixture(defaultProfile, 3, 2, func(*conversation) {})
		r, body := f.do(bg, "POST", "/services/lantern-ledger/bookings?a=1", `{}`)
		Expect(errorCode(body)).To(Equal("outcome_unknown"))
		Expect(r.Header.Get("Pomelo-Ran")).To(Equal("unknown"))
		Expect(f.attempts.Load()).To(BeEquivalentTo(1))
	})

	It("does not report a request as not run after it was handed over, whatever kind the error has", func() {
		f := startFixture(defaultProfile, 3, 2, func(t *conversation) {
			t.accept()
			t.end(errkind.Draining)
		})
		r, _ := f.do(bg, "POST", "/services/lantern-ledger/bookings", `{}`)
		Expect(r.Header.Get("Pomelo-Ran")).To(Equal("unknown"))
		Expect(f.attempts.Load()).To(BeEquivalentTo(1))
	})

	It("repeats a GET request whose connection is lost", func() {
		f := startFixture(defaultProfile, 3, 2, func(t *conversation) {
			if t.submit.Attempt > 1 {
				t.chunk("hung", 0)
				t.end(errkind.None)
			}
		})
		r, body := f.do(bg, "GET", "/services/lantern-ledger/status/9", "")
		Expect(r.StatusCode).To(Equal(200))
		Expect(body).To(Equal("hung"))
	})

	It("closes the connection early when a body breaks off after its first byte", func() {
		f := startFixture(defaultProfile, 3, 2, func(t *conversation) { t.chunk("hu", 0) })
		_, body := f.do(bg, "GET", "/services/lantern-ledger/status/9", "")
		Expect(body).To(Equal("hu [truncated]"))
	})

	DescribeTable("a frame out of protocol closes the conversation",
		func(change func(c *wirepb.Chunk)) {
			f := startFixture(defaultProfile, 3, 2, func(t *conversation) {
				c := &wirepb.Chunk{RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Sequence: 1, HttpStatus: 200}
				change(c)
				t.send(c)
				t.sequence = 1
				t.end(errkind.None)
			})
			_, body := f.do(bg, "POST", "/services/lantern-ledger/bookings", `{}`)
			Expect(errorCode(body)).To(Equal("protocol_error"))
			Expect(f.client.ProtocolErrors()).To(BeEquivalentTo(1))
			Expect(f.attempts.Load()).To(BeEquivalentTo(1))
		},
		Entry("other request", func(c *wirepb.Chunk) { c.RequestId = "other" }),
		Entry("wrong attempt", func(c *wirepb.Chunk) { c.Attempt++ }),
		Entry("gap", func(c *wirepb.Chunk) { c.Sequence = 2 }),
		Entry("repetition", func(c *wirepb.Chunk) { c.Sequence = 0 }),
	)

	It("passes no key to the sidecar or the log, wherever the request contains it", func() {
		f := startFixture(defaultProfile, 1, 1, func(t *conversation) { t.refuse(errkind.Overloaded) })
		query := "?api_key=" + testKey + "&key=" + testKey + "&crew=4&x=a" + testKey
		_, body := f.do(bg, "PUT", "/services/lantern-ledger/jobs/7"+query, `{}`, "X-Api-Key", testKey, "Api-Key", testKey,
			"Cookie", "a=1; s="+testKey+"; b=2", "X-Extra", "v "+testKey, "X-Kept", "yes", "Connection", "X-Hop", "X-Hop", "1")
		Expect(errorCode(body)).To(Equal("overloaded"))
		submit := f.submitted()[0]
		text := prototext.Format(submit)
		Expect(text).NotTo(ContainSubstring(testKey))
		Expect(f.log.String()).NotTo(ContainSubstring(testKey))
		Expect(f.log.String()).To(ContainSubstring("routing decision"))
		Expect(submit.GetHttp().GetQuery()).To(Equal("crew=4"))
		Expect(text).To(ContainSubstring(`"a=1; b=2"`))
		Expect(text).To(ContainSubstring("X-Kept"))
		Expect(text).NotTo(ContainSubstring("X-Hop"))
		Expect(submit.GetKeyId()).To(Equal("k1"))
	})

	It("serves an open service without a key", func() {
		f := startFixture(defaultProfile, 1, 1, func(t *conversation) { t.chunk("open", 0); t.end(errkind.None) })
		_, body := f.do(bg, "GET", "/services/notices/today", "", "Authorization", "")
		Expect(body).To(Equal("open"))
	})
})
