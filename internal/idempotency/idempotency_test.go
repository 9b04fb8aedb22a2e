package idempotency

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

func TestBooking(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "booking")
}

// table is the state of an in-memory table service that several clients share.
type table struct {
	mu             sync.Mutex
	rows           map[tablestore.Key]tablestore.Row
	appliedChanges map[string]bool
}

type storeClient struct {
	*table
	unavailable   bool
	answersToLose int // number of answers to lose after the write
	writesToDrop  int // number of writes to lose together with their answer
}

func (c *storeClient) Get(_ context.Context, key tablestore.Key) (tablestore.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, ok := c.rows[key]
	switch {
	case c.unavailable:
		return row, tablestore.ErrUnavailable
	case !ok:
		return row, fmt.Errorf("%v: %w", key, tablestore.ErrNotFound)
	}
	return row, nil
}

func (c *storeClient) Query(context.Context, string, string, int) ([]tablestore.Row, error) {
	return nil, nil
}

func (c *storeClient) Write(_ context.Context, id string, ops ...tablestore.Op) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable {
		return tablestore.ErrUnavailable
	}
	if c.writesToDrop > 0 {
		c.writesToDrop--
		return tablestore.ErrUnknown
	}
	if c.appliedChanges[id] {
		return nil
	}
	op := ops[0]
	if c.rows[op.Key].Version != op.IfVersion {
		return &tablestore.PreconditionError{Keys: []tablestore.Key{op.Key}}
	}
	c.appliedChanges[id] = true
	c.rows[op.Key] = tablestore.Row{Key: op.Key, Version: op.IfVersion + 1, Value: op.Value}
	if op.Delete {
		delete(c.rows, op.Key)
	}
	if c.answersToLose > 0 {
		c.answersToLose--
		return tablestore.ErrUnknown
	}
	return nil
}

var _ = Describe("claims", func() {
	var shared *table
	var c *storeClient
	var book *Claims
	ctx := context.Background()
	newBook := func(c *storeClient) *Claims {
		return New(Options{Store: c, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timeout: time.Second})
	}
	request := func(attempt string) Request {
		return Request{Scope: "o", Key: "k", AttemptID: attempt, BodyHash: BodyHash([]byte("tow"))}
	}
	BeforeEach(func() {
		shared = &table{rows: map[tablestore.Key]tablestore.Row{}, appliedChanges: map[string]bool{}}
		c = &storeClient{table: shared}
		book = newBook(c)
	})

	It("lets one of two racing attempts through different clients run", func() {
		other := newBook(&storeClient{table: shared})
		var claims [2]*Claim
		var errs [2]error
		var wg sync.WaitGroup
		for i, b := range []*Claims{book, other} {
			wg.Go(func() { claims[i], _, errs[i] = b.Claim(ctx, request(fmt.Sprint(i))) })
		}
		wg.Wait()
		winner := 0
		if claims[0] == nil {
			winner = 1
		}
		Expect(claims[winner]).NotTo(BeNil())
		Expect(claims[1-winner]).To(BeNil())
		Expect(errkind.Of(errs[1-winner])).To(Equal(errkind.IdempotencyInProgress))
	})

	DescribeTable("a claim whose answer was lost is resolved by reading", func(lose func()) {
		lose()
		claim, _, err := book.Claim(ctx, request("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
		_, _, err = book.Claim(ctx, request("b"))
		Expect(errkind.Of(err)).To(Equal(errkind.IdempotencyInProgress))
	},
		Entry("after the write", func() { c.answersToLose = 1 }),
		Entry("before the write", func() { c.writesToDrop = 1 }),
	)

	It("replays an outcome and refuses another body", func() {
		claim, _, err := book.Claim(ctx, request("a"))
		Expect(err).NotTo(HaveOccurred())
		book.Record(ctx, *claim, Outcome{Status: 201, Body: []byte("booked")})
		_, outcome, err := book.Claim(ctx, request("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal(&Outcome{Status: 201, Body: []byte("booked")}))
		wrong := request("c")
		wrong.BodyHash = "other"
		_, _, err = book.Claim(ctx, wrong)
		Expect(errkind.Of(err)).To(Equal(errkind.IdempotencyMismatch))
	})

	It("refuses as not run while the table service is unavailable, without filling the backlog", func() {
		c.unavailable = true
		_, _, err := book.Claim(ctx, request("a"))
		Expect(errkind.Of(err)).To(Equal(errkind.StoreUnavailable))
		Expect(book.Pending()).To(BeZero())
	})

	It("removes the claim of a call that did not run", func() {
		claim, _, err := book.Claim(ctx, request("a"))
		Expect(err).NotTo(HaveOccurred())
		book.Release(*claim)
		claim, _, err = book.Claim(ctx, request("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})
})

// TestOutcomeIsRetried guards against losing an outcome because the table service is unavailable when the call
// ends.
func TestOutcomeIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := &storeClient{table: &table{rows: map[tablestore.Key]tablestore.Row{}, appliedChanges: map[string]bool{}}}
		book := New(Options{Store: c, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timeout: time.Second})
		go func() { _ = book.Run(ctx) }()
		r := Request{Scope: "o", Key: "k", AttemptID: "a", BodyHash: "h"}
		claim, _, err := book.Claim(ctx, r)
		if err != nil {
			t.Fatal(err)
		}
		c.mu.Lock()
		c.unavailable = true
		c.mu.Unlock()
		book.Record(ctx, *claim, Outcome{Status: 201})
		synctest.Wait()
		c.mu.Lock()
		c.unavailable, c.answersToLose = false, 1
		c.mu.Unlock()
		<-time.After(2 * maxRetryPause)
		r.AttemptID = "b"
		if _, outcome, err := book.Claim(ctx, r); err != nil || outcome == nil || outcome.Status != 201 {
			t.Fatalf("outcome %v, error %v", outcome, err)
		}
	})
}
