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

// counter is a source of "random" bytes that is the same in each run.
type counter struct{ next byte }

// Read implements io.Reader.
func (c *counter) Read(p []byte) (int, error) {
	for i := range p {
		c.next++
		p[i] = c.next
	}
	return len(p), nil
}

// lossyStore loses the answer of a write and is away from then on, once armed.
type lossyStore struct {
	*tablestore.Memory
	armed bool
}

// Write implements tablestore.Store.
func (s *lossyStore) Write(ctx context.Context, changeID string, ops ...tablestore.Op) error {
	err := s.Memory.Write(ctx, changeID, ops...)
	if err == nil && s.armed {
		s.SetAway(true)
		return tablestore.ErrUnknown
	}
	return err
}

// session records commands with what they print and their exit codes. The clock moves a minute with each command.
type session struct {
	store      *lossyStore
	random     io.Reader
	now        time.Time
	transcript bytes.Buffer
}

// tempDir matches the directory of a file that the test wrote.
var tempDir = regexp.MustCompile(`/\S*/(bundle\.yml|gateway\.log|sidecar\.log)`)

func (s *session) note(text string) { fmt.Fprintf(&s.transcript, "# %s\n", text) }

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

// Guards against a last word that leaves the operator in doubt, and against a changed exit code or change ID that
// breaks a repeat.
var _ = Describe("an operator's session", func() {
	It("prints what it always printed", func() {
		s := &session{store: &lossyStore{Memory: tablestore.NewMemory()}, random: new(counter), now: time.Date(2026, 3, 2, 5, 0, 0, 0, time.UTC)}
		file := write("bundle.yml", bundle)
		s.note("first configuration")
		s.run("init", file, "-reason", "first")
		s.note("propose, then act on what was shown")
		s.run("profile", "propose", "waiting", "first_token_ms=400")
		s.run("profile", "change", "waiting", "first_token_ms=400", "-at", "1", "-reason", "board 14")
		s.note("another operator acts on the same view and loses")
		s.run("profile", "change", "waiting", "priority=5", "-at", "1", "-reason", "board 15", "-author", "bilal")
		s.note("approve, and a change that is not valid")
		s.run("model", "approve", "maps", "service=brush", "memory_mb=4000", "min_copies=1", "-reason", "board 16")
		s.run("model", "withdraw", "base", "-reason", "unused")
		s.note("a key is given and withdrawn")
		s.run("key", "give", "crews", "-id", "k-9", "-reason", "handset 9")
		s.run("key", "withdraw", "k-9", "-reason", "handset 9 is lost")
		s.note("the table service is away")
		s.store.SetAway(true)
		s.run("datacentre", "out", "gulberg", "-reason", "power")
		s.run("history")
		s.store.SetAway(false)
		s.note("the answer is lost after the write; a repeat with the change ID tells the outcome")
		s.store.armed = true
		s.run("datacentre", "out", "gulberg", "-reason", "power", "-change-id", "power-1")
		s.store.armed = false
		s.run("datacentre", "out", "gulberg", "-reason", "power", "-change-id", "power-1")
		s.store.SetAway(false)
		s.run("datacentre", "out", "gulberg", "-reason", "power", "-change-id", "power-1")
		s.run("datacentre", "in", "gulberg", "-reason", "power", "-change-id", "power-1")
		s.run("datacentre", "out", "walled-city", "-reason", "power")
		s.note("look back")
		s.run("history", "-n", "3")
		s.run("show-change", "2")
		s.run("diff", "1", "6", "-o", "json")
		s.note("explain a request")
		s.run("explain", "r-1", "-logs", write("gateway.log", gatewayLog), "-logs", write("sidecar.log", sidecarLog))
		text := tempDir.ReplaceAll(s.transcript.Bytes(), []byte("$1"))
		goldie.New(GinkgoTB(), goldie.WithNameSuffix(".golden")).Assert(GinkgoTB(), "session", text)
	})
})
