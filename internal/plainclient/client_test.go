package plainclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

func TestPlainService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plainservice")
}

type responseRecorder struct {
	status  int
	headers http.Header
	body    strings.Builder
}

func (r *responseRecorder) Head(status int, headers http.Header) error {
	r.status, r.headers = status, headers
	return nil
}

func (r *responseRecorder) Data(data []byte) error {
	_, err := r.body.Write(data)
	return err
}

var _ = Describe("a call", func() {
	var executed atomic.Int64
	var requestHeaders http.Header
	var server *httptest.Server
	var recorded *responseRecorder
	BeforeEach(func() {
		executed.Store(0)
		recorded = new(responseRecorder)
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			executed.Add(1)
			requestHeaders = r.Header.Clone()
			body, _ := io.ReadAll(r.Body)
			switch r.URL.Path {
			case "/redirect":
				http.Redirect(w, r, "/other", http.StatusFound)
			case "/cut-before":
				panic(http.ErrAbortHandler)
			case "/cut-during":
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte("part"))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			default:
				w.Header().Set("X-Answer", "yes")
				w.WriteHeader(http.StatusCreated)
				_, _ = w.Write(body)
			}
		}))
		DeferCleanup(server.Close)
	})
	do := func(path string) error {
		r := Request{RequestID: "r1", Method: "POST", Path: path, Query: "q=1", Body: []byte("tow"), Headers: http.Header{
			"Authorization": {"Bearer secret"}, "X-Caller": {"c"}, "Connection": {"close"}}}
		return New(server.URL, 50).Do(context.Background(), r, recorded)
	}

	It("passes the whole answer and never a key", func() {
		Expect(do("/book")).To(Succeed())
		Expect(recorded.status).To(Equal(http.StatusCreated))
		Expect(recorded.headers.Get("X-Answer")).To(Equal("yes"))
		Expect(recorded.body.String()).To(Equal("tow"))
		Expect(requestHeaders).NotTo(HaveKey("Authorization"))
		Expect(requestHeaders.Get("X-Caller")).To(Equal("c"))
		Expect(requestHeaders.Get("X-Request-Id")).To(Equal("r1"))
	})

	It("does not follow redirects, which would run a second call", func() {
		Expect(do("/redirect")).To(Succeed())
		Expect(recorded.status).To(Equal(http.StatusFound))
		Expect(executed.Load()).To(BeEquivalentTo(1))
	})

	DescribeTable("ends as unknown after hand-over and is not sent again", func(path string) {
		Expect(errkind.Of(do(path))).To(Equal(errkind.OutcomeUnknown))
		Expect(executed.Load()).To(BeEquivalentTo(1))
	}, Entry("cut before the answer", "/cut-before"), Entry("cut within the answer", "/cut-during"))

	It("bounds the answer", func() {
		err := New(server.URL, 2).Do(context.Background(), Request{Method: "POST", Path: "/book", Body: []byte("long")}, recorded)
		Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
	})

	It("reports a refused connection as not run", func() {
		server.Close()
		Expect(errkind.Of(do("/book"))).To(Equal(errkind.BackendUnreachable))
		Expect(executed.Load()).To(BeZero())
	})

	It("does not resend on a connection that a former call left open", func() {
		// net/http treats a call with this header as idempotent and resends it when a reused connection breaks.
		header := http.Header{"Idempotency-Key": {"k"}}
		client := New(server.URL, 50)
		Expect(client.Do(context.Background(), Request{Method: "POST", Path: "/book", Headers: header}, recorded)).To(Succeed())
		err := client.Do(context.Background(), Request{Method: "POST", Path: "/cut-before", Headers: header}, recorded)
		Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
		Expect(executed.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a new connection for each repeatable call, and a reused connection for one that is not repeatable.
	It("reuses the connection of a repeatable call only", func() {
		var remotes []string
		kept := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			remotes = append(remotes, r.RemoteAddr)
		}))
		DeferCleanup(kept.Close)
		client := New(kept.URL, 50)
		for _, repeatable := range []bool{true, true, false, false} {
			r := Request{Method: "GET", Path: "/", Repeatable: repeatable}
			Expect(client.Do(context.Background(), r, recorded)).To(Succeed())
		}
		Expect(remotes[0]).To(Equal(remotes[1]))
		Expect(remotes[2]).NotTo(BeElementOf(remotes[1], remotes[3]))
	})

	It("does not resend when the service closes each connection without an answer", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		var connections atomic.Int64
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				connections.Add(1)
				_ = conn.Close()
			}
		}()
		err = New("http://"+listener.Addr().String(), 50).Do(context.Background(), Request{Method: "POST", Path: "/book"}, recorded)
		Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
		Expect(connections.Load()).To(BeEquivalentTo(1))
	})
})
