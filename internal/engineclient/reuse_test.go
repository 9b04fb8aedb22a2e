package engineclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

var _ = Describe("the connections of chat completions", func() {
	// countConnections counts the connections that a server accepts.
	countConnections := func(s *httptest.Server) *atomic.Int64 {
		var n atomic.Int64
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				n.Add(1)
			}
		}
		return &n
	}
	call := func(c *Client) error {
		_, err := c.Chat(context.Background(), ChatRequest{RequestID: "r", Model: "m", Body: []byte(`{"messages":[]}`)},
			func(Chunk) error { return nil })
		return err
	}
	const completeStream = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

	// Guards against a dial for each call, which adds to the time to the first token.
	It("are reused after a whole answer, and not by control calls", func() {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			if r.URL.Path == "/engine/state" {
				_, _ = io.WriteString(w, "{}")
				return
			}
			_, _ = io.WriteString(w, completeStream)
		}))
		connections := countConnections(server)
		server.Start()
		defer server.Close()
		c := New(server.URL)
		Expect(call(c)).To(Succeed())
		Expect(call(c)).To(Succeed())
		Expect(connections.Load()).To(BeEquivalentTo(1))
		_, err := c.State(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(connections.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a second run in the engine while the ledger counts the memory of one.
	It("do not carry a call again that the engine read", func() {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			if calls.Add(1) == 2 {
				_, _ = io.Copy(io.Discard, r.Body)
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, completeStream)
		}))
		defer server.Close()
		c := New(server.URL)
		Expect(call(c)).To(Succeed())
		Expect(errkind.Of(call(c))).To(Equal(errkind.OutcomeUnknown))
		Expect(calls.Load()).To(BeEquivalentTo(2))
	})
})
