package systemtest

import (
	"context"
	"errors"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

var _ = Describe("the published client openai-go", Ordered, func() {
	var s *System
	BeforeAll(func() { s = NewSystem(layout{gateways: 1, backendServers: engines[:1]}) })
	client := func(secret string) openai.Client {
		return openai.NewClient(option.WithBaseURL(s.gateways[0]+"/v1/"), option.WithAPIKey(secret), option.WithMaxRetries(0))
	}
	params := func(model, prompt string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model:         model,
			Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
			MaxTokens:     openai.Int(64),
			StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		}
	}

	// Guards against answers and stream events that the client cannot decode.
	It("reads whole and streamed answers", func(ctx context.Context) {
		c := client(key("crews-1"))
		whole, err := c.Chat.Completions.New(ctx, params("brush-small", "colour codes, tokens:9"))
		Expect(err).NotTo(HaveOccurred())
		Expect(whole.Choices).To(HaveLen(1))
		Expect(whole.Choices[0].FinishReason).To(Equal("stop"))
		Expect(whole.Usage.CompletionTokens).To(BeEquivalentTo(9))

		events := c.Chat.Completions.NewStreaming(ctx, params("brush-small", "colour codes, tokens:9"))
		var sum openai.ChatCompletionAccumulator
		chunks := 0
		for events.Next() {
			chunks++
			Expect(sum.AddChunk(events.Current())).To(BeTrue())
		}
		Expect(events.Err()).NotTo(HaveOccurred())
		Expect(chunks).To(BeNumerically(">=", 9))
		Expect(sum.Choices).To(HaveLen(1))
		Expect(sum.Choices[0].Message.Content).To(Equal(whole.Choices[0].Message.Content))
		Expect(sum.Choices[0].FinishReason).To(Equal("stop"))
		Expect(sum.Usage.CompletionTokens).To(BeEquivalentTo(9))
	}, NodeTimeout(processTimeout))

	// Guards against a model list that the client cannot decode.
	It("lists the models", func(ctx context.Context) {
		c := client(key("crews-1"))
		page, err := c.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Data).To(HaveLen(1))
		Expect(page.Data[0].ID).To(Equal("brush-small"))
	}, NodeTimeout(processTimeout))

	// Guards against an error code that the client does not report.
	DescribeTable("gets the code of a refusal", func(ctx context.Context, secret, model, code string, status int) {
		c := client(secret)
		_, err := c.Chat.Completions.New(ctx, params(model, "tokens:1"))
		events := c.Chat.Completions.NewStreaming(ctx, params(model, "tokens:1"))
		Expect(events.Next()).To(BeFalse())
		for _, err := range []error{err, events.Err()} {
			var refusal *openai.Error
			Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
			Expect(refusal.Code).To(Equal(code))
			Expect(refusal.StatusCode).To(Equal(status))
		}
	},
		Entry("key", NodeTimeout(processTimeout), "not-a-key-of-anyone", "brush-small", "key_unknown", http.StatusUnauthorized),
		Entry("model", NodeTimeout(processTimeout), key("crews-1"), "no-such-model", "model_unknown", http.StatusNotFound),
	)
})
