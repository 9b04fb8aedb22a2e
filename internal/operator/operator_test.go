package operator_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/operator"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const bundle = `
organisations: [{name: crews, rate: 1000, burst: 5000}]
profiles: [{name: waiting, class: interactive, deadline_ms: 20000, max_output_tokens: 512}]
data_centres: [{name: gulberg, region: pc}, {name: walled-city, region: pc}]
services: [{name: brush, kind: model, profile: waiting}]
models:
- {name: style, service: brush, base: base, memory_mb: 40, min_copies: 2}
- {name: base, service: brush, memory_mb: 9000, min_copies: 3}
`

// testCLI runs commands against one in-memory store and keeps the output of the last one.
type testCLI struct {
	store  *tablestore.Memory
	stdout string
	stderr string
}

func (c *testCLI) run(args ...string) int {
	var stdout, stderr bytes.Buffer
	code := operator.Run(context.Background(), args, operator.Env{
		Stdout: &stdout, Stderr: &stderr, Now: time.Now, Random: rand.Reader, Store: c.store,
		Getenv: func(name string) string { return map[string]string{"POMELO_AUTHOR": "amira"}[name] },
	})
	c.stdout, c.stderr = stdout.String(), stderr.String()
	return code
}

func (c *testCLI) change(args ...string) int { return c.run(append(args, "-reason", "test")...) }

func writeFile(name, content string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("pomeloctl", func() {
	var c *testCLI
	head := func() int64 {
		v, err := config.NewLog(c.store).Head(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return v
	}
	BeforeEach(func() {
		c = &testCLI{store: tablestore.NewMemory()}
		Expect(c.change("init", writeFile("bundle.yml", bundle))).To(Equal(operator.ExitAccepted), c.stderr)
	})

	It("proposes without writing and says what is affected", func() {
		Expect(c.run("profile", "propose", "waiting", "first_token_ms=400")).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(ContainSubstring("first_token_ms: 0 -> 400"))
		Expect(c.stdout).To(ContainSubstring("models: base, style; accelerators: 5 resident copies; memory: 27080 MB"))
		Expect(c.run("model", "change", "base", "min_copies=4", "-propose")).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(ContainSubstring("memory: 36080 MB (+9000 MB)"))
		Expect(head()).To(Equal(int64(1)))
	})

	It("reports the accepted changes to the author of a conflicting change", func() {
		Expect(c.change("profile", "change", "waiting", "priority=1", "-at", "1")).To(Equal(operator.ExitAccepted))
		Expect(c.change("profile", "change", "waiting", "priority=2", "-at", "1")).To(Equal(operator.ExitNotAccepted))
		Expect(c.stderr).To(ContainSubstring("changed from version 1 to 2"))
		Expect(c.stderr).To(ContainSubstring("change profile waiting priority=1: test"))
	})

	It("resolves a lost answer and takes a repeat as the same change", func() {
		c.store.LoseAnswers(1)
		Expect(c.change("datacentre", "out", "gulberg", "-change-id", "x1")).To(Equal(operator.ExitAccepted))
		Expect(c.change("datacentre", "out", "gulberg", "-change-id", "x1")).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(ContainSubstring("accepted before"))
		Expect(c.change("datacentre", "in", "gulberg", "-change-id", "x1")).To(Equal(operator.ExitNotAccepted))
		Expect(head()).To(Equal(int64(2)))
	})

	It("reports the outcome when the table service is unavailable", func() {
		c.store.SetUnavailable(true)
		Expect(c.change("datacentre", "out", "gulberg")).To(Equal(operator.ExitUnavailable))
		Expect(c.stderr).To(ContainSubstring("NOT ACCEPTED: the table service is unavailable"))
		// With a given change ID, an earlier run may have been accepted.
		Expect(c.change("datacentre", "out", "gulberg", "-change-id", "x1")).To(Equal(operator.ExitUnknown))
		Expect(c.stderr).To(ContainSubstring("-change-id x1"))
		Expect(c.run("history")).To(Equal(operator.ExitUnavailable))
	})

	It("says unknown when every answer is lost", func() {
		c.store.LoseAnswers(1)
		calls := c.store.Calls()
		Expect(c.run("datacentre", "out", "gulberg", "-propose")).To(Equal(operator.ExitAccepted))
		reads := c.store.Calls() - calls
		for n := reads; n < reads+30; n++ {
			if n > reads+6 {
				c.store.FailCall(n, tablestore.ErrUnavailable)
			}
		}
		Expect(c.change("datacentre", "out", "gulberg")).To(BeElementOf(operator.ExitUnknown))
		Expect(c.stderr).To(MatchRegexp(`UNKNOWN: .*\n.*-change-id c-[0-9a-f]{16}`))
	})

	// Guards against a key stored in clear text in the table service, and against a printed key that does not work.
	It("prints a key once, stores only its digest, and withdraws it permanently", func() {
		Expect(c.change("key", "give", "crews", "-id", "k1")).To(Equal(operator.ExitAccepted))
		secret := regexp.MustCompile(`pomelo_\S+`).FindString(c.stdout)
		s, err := config.NewLog(c.store).Load(context.Background())
		Expect(err).NotTo(HaveOccurred())
		key, ok := s.FindKey(secret)
		Expect(ok).To(BeTrue())
		Expect(key.Organisation).To(Equal("crews"))
		Expect(c.run("show-change", "2", "-o", "json")).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).NotTo(ContainSubstring(secret))
		Expect(c.change("organisation", "withdraw", "crews")).To(Equal(operator.ExitNotAccepted))
		Expect(c.change("key", "withdraw", "k1")).To(Equal(operator.ExitAccepted))
		Expect(c.change("key", "withdraw", "k1")).To(Equal(operator.ExitNotAccepted))
	})

	It("keeps the last data centre of a region unless forced", func() {
		Expect(c.change("datacentre", "out", "gulberg")).To(Equal(operator.ExitAccepted))
		Expect(c.change("datacentre", "out", "walled-city")).To(Equal(operator.ExitNotAccepted))
		Expect(c.change("datacentre", "out", "walled-city", "-force")).To(Equal(operator.ExitAccepted))
	})

	It("shows history and differences", func() {
		Expect(c.change("profile", "change", "waiting", "priority=1")).To(Equal(operator.ExitAccepted))
		Expect(c.change("profile", "change", "waiting", "priority=3")).To(Equal(operator.ExitAccepted))
		Expect(c.change("datacentre", "out", "gulberg")).To(Equal(operator.ExitAccepted))
		Expect(c.change("datacentre", "in", "gulberg")).To(Equal(operator.ExitAccepted))
		Expect(c.run("diff", "1", "5")).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(ContainSubstring("priority: 0 -> 3"))
		Expect(c.stdout).NotTo(ContainSubstring("gulberg"))
		Expect(c.run("history", "-n", "2", "-o", "json")).To(Equal(operator.ExitAccepted))
		var changes []config.Change
		Expect(json.Unmarshal([]byte(c.stdout), &changes)).To(Succeed())
		Expect(changes).To(HaveLen(2))
		Expect(changes[0].Version).To(Equal(int64(5)))
	})

	It("loads a bundle of several changes, continues it, and refuses a second one", func() {
		var b strings.Builder
		b.WriteString("organisations:\n")
		for i := range 200 {
			b.WriteString("- {name: o" + string(rune('a'+i%26)) + strings.Repeat("x", i/26) + ", rate: 1, burst: 1}\n")
		}
		path := writeFile("large.yml", b.String())
		c.store = tablestore.NewMemory()
		Expect(c.change("init", path, "-change-id", "i")).To(Equal(operator.ExitAccepted), c.stderr)
		Expect(head()).To(Equal(int64(3)))
		Expect(c.change("init", path, "-change-id", "i")).To(Equal(operator.ExitAccepted), c.stderr)
		Expect(c.change("init", path)).To(Equal(operator.ExitNotAccepted))
		Expect(head()).To(Equal(int64(3)))
	})

	It("reports how far a change is in force", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
			e, err := s.Recv()
			if err == nil && e.GetStatusRequest() != nil {
				_ = s.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Status{Status: &wirepb.Status{ConfigVersion: 2}}})
			}
		}, slog.New(slog.DiscardHandler))
		go func() { _ = server.Serve(context.Background()) }()
		DeferCleanup(server.Close)
		unreachable, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(unreachable.Close()).To(Succeed())
		peers := listener.Addr().String() + "," + unreachable.Addr().String()
		Expect(c.change("datacentre", "out", "gulberg", "-wait", "0", "-peers", peers)).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(ContainSubstring("in force on 1 of 2 processes\nnot heard from: " + unreachable.Addr().String()))
		Expect(c.change("datacentre", "in", "gulberg", "-wait", "0", "-peers", peers)).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(ContainSubstring("still at an older version: " + listener.Addr().String()))
		Expect(c.run("status", "-peers", peers)).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(ContainSubstring("processes at version 3: 0 of 2; not heard from: 1"))
	})

	It("explains a request from log files in order of time", func() {
		one := writeFile("a.log", "time=2026-01-01T00:00:02Z msg=second request_id=r-1\ntime=2026-01-01T00:00:00Z request_id=r-12\n")
		two := writeFile("b.log", `{"time":"2026-01-01T00:00:01Z","msg":"first","request_id":"r-1"}`+"\n")
		Expect(c.run("explain", "r-1", "-logs", one+","+two)).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(MatchRegexp(`(?s)b\.log:1:.*first.*a\.log:1:.*second`))
		Expect(c.stdout).NotTo(ContainSubstring("r-12"))
		Expect(c.run("explain", "r-9", "-logs", one)).To(Equal(operator.ExitNotAccepted))
	})

	DescribeTable("refuses wrong arguments", func(args ...string) {
		Expect(c.run(args...)).To(Equal(operator.ExitUsage))
		Expect(head()).To(Equal(int64(1)))
	},
		Entry("no command"),
		Entry("unknown command", "profiles"),
		Entry("no subcommand", "profile"),
		Entry("no reason", "datacentre", "out", "gulberg"),
		Entry("unknown field", "profile", "change", "waiting", "colour=red", "-reason", "x"),
		Entry("wrong type", "profile", "change", "waiting", "priority=high", "-reason", "x"),
		Entry("null", "profile", "change", "waiting", "priority=null", "-reason", "x"),
		Entry("name by assignment", "profile", "change", "waiting", "name=x", "-reason", "x"),
		Entry("output", "history", "-o", "xml"),
		Entry("versions", "diff", "2", "1"),
	)

	It("has help for every command", func() {
		Expect(c.run("help")).To(Equal(operator.ExitAccepted))
		Expect(c.stdout).To(ContainSubstring("3  unknown: ask again with this change ID"))
		Expect(c.run("key", "give", "-h")).To(Equal(operator.ExitAccepted))
		Expect(c.stderr).To(ContainSubstring("-change-id"))
	})
})

// Guards against a bundle or an assignment that causes a panic.
func FuzzParseBundle(f *testing.F) {
	f.Add([]byte(bundle), "rate=1")
	f.Add([]byte(`{"keys":[{"id":"k"}]}`), "name")
	f.Fuzz(func(t *testing.T, source []byte, assignment string) {
		if b, err := operator.ParseBundle(source); err == nil {
			if _, err := b.Entities(); err != nil {
				t.Fatal(err)
			}
		}
		e, err := operator.Assign(config.KindOrganisation, "o", nil, []string{assignment})
		if err == nil && e.Name != "o" {
			t.Fatalf("entity name is %q, want \"o\"", e.Name)
		}
	})
}

// Guards against a log text that causes a panic, and against a returned line that does not contain the request ID.
func FuzzExplainLines(f *testing.F) {
	f.Add("time=x request_id=r-1\n", "r-1")
	f.Fuzz(func(t *testing.T, text, id string) {
		lines, _ := operator.ExplainLines(context.Background(), strings.NewReader(text), id)
		for _, l := range lines {
			if !strings.Contains(l.Text, id) {
				t.Fatalf("line %d does not contain %q", l.Line, id)
			}
		}
	})
}
