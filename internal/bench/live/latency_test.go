package live

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the latency comparison", func() {
	// Guards against load that goes to another host or is not limited.
	It("accepts loopback addresses and a limited rate only", func() {
		const here = "http://127.0.0.1:1"
		for _, o := range []LatencyOptions{
			{Gateway: "http://192.0.2.1:80", Engine: here, Service: here, Rate: 1, RunTime: time.Second},
			{Gateway: here, Engine: "http://192.0.2.1:80", Service: here, Rate: 1, RunTime: time.Second},
			{Gateway: here, Engine: here, Service: "http://192.0.2.1:80", Rate: 1, RunTime: time.Second},
			{Gateway: here, Engine: here, Service: here, Rate: maxRate + 1, RunTime: time.Second},
			{Gateway: here, Engine: here, Service: here, Rate: 1, RunTime: time.Hour},
		} {
			_, err := Latency(context.Background(), o)
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against a time that is taken at the role event, which has no text, or from a broken stream.
	It("takes the time at the first event with text of a complete stream", func() {
		const role = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n"
		const text = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
		const done = "data: [DONE]\n\n"
		_, err := readFirstText(strings.NewReader(role+text+done), time.Now())
		Expect(err).NotTo(HaveOccurred())
		for _, broken := range []string{role + done, role + text} {
			_, err := readFirstText(strings.NewReader(broken), time.Now())
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		}
	})

	// Guards against counting a failed call as a fast one.
	It("counts refused calls separately", func() {
		l := &latency{client: http.DefaultClient}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
		}))
		defer server.Close()
		l.opts = LatencyOptions{Gateway: server.URL, Service: server.URL}
		took, err := l.call(context.Background(), lookup, true, 1)
		Expect(err).To(HaveOccurred())
		l.record(lookup, true, true, took, err)
		l.record(lookup, false, true, 2*time.Millisecond, nil)
		Expect(l.results[lookup].SystemFailed).To(Equal(1))
		Expect(l.results[lookup].System).To(BeEmpty())
		var out bytes.Buffer
		Expect(WriteLatency(&out, l.results[:])).To(Succeed())
		Expect(out.String()).To(ContainSubstring("0/1"))
	})
})
