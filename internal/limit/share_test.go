package limit

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

var testOptions = Options{LongestLoan: 5 * time.Second, Margin: time.Second, Propagation: 16 * time.Second}

var _ = Describe("a share", func() {
	base := Base{Rate: 30, Burst: 300, DataCentres: 3}

	It("guards against spending lent capacity before the borrower has given it back", func() {
		s := NewFull(0, testOptions, base)
		loan := s.Lend(0, "a", Want{Tokens: 100, Rate: 10, Duration: time.Minute})
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

	It("guards against growth on a smaller data centre count while another holder still has its old share", func() {
		s := NewFull(0, testOptions, base)
		s.SetBase(0, Base{Rate: 30, Burst: 300, DataCentres: 2})
		s.Advance(testOptions.GrowthDelay() - 1)
		Expect(s.Capacity()).To(BeEquivalentTo(100))
		s.Advance(testOptions.GrowthDelay())
		Expect(s.Capacity()).To(BeEquivalentTo(150))
		s.SetBase(time.Minute, Base{Rate: 30, Burst: 300, DataCentres: 6})
		Expect(s.Capacity()).To(BeEquivalentTo(50))
		Expect(s.Level(time.Minute)).To(BeEquivalentTo(50))
	})

	It("guards against growth after a removal that was reversed before the removed holder saw it", func() {
		ends := 3*testOptions.Propagation - 1 // reversed and seen as late as possible
		shares := []*Share{NewFull(0, testOptions, base), NewFull(0, testOptions, base), NewFull(0, testOptions, base)}
		sum := int64(0)
		for _, s := range shares {
			if s != shares[2] {
				s.SetBase(0, Base{Rate: 30, Burst: 300, DataCentres: 2, Membership: 1})
			}
			s.Advance(ends)
			sum += s.Capacity()
			s.SetBase(ends, Base{Rate: 30, Burst: 300, DataCentres: 3, Membership: 2})
			Expect(s.Level(ends + time.Minute)).To(BeEquivalentTo(100))
		}
		Expect(sum).To(BeEquivalentTo(300))
	})

	It("guards against a refund panicking or crediting too much once its record of headroom was merged", func() {
		s := NewFull(0, testOptions, Base{Rate: 0, Burst: 40000, DataCentres: 1})
		var all []Reservation
		for range maxOutstanding + 100 {
			r, _ := s.Reserve(0, 1)
			all = append(all, r)
		}
		Expect(len(s.marks)).To(BeNumerically("<=", maxMarks))
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, r := range all {
			s.Refund(0, r, 1)
		}
		Expect(s.Level(0)).To(And(BeNumerically("<=", 39900), BeNumerically(">", 40000-maxOutstanding-100)))
		Expect(s.marks).To(BeEmpty())
	})

	It("gives the wait after which a refused request fits", func() {
		s := NewFull(0, testOptions, base)
		s.Reserve(0, 100)
		_, wait := s.Reserve(0, 50)
		r, _ := s.Reserve(wait, 50)
		Expect(r).NotTo(BeZero())
	})
})

// TestRefundEqualsNetCharge guards against refunds that credit more, or less, than a bucket that had been
// charged the net tokens, also when several reservations overlap.
func TestRefundEqualsNetCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := Base{Rate: float64(rapid.IntRange(0, 50).Draw(t, "rate")), Burst: 100, DataCentres: 1}
		s, exact := NewFull(0, testOptions, base), NewFull(0, testOptions, base)
		type open struct {
			r      Reservation
			unused int64
		}
		var pending []open
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
				exact.Reserve(now, tokens-unused)
				pending = append(pending, open{r, unused})
			}
		}
		for _, p := range pending {
			s.Refund(now, p.r, p.unused)
		}
		exact.Advance(now)
		if s.level != exact.level {
			t.Fatalf("level %d after the refunds, %d after net charges", s.level, exact.level)
		}
	})
}

func BenchmarkReserveRefund(b *testing.B) {
	for _, open := range []int{0, 64, 256} {
		b.Run(fmt.Sprintf("outstanding=%d", open), func(b *testing.B) {
			s := NewFull(0, testOptions, Base{Rate: 1e6, Burst: 1e9, DataCentres: 1})
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
