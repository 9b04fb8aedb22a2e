package callers_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

var _ = Describe("model calls", func() {
	It("answers whole in the published form and refunds unused tokens", func() {
		w := start(usual, 3, 1, answerWhole)
		r, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(body).To(ContainSubstring(`"content":"red lantern"},"finish_reason":"stop"`))
		Expect(body).To(ContainSubstring(`"usage":{"prompt_tokens":5,"completion_tokens":3,"total_tokens":8}`))
		Expect(w.limiter.reserved.Load() - w.limiter.refunded.Load()).To(BeEquivalentTo(8))
		Expect(string(w.sent()[0].GetHttp().GetBody())).To(ContainSubstring(`"max_tokens":9`))
	})

	It("guards against prompt tokens beyond the estimate that are not charged", func() {
		w := start(usual, 3, 1, func(t *talk) {
			t.accept()
			t.chunk("red", 1)
			t.endWith(errkind.None, 500)
		})
		r, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(w.limiter.reserved.Load() - w.limiter.refunded.Load()).To(BeEquivalentTo(501))
	})

	It("tries another replica when the first did not run the request", func() {
		w := start(usual, 3, 2, func(t *talk) {
			if t.submit.Attempt == 1 {
				t.refuse(errkind.Overloaded)
				return
			}
			answerWhole(t)
		})
		r, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(w.attempts.Load()).To(BeEquivalentTo(2))
	})

	// Guards against refusals of requests within the rate while hosts or a data centre leave.
	DescribeTable("tries another replica without a budget after a refusal that has nothing to do with load",
		func(kind errkind.Kind) {
			frugal := usual
			frugal.RetryBudget = 0
			w := start(frugal, 3, 2, func(t *talk) {
				if t.submit.Attempt == 1 {
					t.refuse(kind)
					return
				}
				answerWhole(t)
			})
			r, body := w.do(bg, "POST", chatPath, wholeBody)
			Expect(r.StatusCode).To(Equal(200), body)
		},
		Entry("draining", errkind.Draining),
		Entry("data centre out", errkind.DataCentreOut),
		Entry("model not resident", errkind.ModelNotResident),
	)

	// Guards against attempts spent on the neighbours of a sidecar whose data centre was taken out.
	It("leaves a data centre out after one of its sidecars said that it is out", func() {
		w := start(usual, 2, 4, func(t *talk) {
			_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Refused{Refused: &wirepb.Refused{
				RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Kind: int32(errkind.DataCentreOut),
				Status: &wirepb.Status{Identity: &wirepb.Identity{DataCentre: "gulberg"}}}}})
		})
		address := w.addSidecar("brush-assistant", answerWhole)
		far := proto.CloneOf(w.client.Statuses()[address])
		far.Identity.DataCentre = "model-town"
		w.client.Update(address, far, time.Now())
		r, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(w.attempts.Load()).To(BeEquivalentTo(2))
	})

	It("names the request after the caller's ID, with a part that makes it unique", func() {
		w := start(usual, 3, 1, answerWhole)
		r, _ := w.do(bg, "POST", chatPath, wholeBody, "X-Request-Id", "crew-4")
		Expect(r.Header.Get("X-Request-Id")).To(MatchRegexp(`^crew-4-[0-9a-f]{8}$`))
		r, _ = w.do(bg, "POST", chatPath, wholeBody, "X-Request-Id", testKey)
		Expect(r.Header.Get("X-Request-Id")).NotTo(ContainSubstring("lantern"))
	})

	It("tries another replica when one cannot be reached", func() {
		w := start(usual, 3, 1, answerWhole)
		w.client.Update("127.0.0.1:1", &wirepb.Status{Identity: &wirepb.Identity{DataCentre: "gulberg"}, Kind: "model",
			Service: "brush-assistant", Ready: true, Limit: 160, Resident: []string{"colour-7b"}}, time.Now())
		for range 8 {
			_, body := w.do(bg, "POST", chatPath, wholeBody)
			Expect(body).To(ContainSubstring("red lantern"))
		}
	})

	// Guards against refusals within the rate when the tokens are due before the first token is.
	It("lets a request wait for its tokens if they are due early enough for its target", func() {
		patient := usual
		patient.FirstTokenMS = 10000
		w := start(patient, 3, 1, answerWhole)
		w.limiter.refuseFirst = 2
		w.limiter.refusal = &gateway.RetryError{Err: errkind.New(errkind.RateLimited, "x"), After: 5 * time.Millisecond}
		r, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(w.limiter.calls.Load()).To(BeEquivalentTo(3))
	})

	It("advises the wait that the limit's holder gave", func() {
		w := start(usual, 3, 1, answerWhole)
		w.limiter.refusal = &gateway.RetryError{Err: errkind.New(errkind.RateLimited, "empty"), After: 6100 * time.Millisecond}
		r, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(r.StatusCode).To(Equal(429))
		Expect(code(body)).To(Equal("rate_limited"))
		Expect(r.Header.Get("Retry-After")).To(Equal("7"))
		Expect(w.attempts.Load()).To(BeZero())
	})

	It("makes no retry without a budget", func() {
		profile := usual
		profile.RetryBudget = 0
		w := start(profile, 3, 2, func(t *talk) { t.refuse(errkind.Overloaded) })
		r, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(code(body)).To(Equal("overloaded"))
		Expect(r.Header.Get("Pomelo-Ran")).To(Equal("no"))
		Expect(w.attempts.Load()).To(BeEquivalentTo(1))
		Expect(w.limiter.reserved.Load()).To(Equal(w.limiter.refunded.Load()))
	})

	It("does not say not run when an earlier attempt ran and the last was refused", func() {
		w := start(usual, 2, 2, func(t *talk) {
			if t.submit.Attempt == 1 {
				t.chunk("red", 1)
				return
			}
			t.refuse(errkind.Overloaded)
		})
		r, _ := w.do(bg, "POST", chatPath, wholeBody)
		Expect(r.Header.Get("Pomelo-Ran")).To(Equal("yes"))
		Expect(r.Header.Get("Retry-After")).To(BeEmpty())
	})

	It("ends a stream that breaks for good with an error event and without DONE", func() {
		w := start(usual, 1, 1, func(t *talk) { t.chunk("red", 1) })
		_, body := w.do(bg, "POST", chatPath, streamBody)
		text, done, failed, _ := sseText(body)
		Expect(text).To(Equal("red"))
		Expect(done).To(BeFalse())
		Expect(failed).To(BeTrue())
	})

	It("bounds all attempts by the profile's deadline and cancels at the sidecar", func() {
		cancelled := make(chan string, 8)
		profile := usual
		profile.DeadlineMS = 500
		w := start(profile, 3, 2, func(t *talk) {
			t.accept()
			if e, err := t.Recv(); err == nil {
				cancelled <- e.GetCancel().GetRequestId()
			}
		})
		r, body := w.do(bg, "POST", chatPath, wholeBody)
		Expect(r.StatusCode).To(Equal(504))
		Expect(code(body)).To(Equal("deadline_exceeded"))
		Eventually(cancelled).Should(Receive(Equal(r.Header.Get("X-Request-Id"))))
		Expect(w.sent()[0].GetDeadlineMs()).To(BeNumerically("<=", 500))
	})

	It("cancels at the sidecar when the caller goes away", func() {
		ctx, cancel := context.WithCancel(bg)
		defer cancel()
		cancelled := make(chan struct{})
		w := start(usual, 3, 1, func(t *talk) {
			t.accept()
			cancel()
			if e, err := t.Recv(); err == nil && e.GetCancel() != nil {
				close(cancelled)
			}
		})
		r, err := http.NewRequestWithContext(ctx, "POST", w.edge.URL+chatPath, strings.NewReader(wholeBody))
		must(err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		_, err = http.DefaultClient.Do(r)
		Expect(err).To(MatchError(context.Canceled))
		Eventually(cancelled).Should(BeClosed())
	})

	It("ends the running stream of a withdrawn key", func() {
		var w *world
		w = start(usual, 3, 2, func(t *talk) {
			t.chunk("red", 1)
			s := snapshot(usual, config.Key{ID: "k1", Organisation: "lantern", Digest: config.Digest(testKey), Withdrawn: true})
			w.snap.Store(s)
			w.gateway.CancelWithdrawn(s)
			_, _ = t.Recv()
		})
		_, body := w.do(bg, "POST", chatPath, streamBody)
		_, done, _, _ := sseText(body)
		Expect(done).To(BeFalse())
		Expect(body).To(ContainSubstring("key_withdrawn"))
		Expect(w.attempts.Load()).To(BeEquivalentTo(1))
	})
})
