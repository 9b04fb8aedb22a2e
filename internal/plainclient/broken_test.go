package plainclient

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
)

// startRaw starts a service that answers with given bytes.
func startRaw(answer rawserver.Answer) *rawserver.Server {
	GinkgoHelper()
	server, err := rawserver.Start(answer)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Stop)
	return server
}

// Guards against a part of an answer that counts as the whole, and against sound answers that are refused along with such parts.
var _ = Describe("an answer to an upload that is still being written", func() {
	const tries = 100
	upload := []byte(strings.Repeat("u", 4<<20))
	do := func(address string, repeatable bool) (*responseRecorder, error) {
		into := new(responseRecorder)
		r := Request{RequestID: "r1", Method: http.MethodPut, Path: "/", Body: upload, Repeatable: repeatable}
		return into, New("http://"+address, DefaultMaxResponseBytes).Do(context.Background(), r, into)
	}

	DescribeTable("ends as unknown if it has no length and a reset ends it", func(repeatable bool) {
		server := startRaw(rawserver.Answer{Early: true, Text: "HTTP/1.1 200 OK\r\n\r\npart", End: rawserver.Reset})
		for range tries {
			_, err := do(server.Address, repeatable)
			Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
		}
	}, Entry("once", false), Entry("repeatable", true))

	DescribeTable("is whole", func(answer rawserver.Answer) {
		server := startRaw(answer)
		for range 8 {
			into, err := do(server.Address, false)
			Expect(err).NotTo(HaveOccurred())
			Expect(into.body.String()).To(Equal("whole"))
		}
	},
		Entry("without a length, if a close ends it", rawserver.Answer{Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: rawserver.Close}),
		Entry("without a length, if the upload is read afterwards",
			rawserver.Answer{Early: true, Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: rawserver.HalfClose}),
		Entry("with a length", rawserver.Answer{Early: true, Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"}),
	)
})

// Guards against an answer whose head is malformed: nothing of it may reach the caller.
var _ = Describe("an answer with a malformed head", func() {
	for name, head := range rawserver.MalformedHeads("X-Request-Id: ID\r\n") {
		DescribeTable(name+" ends as unknown and is not requested again", func(repeatable bool) {
			server := startRaw(rawserver.Answer{Text: head + "four"})
			client := New("http://"+server.Address, DefaultMaxResponseBytes)
			for range 3 {
				into := new(responseRecorder)
				r := Request{RequestID: "r1", Method: http.MethodGet, Path: "/", Repeatable: repeatable}
				Expect(errkind.Of(client.Do(context.Background(), r, into))).To(Equal(errkind.OutcomeUnknown))
				Expect(into.status).To(BeZero())
			}
			Expect(server.Requests()).To(Equal(3))
			Expect(server.Reused()).To(BeFalse())
		}, Entry("once", false), Entry("repeatable", true))
	}
})
