package systemtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// request is an HTTP request of a caller.
type request struct {
	method, url, key, body, idempotencyKey string
	header                                 http.Header // further header fields
}

// reply is the answer to a request; err is set if the connection broke.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r reply) code() string {
	var e struct{ Error struct{ Code string } }
	_ = json.Unmarshal([]byte(r.body), &e)
	return e.Error.Code
}

func (r reply) ran() string { return r.header.Get("Pomelo-Ran") }

// text returns the generated text of a chat completion that was not streamed, or nothing for other answers.
func (r reply) text() string {
	var c struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal([]byte(r.body), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Message.Content
}

func newRequest(ctx context.Context, r request) *http.Request {
	GinkgoHelper()
	q, err := http.NewRequestWithContext(ctx, r.method, r.url, strings.NewReader(r.body))
	Expect(err).NotTo(HaveOccurred())
	maps.Copy(q.Header, r.header)
	if r.key != "" {
		q.Header.Set("Authorization", "Bearer "+key(r.key))
	}
	if r.idempotencyKey != "" {
		q.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	return q
}

// Call sends a request and reads its answer to the end.
func (s *System) Call(r request) reply {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*processTimeout)
	defer cancel()
	response, err := http.DefaultClient.Do(newRequest(ctx, r))
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(raw), err: err}
}

func chatBody(prompt string, stream bool) string {
	raw, _ := json.Marshal(map[string]any{"model": "brush-small", "stream": stream, "max_tokens": 4096,
		"messages": []any{map[string]string{"role": "user", "content": prompt}}})
	return string(raw)
}

// Chat sends a chat request that is not streamed.
func (s *System) Chat(gateway, keyID, prompt string) reply {
	GinkgoHelper()
	return s.Call(request{method: "POST", url: gateway + "/v1/chat/completions", key: keyID, body: chatBody(prompt, false)})
}

// Book sends a booking in the format of the fake service.
func (s *System) Book(gateway, idempotencyKey, id string) reply {
	GinkgoHelper()
	return s.Call(request{method: "POST", url: gateway + "/services/" + ledgerService + "/bookings", key: "clerks-1",
		idempotencyKey: idempotencyKey, body: fmt.Sprintf(`{"booking":%q}`, id)})
}

// stream is a streamed chat answer that is read in the background.
type stream struct {
	id     string
	status int
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	text     strings.Builder
	tokens   int
	finished bool   // [DONE] arrived
	failure  string // code of an error event
}

// Stream sends a streamed chat request and returns when the header of the answer has arrived. If the request is
// refused, the error code becomes the failure of the stream.
func (s *System) Stream(gateway, keyID, prompt string) *stream {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	r := request{method: "POST", url: gateway + "/v1/chat/completions", key: keyID, body: chatBody(prompt, true)}
	response, err := http.DefaultClient.Do(newRequest(ctx, r))
	Expect(err).NotTo(HaveOccurred())
	st := &stream{id: response.Header.Get("X-Request-Id"), status: response.StatusCode, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(st.done)
		defer cancel()
		defer func() { _ = response.Body.Close() }()
		if st.status != http.StatusOK {
			raw, _ := io.ReadAll(response.Body)
			st.line("data: " + string(raw))
			return
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			st.line(lines.Text())
		}
	}()
	DeferCleanup(func() { cancel(); <-st.done })
	return st
}

func (st *stream) line(line string) {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if data == "[DONE]" {
		st.finished = true
		return
	}
	var event struct {
		Choices []struct{ Delta struct{ Content string } }
		Error   struct{ Code string }
	}
	_ = json.Unmarshal([]byte(data), &event)
	if event.Error.Code != "" {
		st.failure = event.Error.Code
	}
	for _, c := range event.Choices {
		if c.Delta.Content != "" {
			st.tokens++
			st.text.WriteString(c.Delta.Content)
		}
	}
}

func (st *stream) tokenCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.tokens
}

// result returns the text so far, whether [DONE] has arrived, and the code of an error event, if any.
func (st *stream) result() (text string, whole bool, failure string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.text.String(), st.finished, st.failure
}

// forwarder forwards TCP connections to target until Cut is called.
type forwarder struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newForwarder(target string) *forwarder {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &forwarder{listener: l, target: target}
	DeferCleanup(f.Cut)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			f.forward(in)
		}
	}()
	return f
}

// Address returns the address to connect to.
func (f *forwarder) Address() string { return f.listener.Addr().String() }

func (f *forwarder) forward(in net.Conn) {
	out, err := net.Dial("tcp", f.target)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || f.cut {
		_ = in.Close()
		if err == nil {
			_ = out.Close()
		}
		return
	}
	f.conns = append(f.conns, in, out)
	copyAndClose := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
		_ = from.Close()
	}
	go copyAndClose(in, out)
	go copyAndClose(out, in)
}

// Cut closes every connection and the listener.
func (f *forwarder) Cut() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	for _, c := range f.conns {
		_ = c.Close()
	}
}
