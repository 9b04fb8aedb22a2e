package tablestore_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

func TestTableStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tablestore")
}

// testStore is a Store under test with functions that inject faults into it.
type testStore struct {
	store          tablestore.Store
	setUnavailable func(bool)
	loseAnswers    func(int)
}

func newMemoryStore() testStore {
	m := tablestore.NewMemory()
	return testStore{store: m, setUnavailable: m.SetUnavailable, loseAnswers: m.LoseAnswers}
}

func newDynamoDBStore() testStore {
	p := platform.New(platform.Options{PageSize: 2})
	server := httptest.NewServer(p)
	DeferCleanup(server.Close)
	return testStore{
		store: tablestore.NewDynamoDB(tablestore.DynamoDBOptions{
			Endpoint: server.URL, Region: "local", Table: "test", Timeout: 5 * time.Second,
			AccessKeyID: "test", SecretAccessKey: "test", // signed requests
		}),
		setUnavailable: func(b bool) { p.Apply(platform.Control{Unavailable: &b}) },
		loseAnswers:    func(n int) { p.Apply(platform.Control{LoseAnswers: &n}) },
	}
}

func key(sort string) tablestore.Key { return tablestore.Key{Partition: "p", Sort: sort} }

func put(sort string, version int64, value string) tablestore.Op {
	return tablestore.Op{Key: key(sort), IfVersion: version, Value: []byte(value)}
}

var _ = Describe("store contract", func() {
	for name, build := range map[string]func() testStore{"memory": newMemoryStore, "dynamodb": newDynamoDBStore} {
		Context(name, func() { describeWrites(build) })
		Context(name, func() { describeReadsAndFaults(build) })
	}
})

func describeWrites(build func() testStore) {
	var s testStore
	ctx := context.Background()
	BeforeEach(func() { s = build() })

	It("creates, replaces and deletes under preconditions", func() {
		Expect(s.store.Write(ctx, "c1", put("a", tablestore.Absent, "1"))).To(Succeed())
		Expect(s.store.Write(ctx, "c2", put("a", 1, "2"))).To(Succeed())
		row, err := s.store.Get(ctx, key("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(row).To(Equal(tablestore.Row{Key: key("a"), Version: 2, Value: []byte("2")}))
		Expect(s.store.Write(ctx, "c3", tablestore.Op{Key: key("a"), IfVersion: 2, Delete: true})).To(Succeed())
		_, err = s.store.Get(ctx, key("a"))
		Expect(err).To(MatchError(tablestore.ErrNotFound))
	})

	It("writes all ops or none and names the rows that failed", func() {
		Expect(s.store.Write(ctx, "c1", put("a", tablestore.Absent, "1"))).To(Succeed())
		err := s.store.Write(ctx, "c2", put("b", tablestore.Absent, "1"),
			tablestore.Op{Key: key("a"), IfVersion: 7, Check: true})
		var failed *tablestore.PreconditionError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Keys).To(ConsistOf(key("a")))
		_, err = s.store.Get(ctx, key("b"))
		Expect(err).To(MatchError(tablestore.ErrNotFound))
	})

	It("has no second effect when a write is repeated", func() {
		Expect(s.store.Write(ctx, "c1", put("a", tablestore.Absent, "1"))).To(Succeed())
		Expect(s.store.Write(ctx, "c1", put("a", tablestore.Absent, "1"))).To(Succeed())
		row, err := s.store.Get(ctx, key("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(row.Version).To(Equal(int64(1)))
	})

	It("rejects a write ID that was used for other ops", func() {
		Expect(s.store.Write(ctx, "c1", put("a", tablestore.Absent, "1"))).To(Succeed())
		Expect(s.store.Write(ctx, "c1", put("b", tablestore.Absent, "1"))).NotTo(Succeed())
	})
}

func describeReadsAndFaults(build func() testStore) {
	var s testStore
	ctx := context.Background()
	BeforeEach(func() { s = build() })

	It("reads a partition in order, in bounded pages", func() {
		for i := range 7 {
			Expect(s.store.Write(ctx, fmt.Sprint("c", i), put(fmt.Sprint(6-i), tablestore.Any, "x"))).To(Succeed())
		}
		rows, err := s.store.Query(ctx, "p", "1", 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(sortKeys(rows)).To(Equal([]string{"2", "3", "4", "5"}))
		rows, err = s.store.Query(ctx, "p", "", 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(7))
	})

	It("returns ErrUnavailable while the service is unavailable and writes nothing", func() {
		s.setUnavailable(true)
		Expect(s.store.Write(ctx, "c1", put("a", tablestore.Absent, "1"))).To(MatchError(tablestore.ErrUnavailable))
		_, err := s.store.Get(ctx, key("a"))
		Expect(err).To(MatchError(tablestore.ErrUnavailable))
		_, err = s.store.Query(ctx, "p", "", 1)
		Expect(err).To(MatchError(tablestore.ErrUnavailable))
		s.setUnavailable(false)
		_, err = s.store.Get(ctx, key("a"))
		Expect(err).To(MatchError(tablestore.ErrNotFound))
	})

	It("returns ErrUnknown when the answer of an applied write is lost, and a repeat succeeds", func() {
		s.loseAnswers(1)
		Expect(s.store.Write(ctx, "c1", put("a", tablestore.Absent, "1"))).To(MatchError(tablestore.ErrUnknown))
		row, err := s.store.Get(ctx, key("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(row.Version).To(Equal(int64(1)))
		Expect(s.store.Write(ctx, "c1", put("a", tablestore.Absent, "1"))).To(Succeed())
	})
}

func sortKeys(rows []tablestore.Row) []string {
	var out []string
	for _, r := range rows {
		out = append(out, r.Key.Sort)
	}
	return out
}

var _ = Describe("dynamodb transport errors", func() {
	write := func(d *tablestore.DynamoDB) error {
		return d.Write(context.Background(), "c", put("a", tablestore.Absent, "1"))
	}

	// Guards against reporting a refused connection as a write that may have been applied.
	It("returns ErrUnavailable when the connection is refused", func() {
		server := httptest.NewServer(nil)
		server.Close()
		Expect(write(tablestore.NewDynamoDB(tablestore.DynamoDBOptions{
			Endpoint: server.URL, Region: "local", Table: "t",
		}))).To(MatchError(tablestore.ErrUnavailable))
	})

	// Guards against reporting a write as not applied when the time-out passed after the request was sent.
	It("returns ErrUnknown when the answer does not arrive in time", func() {
		hang := true
		p := platform.New(platform.Options{})
		p.Apply(platform.Control{Hang: &hang})
		server := httptest.NewServer(p)
		DeferCleanup(server.Close)
		Expect(write(tablestore.NewDynamoDB(tablestore.DynamoDBOptions{
			Endpoint: server.URL, Region: "local", Table: "t", Timeout: time.Second,
		}))).To(MatchError(tablestore.ErrUnknown))
	})
})

// Guards against table service failures that do not appear in a process's metrics.
var _ = It("counts calls and failures by cause", func() {
	memory := tablestore.NewMemory()
	store := tablestore.NewCountingStore(memory)
	ctx := context.Background()
	Expect(store.Write(ctx, "1", put("a", tablestore.Absent, "x"))).To(Succeed())
	Expect(store.Write(ctx, "2", put("a", tablestore.Absent, "x"))).NotTo(Succeed())
	_, err := store.Get(ctx, key("b"))
	Expect(err).To(MatchError(tablestore.ErrNotFound))
	memory.SetUnavailable(true)
	_, err = store.Query(ctx, "p", "", 10)
	Expect(err).To(MatchError(tablestore.ErrUnavailable))
	Expect(store.Vars().String()).To(MatchJSON(`{"calls": {"get": 1, "query": 1, "write": 2},
		"failures": {"other": 0, "precondition": 1, "unavailable": 1, "unknown": 0}}`))
})
