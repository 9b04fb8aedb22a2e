package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/retrybudget"
)

// Guards against a retry storm. The bound is the platform's, over all gateways: the slack, and the ratio of the
// requests in the window, in the one before it or in the one that begins half a window earlier.
func TestRetriesStayWithinTheBoundInEveryWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 5).Draw(t, "gateways")
		opts := retrybudget.Options{Ratio: 0.2, Slack: 54, Window: window, UsedFraction: 0.8}
		budgets := make([]*retrybudget.Budget, gateways)
		for i := range budgets {
			budgets[i] = retrybudget.New(opts)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for now < 40*time.Second {
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Millisecond
			b := budgets[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			b.CountRequest(now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 4).Draw(t, "failures") {
				if b.TakeRetry(now, gateways) {
					retries = append(retries, now)
				}
			}
		}
		checkWindows(t, requests, retries, window)
	})
}

// Guards against gateways that forget at a restart which retries they have sent: the retries of all processes count, whatever
// is killed and how often.
func TestRestartsDoNotRenewTheBudget(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 5).Draw(t, "gateways")
		opts := retrybudget.Options{Ratio: 0.2, Slack: 54, Window: window, UsedFraction: 0.8}
		budgets := make([]*retrybudget.Budget, gateways)
		for i := range budgets {
			budgets[i] = retrybudget.New(opts)
		}
		opts.Restarted = true
		requestInterval := time.Duration(rapid.IntRange(2, 100).Draw(t, "interval")) * time.Millisecond
		failing := rapid.IntRange(1, 4).Draw(t, "failures of a request")
		kills := rapid.SliceOfN(rapid.IntRange(0, 40_000), 1, 8).Draw(t, "kills, ms")
		killsAll := rapid.Bool().Draw(t, "kills all")
		var requests, retries []time.Duration
		for now := time.Duration(0); now < 40*time.Second; now += requestInterval {
			for k, at := range kills {
				if d := now - time.Duration(at)*time.Millisecond; d < 0 || d >= requestInterval {
					continue
				}
				opts.StartedAt = now
				for i := range budgets {
					if killsAll || i == k%gateways {
						budgets[i] = retrybudget.New(opts)
					}
				}
			}
			b := budgets[int(now/requestInterval)%gateways]
			b.CountRequest(now)
			requests = append(requests, now)
			for range failing {
				if b.TakeRetry(now, gateways) {
					retries = append(retries, now)
				}
			}
		}
		checkWindows(t, requests, retries, window)
	})
}

// checkWindows checks the platform's bound in every window: a slack of 54, and 0.2 of the requests in the window, in the one before it
// or in the one that begins half a window earlier.
func checkWindows(t *rapid.T, requests, retries []time.Duration, window time.Duration) {
	for _, from := range retries {
		most := 0.0
		for _, back := range []time.Duration{0, window / 2, window} {
			most = max(most, count(requests, from-back, window))
		}
		if n := count(retries, from, window); n > 0.2*most+54 {
			t.Fatalf("%.0f retries in the window from %v, above the bound for %.0f requests", n, from, most)
		}
	}
}

func count(times []time.Duration, from, window time.Duration) float64 {
	n := 0.0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}
