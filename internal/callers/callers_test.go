package callers_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callers")
}

const (
	chatPath   = "/v1/chat/completions"
	wholeBody  = `{"model":"colour-7b","messages":[{"role":"user","content":"colour code of crew 4"}],"max_tokens":9}`
	streamBody = `{"model":"colour-7b","stream":true,"stream_options":{"include_usage":true},` +
		`"messages":[{"role":"user","content":"summary"}]}`
)

func code(body string) string {
	var e struct {
		Error struct {
			Code, Message, Type string
			Param               *string
		}
	}
	if json.Unmarshal([]byte(body), &e) != nil {
		return "not the error form: " + body
	}
	return e.Error.Code
}

// sseText joins the content of the events and returns how the stream ended.
func sseText(body string) (text string, done, failed bool, completion int64) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			failed = true
		case data == "[DONE]":
			done = true
		case ok:
			var c struct {
				Choices []struct{ Delta struct{ Content string } }
				Usage   struct {
					CompletionTokens int64 `json:"completion_tokens"`
				}
			}
			must(json.Unmarshal([]byte(data), &c))
			for _, choice := range c.Choices {
				text += choice.Delta.Content
			}
			completion = max(completion, c.Usage.CompletionTokens)
		}
	}
	return text, done, failed, completion
}

func start(profile config.Profile, attempts, replicas int, script func(t *talk)) *world {
	w := newWorld(profile, attempts, replicas, script)
	DeferCleanup(w.close)
	return w
}

func answerWhole(t *talk) {
	t.accept()
	t.chunk("red", 1)
	t.chunk(" lantern", 2)
	t.end(errkind.None)
}

var bg = context.Background()

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
			w.gateway.EndWithdrawn(s)
			_, _ = t.Recv()
		})
		_, body := w.do(bg, "POST", chatPath, streamBody)
		_, done, _, _ := sseText(body)
		Expect(done).To(BeFalse())
		Expect(body).To(ContainSubstring("key_withdrawn"))
		Expect(w.attempts.Load()).To(BeEquivalentTo(1))
	})
})

// Guards against lost or repeated tokens when streams break at any point.
func TestResumeKeepsEveryToken(t *testing.T) {
	tokens := strings.SplitAfter("the crew at bay four hangs nine red lanterns before dawn ", " ")
	tokens = tokens[:len(tokens)-1]
	rapid.Check(t, func(rt *rapid.T) {
		breaks := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 4).Draw(rt, "tokens before each break")
		w := newWorld(usual, 6, 6, func(c *talk) {
			at := int(c.submit.GetResumeOffset())
			if strings.Join(tokens[:at], "") != c.submit.GetResumeText() {
				c.refuse(errkind.BadRequest)
				return
			}
			stop := len(tokens)
			if n := int(c.submit.GetAttempt()) - 1; n < len(breaks) {
				stop = min(at+breaks[n], len(tokens))
				defer func() { _ = c.Close() }()
			}
			for _, token := range tokens[at:stop] {
				c.chunk(token, 1)
			}
			if stop == len(tokens) {
				c.end(errkind.None)
			}
		})
		defer w.close()
		_, body := w.do(bg, "POST", chatPath, streamBody)
		text, done, failed, completion := sseText(body)
		if text != strings.Join(tokens, "") || !done || failed || completion != int64(len(tokens)) {
			rt.Fatalf("got %q done=%v failed=%v tokens=%d", text, done, failed, completion)
		}
	})
}

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
