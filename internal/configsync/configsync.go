// Package configsync keeps a process's copy of the configuration up to date and decides whether it is recent
// enough to use. It polls the table service, requests deltas from peers when the table service does not
// answer, and serves deltas to peers. Every process that acts on the configuration uses it.
package configsync

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	defaultPollInterval = 4 * time.Second
	defaultFreshFor     = 8 * time.Second
	// roundTimeout limits one round, in which the table service and peers are asked to confirm the copy.
	// peerTimeout limits the wait for the peers, and the time for which a round waits for the table service
	// before it asks the peers.
	roundTimeout = 3 * time.Second
	peerTimeout  = time.Second
	// transferTimeout limits the transfer of a delta, which may outlast the round. It goes on as long as each part arrives
	// within peerTimeout.
	transferTimeout = time.Minute
	// storePollTimeout limits the table service reads of one poll, which may outlast the round.
	storePollTimeout = 6 * time.Second
	// refusalCacheTTL is the time for which a refusal is reused without running another round.
	refusalCacheTTL = 200 * time.Millisecond
	// hedgeDelay is the time to wait for the first peer before the other chosen peers are asked too.
	hedgeDelay         = 250 * time.Millisecond
	maxPeersPerRound   = 3
	pollJitterFraction = 0.1 // largest deviation of a poll interval, as a fraction of PollInterval
)

// FetchFunc requests the configuration changes after a version from the peer at address (IP:port).
type FetchFunc func(ctx context.Context, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error)

// Options configures a Copy.
type Options struct {
	Store        tablestore.Store // nil in a sidecar, which only follows its gateways
	Peers        func() []string  // addresses (IP:port) of gateways; nil for none
	Pool         *transport.Pool  // pool of sessions to peers; unused if Ask is set
	FetchDelta   FetchFunc        // replaces requests over Pool, for tests
	Identity     *wirepb.Identity // of this process; its address is never asked
	PollInterval time.Duration    // mean time between polls; 4 s if zero
	FreshFor     time.Duration    // age up to which a confirmation is fresh; 8 s if zero
	Log          *slog.Logger     // discards if nil
	Now          func() time.Time // must return times with a monotonic clock reading; time.Now if nil
	Rand         *rand.Rand       // must not be used elsewhere; randomly seeded if nil
}

// Copy is a process's copy of the configuration. It is safe for concurrent use.
type Copy struct {
	opts       Options
	changeLog  *config.Log
	snapshot   atomic.Pointer[config.Snapshot]
	roundGroup singleflight.Group

	applyMu     sync.Mutex // serialises apply and guards subscribers
	subscribers []func(*config.Snapshot)

	transfers atomic.Int64 // requests to peers that have outlasted their rounds

	mu               sync.Mutex // guards the fields below
	confirmed        bool
	confirmedAt      time.Time // at or before the sending of the request that confirmed the copy
	continueUntil    time.Time // end of validity of the last Continue decision, if any
	storeUnavailable bool
	lastStoreReadAt  time.Time // when the latest successful read was sent
	lastRefusal      Decision  // decision of the last round that refused, valid until refusalUntil
	refusalUntil     time.Time
}

// New returns an empty copy. Run or the first call of Confirm fills it.
func New(opts Options) *Copy {
	if opts.PollInterval <= 0 {
		opts.PollInterval = defaultPollInterval
	}
	if opts.FreshFor <= 0 {
		opts.FreshFor = defaultFreshFor
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.Peers == nil {
		opts.Peers = func() []string { return nil }
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	c := &Copy{opts: opts}
	if opts.Store != nil {
		c.changeLog = config.NewLog(opts.Store)
	}
	if opts.FetchDelta == nil {
		c.opts.FetchDelta = c.askOverPool
	}
	c.snapshot.Store(new(config.Snapshot))
	return c
}

// Snapshot returns the newest configuration in the copy, an empty one at version 0 if nothing was read yet.
func (c *Copy) Snapshot() *config.Snapshot { return c.snapshot.Load() }

// Version returns the version of the copy, 0 if nothing was read yet.
func (c *Copy) Version() int64 { return c.Snapshot().Version() }

// ConfirmedAge returns the time since the copy was last known to be current, and false if it was never
// confirmed.
func (c *Copy) ConfirmedAge() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.age()
}

func (c *Copy) age() (time.Duration, bool) {
	if !c.confirmed {
		return 0, false
	}
	return max(0, c.opts.Now().Sub(c.confirmedAt)), true
}

// Subscribe registers f to be called with each new snapshot, in order of versions and never concurrently. f
// must not block and must not call Subscribe.
func (c *Copy) Subscribe(f func(*config.Snapshot)) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// Confirm returns nil if the copy may be used now. If the copy is stale, it first asks the table service and
// up to three peers to confirm it; concurrent calls share one such round. Errors have the kind
// errkind.ConfigStale or errkind.NotReady, or are the error of ctx.
func (c *Copy) Confirm(ctx context.Context) error {
	if d := Decide(c.decisionInput(roundResult{})); d != Ask {
		return decisionError(d)
	}
	if d, ok := c.recentRefusal(); ok {
		return decisionError(d)
	}
	ch := c.roundGroup.DoChan("ask", func() (any, error) {
		return c.runRound(context.WithoutCancel(ctx)), nil
	})
	select {
	case r := <-ch:
		return decisionError(r.Val.(Decision))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Usable reports whether the copy may be used now without a round of confirmation: it is fresh, or a recent
// round found that the table service is unavailable to all processes (see Decide).
func (c *Copy) Usable() bool {
	d := Decide(c.decisionInput(roundResult{}))
	return d == Use || d == Continue
}

// recentRefusal returns the decision of the last round if it was a refusal that is still valid, so that
// requests that arrive while neither the table service nor peers are reachable do not each start a round.
func (c *Copy) recentRefusal() (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRefusal, c.opts.Now().Before(c.refusalUntil)
}

func decisionError(d Decision) error {
	switch d {
	case Use, Continue:
		return nil
	case NotReady:
		return errkind.New(errkind.NotReady, "no configuration has been read yet")
	default:
		return errkind.New(errkind.ConfigStale, "neither the table service nor a peer confirmed the configuration")
	}
}

// Run polls the table service and peers until ctx ends, and returns the error of ctx.
func (c *Copy) Run(ctx context.Context) error {
	last := Ask
	for {
		v, _, _ := c.roundGroup.Do("ask", func() (any, error) { return c.runRound(ctx), nil })
		if d := v.(Decision); d != last && ctx.Err() == nil {
			c.opts.Log.Info("decision on using the configuration copy changed", "decision", d.String(), "version", c.Version())
			last = d
		}
		timer := time.NewTimer(c.nextPoll(last))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// nextPoll returns the time to wait before the next poll. Polls are more frequent while the copy is not fresh, so
// that a request seldom has to wait for a round.
func (c *Copy) nextPoll(last Decision) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	factor := 1 - pollJitterFraction + 2*pollJitterFraction*c.opts.Rand.Float64()
	interval := c.opts.PollInterval
	if last != Use {
		interval = min(interval, c.opts.FreshFor/8)
	}
	return time.Duration(float64(interval) * factor)
}

func (c *Copy) decisionInput(a roundResult) DecisionInput {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, confirmed := c.age()
	return DecisionInput{
		HasConfig:            c.Version() > 0,
		Confirmed:            confirmed,
		Age:                  age,
		FreshFor:             c.opts.FreshFor,
		Asked:                a.asked,
		HasStore:             c.opts.Store != nil,
		StoreAnswered:        a.storeAnswered,
		PeersKnown:           a.peersKnown,
		PeersAnswered:        a.peersAnswered,
		PeersReportingOutage: a.peersReportingOutage,
		ContinueValid:        !a.asked && c.opts.Now().Before(c.continueUntil),
	}
}

// apply merges entities into the copy and calls the subscribers if the version increased. The version never
// decreases.
func (c *Copy) apply(version int64, entities []config.Entity) error {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	old := c.snapshot.Load()
	next, err := old.Apply(version, entities)
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	if next.Version() == old.Version() {
		return nil
	}
	c.snapshot.Store(next)
	for _, f := range c.subscribers {
		f(next)
	}
	return nil
}

// confirm records that the copy was current at the given time. It ignores a time earlier than the recorded one.
func (c *Copy) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmed || at.After(c.confirmedAt) {
		c.confirmed, c.confirmedAt = true, at
	}
}
