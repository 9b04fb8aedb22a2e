package background_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/background"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

var _ = Describe("a ring", func() {
	It("refuses and counts items when it is full, and keeps all accepted items", func() {
		ring := background.NewQueue[int](2)
		Expect(ring.Offer(1)).To(BeTrue())
		Expect(ring.Offer(2)).To(BeTrue())
		Expect(ring.Offer(3)).To(BeFalse())
		Expect(ring.Refused()).To(BeEquivalentTo(1))
		ring.Close()
		Expect([]int{<-ring.C(), <-ring.C()}).To(Equal([]int{1, 2}))
	})
})

var _ = Describe("a group", func() {
	It("stops the other duties and names the one that failed", func() {
		group := background.NewGroup(context.Background(), slog.New(slog.DiscardHandler))
		group.Go("waits", func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		group.Go("fails", func(context.Context) error { return errors.New("broken") })
		Expect(group.Wait()).To(MatchError("duty fails: broken"))
	})
})

// Guards against a sleep that continues after its context ends, or that ends early.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if err := background.Sleep(context.Background(), time.Minute); err != nil || time.Since(start) != time.Minute {
			t.Fatalf("slept %v with error %v", time.Since(start), err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := background.Sleep(ctx, time.Hour); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v after %v", err, time.Since(start))
		}
	})
}
