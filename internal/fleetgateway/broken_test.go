package fleetgateway_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
)

const (
	// uploadBytes is more than the socket buffers between a gateway and a rawserver hold.
	uploadBytes = 4 << 20

	rawStatus  = "HTTP/1.1 200 OK\r\n"
	rawFields  = "X-Request-Id: ID\r\nX-Response-Signature: s\r\n"
	rawEvents  = "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: a\n\nid: 1\ndata: b\n\n"
	rawLength4 = "Content-Length: 4\r\n"
)

// addRaw starts a server that answers with given bytes and adds it to the list.
func (s *testGateway) addRaw(id string, answer rawserver.Answer) *rawserver.Server {
	GinkgoHelper()
	server, err := rawserver.Start(answer)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Stop)
	s.list(id, server.Address, false)
	return server
}

// Guards against a part of an answer that counts as the whole, and against sound answers that are refused along with such parts.
var _ = Describe("an answer without a length to an upload that is still being written", func() {
	upload := strings.Repeat("u", uploadBytes)
	const tries = 24

	DescribeTable("is not whole for the caller if a reset ends it", func(kind int, rest string) {
		s := newTestGateway(route(kind, 4*time.Second))
		server := s.addRaw("i-1", rawserver.Answer{Early: true, Text: rawStatus + rawFields + rest, End: rawserver.Reset})
		for range tries {
			_, a := s.send(http.MethodPost, "/a/", nil, upload)
			if a.err == nil { // otherwise the caller has noticed that its answer was cut
				Expect(a.status).To(Equal(http.StatusBadGateway))
				Expect(a.header).NotTo(HaveKey("X-Response-Signature"))
			}
		}
		Expect(server.Requests()).To(Equal(tries))
	},
		Entry("once", once, "\r\npart"),
		Entry("idempotent", idempotent, "\r\npart"),
		Entry("relayed while it arrives", once, "\r\n"+strings.Repeat("p", 300<<10)),
		Entry("stream", stream, rawEvents),
		Entry("stream within an event", stream, rawEvents+"id: 2\nda"),
		Entry("resumable stream", resumable, rawEvents),
	)

	It("is replaced by another server's if the request may be repeated", func() {
		s := newTestGateway(route(idempotent, 4*time.Second))
		broken := s.addRaw("i-1", rawserver.Answer{Early: true, Text: rawStatus + rawFields + "\r\npart", End: rawserver.Reset})
		s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
		for range tries {
			id, a := s.send(http.MethodPost, "/a/", nil, upload)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.body).To(Equal(fake.Body(id, 0, 0)))
		}
		Expect(broken.Requests()).To(BeNumerically(">", 0))
	})

	DescribeTable("stays whole if the connection is closed in order", func(kind int, answer rawserver.Answer, body string) {
		s := newTestGateway(route(kind, 4*time.Second))
		s.addRaw("i-1", answer)
		for range 8 {
			_, a := s.send(http.MethodPost, "/a/", nil, upload)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.body).To(Equal(body))
		}
	},
		Entry("after the upload", once, rawserver.Answer{Text: rawStatus + rawFields + "\r\nwhole", End: rawserver.Close}, "whole"),
		Entry("before the upload is read", once, rawserver.Answer{Early: true, Text: rawStatus + rawFields + "\r\nwhole", End: rawserver.HalfClose}, "whole"),
		Entry("a stream", stream, rawserver.Answer{Text: rawStatus + rawFields + rawEvents, End: rawserver.Close}, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"),
		Entry("with a length", once, rawserver.Answer{Early: true, Text: rawStatus + rawFields + rawLength4 + "\r\nfour"}, "four"),
		Entry("with a length, before a reset", once, rawserver.Answer{Early: true, Text: rawStatus + rawFields + rawLength4 + "\r\nfour", End: rawserver.Reset}, "four"),
	)
})

// Guards against an answer whose head is malformed: it must not reach the caller, keep it waiting, or leave a connection in use.
var _ = Describe("an answer with a malformed head", func() {
	for name, head := range rawserver.MalformedHeads(rawFields) {
		answer := rawserver.Answer{Text: head + "four"}
		DescribeTable(name+" is replaced by an error at once", func(kind int) {
			s := newTestGateway(route(kind, 4*time.Second))
			server := s.addRaw("i-1", answer)
			for range 3 {
				_, a := s.send(http.MethodPost, "/a/", nil, "")
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.status).To(Equal(http.StatusBadGateway))
				Expect(a.header).NotTo(HaveKey("X-Response-Signature"))
				Expect(a.duration).To(BeNumerically("<", 2*time.Second))
			}
			Expect(server.Requests()).To(Equal(3))
			Expect(server.Reused()).To(BeFalse())
		},
			Entry("once", once),
			Entry("idempotent", idempotent),
			Entry("stream", stream),
			Entry("resumable stream", resumable),
		)

		It(name+" is replaced by another server's if the request may be repeated", func() {
			s := newTestGateway(route(idempotent, 4*time.Second))
			broken := s.addRaw("i-1", answer)
			s.add("i-2", fake.ReplicaOptions{}, fake.ReplicaFaults{})
			for range 8 {
				id, a := s.send(http.MethodPost, "/a/", nil, "")
				Expect(a.status).To(Equal(http.StatusOK))
				Expect(a.body).To(Equal(fake.Body(id, 0, 0)))
			}
			Expect(broken.Reused()).To(BeFalse())
		})
	}
})
