package callerapi_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// Guards against lost or repeated tokens when streams break off at any point.
func TestResumeKeepsEveryToken(t *testing.T) {
	tokens := strings.SplitAfter("the crew at bay four hangs nine red lanterns before dawn ", " ")
	tokens = tokens[:len(tokens)-1]
	rapid.Check(t, func(rt *rapid.T) {
		breaks := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 4).Draw(rt, "tokens before each break")
		f := newFixture(defaultProfile, 6, 6, func(c *conversation) {
			at := int(c.submit.GetResumeOffset())
			if strings.Join(tokens[:at], "") != c.submit.GetResumeText() {
				c.refuse(errkind.BadRequest)
				return
			}
			stop := len(tokens)
			if n := int(c.submit.GetAttempt()) - 1; n < len(breaks) {
				stop = min(at+breaks[n], len(tokens))
				defer func() { _ = c.Close() }()
			}
			for _, token := range tokens[at:stop] {
				c.chunk(token, 1)
			}
			if stop == len(tokens) {
				c.end(errkind.None)
			}
		})
		defer f.close()
		_, body := f.do(bg, "POST", chatPath, streamBody)
		text, done, failed, completion := sseText(body)
		if text != strings.Join(tokens, "") || !done || failed || completion != int64(len(tokens)) {
			rt.Fatalf("got %q done=%v failed=%v tokens=%d", text, done, failed, completion)
		}
	})
}
