package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/limit"
)

// maxWaiting bounds the requests of one organisation that wait for tokens at a gateway, so that an
// organisation that sends several times its rate cannot fill the gateway.
const maxWaiting = 32

// waiting counts the requests of each organisation that wait for tokens.
type waiting struct {
	mu     sync.Mutex
	counts map[string]int
}

func newWaiting() *waiting { return &waiting{counts: make(map[string]int)} }

// enter reports whether one more request of the organisation may wait; leave must follow.
func (w *waiting) enter(organisation string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[organisation] >= maxWaiting {
		return false
	}
	w.counts[organisation]++
	return true
}

func (w *waiting) leave(organisation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[organisation]--; w.counts[organisation] == 0 {
		delete(w.counts, organisation)
	}
}

// reserve takes tokens of the organisation. A request that is rate limited waits for its tokens if they are due
// early enough for its first-token target. A request on an open route has no organisation to charge.
func (g *Gateway) reserve(ctx context.Context, p *Principal, call ModelCall, tokens int64) (Reservation, error) {
	if p.KeyID == "" {
		return NoLimit{}, nil
	}
	reservation, err := g.opts.Limiter.Reserve(ctx, call.RequestID, p.Organisation, tokens)
	if err == nil || !g.waiting.enter(p.Organisation.Name) {
		return reservation, err
	}
	defer g.waiting.leave(p.Organisation.Name)
	until := call.Arrived.Add(limit.Patience(time.Duration(p.Profile.FirstTokenMS) * time.Millisecond))
	for err != nil && g.awaitTokens(ctx, err, until) {
		reservation, err = g.opts.Limiter.Reserve(ctx, call.RequestID, p.Organisation, tokens)
	}
	return reservation, err
}

// awaitTokens waits until the tokens of a refused reservation are due. It reports false at once if they are not
// due before until, and when ctx ends.
func (g *Gateway) awaitTokens(ctx context.Context, err error, until time.Time) bool {
	var refusal *RetryError
	if !errors.As(err, &refusal) || errkind.Of(err) != errkind.RateLimited || refusal.After <= 0 {
		return false
	}
	if time.Now().Add(refusal.After).After(until) {
		return false
	}
	g.metrics.limitWaits.Add(1)
	return duty.Sleep(ctx, refusal.After) == nil
}
