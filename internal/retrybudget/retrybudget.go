// Package retrybudget limits the retries of requests, for each service and over all gateways, to a ratio of the
// requests in a sliding window. Use a Budget for each service in a gateway. It reads no clock: the time is passed
// in.
package retrybudget

import "time"

const (
	// slices is the number of slices of the window; with more slices, old requests leave the window more evenly.
	slices = 10
	// keptSlices is the number of slices that are stored: one more than slices, because the current slice is
	// incomplete and every retry of the last window must be counted.
	keptSlices = slices + 1
	// defaultWindow is used if Options.Window is not set. It equals the window in the site files.
	defaultWindow = 10 * time.Second
)

// Options define the bound on retries, which is the same at all gateways.
type Options struct {
	Ratio  float64       // retries for each request in the window
	Slack  float64       // retries in the window in addition to the ratio, over all gateways
	Window time.Duration // length of the window
	// UsedFraction is the fraction of the bound, 0 to 1, that may be used. The rest is a safety margin for retries at
	// the edges of a window and for gateways whose counts differ.
	UsedFraction float64
	// StartedAt is when the process started. If Restarted is set, earlier processes may have used the bound until then.
	StartedAt time.Duration
	Restarted bool
}

type slice struct{ requests, retries float64 }

// Budget counts the requests and retries of one service at one gateway. It is not safe for concurrent use.
type Budget struct {
	opts    Options
	slices  [keptSlices]slice
	current int64 // number of the slice of the latest call
}

// New returns a budget without requests. A missing window is replaced by defaultWindow.
func New(opts Options) *Budget {
	if opts.Window < slices {
		opts.Window = defaultWindow
	}
	return &Budget{opts: opts}
}

func (b *Budget) advance(now time.Duration) *slice {
	width := b.opts.Window / slices
	n := int64(now / width)
	if n-b.current >= keptSlices {
		b.slices = [keptSlices]slice{}
	} else {
		for i := b.current + 1; i <= n; i++ {
			b.slices[i%keptSlices] = slice{}
		}
	}
	b.current = max(n, b.current)
	return &b.slices[b.current%keptSlices]
}

// CountRequest counts a new request, without its retries.
func (b *Budget) CountRequest(now time.Duration) { b.advance(now).requests++ }

// usedFraction returns the fraction of the bound that may be used. Nothing tells a restarted process which retries earlier ones
// have sent, so that in its first window only the margin is left for it: half of it, in proportion to the time since the start, so
// that any number of processes that follow each other within a window use no more.
func (b *Budget) usedFraction(now time.Duration) float64 {
	age := max(0, now-b.opts.StartedAt)
	if !b.opts.Restarted || age >= b.opts.Window {
		return b.opts.UsedFraction
	}
	return (1 - b.opts.UsedFraction) / 2 * age.Seconds() / b.opts.Window.Seconds()
}

// TakeRetry reports whether the budget allows another retry, and counts it if so. gateways is the number of gateways
// among which the slack is divided.
func (b *Budget) TakeRetry(now time.Duration, gateways int) bool {
	current := b.advance(now)
	var requests, retries float64
	for i, s := range b.slices {
		retries += s.retries
		if oldest := (b.current + 1) % keptSlices; int64(i) != oldest {
			requests += s.requests
		}
	}
	if retries+1 > b.usedFraction(now)*(b.opts.Ratio*requests+b.opts.Slack/float64(max(1, gateways))) {
		return false
	}
	current.retries++
	return true
}

// ReturnRetry takes back a retry that TakeRetry allowed and that was not sent.
func (b *Budget) ReturnRetry(now time.Duration) {
	b.advance(now)
	for i := range int64(keptSlices) {
		if s := &b.slices[(b.current-i+keptSlices)%keptSlices]; s.retries > 0 {
			s.retries--
			return
		}
	}
}
