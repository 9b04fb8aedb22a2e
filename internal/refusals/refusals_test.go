package refusals

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Guards against a log that a crowd fills, and against refusals that are not counted because they are not logged.
func TestRefusalsAreCountedAndLoggedOnceASecond(t *testing.T) {
	var out bytes.Buffer
	var set Set
	r := set.Recorder("callers", slog.New(slog.NewTextHandler(&out, nil)))
	for range 100 {
		r.Record("too_many_fields", "127.0.0.1:9")
	}
	r.Record("body_stalled", "127.0.0.1:10")
	if lines := strings.Count(out.String(), "\n"); lines != 2 {
		t.Errorf("%d log lines, want 2:\n%s", lines, out.String())
	}
	for _, part := range []string{"listener=callers", "reason=too_many_fields", "client=127.0.0.1:9"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("no %s in %s", part, out.String())
		}
	}
	if got, want := set.Var().String(), `{"callers":{"body_stalled":1,"too_many_fields":100}}`; got != want {
		t.Errorf("metric %s, want %s", got, want)
	}
	(*Set)(nil).Recorder("readiness", nil).Record("no_progress", "127.0.0.1:11")
}
