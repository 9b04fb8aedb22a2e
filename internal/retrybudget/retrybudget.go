// Package retrybudget bounds the attempts beyond the first of each request, by service and over all gateways. It is
// pure: the time is passed in.
package retrybudget

import "time"

const (
	// slices divides the window; a finer division forgets old requests more evenly.
	slices = 10
	// kept slices cover the window and the part of the current slice that has passed, so that every retry of the last
	// window is counted.
	kept = slices + 1
	// defaultWindow is the window of the site files.
	defaultWindow = 10 * time.Second
)

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
	slices  [kept]slice
	current int64 // number of the slice of the last call
}

// New returns an empty budget. A window that is not named is defaultWindow.
func New(opts Options) *Budget {
	if opts.Window < slices {
		opts.Window = defaultWindow
	}
	return &Budget{opts: opts}
}

func (b *Budget) advance(now time.Duration) *slice {
	width := b.opts.Window / slices
	n := int64(now / width)
	if n-b.current >= kept {
		b.slices = [kept]slice{}
	} else {
		for i := b.current + 1; i <= n; i++ {
			b.slices[i%kept] = slice{}
		}
	}
	b.current = max(n, b.current)
	return &b.slices[b.current%kept]
}

// Request counts a request.
func (b *Budget) Request(now time.Duration) { b.advance(now).requests++ }

// Retry reports whether another attempt fits the budget, and counts it. gateways is the number of gateways that
// divide the slack.
func (b *Budget) Retry(now time.Duration, gateways int) bool {
	current := b.advance(now)
	var requests, retries float64
	for i, s := range b.slices {
		retries += s.retries
		if oldest := (b.current + 1) % kept; int64(i) != oldest {
			requests += s.requests
		}
	}
	if retries+1 > b.opts.Use*(b.opts.Ratio*requests+b.opts.Slack/float64(max(1, gateways))) {
		return false
	}
	current.retries++
	return true
}
