package limitshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

var testOptions = Options{MaxLoanDuration: 5 * time.Second, LoanReturnMargin: time.Second, Propagation: 16 * time.Second}

var _ = Describe("a share", func() {
	base := BucketConfig{Rate: 30, Burst: 300, DataCentres: 3}

	It("guards against spending lent capacity before the borrower has given it back", func() {
		s := NewFull(0, testOptions, base)
		loan := s.Lend(0, "a", LoanRequest{Tokens: 100, Rate: 10, Duration: time.Minute})
		Expect(loan).To(Equal(Loan{ID: "a", Tokens: 100, Rate: 10, Capacity: 100, Duration: 5 * time.Second}))
		Expect(s.Level(6*time.Second - 1)).To(BeZero())
		Expect(s.Capacity()).To(BeZero())
		Expect(s.Level(7 * time.Second)).To(BeEquivalentTo(10))
		Expect(s.Capacity()).To(BeEquivalentTo(100))
	})

	It("guards against a late or repeated loan reply that doubles tokens", func() {
		s := NewQuarantined(0, time.Hour, testOptions, base)
		loan := Loan{ID: "a", Tokens: 50, Capacity: 50, Duration: 5 * time.Second}
		Expect(s.Borrow(2*time.Second, 0, time.Second, loan)).To(BeFalse())
		Expect(s.Borrow(2*time.Second, time.Second, time.Second, loan)).To(BeTrue())
		Expect(s.Borrow(2*time.Second, time.Second, time.Second, loan)).To(BeFalse())
		Expect(s.Level(6*time.Second - 1)).To(BeEquivalentTo(50))
		Expect(s.Level(6 * time.Second)).To(BeZero())
	})

	It("guards against growth after the number of data centres fell while another holder still has its old share", func() {
		s := NewFull(0, testOptions, base)
		s.SetBucketConfig(0, BucketConfig{Rate: 30, Burst: 300, DataCentres: 2})
		s.Advance(testOptions.GrowthDelay() - 1)
		Expect(s.Capacity()).To(BeEquivalentTo(100))
		s.Advance(testOptions.GrowthDelay())
		Expect(s.Capacity()).To(BeEquivalentTo(150))
		s.SetBucketConfig(time.Minute, BucketConfig{Rate: 30, Burst: 300, DataCentres: 6})
		Expect(s.Capacity()).To(BeEquivalentTo(50))
		Expect(s.Level(time.Minute)).To(BeEquivalentTo(50))
	})

	It("guards against growth after a removal that was reversed before the removed holder saw it", func() {
		reversedAt := 3*testOptions.Propagation - 1 // as late as a reversal can be seen
		shares := []*Share{NewFull(0, testOptions, base), NewFull(0, testOptions, base), NewFull(0, testOptions, base)}
		sum := int64(0)
		for _, s := range shares {
			if s != shares[2] {
				s.SetBucketConfig(0, BucketConfig{Rate: 30, Burst: 300, DataCentres: 2, MembershipVersion: 1})
			}
			s.Advance(reversedAt)
			sum += s.Capacity()
			s.SetBucketConfig(reversedAt, BucketConfig{Rate: 30, Burst: 300, DataCentres: 3, MembershipVersion: 2})
			Expect(s.Level(reversedAt + time.Minute)).To(BeEquivalentTo(100))
		}
		Expect(sum).To(BeEquivalentTo(300))
	})

	It("guards against a refund that panics or credits too much after intervals were merged", func() {
		s := NewFull(0, testOptions, BucketConfig{Rate: 0, Burst: 40000, DataCentres: 1})
		var all []Reservation
		for range maxReservations + 100 {
			r, _ := s.Reserve(0, 1)
			all = append(all, r)
		}
		Expect(len(s.intervals)).To(BeNumerically("<=", maxIntervals))
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, r := range all {
			s.Refund(0, r, 1)
		}
		Expect(s.Level(0)).To(And(BeNumerically("<=", 39900), BeNumerically(">", 40000-maxReservations-100)))
		Expect(s.intervals).To(BeEmpty())
	})

	It("returns the wait after which a refused request is granted", func() {
		s := NewFull(0, testOptions, base)
		s.Reserve(0, 100)
		_, wait := s.Reserve(0, 50)
		r, _ := s.Reserve(wait, 50)
		Expect(r).NotTo(BeZero())
	})
})

// TestRefundEqualsNetCharge guards against refunds that credit more or less than leaves the level of a bucket
// that was charged the net tokens, also when several reservations overlap.
func TestRefundEqualsNetCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := BucketConfig{Rate: float64(rapid.IntRange(0, 50).Draw(t, "rate")), Burst: 100, DataCentres: 1}
		s, reference := NewFull(0, testOptions, base), NewFull(0, testOptions, base)
		type pendingRefund struct {
			r      Reservation
			unused int64
		}
		var pending []pendingRefund
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if len(pending) > 0 && rapid.Bool().Draw(t, "refund") {
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
				s.Refund(now, pending[i].r, pending[i].unused)
				pending = append(pending[:i], pending[i+1:]...)
				continue
			}
			tokens := rapid.Int64Range(0, 100).Draw(t, "tokens")
			if r, _ := s.Reserve(now, tokens); r != 0 {
				unused := rapid.Int64Range(0, tokens).Draw(t, "unused")
				reference.Reserve(now, tokens-unused)
				pending = append(pending, pendingRefund{r, unused})
			}
		}
		for _, p := range pending {
			s.Refund(now, p.r, p.unused)
		}
		reference.Advance(now)
		if s.level != reference.level {
			t.Fatalf("level after the refunds is %d, want %d as after net charges", s.level, reference.level)
		}
	})
}

// TestDebtIsPaid guards against use beyond the reservation that is never charged, and against a level below
// minus the burst. From the start to any step, the tokens reserved and owed are at most the burst, the rate
// times the elapsed time and the unpaid debt.
func TestDebtIsPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := BucketConfig{Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: 100, DataCentres: 1}
		s := NewFull(0, testOptions, base)
		now, used := time.Duration(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			tokens := rapid.Int64Range(1, 100).Draw(t, "tokens")
			r, wait := s.Reserve(now, tokens)
			if r == 0 {
				now += wait
				if r, _ = s.Reserve(now, tokens); r == 0 {
					t.Fatalf("refused after the wait of %v", wait)
				}
			}
			charged, _ := s.ChargeOverrun(now, r, rapid.Int64Range(0, 150).Draw(t, "debt"))
			used += tokens + charged
			if _, again := s.ChargeOverrun(now, r, 10); again {
				t.Fatal("a debt was charged twice")
			}
			if s.level < -MicroTokens(base.Burst) {
				t.Fatalf("level is %d, below minus the burst", s.level)
			}
			bound := MicroTokens(base.Burst) + accrued(int64(base.Rate)*unitsPerToken, now) + max(0, -s.level)
			if MicroTokens(used) > bound {
				t.Fatalf("%d tokens used within %v", used, now)
			}
		}
	})
}

// TestWaitOfSeveral guards against a Retry-After for several shares that is shorter or longer than the tokens
// take to accrue: a share that is full or in debt adds nothing.
func TestWaitOfSeveral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares []*Share
		sum := int64(0)
		for range rapid.IntRange(1, 4).Draw(t, "shares") {
			burst := rapid.Int64Range(1, 1000).Draw(t, "burst")
			s := NewFull(0, testOptions, BucketConfig{Rate: rapid.Float64Range(1, 100).Draw(t, "rate"), Burst: burst,
				DataCentres: 1})
			r, _ := s.Reserve(0, rapid.Int64Range(0, burst).Draw(t, "charged"))
			s.ChargeOverrun(0, r, rapid.Int64Range(0, burst).Draw(t, "debt"))
			shares = append(shares, s)
			sum += burst
		}
		tokens := rapid.Int64Range(1, sum).Draw(t, "tokens")
		parts, wait := ReserveAll(0, shares, tokens)
		if parts != nil {
			return
		}
		const slack = 20 * time.Microsecond // rounding error at one token per second and four shares
		if parts, _ := ReserveAll(max(0, wait-slack), shares, tokens); parts != nil && wait > slack {
			t.Fatalf("granted before the wait of %v", wait)
		}
		if parts, _ := ReserveAll(wait, shares, tokens); parts == nil {
			t.Fatalf("refused after the wait of %v", wait)
		}
	})
}

func BenchmarkReserveRefund(b *testing.B) {
	for _, open := range []int{0, 64, 256} {
		b.Run(fmt.Sprintf("outstanding=%d", open), func(b *testing.B) {
			s := NewFull(0, testOptions, BucketConfig{Rate: 1e6, Burst: 1e9, DataCentres: 1})
			for range open {
				s.Reserve(0, 1)
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				r, _ := s.Reserve(now, 100)
				s.Refund(now, r, 50)
			}
		})
	}
}
