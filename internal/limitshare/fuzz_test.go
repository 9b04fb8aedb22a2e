package limitshare_test

import (
	"math"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/limitshare"
)

// FuzzLoan guards against a request for a loan, or a loan, of another holder that lets a share grant more than the organisation's
// limit or nothing at all.
func FuzzLoan(f *testing.F) {
	for _, rate := range []float64{5, math.NaN(), math.Inf(1), math.Inf(-1), 1e308, -1} {
		for _, n := range []int64{7, 0, -1, math.MaxInt64, math.MinInt64, math.MaxInt64 / 1_000_000} {
			f.Add(n, n, n, rate)
		}
	}
	f.Fuzz(func(t *testing.T, tokens, capacity, ms int64, rate float64) {
		opts := limitshare.Options{MaxLoanDuration: 5 * time.Second, LoanReturnMargin: time.Second}
		base := limitshare.BucketConfig{Rate: 10, Burst: 100, DataCentres: 2}
		duration := time.Duration(ms) * time.Millisecond
		lender, borrower := limitshare.NewFull(0, opts, base), limitshare.NewFull(0, opts, base)
		loan := lender.Lend(0, "a", limitshare.LoanRequest{Tokens: tokens, Rate: rate, Capacity: capacity, Duration: duration})
		if loan.Tokens < 0 || loan.Capacity < 0 || !(loan.Rate >= 0 && loan.Rate <= base.Rate/2) || loan.Tokens > base.Burst/2 {
			t.Fatalf("lent %+v", loan)
		}
		borrower.Borrow(0, 0, time.Second, limitshare.Loan{ID: "b", Tokens: tokens, Rate: rate, Capacity: capacity, Duration: duration})
		for name, s := range map[string]*limitshare.Share{"lender": lender, "borrower": borrower} {
			for _, now := range []time.Duration{0, time.Second, 20 * time.Second} {
				if level := s.Level(now); level < 0 || level > 2*base.Burst || s.Rate() < 0 || s.Rate() > 2*base.Rate+1 {
					t.Fatalf("the %s has %d tokens at %v a second", name, level, s.Rate())
				}
			}
			if level := s.Level(30 * time.Second); level < base.Burst/2 {
				t.Fatalf("the %s has %d tokens after the loan", name, level)
			}
		}
	})
}
