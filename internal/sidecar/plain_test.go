package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

var _ = Describe("a plain service", func() {
	var executed atomic.Int64
	var arrived, cancelled chan string
	var release chan struct{}
	var backend *httptest.Server
	var h *harness
	var requests int

	BeforeEach(func() {
		executed.Store(0)
		arrived, cancelled, release = make(chan string, 10), make(chan string, 10), make(chan struct{})
		backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			executed.Add(1)
			body, _ := io.ReadAll(r.Body)
			switch r.URL.Path {
			case "/wait":
				arrived <- string(body)
				select {
				case <-release:
				case <-r.Context().Done():
					cancelled <- string(body)
				}
			case "/cut":
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusCreated)
			_, _ = fmt.Fprintf(w, "%d", executed.Load())
		}))
		DeferCleanup(backend.Close)
		h = newHarness("plain", "yard", backend.URL)
	})
	call := func(path, body string) *wirepb.Submit {
		requests++
		return &wirepb.Submit{
			RequestId: fmt.Sprint("r", requests), Attempt: 1, Organisation: "org", KeyId: "key", ConfigVersion: 1, Service: "yard",
			Profile: "clerk", DeadlineMs: 30_000, Http: &wirepb.HTTPRequest{Method: "POST", Path: path, Body: []byte(body)},
		}
	}
	keyed := func(path, body string) *wirepb.Submit {
		r := call(path, body)
		r.IdempotencyKey = "tow-7"
		return r
	}

	DescribeTable("a refused call did not run", func(change func(*wirepb.Submit), want errkind.Kind) {
		r := keyed("/book", "x")
		change(r)
		a := h.do(r)
		Expect(a.kind).To(Equal(want))
		Expect(a.refused).To(BeTrue())
		Expect(want.NotRun()).To(BeTrue())
		Expect(executed.Load()).To(BeZero())
	},
		Entry("stale configuration", func(*wirepb.Submit) { h.config.makeStale() }, errkind.ConfigStale),
		Entry("no configuration", func(*wirepb.Submit) { h.config.makeEmpty() }, errkind.NotReady),
		Entry("configuration older than the gateway's", func(r *wirepb.Submit) { r.ConfigVersion = 99 }, errkind.ConfigStale),
		Entry("no key", func(r *wirepb.Submit) { r.KeyId = "" }, errkind.KeyMissing),
		Entry("unknown key", func(r *wirepb.Submit) { r.KeyId = "nobody" }, errkind.KeyUnknown),
		Entry("key of another organisation", func(r *wirepb.Submit) { r.Organisation = "other" }, errkind.KeyUnknown),
		Entry("withdrawn key", func(*wirepb.Submit) {
			h.config.set(config.Key{ID: "key", Organisation: "org", Withdrawn: true})
		}, errkind.KeyWithdrawn),
		Entry("data centre out", func(*wirepb.Submit) {
			h.config.set(config.DataCentre{Name: "dc", OutOfService: true})
		}, errkind.DataCentreOut),
		Entry("draining", func(*wirepb.Submit) { Expect(h.server.Drain(context.Background())).To(Succeed()) }, errkind.Draining),
		Entry("another service", func(r *wirepb.Submit) { r.Service = "ledger" }, errkind.RouteNotFound),
		Entry("path that names another host", func(r *wirepb.Submit) { r.Http.Path = "@other.example/" }, errkind.BadRequest),
		Entry("header that breaks the request", func(r *wirepb.Submit) {
			r.Http.Headers = []*wirepb.Header{{Name: "X-A", Value: "a\r\nX-B: b"}}
		}, errkind.BadRequest),
		Entry("profile not allowed", func(r *wirepb.Submit) { r.Profile = "crew" }, errkind.ProfileNotAllowed),
		Entry("table service unavailable", func(*wirepb.Submit) { h.store.setUnavailable(true) }, errkind.StoreUnavailable),
		Entry("service unreachable", func(*wirepb.Submit) { backend.Close() }, errkind.BackendUnreachable),
	)

	It("passes the whole answer, and an open service needs no key", func() {
		Expect(h.do(call("/book", "x"))).To(Equal(conversationResult{status: 201, body: "1"}))
		h.config.set(config.Service{Name: "yard", Kind: config.ServicePlain, Profile: "clerk", Open: true})
		r := call("/book", "x")
		r.KeyId, r.Organisation = "", ""
		Expect(h.do(r).kind).To(Equal(errkind.None))
	})

	It("runs a call with an idempotency key once and replays its outcome", func() {
		Expect(h.do(keyed("/book", "x"))).To(Equal(conversationResult{status: 201, body: "1"}))
		Expect(h.do(keyed("/book", "x"))).To(Equal(conversationResult{status: 201, body: "1", replayed: true}))
		Expect(h.do(keyed("/book", "y")).kind).To(Equal(errkind.IdempotencyMismatch))
		Expect(executed.Load()).To(BeEquivalentTo(1))
	})

	It("never repeats a call with an idempotency key whose answer was cut after hand-over", func() {
		Expect(h.do(keyed("/cut", "x")).kind).To(Equal(errkind.OutcomeUnknown))
		a := h.do(keyed("/cut", "x"))
		Expect(a.kind).To(Equal(errkind.IdempotencyInProgress))
		Expect(executed.Load()).To(BeEquivalentTo(1))
	})

	It("removes the claim of a call that did not reach the service, so that another replica can run it", func() {
		backend.Close()
		Expect(h.do(keyed("/book", "x")).kind).To(Equal(errkind.BackendUnreachable))
		Expect(h.store.rows).To(BeEmpty())
	})

	It("records the outcome of a call with an idempotency key after its gateway disconnects", func() {
		c := h.start(keyed("/wait", "x"))
		Eventually(arrived).Should(Receive())
		Expect(c.stream.Close()).To(Succeed())
		h.pool.Drop(h.addr)
		close(release)
		Eventually(func() conversationResult { return h.do(keyed("/wait", "x")) }).Should(
			Equal(conversationResult{status: 201, body: "1", replayed: true}))
	})

	DescribeTable("cancelling frees the slot and ends the call", func(end func(*conversation)) {
		first := h.start(call("/wait", "first"))
		Eventually(arrived).Should(Receive(Equal("first")))
		second := h.start(call("/book", "second"))
		end(first)
		Eventually(cancelled).Should(Receive(Equal("first")))
		Expect(second.finish().kind).To(Equal(errkind.None))
	},
		Entry("by a Cancel frame", func(c *conversation) {
			Expect(c.stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Cancel{
				Cancel: &wirepb.Cancel{RequestId: c.id}}})).To(Succeed())
		}),
		Entry("by a closed stream", func(c *conversation) { Expect(c.stream.Close()).To(Succeed()) }),
	)

	DescribeTable("queued requests are refused and running ones finish", func(change func(), want errkind.Kind) {
		running := h.start(call("/wait", "running"))
		Eventually(arrived).Should(Receive())
		queued := h.start(call("/book", "queued"))
		Eventually(func() int64 { return h.server.Status().GetQueued() }).Should(BeEquivalentTo(1))
		change()
		a := queued.finish()
		Expect(a.kind).To(Equal(want))
		Expect(a.refused).To(BeTrue())
		close(release)
		Expect(running.finish()).To(Equal(conversationResult{status: 201, body: "1"}))
	},
		Entry("data centre out", func() { h.config.set(config.DataCentre{Name: "dc", OutOfService: true}) },
			errkind.DataCentreOut),
		Entry("key withdrawn", func() {
			h.config.set(config.Key{ID: "key", Organisation: "org", Withdrawn: true})
		}, errkind.KeyWithdrawn),
		Entry("draining", func() { go func() { _ = h.server.Drain(context.Background()) }() }, errkind.Draining),
	)

	It("checks again before hand-over, as the process may have been paused while the request was queued", func() {
		running := h.start(call("/wait", "running"))
		Eventually(arrived).Should(Receive())
		queued := h.start(call("/book", "queued"))
		Eventually(func() int64 { return h.server.Status().GetQueued() }).Should(BeEquivalentTo(1))
		h.config.makeStale()
		close(release)
		Expect(queued.finish()).To(Equal(conversationResult{kind: errkind.ConfigStale, refused: true}))
		Expect(running.finish().kind).To(Equal(errkind.None))
		Expect(executed.Load()).To(BeEquivalentTo(1))
	})

	It("refuses at once what the queue cannot hold", func() {
		running := h.start(call("/wait", "running"))
		Eventually(arrived).Should(Receive())
		for i := range 2 {
			h.start(call("/book", "queued"))
			Eventually(func() int64 { return h.server.Status().GetQueued() }).Should(BeEquivalentTo(i + 1))
		}
		Expect(h.do(call("/book", "more")).kind).To(Equal(errkind.Overloaded))
		close(release)
		Expect(running.finish().kind).To(Equal(errkind.None))
	})

	It("refuses a queued request at its deadline", func() {
		running := h.start(call("/wait", "running"))
		Eventually(arrived).Should(Receive())
		late := call("/book", "late")
		late.DeadlineMs = 20
		Expect(h.do(late)).To(Equal(conversationResult{kind: errkind.DeadlineUnreachable, refused: true}))
		close(release)
		Expect(running.finish().kind).To(Equal(errkind.None))
		Expect(executed.Load()).To(BeEquivalentTo(1))
	})

	It("waits in a drain until the outcome of a call with an idempotency key is recorded", func() {
		c := h.start(keyed("/wait", "x"))
		Eventually(arrived).Should(Receive())
		h.store.setUnavailable(true)
		close(release)
		Expect(c.finish().kind).To(Equal(errkind.None))
		done := make(chan error, 1)
		go func() { done <- h.server.Drain(context.Background()) }()
		Consistently(done, "50ms").ShouldNot(Receive())
		h.store.setUnavailable(false)
		Eventually(done).Should(Receive(BeNil()))
		Expect(h.server.bookings.Pending()).To(BeZero())
	})

	It("reports draining in the status at once, then waits for the notice delay", func() {
		h.server.opts.Settings.Shutdown.NoticeDelay = settings.Duration(1 << 40)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- h.server.Drain(ctx) }()
		Eventually(func() bool { return h.server.Status().GetDraining() }).Should(BeTrue())
		Expect(h.do(call("/book", "x")).kind).To(Equal(errkind.None))
		cancel()
		Eventually(done).Should(Receive(MatchError(context.Canceled)))
	})
})
