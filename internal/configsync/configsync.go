// Package configsync keeps a process's copy of the configuration up to date. It polls the head version
// in the table service, pulls deltas from peers, and decides by the age of the last confirmation whether
// the copy may be used.
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
	// askTimeout bounds one round of confirmation, and peerTimeout one peer's answer in it.
	askTimeout  = 3 * time.Second
	peerTimeout = time.Second
	// storeTimeout bounds the reads of one poll, which may outlast a round.
	storeTimeout = 6 * time.Second
	// refuseHold is the time for which a refusal stands without another round.
	refuseHold = 200 * time.Millisecond
	// hedgeDelay is the time after which more than one peer is asked.
	hedgeDelay = 250 * time.Millisecond
	maxPeers   = 3
	jitter     = 0.1 // part of the poll interval by which a poll is early or late
)

// AskFunc asks the peer at address for the changes after a version.
type AskFunc func(ctx context.Context, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error)

// Options configures a Copy.
type Options struct {
	Store        tablestore.Store // nil in a sidecar, which follows its gateways only
	Peers        func() []string  // addresses (IP:port) of gateways; nil for none
	Pool         *transport.Pool  // sessions to peers; unused if Ask is set
	Ask          AskFunc          // replaces the conversation over Pool, for tests
	Identity     *wirepb.Identity
	PollInterval time.Duration // 4 s if zero
	FreshFor     time.Duration // 8 s if zero
	Log          *slog.Logger
	Now          func() time.Time // with a monotonic reading; time.Now if nil
	Rand         *rand.Rand       // not shared with others; seeded at random if nil
}

// Copy is a process's copy of the configuration. It is safe for use by several goroutines.
type Copy struct {
	opts     Options
	log      *config.Log
	snapshot atomic.Pointer[config.Snapshot]
	flight   singleflight.Group

	applyMu     sync.Mutex // orders snapshots and guards subscribers
	subscribers []func(*config.Snapshot)

	mu          sync.Mutex // guards the fields below
	confirmed   bool
	confirmedAt time.Time // when the read that confirmed the copy was sent, or earlier
	awayUntil   time.Time // end of the validity of a Continue decision
	storeAway   bool
	storeReadAt time.Time // when the last read that succeeded was sent
	refused     Decision  // the last round's, until refuseUntil
	refuseUntil time.Time
}

// New returns an empty copy. It becomes usable by Run or by the first Confirm.
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
		c.log = config.NewLog(opts.Store)
	}
	if opts.Ask == nil {
		c.opts.Ask = c.askOverPool
	}
	c.snapshot.Store(new(config.Snapshot))
	return c
}

// Snapshot returns the newest configuration that the process holds, at version 0 if it holds none.
func (c *Copy) Snapshot() *config.Snapshot { return c.snapshot.Load() }

// Version returns the version of the copy, 0 if there is none.
func (c *Copy) Version() int64 { return c.Snapshot().Version() }

// ConfirmedAge returns the time since the copy was confirmed, and false if it never was.
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

// Subscribe calls f for each new snapshot, in the order of versions and never concurrently. f must not block and
// must not call Subscribe.
func (c *Copy) Subscribe(f func(*config.Snapshot)) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// Confirm returns nil if the copy may be used now. A stale copy is first confirmed with the table service
// and up to three peers; concurrent calls share one such round. Errors have the kind
// errkind.ConfigStale or errkind.NotReady, or are the context's.
func (c *Copy) Confirm(ctx context.Context) error {
	if d := Decide(c.view(answers{})); d != Ask {
		return decisionError(d)
	}
	if d, ok := c.recentRefusal(); ok {
		return decisionError(d)
	}
	ch := c.flight.DoChan("ask", func() (any, error) {
		return c.round(context.WithoutCancel(ctx)), nil
	})
	select {
	case r := <-ch:
		return decisionError(r.Val.(Decision))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Usable reports whether the copy may be used now without asking: it is fresh, or an outage of the table
// service that has a witness is under way.
func (c *Copy) Usable() bool {
	d := Decide(c.view(answers{}))
	return d == Use || d == Continue
}

// recentRefusal returns the refusal of a round that ended just now, so that requests that arrive while
// nothing is reachable do not each start a round.
func (c *Copy) recentRefusal() (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused, c.opts.Now().Before(c.refuseUntil)
}

func decisionError(d Decision) error {
	switch d {
	case Use, Continue:
		return nil
	case NotReady:
		return errkind.New(errkind.NotReady, "no configuration was read yet")
	default:
		return errkind.New(errkind.ConfigStale, "neither the table service nor a peer confirms the configuration")
	}
}

// Run polls until ctx ends.
func (c *Copy) Run(ctx context.Context) error {
	last := Ask
	for {
		v, _, _ := c.flight.Do("ask", func() (any, error) { return c.round(ctx), nil })
		if d := v.(Decision); d != last && ctx.Err() == nil {
			c.opts.Log.Info("configuration copy", "decision", d.String(), "version", c.Version())
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

// nextPoll returns the wait before the next poll. A copy that is not confirmed asks more often, so that
// a request seldom has to wait for a round.
func (c *Copy) nextPoll(last Decision) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	spread := 1 - jitter + 2*jitter*c.opts.Rand.Float64()
	interval := c.opts.PollInterval
	if last != Use {
		interval = min(interval, c.opts.FreshFor/8)
	}
	return time.Duration(float64(interval) * spread)
}

func (c *Copy) view(a answers) View {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, confirmed := c.age()
	return View{
		HasConfig:  c.Version() > 0,
		Confirmed:  confirmed,
		Age:        age,
		FreshFor:   c.opts.FreshFor,
		Asked:      a.asked,
		HasStore:   c.opts.Store != nil,
		StoreHeard: a.store,
		PeersKnown: a.known,
		PeersHeard: a.heard,
		PeersAway:  a.away,
		AwayFor:    !a.asked && c.opts.Now().Before(c.awayUntil),
	}
}

// apply merges entities and tells the subscribers. The copy never goes back to an older version.
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

// confirm records that the copy was current at a time. An earlier time than the recorded one is ignored.
func (c *Copy) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmed || at.After(c.confirmedAt) {
		c.confirmed, c.confirmedAt = true, at
	}
}
