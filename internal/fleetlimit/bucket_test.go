package fleetlimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/fleetlimit"
)

type admission struct {
	at   time.Duration
	size float64
}

// Guards against gateways that together admit more than the rate and burst. With immediate exchange, no window holds
// more than one exact bucket would admit, whichever gateway receives the requests.
func TestConnectedGatewaysKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := fleetlimit.Limit{Rate: 1000, Burst: 5000}
		buckets := make([]*fleetlimit.Bucket, rapid.IntRange(1, 8).Draw(t, "gateways"))
		for i := range buckets {
			buckets[i] = fleetlimit.New(limit, 0, 1)
		}
		var all []admission
		now := time.Duration(0)
		for range rapid.IntRange(20, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			at := rapid.IntRange(0, len(buckets)-1).Draw(t, "gateway")
			size := rapid.Float64Range(1, 4000).Draw(t, "size")
			for _, b := range buckets {
				b.Update(now, limit, 1)
			}
			if ok, _ := buckets[at].Take(size); !ok {
				continue
			}
			all = append(all, admission{now, size})
			for i, b := range buckets {
				if i != at {
					b.ChargeRemote(size)
				}
			}
		}
		checkWindows(t, all, limit, 1)
	})
}

// Guards against two halves of a partitioned fleet that each spend the whole limit.
func TestAPartitionedFleetKeepsTheLimit(t *testing.T) {
	limit := fleetlimit.Limit{Rate: 1000, Burst: 4000}
	halves := []*fleetlimit.Bucket{fleetlimit.New(limit, 0, 1), fleetlimit.New(limit, 0, 1)}
	var all []admission
	for _, b := range halves {
		b.KeepFraction(0.5)
	}
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		for _, b := range halves {
			b.Update(now, limit, 0.5)
			if ok, _ := b.Take(100); ok {
				all = append(all, admission{now, 100})
			}
		}
	}
	checkWindows(t, all, limit, 1)
}

type failer interface {
	Fatalf(format string, args ...any)
}

// checkWindows checks the window between every two admitted requests. slack allows for rounding.
func checkWindows(t failer, all []admission, limit fleetlimit.Limit, slack float64) {
	for i := range all {
		sum := 0.0
		for _, a := range all[i:] {
			sum += a.size
			if most := limit.Burst + limit.Rate*(a.at-all[i].at).Seconds() + slack; sum > most {
				t.Fatalf("%.0f tokens admitted in %v, want at most %.0f", sum, a.at-all[i].at, most)
			}
		}
	}
}

// Guards against wrongful refusals: tokens that another gateway admitted long ago must not be subtracted from a bucket
// that has been capped at the burst since.
func TestAnOrganisationBelowItsRateIsNotRefused(t *testing.T) {
	limit := fleetlimit.Limit{Rate: 1000, Burst: 1000}
	here := fleetlimit.New(limit, 0, 1)
	now := time.Duration(0)
	for range 1000 {
		now += 100 * time.Millisecond
		here.Update(now, limit, 1)
		here.ChargeRemote(50) // half the rate at another gateway
	}
	if ok, wait := here.Take(400); !ok {
		t.Fatalf("refused with a wait of %v at half the rate", wait)
	}
}

// Guards against a lowered limit that does not take effect at once, and against a wait that is too short.
func TestALoweredLimitAndTheWait(t *testing.T) {
	b := fleetlimit.New(fleetlimit.Limit{Rate: 1000, Burst: 10000}, 0, 1)
	low := fleetlimit.Limit{Rate: 10, Burst: 100}
	b.Update(0, low, 1)
	if ok, _ := b.Take(100); !ok {
		t.Fatal("a request as large as the burst was refused")
	}
	ok, wait := b.Take(50)
	if ok || wait != 6*time.Second { // 50 tokens, and 10 that are reserved for small requests
		t.Fatalf("admitted %v, wait %v, want 6s", ok, wait)
	}
	b.Update(wait, low, 1)
	if ok, _ := b.Take(50); !ok {
		t.Fatal("refused after the wait")
	}
}

// Guards against gateways that all admit requests at the same moment: each learns what the others admitted only after
// the exchange interval. The load is one organisation that sends five times its rate, at the size of the grown and of the
// large sites; the bound is the platform's for any eight seconds.
func TestAHotOrganisationAtManyGateways(t *testing.T) {
	t.Run("21 gateways", func(t *testing.T) {
		checkHotOrganisation(t, 21, 250*time.Millisecond, fleetlimit.Limit{Rate: 60_000, Burst: 60_000})
	})
	t.Run("103 gateways", func(t *testing.T) {
		checkHotOrganisation(t, 103, 250*time.Millisecond, fleetlimit.Limit{Rate: 400_000, Burst: 400_000})
	})
}

func checkHotOrganisation(t *testing.T, gateways int, exchange time.Duration, limit fleetlimit.Limit) {
	t.Helper()
	const (
		step = 5 * time.Millisecond
		size = 9500
		// quotaSlack is what the platform allows, in tokens, beyond a tenth of the limit in its window of 8 s.
		quotaSlack = 110_000
	)
	type report struct {
		at   time.Duration
		from int
		size float64
	}
	buckets := make([]*fleetlimit.Bucket, gateways)
	for i := range buckets {
		buckets[i] = fleetlimit.New(limit, 0, 1)
	}
	rng := rand.New(rand.NewPCG(7, 7))
	var all []admission
	var inFlight []report
	served := 0.0
	for now := time.Duration(0); now < 40*time.Second; now += step {
		for len(inFlight) > 0 && inFlight[0].at <= now {
			for i, b := range buckets {
				if i != inFlight[0].from {
					b.Update(now, limit, 1)
					b.ChargeRemote(inFlight[0].size)
				}
			}
			inFlight = inFlight[1:]
		}
		for requests := 5 * limit.Rate / size * step.Seconds(); rng.Float64() <= requests; requests-- {
			at := rng.IntN(gateways)
			buckets[at].Update(now, limit, 1)
			if ok, _ := buckets[at].Take(size); ok {
				all = append(all, admission{now, size})
				inFlight = append(inFlight, report{now + exchange, at, size})
				served += size
			}
		}
	}
	for i, from := range all {
		sum := 0.0
		for _, a := range all[i:] {
			if a.at < from.at+8*time.Second {
				sum += a.size
			}
		}
		if most := (8*limit.Rate+limit.Burst)*1.1 + quotaSlack; sum > most {
			t.Fatalf("%.0f tokens admitted in 8 s from %v, want at most %.0f", sum, from.at, most)
		}
	}
	if least := 0.8 * limit.Rate * 40; served < least {
		t.Fatalf("%.0f of %.0f tokens served although five times as much was requested", served, limit.Rate*40)
	}
}

// Guards against bookings and short chats that are refused because long prompts took the tokens. The load is one
// organisation that sends four times its rate in the request mix of the Lantern Works.
func TestShortRequestsGoOnWhileLongOnesWait(t *testing.T) {
	limit := fleetlimit.Limit{Rate: 40_000, Burst: 40_000}
	b := fleetlimit.New(limit, 0, 1)
	rng := rand.New(rand.NewPCG(5, 5))
	asked, served := map[string]float64{}, map[string]float64{}
	tokens := 0.0
	const seconds = 60
	for now := time.Duration(0); now < seconds*time.Second; now += 2 * time.Millisecond {
		if rng.Float64() > 0.09 { // 45 requests a second
			continue
		}
		kind, size := "booking", 200.0
		switch n := rng.IntN(63); {
		case n < 20:
			kind, size = "prompt", 9000+800*rng.NormFloat64()
		case n < 44:
			kind, size = "chat", 1150
		}
		asked[kind]++
		b.Update(now, limit, 1)
		if ok, _ := b.Take(size); ok {
			served[kind]++
			tokens += size
		}
	}
	for _, kind := range []string{"booking", "chat"} {
		if served[kind] < 0.95*asked[kind] {
			t.Errorf("%.0f of %.0f requests of kind %s served", served[kind], asked[kind], kind)
		}
	}
	if served["prompt"] < 0.1*asked["prompt"] {
		t.Errorf("%.0f of %.0f long prompts served", served["prompt"], asked["prompt"])
	}
	if tokens < 0.9*limit.Rate*seconds || tokens > limit.Rate*seconds+limit.Burst {
		t.Errorf("%.0f tokens admitted at a rate of %.0f", tokens, limit.Rate*seconds)
	}
}

// Guards against short requests that are refused because long prompts at several gateways together overdraw the limit.
// The load is the same organisation at many gateways, each of which learns what the others admitted only after the
// exchange interval. Four of five short requests must be served, and no tokens be left unused.
func TestShortRequestsGoOnAtManyGateways(t *testing.T) {
	const (
		gateways = 21
		exchange = 250 * time.Millisecond
		seconds  = 60
	)
	type report struct {
		at   time.Duration
		from int
		size float64
	}
	limit := fleetlimit.Limit{Rate: 40_000, Burst: 40_000}
	buckets := make([]*fleetlimit.Bucket, gateways)
	for i := range buckets {
		buckets[i] = fleetlimit.New(limit, 0, 1)
	}
	rng := rand.New(rand.NewPCG(5, 5))
	var inFlight []report
	asked, served := map[string]float64{}, map[string]float64{}
	tokens := 0.0
	for now := time.Duration(0); now < seconds*time.Second; now += 2 * time.Millisecond {
		for len(inFlight) > 0 && inFlight[0].at <= now {
			for i, b := range buckets {
				if i != inFlight[0].from {
					b.Update(now, limit, 1)
					b.ChargeRemote(inFlight[0].size)
				}
			}
			inFlight = inFlight[1:]
		}
		if rng.Float64() > 0.09 { // 45 requests a second
			continue
		}
		kind, size := "booking", 200.0
		switch n := rng.IntN(63); {
		case n < 20:
			kind, size = "prompt", 9000+800*rng.NormFloat64()
		case n < 44:
			kind, size = "chat", 1150
		}
		asked[kind]++
		at := rng.IntN(gateways)
		buckets[at].Update(now, limit, 1)
		if ok, _ := buckets[at].Take(size); ok {
			served[kind]++
			tokens += size
			inFlight = append(inFlight, report{now + exchange, at, size})
		}
	}
	for _, kind := range []string{"booking", "chat"} {
		if served[kind] < 0.8*asked[kind] {
			t.Errorf("%.0f of %.0f requests of kind %s served", served[kind], asked[kind], kind)
		}
	}
	if served["prompt"] < 0.1*asked["prompt"] {
		t.Errorf("%.0f of %.0f long prompts served", served["prompt"], asked["prompt"])
	}
	if tokens < 0.9*limit.Rate*seconds || tokens > 1.1*(limit.Rate*seconds+limit.Burst) {
		t.Errorf("%.0f tokens admitted at a rate of %.0f", tokens, limit.Rate*seconds)
	}
}
