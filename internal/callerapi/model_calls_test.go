package callerapi_test

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
	It("answers a call without streaming in the chat-completions form and refunds unused tokens", func() {
		f := startFixture(defaultProfile, 3, 1, answerCompletely)
		r, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(body).To(ContainSubstring(`"content":"red lantern"},"finish_reason":"stop"`))
		Expect(body).To(ContainSubstring(`"usage":{"prompt_tokens":5,"completion_tokens":3,"total_tokens":8}`))
		Expect(f.limiter.reserved.Load() - f.limiter.refunded.Load()).To(BeEquivalentTo(8))
		Expect(string(f.submitted()[0].GetHttp().GetBody())).To(ContainSubstring(`"max_tokens":9`))
	})

	It("charges prompt tokens beyond the estimate", func() {
		f := startFixture(defaultProfile, 3, 1, func(t *conversation) {
			t.accept()
			t.chunk("red", 1)
			t.endWith(errkind.None, 500)
		})
		r, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(f.limiter.reserved.Load() - f.limiter.refunded.Load()).To(BeEquivalentTo(501))
	})

	It("tries another replica when the first did not run the request", func() {
		f := startFixture(defaultProfile, 3, 2, func(t *conversation) {
			if t.submit.Attempt == 1 {
				t.refuse(errkind.Overloaded)
				return
			}
			answerCompletely(t)
		})
		r, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(f.attempts.Load()).To(BeEquivalentTo(2))
	})

	// Guards against refusals of requests within the rate while hosts or a data centre are taken out of service.
	DescribeTable("tries another replica without a retry budget after a refusal that is unrelated to load",
		func(kind errkind.Kind) {
			noRetryBudget := defaultProfile
			noRetryBudget.RetryBudget = 0
			f := startFixture(noRetryBudget, 3, 2, func(t *conversation) {
				if t.submit.Attempt == 1 {
					t.refuse(kind)
					return
				}
				answerCompletely(t)
			})
			r, body := f.do(bg, "POST", chatPath, completeBody)
			Expect(r.StatusCode).To(Equal(200), body)
		},
		Entry("draining", errkind.Draining),
		Entry("data centre out", errkind.DataCentreOut),
		Entry("model not resident", errkind.ModelNotResident),
	)

	// Guards against attempts spent on other sidecars of a data centre that was taken out of service.
	It("excludes a data centre after one of its sidecars reported that it is out of service", func() {
		f := startFixture(defaultProfile, 2, 4, func(t *conversation) {
			_ = t.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Refused{Refused: &wirepb.Refused{
				RequestId: t.submit.RequestId, Attempt: t.submit.Attempt, Kind: int32(errkind.DataCentreOut),
				Status: &wirepb.Status{Identity: &wirepb.Identity{DataCentre: "gulberg"}}}}})
		})
		address := f.addSidecar("brush-assistant", answerCompletely)
		remoteStatus := proto.CloneOf(f.client.Statuses()[address])
		remoteStatus.Identity.DataCentre = "model-town"
		f.client.Update(address, remoteStatus, time.Now())
		r, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(f.attempts.Load()).To(BeEquivalentTo(2))
	})

	It("begins the request ID with the caller's ID and adds a unique suffix", func() {
		f := startFixture(defaultProfile, 3, 1, answerCompletely)
		r, _ := f.do(bg, "POST", chatPath, completeBody, "X-Request-Id", "crew-4")
		Expect(r.Header.Get("X-Request-Id")).To(MatchRegexp(`^crew-4-[0-9a-f]{8}$`))
		r, _ = f.do(bg, "POST", chatPath, completeBody, "X-Request-Id", testKey)
		Expect(r.Header.Get("X-Request-Id")).NotTo(ContainSubstring("lantern"))
	})

	It("tries another replica when one cannot be reached", func() {
		f := startFixture(defaultProfile, 3, 1, answerCompletely)
		f.client.Update("127.0.0.1:1", &wirepb.Status{Identity: &wirepb.Identity{DataCentre: "gulberg"}, Kind: "model",
			Service: "brush-assistant", Ready: true, Limit: 160, Resident: []string{"colour-7b"}}, time.Now())
		for range 8 {
			_, body := f.do(bg, "POST", chatPath, completeBody)
			Expect(body).To(ContainSubstring("red lantern"))
		}
	})

	// Guards against refusals within the rate when the tokens become available before the first token is due.
	It("lets a request wait for its tokens if they become available early enough for its first-token target", func() {
		withTarget := defaultProfile
		withTarget.FirstTokenMS = 10000
		f := startFixture(withTarget, 3, 1, answerCompletely)
		f.limiter.refuseFirst = 2
		f.limiter.refusal = &gateway.RetryError{Err: errkind.New(errkind.RateLimited, "x"), After: 5 * time.Millisecond}
		r, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(r.StatusCode).To(Equal(200), body)
		Expect(f.limiter.calls.Load()).To(BeEquivalentTo(3))
	})

	It("sends the wait that the limit holder returned as Retry-After", func() {
		f := startFixture(defaultProfile, 3, 1, answerCompletely)
		f.limiter.refusal = &gateway.RetryError{Err: errkind.New(errkind.RateLimited, "empty"), After: 6100 * time.Millisecond}
		r, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(r.StatusCode).To(Equal(429))
		Expect(errorCode(body)).To(Equal("rate_limited"))
		Expect(r.Header.Get("Retry-After")).To(Equal("7"))
		Expect(f.attempts.Load()).To(BeZero())
	})

	It("does not retry without a retry budget", func() {
		profile := defaultProfile
		profile.RetryBudget = 0
		f := startFixture(profile, 3, 2, func(t *conversation) { t.refuse(errkind.Overloaded) })
		r, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(errorCode(body)).To(Equal("overloaded"))
		Expect(r.Header.Get("Pomelo-Ran")).To(Equal("no"))
		Expect(f.attempts.Load()).To(BeEquivalentTo(1))
		Expect(f.limiter.reserved.Load()).To(Equal(f.limiter.refunded.Load()))
	})

	It("does not report a request as not run when an earlier attempt ran and the last was refused", func() {
		f := startFixture(defaultProfile, 2, 2, func(t *conversation) {
			if t.submit.Attempt == 1 {
				t.chunk("red", 1)
				return
			}
			t.refuse(errkind.Overloaded)
		})
		r, _ := f.do(bg, "POST", chatPath, completeBody)
		Expect(r.Header.Get("Pomelo-Ran")).To(Equal("yes"))
		Expect(r.Header.Get("Retry-After")).To(BeEmpty())
	})

	It("ends a stream that cannot be resumed with an error event and without [DONE]", func() {
		f := startFixture(defaultProfile, 1, 1, func(t *conversation) { t.chunk("red", 1) })
		_, body := f.do(bg, "POST", chatPath, streamBody)
		text, done, failed, _ := sseText(body)
		Expect(text).To(Equal("red"))
		Expect(done).To(BeFalse())
		Expect(failed).To(BeTrue())
	})

	It("limits all attempts together to the profile's deadline and cancels at the sidecar", func() {
		cancelled := make(chan string, 8)
		profile := defaultProfile
		profile.DeadlineMS = 500
		f := startFixture(profile, 3, 2, func(t *conversation) {
			t.accept()
			if e, err := t.Recv(); err == nil {
				cancelled <- e.GetCancel().GetRequestId()
			}
		})
		r, body := f.do(bg, "POST", chatPath, completeBody)
		Expect(r.StatusCode).To(Equal(504))
		Expect(errorCode(body)).To(Equal("deadline_exceeded"))
		Eventually(cancelled).Should(Receive(Equal(r.Header.Get("X-Request-Id"))))
		Expect(f.submitted()[0].GetDeadlineMs()).To(BeNumerically("<=", 500))
	})

	It("cancels at the sidecar when the caller disconnects", func() {
		ctx, cancel := context.WithCancel(bg)
		defer cancel()
		cancelled := make(chan struct{})
		f := startFixture(defaultProfile, 3, 1, func(t *conversation) {
			t.accept()
			cancel()
			if e, err := t.Recv(); err == nil && e.GetCancel() != nil {
				close(cancelled)
			}
		})
		r, err := http.NewRequestWithContext(ctx, "POST", f.httpServer.URL+chatPath, strings.NewReader(completeBody))
		must(err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		_, err = http.DefaultClient.Do(r)
		Expect(err).To(MatchError(context.Canceled))
		Eventually(cancelled).Should(BeClosed())
	})

	It("ends the running stream of a withdrawn key", func() {
		var f *fixture
		f = startFixture(defaultProfile, 3, 2, func(t *conversation) {
			t.chunk("red", 1)
			s := snapshot(defaultProfile, config.Key{ID: "k1", Organisation: "lantern", Digest: config.Digest(testKey), Withdrawn: true})
			f.snap.Store(s)
			f.gateway.CancelWithdrawn(s)
			_, _ = t.Recv()
		})
		_, body := f.do(bg, "POST", chatPath, streamBody)
		_, done, _, _ := sseText(body)
		Expect(done).To(BeFalse())
		Expect(body).To(ContainSubstring("key_withdrawn"))
		Expect(f.attempts.Load()).To(BeEquivalentTo(1))
	})
})
