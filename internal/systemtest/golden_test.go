package systemtest

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

// varyingParts are the texts that differ between two runs, and their replacements.
var varyingParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "<request ID>"},
	{regexp.MustCompile(`"created":\d+`), `"created":<time>`},
	{regexp.MustCompile(`\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\d(\.\d+)?Z`), "<time>"},
	{regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`), "<address>"},
	{regexp.MustCompile(`load \S+/bundle.yml`), "load <directory>/bundle.yml"},
}

func normalise(text string) string {
	for _, v := range varyingParts {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	return text
}

// matchGolden compares text with testdata/NAME.golden. go test ./internal/systemtest -update overwrites the files;
// review the difference before committing it.
func matchGolden(name, text string) {
	GinkgoHelper()
	g := goldie.New(suite)
	if f := flag.Lookup("update"); f != nil && f.Value.String() == "true" {
		Expect(g.Update(suite, name, []byte(text))).To(Succeed())
	}
	want, err := os.ReadFile(g.GoldenFileName(suite, name))
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(want)))
}

// goldenCalls returns the calls of the golden session with their titles. g is the base URL of the gateway.
func goldenCalls(g string) []struct {
	title string
	request
} {
	chat, bookings := g+"/v1/chat/completions", g+"/services/"+ledgerService+"/bookings"
	hello := chatBody("summary of yesterday, tokens:7", false)
	type step = struct {
		title string
		request
	}
	return []step{
		{"whole reply", request{method: "POST", url: chat, key: "crews-1", body: hello}},
		{"streamed reply", request{method: "POST", url: chat, key: "crews-1", body: chatBody("colour codes, tokens:4", true)}},
		{"models", request{method: "GET", url: g + "/v1/models", key: "crews-1"}},
		{"booking", request{method: "POST", url: bookings, key: "clerks-1",
			idempotencyKey: "golden-1", body: `{"booking":"lantern-17"}`}},
		{"replayed booking", request{method: "POST", url: bookings, key: "clerks-1",
			idempotencyKey: "golden-1", body: `{"booking":"lantern-17"}`}},
		{"other booking with the same key", request{method: "POST", url: bookings, key: "clerks-1",
			idempotencyKey: "golden-1", body: `{"booking":"lantern-18"}`}},
		{"key unknown", request{method: "POST", url: chat, key: "nobody", body: hello}},
		{"key missing", request{method: "POST", url: chat, body: hello}},
		{"model unknown", request{method: "POST", url: chat, key: "crews-1",
			body: strings.Replace(hello, "brush-small", "brush-none", 1)}},
		{"wrong method", request{method: "GET", url: chat, key: "crews-1"}},
		{"unknown route", request{method: "GET", url: g + "/v2/chat", key: "crews-1"}},
		{"unknown service", request{method: "GET", url: g + "/services/nobody/x", key: "crews-1"}},
		{"broken JSON", request{method: "POST", url: chat, key: "crews-1", body: hello[:20]}},
		{"body over the limit", request{method: "POST", url: chat, key: "crews-1",
			body: chatBody(strings.Repeat("a", 70<<10), false)}},
		{"invalid UTF-8", request{method: "POST", url: chat, key: "crews-1",
			body: strings.Replace(hello, "summary", "\xff\xfe", 1)}},
		{"absurd token count", request{method: "POST", url: chat, key: "crews-1",
			body: strings.Replace(hello, ":4096", ":9000000000000000000", 1)}},
		{"negative token count", request{method: "POST", url: chat, key: "crews-1",
			body: strings.Replace(hello, ":4096", ":-1", 1)}},
		{"open service", request{method: "POST", url: g + "/services/" + noticeService + "/bookings",
			body: `{"booking":"notice-1"}`}},
		{"open service with an unknown key", request{method: "GET", url: g + "/services/" + noticeService + "/bookings/notice-1",
			key: "nobody"}},
	}
}

// formatReply formats the status, the header fields that matter to a caller, and the body.
func formatReply(r reply) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s\n", r.status, http.StatusText(r.status))
	for _, name := range []string{"Allow", "Connection", "Content-Type", "Pomelo-Ran", "Retry-After", "Www-Authenticate", "X-Request-Id"} {
		for _, v := range r.header.Values(name) {
			fmt.Fprintf(&b, "%s: %s\n", name, v)
		}
	}
	fmt.Fprintf(&b, "\n%s\n", strings.TrimSuffix(r.body, "\n"))
	return b.String()
}

// formatReceived formats the requests that a backend server received, without the polls of its own sidecar.
func formatReceived(name string, requests []receivedRequest) string {
	var b strings.Builder
	for _, r := range requests {
		if r.Path != "/v1/chat/completions" && !strings.HasPrefix(r.Path, "/bookings") {
			continue
		}
		fmt.Fprintf(&b, "%s: %s %s?%s\n", name, r.Method, r.Path, r.Query)
		var lines []string
		for header, values := range r.Header {
			lines = append(lines, fmt.Sprintf("  %s: %s\n", header, strings.Join(values, ", ")))
		}
		slices.Sort(lines)
		b.WriteString(strings.Join(lines, ""))
	}
	return b.String()
}

var _ = Describe("the golden session", func() {
	// Guards against an unnoticed change of what callers, operators and backend servers see.
	It("is as recorded", func() {
		backendServers := []backendServer{
			{name: "brush-1", dataCentre: "walled-city", service: modelService},
			{name: "ledger-1", dataCentre: "walled-city", service: ledgerService},
			{name: "notices-1", dataCentre: "gulberg", service: noticeService},
		}
		s := NewSystem(layout{gateways: 1, backendServers: backendServers})
		before := map[string]int{}
		for _, b := range backendServers {
			before[b.name] = len(s.receivedRequests(b.name))
		}
		var callers, operators, servers strings.Builder
		for _, step := range goldenCalls(s.gateways[0]) {
			r := s.Call(step.request)
			Expect(r.err).NotTo(HaveOccurred(), step.title)
			fmt.Fprintf(&callers, "=== %s\n%s", step.title, formatReply(r))
		}
		for _, args := range [][]string{
			{"profile", "change", "booking", "deadline_ms=15000", "-reason", "slow printers", "-change-id", "golden-change"},
			{"key", "withdraw", "crews-3", "-reason", "lost handset", "-change-id", "golden-withdrawal"},
			{"history"}, {"show-change", "2"}, {"show-change", "3"}, {"diff", "1", "3"},
			{"profile", "show", "booking"}, {"key", "show", "crews-3"}, {"organisation", "show", "clerks"},
			{"service", "list"}, {"datacentre", "list"},
		} {
			fmt.Fprintf(&operators, "=== pomeloctl %s\n%s", strings.Join(args, " "), s.Ctl(args...))
		}
		for _, b := range backendServers {
			servers.WriteString(formatReceived(b.name, s.receivedRequests(b.name)[before[b.name]:]))
		}
		// RFC 9110, sections 15.5.2 and 15.5.6.
		Expect(callers.String()).To(MatchRegexp(`(?s)=== key unknown\n401.*?Www-Authenticate: Bearer\n`))
		Expect(callers.String()).To(MatchRegexp(`(?s)=== wrong method\n405 Method Not Allowed\nAllow: POST\n`))
		matchGolden("callers", normalise(callers.String()))
		matchGolden("operators", normalise(operators.String()))
		matchGolden("servers", normalise(servers.String()))
	})
})
