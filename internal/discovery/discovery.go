// Package discovery keeps a fleet.View up to date with the operator's configuration and the list of backend servers. Use
// it in a gateway: a few gateways read the platform's store, and the others receive the rows from them.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/freshness"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// feedWait is how long a feed call waits for a change. A silent connection is detected some time after it, which is within
	// the time in which a change has to be in force.
	feedWait = time.Second
	// ReaderCount is the number of gateways that read the store; the others receive the rows from them. Two readers may fail
	// at the same time.
	ReaderCount = 3
	// serverFeedInterval is the pause between two reads of the server list by one reader. The readers together read it
	// three times as often. All gateways must know within two seconds that a server leaves; even with a single reader,
	// one of these seconds remains.
	serverFeedInterval = 700 * time.Millisecond
	// readerCheckInterval is the pause between two checks of whether this gateway is a reader.
	readerCheckInterval = 150 * time.Millisecond
	// outageThreshold is the time without an answer from the store after which the store counts as unreachable and
	// entries of running servers may have expired. Entries expire after three heartbeats of more than a second.
	outageThreshold = time.Second
	// expiryInterval is the interval at which View.Expire removes servers that are missing after an outage, and at which deferred rows
	// are checked.
	expiryInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff limit the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Store is the part of the platform's store that discovery reads.
type Store interface {
	List(ctx context.Context, table string) (platform.Page, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error)
}

// Options configure a Follower. All fields are required.
type Options struct {
	Store Store
	View  *fleet.View
	Clock bootclock.Clock
	// RemovalGrace is the time after the end of an outage, or a restore of the store from a copy, for which missing servers are kept.
	RemovalGrace time.Duration
	// RewriteGrace is the time after a restore of the store from a copy within which the operator and the servers that run have
	// written their rows again, and the entries of others have expired.
	RewriteGrace time.Duration
	// Freshness records the version of the operator's rows in force here and when a read confirmed them.
	Freshness *freshness.Tracker
	// IsReader reports whether this gateway is among the first n gateways that are alive and can read the store.
	IsReader func(n int) bool
	// Publish is called with rows to send to the other gateways.
	Publish func(rows []platform.Row)
	// RelaysRows reports whether changes of servers that came from other gateways are published as well.
	RelaysRows func() bool
	// OnRemoved is called with the IDs of servers that were removed from the view.
	OnRemoved func(ids []string)
	Log       *slog.Logger
}

type rowKey struct{ table, key string }

// Follower keeps a View up to date with the store and with rows from other gateways. It is safe for concurrent use.
type Follower struct {
	opts Options

	mu        sync.Mutex
	rows      map[rowKey]platform.Row // newest row of each key, including removals
	applied   map[string]platform.Row // operator's rows that are in force in the view, by key, without their values
	era       int64                   // latest known one of the store
	eraSince  time.Duration           // when era was first observed
	deferred  map[rowKey]deferredRow  // rows of the present era that may stem from the store's copy, and removals of rows that it lacks
	listedEra map[string]int64        // in which a table was last listed

	lastAnswer atomic.Int64 // time of the store's last answer on Options.Clock, in nanoseconds
	listed     atomic.Int64 // when the server list was last known to be current, likewise; negative before the first list
	outage     atomic.Bool
}

// New returns a follower. Call Run to start it.
func New(opts Options) *Follower {
	f := &Follower{
		opts: opts, rows: make(map[rowKey]platform.Row), applied: make(map[string]platform.Row),
		deferred: make(map[rowKey]deferredRow), listedEra: make(map[string]int64),
	}
	f.lastAnswer.Store(int64(opts.Clock()))
	f.listed.Store(-1)
	return f
}

// Run follows the store until ctx ends and returns the error of its context.
func (f *Follower) Run(ctx context.Context) error {
	group := background.NewGroup(ctx, f.opts.Log)
	group.Go("configuration feed", func(ctx context.Context) error {
		return f.follow(ctx, platform.TableOperator, 0)
	})
	group.Go("server feed", func(ctx context.Context) error {
		return f.follow(ctx, platform.TableServers, serverFeedInterval)
	})
	group.Go("expiry", f.expireLoop)
	return group.Wait()
}

// StoreUnavailable reports whether the store is in an outage: calls have failed for longer than outageThreshold.
func (f *Follower) StoreUnavailable() bool { return f.outage.Load() }

// Rows returns the newest known row of each key, including removals, for a peer that joins.
func (f *Follower) Rows() []platform.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.rows))
}

// Row returns the newest known row of a key, which may be a removal, and whether one is known.
func (f *Follower) Row(table, key string) (platform.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[rowKey{table, key}]
	return r, ok
}

// follow lists a table and then reads its changes while this gateway is a reader.
func (f *Follower) follow(ctx context.Context, table string, pause time.Duration) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minBackoff, maxBackoff
	version := int64(-1)
	wait := feedWait
	for ctx.Err() == nil {
		reads := f.opts.IsReader(ReaderCount)
		if table == platform.TableOperator && version >= 0 {
			version = max(version, f.opts.Freshness.ConfirmedVersion()) // this gateway has these changes from its peers
			if f.opts.Freshness.NeedsRead(f.opts.Clock()) {
				reads, wait = true, 0
			}
		}
		if version >= 0 && !reads {
			if err := background.Sleep(ctx, readerCheckInterval); err != nil {
				return err
			}
			f.lastAnswer.Store(int64(f.opts.Clock())) // time as a non-reader does not count as an outage
			f.recordListed(table)
			f.endOutage("it is read by other gateways")
			continue
		}
		page, err := f.readTable(ctx, table, version, wait)
		if err == nil {
			version, wait = page.Version, feedWait
			if len(page.Rows) > 0 {
				wait = 0 // more changes may follow in another response
			}
			retry.Reset()
			if err := background.Sleep(ctx, jitter(pause)); err != nil {
				return err
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.opts.Log.Warn("store history no longer covers the known version; listing the table again", "table", table,
				"version", version, "error", err)
			version = -1
			continue
		}
		f.recordFailure(table, err)
		if err := background.Sleep(ctx, retry.NextBackOff()); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}

// readTable lists the whole table if version is negative, and otherwise reads its changes after version.
func (f *Follower) readTable(ctx context.Context, table string, version int64, wait time.Duration) (platform.Page, error) {
	list := version < 0
	var page platform.Page
	var err error
	if list {
		page, err = f.opts.Store.List(ctx, table)
	} else {
		page, err = f.opts.Store.Feed(ctx, table, version, wait)
	}
	if err != nil {
		return page, err
	}
	f.recordAnswer(table)
	f.ObserveEra(rowversion.Era(page.Version))
	if list {
		f.opts.Log.Info("table listed from the store", "table", table, "rows", len(page.Rows), "version", page.Version)
		f.applyList(table, page)
	} else {
		f.Apply(page.Rows, true)
	}
	f.recordListed(table)
	if table == platform.TableOperator && (list || len(page.Rows) == 0) && page.ServerTime > 0 {
		f.opts.Freshness.ConfirmRead(f.opts.Clock(), page.Version, page.ServerTime)
	}
	return page, nil
}

// recordAnswer records that the store answered. It must be called before the rows are applied, so that removals after an
// outage are recognised and delayed.
func (f *Follower) recordAnswer(table string) {
	now := f.opts.Clock()
	silence := now - time.Duration(f.lastAnswer.Swap(int64(now)))
	f.endOutage("it answered", "table", table, "silence", silence)
}

// endOutage ends an outage, if there is one, and delays the removal of missing servers.
func (f *Follower) endOutage(reason string, attrs ...any) {
	if f.outage.CompareAndSwap(true, false) {
		f.opts.View.StoreRecovered(f.opts.Clock() + f.opts.RemovalGrace)
		f.opts.Log.With(attrs...).Info("store reachable again; keeping missing servers for the grace period", "reason", reason)
	}
}

func (f *Follower) recordFailure(table string, err error) {
	silence := f.opts.Clock() - time.Duration(f.lastAnswer.Load())
	if silence > outageThreshold && f.outage.CompareAndSwap(false, true) {
		f.opts.Log.Warn("store unreachable; keeping the known state and retrying", "table", table, "silence", silence,
			"error", err)
		return
	}
	f.opts.Log.Info("store call failed; retrying", "table", table, "silence", silence, "error", err)
}

func (f *Follower) expireLoop(ctx context.Context) error {
	for {
		if err := background.Sleep(ctx, expiryInterval); err != nil {
			return err
		}
		if gone := f.opts.View.Expire(f.opts.Clock()); gone != nil {
			f.opts.Log.Info("servers not listed again after the store outage; removed", "servers", gone)
			f.opts.OnRemoved(gone)
		}
		f.applyDeferred()
	}
}
