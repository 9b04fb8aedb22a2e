package engineclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

const completeStream = `data: {"choices":[{"delta":{"content":"Lan"}}]}

: comment
data: {"choices":[{"delta":{"content":"tern"}}]}

data: {"choices":[{"delta":{},"finish_reason":"stop"}]}

data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2}}

data: [DONE]

`

var _ = Describe("a chat completion", func() {
	var answer, echo string
	var status int
	var body map[string]any
	var server *httptest.Server
	BeforeEach(func() {
		answer, echo, status = completeStream, "r1", http.StatusOK
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body = nil
			Expect(json.NewDecoder(r.Body).Decode(&body)).To(Succeed())
			w.Header().Set("X-Request-Id", echo)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(answer))
		}))
		DeferCleanup(server.Close)
	})
	// Guards against a complete answer that is held until the request's deadline, because the engine goes on to send bytes.
	DescribeTable("returns a complete answer although the response does not end", func(trailing string, pause time.Duration) {
		stop := make(chan struct{})
		endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "r1")
			_, err := w.Write([]byte(completeStream))
			for err == nil {
				err = http.NewResponseController(w).Flush()
				if err == nil {
					_, err = w.Write([]byte(trailing))
				}
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
			}
		}))
		DeferCleanup(endless.Close)
		DeferCleanup(func() { close(stop) })
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		start := time.Now()
		result, err := New(endless.URL).Chat(ctx, ChatRequest{RequestID: "r1", Model: "m",
			Body: []byte(`{"messages":[{"role":"user","content":"hi"}]}`)}, func(Chunk) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(result.OutputTokens).To(BeEquivalentTo(2))
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	},
		Entry("at full speed", strings.Repeat("j", 4096), time.Duration(0)),
		Entry("a byte now and then", "j", 20*time.Millisecond),
	)
	chat := func() (string, ChatResult, error) {
		var text strings.Builder
		r := ChatRequest{RequestID: "r1", Model: "m", Priority: 3, MaxTokens: 10, ResumeText: "so far", ResumeTokens: 4,
			Body: []byte(`{"messages":[{"role":"user","content":"hi"}],"temperature":0.5}`)}
		result, err := New(server.URL).Chat(context.Background(), r, func(c Chunk) error {
			text.WriteString(c.Text)
			return nil
		})
		return text.String(), result, err
	}

	It("returns the text and the usage, and resumes after delivered text", func() {
		text, result, err := chat()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("Lantern"))
		Expect(result).To(Equal(ChatResult{FinishReason: "stop", PromptTokens: 7, OutputTokens: 2}))
		Expect(body).To(HaveKeyWithValue("priority", BeEquivalentTo(-3)))
		Expect(body).To(HaveKeyWithValue("max_tokens", BeEquivalentTo(6)))
		Expect(body).To(HaveKeyWithValue("temperature", BeEquivalentTo(0.5)))
		Expect(body).To(HaveKeyWithValue("continue_final_message", true))
		Expect(body["messages"]).To(HaveLen(2))
	})

	DescribeTable("an answer that is not complete or is to another request is an error", func(corrupt func(), want errkind.Kind) {
		corrupt()
		_, _, err := chat()
		Expect(errkind.Of(err)).To(Equal(want), "%v", err)
	},
		Entry("no [DONE]", func() { answer = strings.Replace(completeStream, "data: [DONE]", "", 1) }, errkind.OutcomeUnknown),
		Entry("no finish reason", func() { answer = strings.Replace(completeStream, `"stop"`, `""`, 1) }, errkind.OutcomeUnknown),
		Entry("broken event", func() { answer = "data: {\n\n" }, errkind.ProtocolError),
		Entry("answer to another request", func() { echo = "r2" }, errkind.ProtocolError),
		Entry("error event", func() { answer = `data: {"error":{"message":"x"}}` + "\n\n" }, errkind.BackendFailed),
		Entry("model not loaded", func() { status = http.StatusNotFound }, errkind.ModelNotResident),
		Entry("overload", func() { status = http.StatusServiceUnavailable }, errkind.Overloaded),
		Entry("failure", func() { status = http.StatusInternalServerError }, errkind.BackendFailed),
		Entry("unreachable", func() { server.Close() }, errkind.BackendUnreachable),
	)
})

// Guards against a panic or an endless loop on any stream that an engine sends.
func FuzzReadEvents(f *testing.F) {
	f.Add(completeStream)
	f.Fuzz(func(t *testing.T, stream string) {
		result, err := readEvents(strings.NewReader(stream), func(Chunk) error { return nil })
		if err == nil && result.FinishReason == "" {
			t.Fatal("a stream without a finish reason counts as complete")
		}
	})
}
