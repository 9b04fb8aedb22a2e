package limitshare

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// SkewResult compares loans with a static split of the limit when all demand of an organisation reaches one
// holder. Each fraction is the part of the organisation's rate × time that was granted after the initial burst.
type SkewResult struct {
	WithLoans   float64 // fraction granted by holders that lend
	StaticSplit float64 // fraction granted by holders that never lend
	LoanCount   int     // loans that were borrowed
}

const (
	skewRoundTrip      = 2 * time.Millisecond
	skewBorrowTimeout  = 50 * time.Millisecond
	skewBorrowInterval = 250 * time.Millisecond // between two rounds of loan requests
	skewOverload       = 3                      // demand as a multiple of the organisation's rate
)

// CompareSkew simulates the same random demand, three times the rate, with and without loans for the given
// duration. Only the first holder receives requests. The same arguments give the same result.
func CompareSkew(seed uint64, holders int, duration time.Duration) SkewResult {
	base := BucketConfig{Rate: 1000, Burst: 4000, DataCentres: holders}
	loans, loanCount := simulateSkew(seed, base, duration, true)
	static, _ := simulateSkew(seed, base, duration, false)
	return SkewResult{WithLoans: loans, StaticSplit: static, LoanCount: loanCount}
}

func simulateSkew(seed uint64, base BucketConfig, duration time.Duration, lend bool) (fraction float64, loanCount int) {
	random := rand.New(rand.NewPCG(seed, 0))
	opts := Options{MaxLoanDuration: 5 * time.Second, LoanReturnMargin: time.Second}
	shares := make([]*Share, base.DataCentres)
	for i := range shares {
		shares[i] = NewFull(0, opts, base)
	}
	granted := int64(0)
	nextBorrow := time.Duration(0)
	for now := time.Duration(0); now < duration; {
		tokens := 50 + random.Int64N(400)
		meanSeconds := float64(tokens) / (skewOverload * base.Rate)
		now += time.Duration(random.ExpFloat64() * meanSeconds * float64(time.Second))
		r, _ := shares[0].Reserve(now, tokens)
		if r == 0 && lend && now >= nextBorrow {
			loanCount += borrowFromAll(shares, now, tokens, base, strconv.FormatInt(int64(now), 10))
			nextBorrow = now + skewBorrowInterval
			r, _ = shares[0].Reserve(now+skewRoundTrip, tokens)
		}
		if r != 0 {
			granted += tokens
		}
	}
	return max(0, float64(granted-base.Burst)) / (base.Rate * duration.Seconds()), loanCount
}

func borrowFromAll(shares []*Share, now time.Duration, tokens int64, base BucketConfig, id string) (loanCount int) {
	want := LoanRequest{Tokens: tokens, Rate: base.Rate, Capacity: base.Burst, Duration: 5 * time.Second}
	for i, lender := range shares[1:] {
		loan := lender.Lend(now+skewRoundTrip/2, id+"/"+strconv.Itoa(i), want)
		if shares[0].Borrow(now+skewRoundTrip, now, skewBorrowTimeout, loan) {
			loanCount++
		}
	}
	return loanCount
}
