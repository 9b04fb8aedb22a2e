package limit

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// SkewFigures compares loans with a static split when all demand of an organisation is at one holder.
// Each figure is the part of the organisation's rate × time that was granted after the first burst.
type SkewFigures struct {
	Loans  float64 // holders that lend
	Static float64 // holders that never lend
	Loaned int     // loans that were given
}

const (
	skewRoundTrip = 2 * time.Millisecond
	skewTimeout   = 50 * time.Millisecond
	skewPause     = 250 * time.Millisecond // between two rounds of borrowing
	skewOverload  = 3                      // demand as a multiple of the rate
)

// CompareSkew runs the same random demand, three times the rate, against both arrangements for the
// duration, with the first holder as the only one in demand. The same seed gives the same figures.
func CompareSkew(seed uint64, holders int, duration time.Duration) SkewFigures {
	base := Base{Rate: 1000, Burst: 4000, DataCentres: holders}
	loans, loaned := runSkew(seed, base, duration, true)
	static, _ := runSkew(seed, base, duration, false)
	return SkewFigures{Loans: loans, Static: static, Loaned: loaned}
}

func runSkew(seed uint64, base Base, duration time.Duration, lend bool) (part float64, loaned int) {
	random := rand.New(rand.NewPCG(seed, 0))
	opts := Options{LongestLoan: 5 * time.Second, Margin: time.Second}
	shares := make([]*Share, base.DataCentres)
	for i := range shares {
		shares[i] = NewFull(0, opts, base)
	}
	granted := int64(0)
	nextBorrow := time.Duration(0)
	for now := time.Duration(0); now < duration; {
		tokens := 50 + random.Int64N(400)
		mean := float64(tokens) / (skewOverload * base.Rate)
		now += time.Duration(random.ExpFloat64() * mean * float64(time.Second))
		r, _ := shares[0].Reserve(now, tokens)
		if r == 0 && lend && now >= nextBorrow {
			loaned += borrowAll(shares, now, tokens, base, strconv.FormatInt(int64(now), 10))
			nextBorrow = now + skewPause
			r, _ = shares[0].Reserve(now+skewRoundTrip, tokens)
		}
		if r != 0 {
			granted += tokens
		}
	}
	return max(0, float64(granted-base.Burst)) / (base.Rate * duration.Seconds()), loaned
}

func borrowAll(shares []*Share, now time.Duration, tokens int64, base Base, id string) (loaned int) {
	want := Want{Tokens: tokens, Rate: base.Rate, Capacity: base.Burst, Duration: 5 * time.Second}
	for i, lender := range shares[1:] {
		loan := lender.Lend(now+skewRoundTrip/2, id+"/"+strconv.Itoa(i), want)
		if shares[0].Borrow(now+skewRoundTrip, now, skewTimeout, loan) {
			loaned++
		}
	}
	return loaned
}
