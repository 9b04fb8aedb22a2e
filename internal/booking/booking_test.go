package booking

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

// table is a table service whose views can lose answers or be away.
type table struct {
	mu   sync.Mutex
	rows map[tablestore.Key]tablestore.Row
	done map[string]bool
}

type view struct {
	*table
	away     bool
	loseNext int // answers to lose after the write
	dropNext int // writes to lose together with their answer
}

func (v *view) Get(_ context.Context, key tablestore.Key) (tablestore.Row, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	row, ok := v.rows[key]
	switch {
	case v.away:
		return row, tablestore.ErrUnavailable
	case !ok:
		return row, fmt.Errorf("%v: %w", key, tablestore.ErrNotFound)
	}
	return row, nil
}

func (v *view) Query(context.Context, string, string, int) ([]tablestore.Row, error) { return nil, nil }

func (v *view) Write(_ context.Context, id string, ops ...tablestore.Op) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.away {
		return tablestore.ErrUnavailable
	}
	if v.dropNext > 0 {
		v.dropNext--
		return tablestore.ErrUnknown
	}
	if v.done[id] {
		return nil
	}
	op := ops[0]
	if v.rows[op.Key].Version != op.IfVersion {
		return &tablestore.PreconditionError{Keys: []tablestore.Key{op.Key}}
	}
	v.done[id] = true
	v.rows[op.Key] = tablestore.Row{Key: op.Key, Version: op.IfVersion + 1, Value: op.Value}
	if op.Delete {
		delete(v.rows, op.Key)
	}
	if v.loseNext > 0 {
		v.loseNext--
		return tablestore.ErrUnknown
	}
	return nil
}

var _ = Describe("claims", func() {
	var shared *table
	var v *view
	var book *Book
	ctx := context.Background()
	newBook := func(v *view) *Book {
		return New(Options{Store: v, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timeout: time.Second})
	}
	request := func(attempt string) Request {
		return Request{Scope: "o", Key: "k", AttemptID: attempt, BodyHash: BodyHash([]byte("tow"))}
	}
	BeforeEach(func() {
		shared = &table{rows: map[tablestore.Key]tablestore.Row{}, done: map[string]bool{}}
		v = &view{table: shared}
		book = newBook(v)
	})

	It("lets one of two racing attempts through different views run", func() {
		other := newBook(&view{table: shared})
		var claims [2]*Claim
		var errs [2]error
		var wg sync.WaitGroup
		for i, b := range []*Book{book, other} {
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
		Entry("after the write", func() { v.loseNext = 1 }),
		Entry("before the write", func() { v.dropNext = 1 }),
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

	It("refuses as not run while the table service is away, without filling the backlog", func() {
		v.away = true
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

// Guards against an outcome that is lost because the table service is away when the call ends.
func TestOutcomeIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		v := &view{table: &table{rows: map[tablestore.Key]tablestore.Row{}, done: map[string]bool{}}}
		book := New(Options{Store: v, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timeout: time.Second})
		go func() { _ = book.Run(ctx) }()
		r := Request{Scope: "o", Key: "k", AttemptID: "a", BodyHash: "h"}
		claim, _, err := book.Claim(ctx, r)
		if err != nil {
			t.Fatal(err)
		}
		v.mu.Lock()
		v.away = true
		v.mu.Unlock()
		book.Record(ctx, *claim, Outcome{Status: 201})
		synctest.Wait()
		v.mu.Lock()
		v.away, v.loseNext = false, 1
		v.mu.Unlock()
		<-time.After(2 * retryMax)
		r.AttemptID = "b"
		if _, outcome, err := book.Claim(ctx, r); err != nil || outcome == nil || outcome.Status != 201 {
			t.Fatalf("outcome %v, error %v", outcome, err)
		}
	})
}
