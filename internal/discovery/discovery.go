// Package discovery keeps a fleet.View up to date with the operator's configuration and the list of backend servers. Use
// it in a gateway: a few gateways read the platform's store, and the others receive the rows from them.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/freshness"
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
	// expiryInterval is the interval at which View.Expire removes servers that are missing after an outage.
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
	Store        Store
	View         *fleet.View
	Clock        bootclock.Clock
	RemovalGrace time.Duration // time after the end of an outage for which missing servers are kept
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

	mu      sync.Mutex
	rows    map[rowKey]platform.Row // newest row of each key, including removals
	applied map[string]platform.Row // operator's rows that are in force in the view, by key, without their values

	lastAnswer atomic.Int64 // time of the store's last answer on Options.Clock, in nanoseconds
	listed     atomic.Int64 // when the server list was last known to be current, likewise; negative before the first list
	outage     atomic.Bool
}

// New returns a follower. Call Run to start it.
func New(opts Options) *Follower {
	f := &Follower{opts: opts, rows: make(map[rowKey]platform.Row), applied: make(map[string]platform.Row)}
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
				"version", version)
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
	if list {
		f.opts.Log.Info("table listed from the store", "table", table, "rows", len(page.Rows), "version", page.Version)
		f.Apply(append(page.Rows, f.removalsFor(table, page.Rows, page.Version)...), true)
	} else {
		f.Apply(page.Rows, true)
	}
	f.recordListed(table)
	if table == platform.TableOperator && (list || len(page.Rows) == 0) && page.ServerTime > 0 {
		f.opts.Freshness.ConfirmRead(f.opts.Clock(), page.Version, page.ServerTime)
	}
	return page, nil
}

// removalsFor returns removals for the known rows of a table that are missing in a newer list of it.
func (f *Follower) removalsFor(table string, listed []platform.Row, newest int64) []platform.Row {
	present := make(map[string]bool, len(listed))
	for _, r := range listed {
		present[r.Key] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var removed []platform.Row
	for k, r := range f.rows {
		if k.table == table && !present[k.key] && !r.Deleted && r.Version < newest {
			removed = append(removed, platform.Row{Table: table, Key: k.key, Version: newest, Deleted: true})
		}
	}
	return removed
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
	}
}

// Apply merges rows into the view and ignores rows that are not newer than the known ones. fromStore says that this
// process read the rows from the store itself: then changes are published to the other gateways. Changes of the
// operator's table are always published, because a peer may reach neither the store nor the sender. In a fleet where no
// reader reaches all others, changes of servers are published too.
func (f *Follower) Apply(rows []platform.Row, fromStore bool) {
	var updates []platform.Row
	var removedIDs []string
	for _, row := range rows {
		if !f.recordRow(row) {
			continue
		}
		switch row.Table {
		case platform.TableOperator:
			f.opts.Publish([]platform.Row{row}) // before it is decoded, which takes long on a slow host
			f.applyOperator(row)
			f.recordApplied(row)
		case platform.TableServers:
			changed, removed := f.applyServer(row)
			if changed && (fromStore || f.opts.RelaysRows()) {
				updates = append(updates, row)
			}
			if removed {
				removedIDs = append(removedIDs, row.Key)
			}
		}
	}
	if updates != nil {
		f.opts.Publish(updates)
	}
	if removedIDs != nil {
		f.opts.OnRemoved(removedIDs)
	}
}

// recordRow stores a row if it is newer than the known one, and reports whether it did.
func (f *Follower) recordRow(row platform.Row) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := rowKey{row.Table, row.Key}
	if known, ok := f.rows[k]; ok && known.Version >= row.Version {
		return false
	}
	f.rows[k] = row
	return true
}

// recordApplied records that an operator's row is in force in the view. A removed row is not part of the hash, because a
// gateway that listed the table later does not know of it.
func (f *Follower) recordApplied(row platform.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.applied[row.Key].Version >= row.Version {
		return
	}
	f.applied[row.Key] = platform.Row{Version: row.Version, Deleted: row.Deleted}
	var state freshness.State
	for key, r := range f.applied {
		state.Newest = max(state.Newest, r.Version)
		if !r.Deleted {
			state.Hash ^= xxhash.Sum64String(fmt.Sprint(key, "/", r.Version))
		}
	}
	f.opts.Freshness.SetOwn(state)
}

func (f *Follower) applyOperator(row platform.Row) {
	if dataCentre, ok := platform.EvacuatedDataCentre(row.Key); ok {
		if f.opts.View.SetOutOfService(dataCentre, !row.Deleted, row.Version) {
			f.opts.Log.Info("data centre put in or out of service", "data_centre", dataCentre, "out", !row.Deleted,
				"version", row.Version)
		}
		return
	}
	if !platform.IsConfigurationKey(row.Key) || row.Deleted {
		return
	}
	c, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		f.opts.Log.Error("configuration not decoded; keeping the previous one", "version", row.Version, "error", err)
		return
	}
	if f.opts.View.SetConfiguration(c, row.Version) {
		f.opts.Log.Info("configuration in force", "config_version", c.Version, "version", row.Version,
			"routes", len(c.Routes), "services", len(c.Services), "organisations", len(c.Organisations))
		for _, err := range c.Ignored {
			f.opts.Log.Error("section of the configuration ignored", "config_version", c.Version, "error", err)
		}
	}
}

// applyServer applies an entry of the server list. It reports whether more than the version of the entry changed, and
// whether the server was removed.
func (f *Follower) applyServer(row platform.Row) (changed, gone bool) {
	previous := f.opts.View.Snapshot().Replicas[row.Key]
	if row.Deleted {
		removed := f.opts.View.RemoveReplica(row.Key, row.Version, f.opts.Clock())
		f.opts.Log.Info("server no longer listed", "server", row.Key, "version", row.Version,
			"kept", !removed && previous != nil)
		return true, removed
	}
	r, err := platform.DecodeReplica(row.Key, row.Value, row.Version)
	if err != nil {
		f.opts.Log.Warn("server entry not decoded; ignoring it", "server", row.Key, "version", row.Version, "error", err)
		return true, false
	}
	if !f.opts.View.SetReplica(r) {
		return false, false
	}
	if previous == nil || previous.Draining != r.Draining || previous.Address != r.Address || previous.Born != r.Born {
		f.opts.Log.Info("server entry changed", "server", r.ID, "service", r.Service, "address", r.Address,
			"data_centre", r.DataCentre, "draining", r.Draining, "cold", r.Cold, "version", row.Version)
		return true, false
	}
	return r.Cold > 0 || previous.Cold > 0 || !slices.EqualFunc(previous.Models, r.Models, sameModel), false
}

func sameModel(a, b fleet.ResidentModel) bool {
	return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters)
}
