package callerapi

import (
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
)

// Guards against bodies that are bounded one by one only, and against memory that is not given back.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	bodies := memorybudget.New(256 << 10)
	s := New(Options{MaxBody: 1 << 20, MaxConcurrency: 1, Bodies: bodies, Log: slog.New(slog.DiscardHandler)})
	for size, want := range map[int]errkind.Kind{300 << 10: errkind.GatewayFull, 50 << 10: errkind.None} {
		x := s.newExchange(httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", size))))
		body, err := s.readBody(x)
		if got := errkind.Of(err); got != want || want == errkind.None && (len(body) != size || bodies.Held() < int64(size)) {
			t.Errorf("%d bytes: kind %s, %d bytes read, %d held", size, got, len(body), bodies.Held())
		}
		x.releaseBody()
		if bodies.Held() != 0 {
			t.Errorf("%d bytes held after the request", bodies.Held())
		}
	}
}

// Guards against estimates far below the tokens that tokenizers report for digits and for scripts other than Latin.
func TestEstimateTokens(t *testing.T) {
	for text, want := range map[string]int64{
		"": 0, "how many lanterns?": 5, "کتنی لالٹینیں": 13, "0300 1234567": 6, "提灯はいくつ": 6,
	} {
		if got := estimateTokens([]byte(text)); got != want {
			t.Errorf("%q: %d tokens, want %d", text, got, want)
		}
	}
}

// Guards against bodies that crash the process, exceed the token limit, or have a different meaning for the engine than
// for the gateway.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user"}],"max_tokens":3,"max_tokens":1e9,"n":2}`))
	f.Add([]byte(`{"model":null,"messages":[null],"max_completion_tokens":null,"stream_options":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseChat(body)
		if err != nil {
			if errkind.Of(err) != errkind.BadRequest {
				t.Fatalf("kind %s", errkind.Of(err))
			}
			return
		}
		if c.maxTokens < 0 || c.maxTokens > maxTokenCount || c.promptTokens <= 0 {
			t.Fatalf("tokens %d, prompt %d", c.maxTokens, c.promptTokens)
		}
		encoded, err := c.encode(7)
		if err != nil {
			t.Fatal(err)
		}
		again, err := parseChat(encoded)
		if err != nil || again.model != c.model || again.stream != c.stream || again.maxTokens != 7 || !json.Valid(encoded) {
			t.Fatalf("%s became %s: %v", body, encoded, err)
		}
	})
}
