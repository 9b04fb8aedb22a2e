package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/sebdah/goldie/v2"

	"github.com/pomelowheel/pomelowheel/internal/operator"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// sequentialReader replaces the random source by successive byte values, so that IDs and keys are the same in every run.
type sequentialReader struct{ last byte }

// Read implements io.Reader.
func (c *sequentialReader) Read(p []byte) (int, error) {
	for i := range p {
		c.last++
		p[i] = c.last
	}
	return len(p), nil
}

// lossyStore is a store that, while loseAnswer is set, loses the answer of a successful write and is unavailable after it.
type lossyStore struct {
	*tablestore.Memory
	loseAnswer bool
}

// Write implements tablestore.Store.
func (s *lossyStore) Write(ctx context.Context, changeID string, ops ...tablestore.Op) error {
	err := s.Memory.Write(ctx, changeID, ops...)
	if err == nil && s.loseAnswer {
		s.SetUnavailable(true)
		return tablestore.ErrUnknown
	}
	return err
}

// session records commands with their output and exit codes. Its clock advances by a minute with each command.
type session struct {
	store      *lossyStore
	random     io.Reader
	now        time.Time
	transcript bytes.Buffer
}

// tempDir matches the path of a file that the test wrote in a temporary directory.
var tempDir = regexp.MustCompile(`/\S*/(bundle\.yml|gateway\.log|sidecar\.log)`)

func (s *session) comment(text string) { fmt.Fprintf(&s.transcript, "# %s\n", text) }

func (s *session) run(args ...string) {
	var out bytes.Buffer
	s.now = s.now.Add(time.Minute)
	code := operator.Run(context.Background(), args, operator.Env{
		Stdout: &out, Stderr: &out, Now: func() time.Time { return s.now }, Random: s.random, Store: s.store,
		Getenv: func(name string) string { return map[string]string{"POMELO_AUTHOR": "amira"}[name] },
	})
	fmt.Fprintf(&s.transcript, "$ pomeloctl %s\n%s[exit %d]\n\n", strings.Join(args, " "), out.String(), code)
}

const gatewayLog = `time=2026-03-02T05:00:00.010Z level=INFO msg="routing decision" request_id=r-1 organisation=crews choice=127.0.0.1:7101 reason="least estimated wait"
time=2026-03-02T05:00:00.020Z level=INFO msg="routing decision" request_id=r-12 organisation=crews choice=127.0.0.1:7101
`

const sidecarLog = `{"time":"2026-03-02T05:00:00.012Z","level":"INFO","msg":"admission","request_id":"r-1","choice":"queued"}
`

// Guards against a message that does not tell the operator whether a change was accepted, and against a changed exit code
// or change ID that breaks a repeat of a command.
var _ = Describe("operator session", func() {
	It("matches the golden transcript", func() {
		s := &session{
			store: &lossyStore{Memory: tablestore.NewMemory()}, random: new(sequentialReader),
			now: time.Date(2026, 3, 2, 5, 0, 0, 0, time.UTC),
		}
		file := writeFile("bundle.yml", bundle)
		s.comment("first configuration")
		s.run("init", file, "-reason", "first")
		s.comment("propose a change, then make it as shown")
		s.run("profile", "propose", "waiting", "first_token_ms=400")
		s.run("profile", "change", "waiting", "first_token_ms=400", "-at", "1", "-reason", "board 14")
		s.comment("a change by another operator, based on the same version, conflicts")
		s.run("profile", "change", "waiting", "priority=5", "-at", "1", "-reason", "board 15", "-author", "bilal")
		s.comment("approve a model, then make an invalid change")
		s.run("model", "approve", "maps", "service=brush", "memory_mb=4000", "min_copies=1", "-reason", "board 16")
		s.run("model", "withdraw", "base", "-reason", "unused")
		s.comment("create and withdraw a key")
		s.run("key", "give", "crews", "-id", "k-9", "-reason", "handset 9")
		s.run("key", "withdraw", "k-9", "-reason", "handset 9 is lost")
		s.comment("the table service is unavailable")
		s.store.SetUnavailable(true)
		s.run("datacentre", "out", "gulberg", "-reason", "power")
		s.run("history")
		s.store.SetUnavailable(false)
		s.comment("the answer of the write is lost; a repeat with the change ID reports the outcome")
		s.store.loseAnswer = true
		s.run("datacentre", "out", "gulberg", "-reason", "power", "-change-id", "power-1")
		s.store.loseAnswer = false
		s.run("datacentre", "out", "gulberg", "-reason", "power", "-change-id", "power-1")
		s.store.SetUnavailable(false)
		s.run("datacentre", "out", "gulberg", "-reason", "power", "-change-id", "power-1")
		s.run("datacentre", "in", "gulberg", "-reason", "power", "-change-id", "power-1")
		s.run("datacentre", "out", "walled-city", "-reason", "power")
		s.comment("read the change log")
		s.run("history", "-n", "3")
		s.run("show-change", "2")
		s.run("diff", "1", "6", "-o", "json")
		s.comment("explain a request")
		s.run("explain", "r-1", "-logs", writeFile("gateway.log", gatewayLog), "-logs", writeFile("sidecar.log", sidecarLog))
		text := tempDir.ReplaceAll(s.transcript.Bytes(), []byte("$1"))
		goldie.New(GinkgoTB(), goldie.WithNameSuffix(".golden")).Assert(GinkgoTB(), "session", text)
	})
})
