// Package retrybudget bounds the attempts beyond the first of each request, by service and over all gateways. It is
// pure: the time is passed in.
package retrybudget

import "time"

// slices divides the window; a finer division forgets old requests more evenly.
const slices = 10

// Options are the bound that all gateways share.
type Options struct {
	Ratio  float64       // attempts for each request in the window
	Slack  float64       // attempts in the window beyond the ratio, over all gateways
	Window time.Duration // of the bound
	// Use is the part of the bound that is used, 0 to 1. The rest covers attempts on the edge of a window and gateways
	// that count differently.
	Use float64
}

type slice struct{ requests, retries float64 }

// Budget counts the requests and retries of one service at one gateway. It is not safe for concurrent use.
type Budget struct {
	opts    Options
	slices  [slices]slice
	current int64 // number of the slice of the last call
}

// New returns an empty budget.
func New(opts Options) *Budget { return &Budget{opts: opts} }

func (b *Budget) advance(now time.Duration) *slice {
	width := b.opts.Window / slices
	n := int64(now / width)
	if n-b.current >= slices {
		b.slices = [slices]slice{}
	} else {
		for i := b.current + 1; i <= n; i++ {
			b.slices[i%slices] = slice{}
		}
	}
	b.current = max(n, b.current)
	return &b.slices[b.current%slices]
}

// Request counts a request.
func (b *Budget) Request(now time.Duration) { b.advance(now).requests++ }

// Retry reports whether another attempt fits the budget, and counts it. gateways is the number of gateways that
// divide the slack.
func (b *Budget) Retry(now time.Duration, gateways int) bool {
	current := b.advance(now)
	var requests, retries float64
	for _, s := range b.slices {
		requests += s.requests
		retries += s.retries
	}
	if retries+1 > b.opts.Use*(b.opts.Ratio*requests+b.opts.Slack/float64(max(1, gateways))) {
		return false
	}
	current.retries++
	return true
}
