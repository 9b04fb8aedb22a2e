package errkind

import (
	"fmt"
	"strings"
)

// Markdown returns the error table of all kinds in Markdown, as docs/api.md contains it.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | HTTP status | ran | retry | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	for _, k := range All() {
		a := k.Answer()
		after := "-"
		if a.RetryAfter > 0 {
			after = a.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %s |\n", a.Code, a.HTTPStatus, a.Ran, a.Retry, after, a.Text)
	}
	return b.String()
}
