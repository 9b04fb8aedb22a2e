package fleetgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// caller is a connection of a caller that sends bytes of its own choice.
type caller struct {
	*net.TCPConn
	responses *bufio.Reader
}

func (s *testGateway) dial() *caller {
	GinkgoHelper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() }) // the test may have closed it
	Expect(c.SetDeadline(time.Now().Add(15 * time.Second))).To(Succeed())
	return &caller{c.(*net.TCPConn), bufio.NewReader(c)}
}

// send sends the head of a request with a new ID and what follows it.
func (c *caller) send(method string, deadline time.Duration, lines string, body string) (id string) {
	GinkgoHelper()
	requests++
	id = fmt.Sprintf("request-%d", requests)
	_, err := fmt.Fprintf(c, "%s /a/ HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer key\r\nX-Request-Id: %s\r\n"+
		"X-Deadline-Ms: %d\r\n%s\r\n%s", method, id, deadline.Milliseconds(), lines, body)
	Expect(err).NotTo(HaveOccurred())
	return id
}

// receive returns the status and the body of the next response, or a zero status if there is none.
func (c *caller) receive() (status int, body string) {
	GinkgoHelper()
	resp, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return 0, err.Error()
	}
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred(), "the answer was cut")
	return resp.StatusCode, string(data)
}

var _ = Describe("a request whose caller is still there", func() {
	const chunked = "Transfer-Encoding: chunked\r\n"

	// Guards against a connection that is closed without an answer because of a body that is no chunked encoding.
	It("gets an answer if its body is malformed", func() {
		s := newTestGateway(route(once, 4*time.Second))
		server := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		c := s.dial()
		id := c.send(http.MethodPost, 4*time.Second, chunked, "5\r\nhello\r\nxyz\r\n")
		status, body := c.receive()
		Expect(status).To(Equal(http.StatusBadRequest), body)
		Expect(runsOf(id, server)).To(BeZero())
	})

	// Guards against a request that stays unanswered after its deadline because its body does not arrive.
	DescribeTable("gets an answer at its deadline if its body stops to arrive", func(lines, body string) {
		s := newTestGateway(route(once, 400*time.Millisecond))
		server := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		c, start := s.dial(), time.Now()
		id := c.send(http.MethodPost, 4*time.Second, lines, body)
		status, text := c.receive()
		Expect(status).To(Equal(http.StatusServiceUnavailable), text)
		Expect(time.Since(start)).To(BeNumerically("~", 400*time.Millisecond, 300*time.Millisecond))
		Expect(runsOf(id, server)).To(BeZero())
	},
		Entry("with a length", "Content-Length: 10\r\n", "hello"),
		Entry("in chunks", chunked, "5\r\nhello\r\n"),
	)

	// Guards against a refusal that waits without limit for a body that does not arrive.
	It("gets its refusal at its deadline if its body stops to arrive", func() {
		s := newTestGateway(route(once, 4*time.Second))
		s.stale.Store(true)
		c, start := s.dial(), time.Now()
		c.send(http.MethodPost, 1500*time.Millisecond, "Content-Length: 10\r\n", "hello")
		status, text := c.receive()
		Expect(status).To(Equal(http.StatusServiceUnavailable), text)
		Expect(time.Since(start)).To(BeNumerically("~", 1500*time.Millisecond, 300*time.Millisecond))
	})

	// Guards against a read limit for one request's body that ends a later request on the same connection.
	It("is not ended by the limits of the request before", func() {
		s := newTestGateway(route(once, 300*time.Millisecond))
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		c := s.dial()
		c.send(http.MethodPost, 4*time.Second, "Content-Length: 5\r\n", "hello")
		status, body := c.receive()
		Expect(status).To(Equal(http.StatusOK), body)
		time.Sleep(2500 * time.Millisecond) // past the deadline and the time to write the answer
		c.send(http.MethodGet, 4*time.Second, "Authorization: Bearer unknown\r\n", "")
		status, body = c.receive()
		Expect(status).To(BeNumerically(">", 0), body)
		c.send(http.MethodPost, 4*time.Second, "Content-Length: 5\r\n", "hello")
		status, body = c.receive()
		Expect(status).To(Equal(http.StatusOK), body)
	})

	// Guards against a connection that ends without an answer because its caller closed the sending side after the request.
	It("gets an answer if it has closed its sending side, and the server stops its work", func() {
		s := newTestGateway(route(once, 4*time.Second))
		server := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Hang: 1})
		c := s.dial()
		c.send(http.MethodPost, 4*time.Second, "Content-Length: 5\r\n", "hello")
		Eventually(server.Active, "2s", "5ms").Should(Equal(1))
		Expect(c.CloseWrite()).To(Succeed())
		Eventually(server.Active, "400ms", "5ms").Should(BeZero())
		status, body := c.receive()
		Expect(status).To(Equal(http.StatusBadGateway), body)
	})

	It("is told that the request did not run if it closed its sending side before the request was sent", func() {
		s := newTestGateway(route(once, 4*time.Second), engine)
		s.setHolding("s-0", "s", unusedAddress()) // lacks the model
		c := s.dial()
		c.send(http.MethodPost, 4*time.Second, "Content-Length: 5\r\nX-Model: m\r\nX-Token-Usage: 10,10\r\n", "hello")
		Eventually(s.demand.Totals, "3s", "5ms").ShouldNot(BeEmpty()) // it waits for the model
		Expect(c.CloseWrite()).To(Succeed())
		status, body := c.receive()
		Expect(status).To(Equal(http.StatusServiceUnavailable), body)
	})

	// Guards against a server that gets a request after the gateway has concluded that nothing was sent to it.
	It("does not reach a server once its caller has left while the connection was opened", func() {
		s := newTestGateway(route(once, 4*time.Second))
		server := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		c := s.dial()
		leave := func() {
			Expect(c.Close()).To(Succeed())
			Eventually(func() []string { return s.lines("attempt cancelled") }, "2s", "1ms").ShouldNot(BeEmpty())
		}
		onDial := func() { s.onCheck.Store(&leave) }
		s.onDial.Store(&onDial)
		id := c.send(http.MethodPost, 4*time.Second, "Content-Length: 5\r\n", "hello")
		Eventually(func() []string { return s.lines("request ended") }, "4s", "5ms").ShouldNot(BeEmpty())
		Expect(s.lines("attempt cancelled")).To(ContainElement(ContainSubstring(`"not_run":true`)))
		Consistently(func() int { return runsOf(id, server) }, "200ms", "5ms").Should(BeZero())
	})

	// Guards against a connection that is closed without an answer because the process ends before the request was sent.
	DescribeTable("is told that the request did not run if the process ends before it was sent", func(lines, body, marker string) {
		s := newTestGateway(route(once, 8*time.Second), engine)
		s.setHolding("s-0", "s", unusedAddress()) // lacks the model
		c := s.dial()
		c.send(http.MethodPost, 8*time.Second, lines, body)
		Eventually(s.server.Active, "2s", "5ms").Should(BeEquivalentTo(1))
		if marker == "model_not_resident" {
			Eventually(s.demand.Totals, "3s", "5ms").ShouldNot(BeEmpty()) // it waits for the model
		}
		s.server.EndRequests()
		status, text := c.receive()
		Expect(status).To(Equal(http.StatusServiceUnavailable), text)
		Expect(text).To(ContainSubstring(marker))
	},
		Entry("while its body arrives", "Content-Length: 10\r\n", "hello", "deadline_unreachable"),
		Entry("while it waits for its model", "Content-Length: 5\r\nX-Model: m\r\nX-Token-Usage: 10,10\r\n", "hello",
			"model_not_resident"),
	)

	// Guards against a process that ends, with all its requests, because of a fault in the exchange with one server.
	It("gets an answer if the exchange with its server panics", func() {
		s := newTestGateway(route(once, 4*time.Second))
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		panics := func() { panic("a fault") }
		s.onDial.Store(&panics)
		_, a := s.send(http.MethodPost, "/a/", nil, "body")
		Expect(a.status).To(Equal(http.StatusBadGateway))
		Expect(s.lines("a fault")).NotTo(BeEmpty())
		_, a = s.send(http.MethodPost, "/a/", nil, "body")
		Expect(a.status).To(Equal(http.StatusOK))
	})

	// Guards against an answer that arrived in time and is dropped because its deadline passes before it is looked at.
	It("gets an answer that arrived before its deadline", func() {
		for range 5 {
			s := newTestGateway(route(idempotent, 800*time.Millisecond))
			first := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{SilentHead: 1, Silence: 600 * time.Millisecond})
			_, a := s.sendBeside(first, http.MethodGet, func() {
				s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
				late := func() { time.Sleep(900 * time.Millisecond) } // the gateway does not run
				s.onCheck.Store(&late)
			})
			Expect(a.status).To(Equal(http.StatusOK))
		}
	})

	// Guards against a connection that is closed without the answer because the gateway did not run for a while after the deadline.
	It("gets an answer that arrived before a pause of the gateway", func() {
		s := newTestGateway(route(idempotent, 800*time.Millisecond))
		first := s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{SilentHead: 1, Silence: 600 * time.Millisecond})
		_, a := s.sendBeside(first, http.MethodGet, func() {
			s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
			pause := func() { time.Sleep(3 * time.Second) } // the gateway does not run
			s.onCheck.Store(&pause)
		})
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusOK))
	})
})
