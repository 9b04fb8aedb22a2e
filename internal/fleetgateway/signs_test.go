package fleetgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// backend is a backend server whose answers a test decides.
type backend struct {
	entry    fleet.Replica
	received atomic.Int64
	mu       sync.Mutex
	answer   http.HandlerFunc
}

func (b *backend) setAnswer(f http.HandlerFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = f
}

// addBackend starts a backend server and lists it.
func (s *testGateway) addBackend(id string, answer http.HandlerFunc, models ...string) *backend {
	GinkgoHelper()
	b := &backend{answer: answer}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.received.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "signed")
		b.mu.Lock()
		f := b.answer
		b.mu.Unlock()
		f(w, r)
	}))
	DeferCleanup(server.Close)
	b.entry = fleet.Replica{ID: id, Service: "s", Address: server.Listener.Addr().String(), DataCentre: "a", Slots: 8, Born: 1000}
	for _, m := range models {
		b.entry.Models = append(b.entry.Models, fleet.ResidentModel{Name: m})
	}
	s.update(b, func(*fleet.Replica) {})
	return b
}

// update lists a backend server again, with a changed entry.
func (s *testGateway) update(b *backend, change func(*fleet.Replica)) {
	s.version++
	change(&b.entry)
	entry := b.entry
	entry.ListVersion = s.version
	s.view.SetReplica(&entry)
}

func (s *testGateway) unlist(b *backend) {
	s.version++
	s.view.RemoveReplica(b.entry.ID, s.version, 0)
	s.server.ForgetServers([]string{b.entry.ID})
}

// status answers with a status and headers, given as names and values.
func status(code int, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(code)
		_, _ = io.WriteString(w, "answer")
	}
}

// after answers with f once release is closed.
func after(release <-chan struct{}, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		<-release
		f(w, r)
	}
}

// inBackground sends a request and returns a channel that gets the response.
func (s *testGateway) inBackground(id string, header map[string]string) <-chan response {
	done := make(chan response, 1)
	go func() {
		defer GinkgoRecover()
		done <- s.sendAs(id, http.MethodPost, "/a/", header, "")
	}()
	return done
}

var leaves = []string{"Server-Leaving", "1"}

// rawAnswer writes bytes to the connection in place of a response, and keeps the connection open unless cut is set.
func rawAnswer(text string, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, text, r.Header.Get("X-Request-Id"))
		if !cut {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// Guards against requests that reach a server after it has said in an answer that it leaves.
var _ = Describe("a server that says in an answer that it leaves", func() {
	const rejected, signed = "X-Not-Executed", "X-Response-Signature: signed\r\n"

	DescribeTable("gets no more requests, whatever the answer", func(answers ...http.HandlerFunc) {
		s := newTestGateway(route(once, 2*time.Second))
		last := s.addBackend("i-1", status(http.StatusOK))
		for _, answer := range answers {
			last.setAnswer(answer)
			s.send(http.MethodPost, "/a/", nil, "")
		}
		Expect(last.received.Load()).To(BeEquivalentTo(len(answers)))
		last.setAnswer(status(http.StatusOK))
		for range 5 {
			_, a := s.send(http.MethodPost, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			Expect(a.body).To(ContainSubstring("draining"))
			s.clockOffset.Add(int64(10 * time.Minute)) // no news from the store or its agent all the while
		}
		other := s.addBackend("i-2", status(http.StatusOK))
		for range 5 {
			_, a := s.send(http.MethodPost, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusOK))
		}
		Expect(last.received.Load()).To(BeEquivalentTo(len(answers)))
		Expect(other.received.Load()).To(BeEquivalentTo(5))
		Expect(s.lines("server says that it leaves")).To(HaveLen(1))
	},
		Entry("a success", status(http.StatusOK, leaves...)),
		Entry("the second on a connection", status(http.StatusOK), status(http.StatusOK, leaves...)),
		Entry("421", status(http.StatusMisdirectedRequest, leaves...)),
		Entry("500", status(http.StatusInternalServerError, leaves...)),
		Entry("a rejection", status(http.StatusServiceUnavailable, append(leaves, rejected, "1")...)),
		Entry("one that is cut", rawAnswer("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"+signed+
			"X-Request-Id: %s\r\nContent-Length: 9\r\n\r\npart", true)),
		Entry("one to another request", rawAnswer("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Request-Id: earlier\r\n"+
			"Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"+signed+"X-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", false)),
	)

	It("is the one that the answer names, if another server has the address", func() {
		s := newTestGateway(route(once, 2*time.Second))
		other := s.addBackend("i-2", status(http.StatusOK))
		wrong := s.addBackend("i-1", status(http.StatusMisdirectedRequest, append(leaves, "X-Instance-Id", "i-2")...))
		s.unlist(other)
		s.send(http.MethodPost, "/a/", nil, "")
		s.update(wrong, func(*fleet.Replica) {}) // the address belongs to it again
		wrong.setAnswer(status(http.StatusOK))
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		s.unlist(wrong)
		s.update(other, func(*fleet.Replica) {})
		_, a = s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	})

	It("stays out while its entry vanishes and returns, until it has started again", func() {
		s := newTestGateway(route(once, 2*time.Second))
		b := s.addBackend("i-1", status(http.StatusOK, leaves...))
		s.send(http.MethodPost, "/a/", nil, "")
		for _, born := range []int64{1000, 0, 1000} {
			s.unlist(b)
			s.clockOffset.Add(int64(20 * time.Second))
			s.update(b, func(r *fleet.Replica) { r.Born = born })
			_, a := s.send(http.MethodPost, "/a/", nil, "")
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		}
		s.update(b, func(r *fleet.Replica) { r.Born = time.Now().Add(time.Minute).UnixMilli() })
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
		_, a = s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable), "the new incarnation leaves, too")
		Expect(b.received.Load()).To(BeEquivalentTo(2))
	})

	event := func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "id: 0\ndata: first\n\n")
		_ = http.NewResponseController(w).Flush()
	}
	type held func(release <-chan struct{}) http.HandlerFunc
	DescribeTable("gets no request that another server had before", func(kind int, first held) {
		s := newTestGateway(route(kind, 4*time.Second))
		release := make(chan struct{})
		busy := s.addBackend("i-1", first(release))
		done := s.inBackground("held", nil)
		Eventually(busy.received.Load, "2s", "5ms").Should(BeEquivalentTo(1))
		s.update(busy, func(r *fleet.Replica) { r.Draining = true }) // so that the next request goes to the other server
		leaving := s.addBackend("i-2", status(http.StatusOK, append(leaves, "Content-Type", "text/event-stream")...))
		s.send(http.MethodPost, "/a/", nil, "")
		Expect(leaving.received.Load()).To(BeEquivalentTo(1))
		close(release)
		<-done
		Expect(leaving.received.Load()).To(BeEquivalentTo(1))
	},
		Entry("and that failed there", idempotent, func(release <-chan struct{}) http.HandlerFunc {
			return after(release, status(http.StatusInternalServerError))
		}),
		Entry("and whose stream broke off", resumable, func(release <-chan struct{}) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				event(w)
				<-release
				panic(http.ErrAbortHandler)
			}
		}),
		Entry("and that is silent", idempotent, func(release <-chan struct{}) http.HandlerFunc {
			return after(release, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(1200 * time.Millisecond)
				status(http.StatusOK)(w, r)
			})
		}),
	)

	It("gets no request for which a connection is being opened", func() {
		s := newTestGateway(route(once, 4*time.Second))
		release := make(chan struct{})
		b := s.addBackend("i-1", after(release, status(http.StatusOK, leaves...)))
		first := s.inBackground("first", nil)
		Eventually(b.received.Load, "2s", "5ms").Should(BeEquivalentTo(1))
		whileDialling := func() {
			close(release)
			<-first
		}
		s.onDial.Store(&whileDialling)
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(b.received.Load()).To(BeEquivalentTo(1))
	})

	It("gets no more requests of a session whose prompts it caches", func() {
		s := newTestGateway(route(once, 2*time.Second), engine)
		servers := make(map[string]*backend)
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			servers[id] = s.addBackend(id, status(http.StatusOK, "X-Served-By", id), "m")
		}
		session := map[string]string{"X-Model": "m", "X-Token-Usage": "2000,10", "X-Prompt-Prefix": "talk:2000"}
		ask := func() string {
			_, a := s.send(http.MethodPost, "/a/", session, "")
			Expect(a.status).To(Equal(http.StatusOK))
			return a.header.Get("X-Served-By")
		}
		home := ask()
		Expect(ask()).To(Equal(home))
		servers[home].setAnswer(status(http.StatusOK, append(leaves, "X-Served-By", home)...))
		Expect(ask()).To(Equal(home))
		for range 5 {
			Expect(ask()).NotTo(Equal(home))
		}
	})

	// Guards against prompts whose shared parts are spread over the fleet because the server that should cache them leaves.
	It("is not one of those that cache the shared parts of prompts", func() {
		s := newTestGateway(route(once, 2*time.Second), engine)
		s.addBackend("i-1", status(http.StatusOK, leaves...), "m")
		s.send(http.MethodPost, "/a/", map[string]string{"X-Model": "m"}, "")
		s.addBackend("i-2", status(http.StatusOK), "m")
		for i := range 8 {
			id, _ := s.send(http.MethodPost, "/a/", map[string]string{
				"X-Model": "m", "X-Token-Usage": "2000,10", "X-Prompt-Prefix": fmt.Sprintf("shop%d:1000,talk:500", i)}, "")
			Expect(s.lines(id)[0]).To(And(ContainSubstring(`"server":"i-2"`), ContainSubstring(`"uncached":1300,`)))
		}
	})
})

// Guards against a restarted server that never gets requests, because of an answer of its earlier incarnation.
var _ = Describe("a sound server that started again", func() {
	It("gets requests when its agent reports the new start before the list does", func() {
		var born atomic.Int64
		born.Store(1000)
		s := newGatewayWithAgent(&testAgent{born: &born}, route(once, 3*time.Second), 0)
		b := s.addBackend("i-1", status(http.StatusOK, leaves...))
		s.awaitReport("i-1")
		header := map[string]string{"X-Model": "m"}
		Expect(s.sendAs("leaves", http.MethodPost, "/a/", header, "").status).To(Equal(http.StatusOK))
		Expect(s.sendAs("left", http.MethodPost, "/a/", header, "").status).To(Equal(http.StatusServiceUnavailable))
		b.setAnswer(status(http.StatusOK))
		born.Store(2000)
		Eventually(func() int { return s.sendAs("again", http.MethodPost, "/a/", header, "").status }, "2s", "50ms").
			Should(Equal(http.StatusOK))
	})

	It("gets requests although an earlier start of it was named before it was listed", func() {
		s := newTestGateway(route(once, 3*time.Second))
		s.addBackend("i-1", status(http.StatusMisdirectedRequest, append([]string{"X-Instance-Id", "i-9"}, leaves...)...))
		s.send(http.MethodPost, "/a/", nil, "")
		b := s.addBackend("i-9", status(http.StatusOK))
		s.update(b, func(r *fleet.Replica) { r.Born = time.Now().Add(time.Minute).UnixMilli() })
		_, a := s.send(http.MethodPost, "/a/", nil, "")
		Expect(a.status).To(Equal(http.StatusOK))
	})
})
