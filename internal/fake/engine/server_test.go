package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fake engine")
}

const model = "brush-small"

var ctx = context.Background()

func startServer(o Options) (*Server, openai.Client, string) {
	o.Models = []Model{{Name: model, MemoryMB: 100}}
	server := New(o)
	listener := httptest.NewServer(server)
	DeferCleanup(listener.Close)
	client := openai.NewClient(option.WithBaseURL(listener.URL+"/v1"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
	return server, client, listener.URL
}

func chatParams(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

// readStream returns the text of a stream, the completion tokens from its usage event, and its error.
func readStream(
	client openai.Client, params openai.ChatCompletionNewParams, opts ...option.RequestOption,
) (string, int64, error) {
	stream := client.Chat.Completions.NewStreaming(ctx, params, opts...)
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	var tokens int64
	for stream.Next() {
		chunk := stream.Current()
		tokens += chunk.Usage.CompletionTokens
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String(), tokens, stream.Err()
}

func post(handler http.Handler, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return recorder
}

func orderBody(fencingNumber, memoryMB string) string {
	return `{"parameters":{"fencing_number":"` + fencingNumber + `","memory_mb":"` + memoryMB + `"}}`
}

var _ = Describe("chat completions", func() {
	It("returns the same text to the OpenAI client with and without streaming", func() {
		_, client, _ := startServer(Options{})
		whole, err := client.Chat.Completions.New(ctx, chatParams("colours tokens:12"))
		Expect(err).NotTo(HaveOccurred())
		text, tokens, err := readStream(client, chatParams("colours tokens:12"))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(whole.Choices[0].Message.Content))
		Expect(strings.Fields(text)).To(HaveLen(12))
		Expect(tokens).To(BeEquivalentTo(12))
		Expect(whole.Usage.CompletionTokens).To(Equal(tokens))
	})

	DescribeTable("a stream resumed after a closed connection equals the uninterrupted one, so that a resume can be checked",
		func(cutAfter int, control string) {
			server, client, _ := startServer(Options{})
			want, _, err := readStream(client, chatParams("schedule tokens:9"))
			Expect(err).NotTo(HaveOccurred())
			post(server, "/control", control)
			received, _, err := readStream(client, chatParams("schedule tokens:9"))
			Expect(err).To(HaveOccurred())
			Expect(strings.Fields(received)).To(HaveLen(cutAfter))
			params := chatParams("schedule tokens:9")
			params.Messages = append(params.Messages, openai.AssistantMessage(received))
			rest, _, err := readStream(client, params, option.WithJSONSet("continue_final_message", true))
			Expect(err).NotTo(HaveOccurred())
			Expect(received + rest).To(Equal(want))
			Expect(server.State().BadResumes).To(BeZero())
		},
		Entry("before the first token", 0, `{"cut_streams":1,"cut_after_tokens":0}`),
		Entry("in the middle", 4, `{"cut_streams":1,"cut_after_tokens":4}`),
		Entry("after the last token", 9, `{"cut_streams":1,"cut_after_tokens":9}`),
	)

	It("returns another request's text and truncates a stream on demand, so that the checks against both can be tested", func() {
		server, client, _ := startServer(Options{})
		post(server, "/control", `{"cross_answers":1}`)
		var response *http.Response
		crossed, err := client.Chat.Completions.New(ctx, chatParams("tokens:5"),
			option.WithHeader(requestIDHeader, "r-1"), option.WithResponseInto(&response))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get(requestIDHeader)).NotTo(Equal("r-1"))
		own, err := client.Chat.Completions.New(ctx, chatParams("tokens:5"),
			option.WithHeader(requestIDHeader, "r-2"), option.WithResponseInto(&response))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get(requestIDHeader)).To(Equal("r-2"))
		Expect(own.Choices[0].Message.Content).NotTo(Equal(crossed.Choices[0].Message.Content))

		body := `{"model":"brush-small","stream":true,"messages":[{"role":"user","content":"tokens:5"}]}`
		post(server, "/control", `{"truncate_streams":1}`)
		Expect(post(server, "/v1/chat/completions", body).Body.String()).NotTo(ContainSubstring("[DONE]"))
		Expect(post(server, "/v1/chat/completions", body).Body.String()).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("crashes above its overload limit and drops running requests, so that a missing ramp is detected", func() {
		server, client, _ := startServer(Options{
			FirstToken: time.Hour, WarmUp: time.Hour, OverloadLimitCold: 2, OverloadLimitWarm: 100,
		})
		failed := make(chan error, 2)
		for range 2 {
			go func() {
				_, _, err := readStream(client, chatParams("tokens:5"))
				failed <- err
			}()
		}
		Eventually(func() int { return server.State().Running }).Should(Equal(2))
		_, _, err := readStream(client, chatParams("tokens:5"))
		Expect(err).To(MatchError(ContainSubstring("503")))
		Eventually(failed).Should(Receive(HaveOccurred()))
		Eventually(failed).Should(Receive(HaveOccurred()))
		Expect(server.State().Crashes).To(Equal(1))
		Eventually(func() int { return server.State().Running }).Should(BeZero())
	})

	It("lists the headers that it received, so that an API key that reaches the engine is detected", func() {
		_, client, url := startServer(Options{})
		_, err := client.Chat.Completions.New(ctx, chatParams("tokens:5"))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Get(url + "/control/requests")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		var seen []standin.RecordedRequest
		Expect(json.NewDecoder(response.Body).Decode(&seen)).To(Succeed())
		Expect(seen).To(HaveLen(1))
		Expect(seen[0].Header.Get("Authorization")).To(Equal("Bearer unused"))
	})
})

var _ = Describe("model orders", func() {
	It("raises the high-water mark above the total, so that an accounting error of the client is detected", func() {
		server, _, _ := startServer(Options{MemoryTotalMB: 150})
		post(server, "/v2/repository/models/lantern/load", orderBody("1", "80"))
		state := server.State()
		Expect(state.HighWaterMB).To(BeEquivalentTo(180))
		Expect(state.MemoryUsedMB).To(BeEquivalentTo(100))
		Expect(state.Models).To(ContainElement(StateModel{"lantern", StateUnavailable, 0}))
	})

	DescribeTable("rejects an order with an old fencing number only with fencing, to test both kinds of engine",
		func(fencing bool, status int, models int) {
			server, _, _ := startServer(Options{Fencing: fencing})
			unload := "/v2/repository/models/" + model + "/unload"
			Expect(post(server, unload, orderBody("7", "0")).Code).To(Equal(http.StatusOK))
			late := post(server, "/v2/repository/models/"+model+"/load", orderBody("6", "100"))
			Expect(late.Code).To(Equal(status))
			Expect(server.State().Models).To(HaveLen(models))
		},
		Entry("fencing on", true, http.StatusConflict, 0),
		Entry("fencing off", false, http.StatusOK, 1),
	)

	It("loses all models and changes its incarnation at a cold restart", func() {
		server, _, _ := startServer(Options{})
		before := server.State()
		post(server, "/control", `{"restart":true}`)
		after := server.State()
		Expect(after.Incarnation).NotTo(Equal(before.Incarnation))
		Expect(after.Models).To(BeEmpty())
	})
})

// Guards against memory that is freed before an unload ends, which would hide an overcommit between an unload and
// the next load.
func TestUnloadHoldsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := New(Options{Models: []Model{{model, 100}}, LoadTime: time.Second, UnloadTime: time.Minute})
		post(server, "/v2/repository/models/"+model+"/unload", orderBody("1", "0"))
		post(server, "/v2/repository/models/lantern/load", orderBody("2", "80"))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		g.Expect(server.State().MemoryUsedMB).To(BeEquivalentTo(180))
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(server.State().MemoryUsedMB).To(BeEquivalentTo(80))
		g.Expect(server.State().HighWaterMB).To(BeEquivalentTo(180))
	})
}

// Guards against a first token that takes as long with a cached prompt as without, which would hide the effect of
// prefix affinity.
func TestCachedPrefixShortensFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := New(Options{
			Models: []Model{{model, 100}}, FirstToken: time.Second, CacheBlocks: 8, CacheSaving: 0.75,
			ColdFactor: 3, WarmUp: time.Millisecond,
		})
		time.Sleep(time.Second)
		body := `{"model":"brush-small","max_tokens":1,"messages":[{"role":"user","content":"summary"}]}`
		for _, want := range []time.Duration{time.Second, 250 * time.Millisecond} {
			began := time.Now()
			g.Expect(post(server, "/v1/chat/completions", body).Code).To(Equal(http.StatusOK))
			g.Expect(time.Since(began)).To(Equal(want))
		}
	})
}
