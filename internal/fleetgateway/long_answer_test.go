package fleetgateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// addLong adds a server whose body is the given letter repeated size times. If cut is less than size, it breaks off after cut bytes.
func (s *testGateway) addLong(id, letter string, size, cut int, requests *atomic.Int64) {
	GinkgoHelper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
		_, _ = io.WriteString(w, strings.Repeat(letter, min(size, cut)))
		if cut < size {
			panic(http.ErrAbortHandler)
		}
	}))
	DeferCleanup(backend.Close)
	s.list(id, backend.Listener.Addr().String(), false)
}

var _ = Describe("an answer that is too long to be read before it is relayed", func() {
	// Guards against an answer that consists of parts of two servers' answers.
	It("is not begun again after it broke off", func() {
		const size, cut = 700 << 10, 500 << 10
		s := newTestGateway(route(idempotent, 4*time.Second))
		var requests atomic.Int64
		s.addLong("i-1", "a", size, cut, &requests)
		s.addLong("i-2", "b", size, cut, &requests)
		_, a := s.send(http.MethodGet, "/a/", nil, "")
		Expect(a.err).To(HaveOccurred())
		Expect(a.body).To(Or(Equal(strings.Repeat("a", len(a.body))), Equal(strings.Repeat("b", len(a.body)))))
		Expect(requests.Load()).To(BeEquivalentTo(1))
	})
})
