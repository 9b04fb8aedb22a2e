package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
)

// maxWaitersPerOrganisation limits the requests of one organisation that wait for tokens at a gateway, so that an
// organisation that sends several times its rate cannot use up the gateway's concurrency limit.
const maxWaitersPerOrganisation = 32

// waiters counts the requests of each organisation that wait for tokens.
type waiters struct {
	mu     sync.Mutex
	counts map[string]int
}

func newWaiters() *waiters { return &waiters{counts: make(map[string]int)} }

// enter reports whether one more request of the organisation may wait. If so, it counts the request until leave is
// called.
func (w *waiters) enter(organisation string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[organisation] >= maxWaitersPerOrganisation {
		return false
	}
	w.counts[organisation]++
	return true
}

func (w *waiters) leave(organisation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[organisation]--; w.counts[organisation] == 0 {
		delete(w.counts, organisation)
	}
}

// reserve reserves tokens of the organisation. A request that is rate limited waits if its tokens become available
// early enough for its first-token target. A request of an open service has no organisation to charge.
func (g *Gateway) reserve(ctx context.Context, p *Principal, call ModelCall, tokens int64) (Reservation, error) {
	if p.KeyID == "" {
		return NoLimit{}, nil
	}
	reservation, err := g.opts.Limiter.Reserve(ctx, call.RequestID, p.Organisation, tokens)
	if err == nil || !g.waiters.enter(p.Organisation.Name) {
		return reservation, err
	}
	defer g.waiters.leave(p.Organisation.Name)
	latest := call.Arrived.Add(limitshare.MaxTokenWait(time.Duration(p.Profile.FirstTokenMS) * time.Millisecond))
	for err != nil && g.awaitTokens(ctx, err, latest) {
		reservation, err = g.opts.Limiter.Reserve(ctx, call.RequestID, p.Organisation, tokens)
	}
	return reservation, err
}

// awaitTokens waits until the tokens of a refused reservation are expected to be available, and reports true. It
// reports false without waiting if that time is unknown or after latest, and false when ctx ends.
func (g *Gateway) awaitTokens(ctx context.Context, err error, latest time.Time) bool {
	var retryErr *RetryError
	if !errors.As(err, &retryErr) || errkind.Of(err) != errkind.RateLimited || retryErr.After <= 0 {
		return false
	}
	if time.Now().Add(retryErr.After).After(latest) {
		return false
	}
	g.metrics.limitWaits.Add(1)
	return background.Sleep(ctx, retryErr.After) == nil
}
