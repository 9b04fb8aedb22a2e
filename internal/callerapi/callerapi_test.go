package callerapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callers")
}

const (
	chatPath     = "/v1/chat/completions"
	completeBody = `{"model":"colour-7b","messages":[{"role":"user","content":"colour code of crew 4"}],"max_tokens":9}`
	streamBody   = `{"model":"colour-7b","stream":true,"stream_options":{"include_usage":true},` +
		`"messages":[{"role":"user","content":"summary"}]}`
)

func errorCode(body string) string {
	var e struct {
		Error struct {
			Code, Message, Type string
			Param               *string
		}
	}
	if json.Unmarshal([]byte(body), &e) != nil {
		return "not an error response: " + body
	}
	return e.Error.Code
}

// sseText joins the content of the events. It returns whether the stream ended with [DONE] and whether it has an error
// event, and the reported completion tokens.
func sseText(body string) (text string, done, failed bool, completion int64) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			failed = true
		case data == "[DONE]":
			done = true
		case ok:
			var c struct {
				Choices []struct{ Delta struct{ Content string } }
				Usage   struct {
					CompletionTokens int64 `json:"completion_tokens"`
				}
			}
			must(json.Unmarshal([]byte(data), &c))
			for _, choice := range c.Choices {
				text += choice.Delta.Content
			}
			completion = max(completion, c.Usage.CompletionTokens)
		}
	}
	return text, done, failed, completion
}

func startFixture(profile config.Profile, attempts, replicas int, script func(t *conversation)) *fixture {
	f := newFixture(profile, attempts, replicas, script)
	DeferCleanup(f.close)
	return f
}

func answerCompletely(t *conversation) {
	t.accept()
	t.chunk("red", 1)
	t.chunk(" lantern", 2)
	t.end(errkind.None)
}

var bg = context.Background()
