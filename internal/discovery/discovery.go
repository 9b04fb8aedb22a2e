// Package discovery follows the operator's configuration and the list of backend servers in the platform's store and
// merges them into a fleet.View, together with what other gateways pass on.
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

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// callTimeout bounds a read that does not wait for changes. The store answers in some milliseconds.
	callTimeout = time.Second
	// feedWait is how long the feed of the configuration waits for a change. A feed whose connection went silent is
	// noticed feedWait and feedGrace after its call, within the time that a change has to be in force.
	feedWait  = 1500 * time.Millisecond
	feedGrace = 500 * time.Millisecond
	// Readers gateways read the store; the others get the rows from them. Two may be lost at the same time.
	Readers = 3
	// serversPause is the pause between two reads of the server list by one reader. Together they read it three times as
	// often, and one alone still leaves a second of the two that a leaving server must be known in.
	serversPause = 700 * time.Millisecond
	// idlePause is the pause between two looks whether this gateway has to read.
	idlePause = 150 * time.Millisecond
	// outageAfter is the time without an answer after which entries may have lapsed by mistake. Entries lapse after
	// three heartbeats of more than a second.
	outageAfter = time.Second
	// expiry is the interval at which missing servers are removed after an outage.
	expiry = 100 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 800 * time.Millisecond
)

// Store is the part of the platform's store that discovery reads.
type Store interface {
	List(ctx context.Context, table string) ([]platform.Row, int64, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.Row, int64, error)
}

// Options configure a Follower.
type Options struct {
	Store  Store
	View   *fleet.View
	Clock  bootclock.Clock
	Return time.Duration // after the store's return, when a server that is missing is gone
	// Reads reports whether this gateway is among the first n of those that are heard and can read the store.
	Reads func(n int) bool
	// Publish is called with rows that other gateways should know.
	Publish func(rows []platform.Row)
	// Gone is called with the IDs of servers that are no longer listed.
	Gone func(ids []string)
	Log  *slog.Logger
}

type rowKey struct{ table, key string }

// Follower keeps a View up to date.
type Follower struct {
	opts Options

	mu   sync.Mutex
	rows map[rowKey]platform.Row // newest of each key, removed ones included

	lastAnswer atomic.Int64 // time of the store's last answer on the boot clock, nanoseconds
	away       atomic.Bool
}

// New returns a follower. Run starts it.
func New(opts Options) *Follower {
	f := &Follower{opts: opts, rows: make(map[rowKey]platform.Row)}
	f.lastAnswer.Store(int64(opts.Clock()))
	return f
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, f.opts.Log)
	group.Go("configuration feed", func(ctx context.Context) error {
		return f.follow(ctx, platform.TableOperator, 0)
	})
	group.Go("server feed", func(ctx context.Context) error {
		return f.follow(ctx, platform.TableServers, serversPause)
	})
	group.Go("expiry", f.expire)
	return group.Wait()
}

// Away reports whether the store has not answered for a while.
func (f *Follower) Away() bool { return f.away.Load() }

// Rows returns every row that is known, for a peer that joins.
func (f *Follower) Rows() []platform.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.rows))
}

// follow lists a table and then reads its changes while this gateway is a reader.
func (f *Follower) follow(ctx context.Context, table string, pause time.Duration) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstBackoff, lastBackoff
	version := int64(-1)
	for ctx.Err() == nil {
		if version >= 0 && !f.opts.Reads(Readers) {
			if err := duty.Sleep(ctx, idlePause); err != nil {
				return err
			}
			f.lastAnswer.Store(int64(f.opts.Clock())) // silence counts only while it reads
			continue
		}
		next, err := f.step(ctx, table, version)
		if err == nil {
			version = next
			retry.Reset()
			if err := duty.Sleep(ctx, jitter(pause)); err != nil {
				return err
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.opts.Log.Warn("history of the store is gone, list again", "table", table, "version", version)
			version = -1
			continue
		}
		f.failed(table, err)
		if err := duty.Sleep(ctx, retry.NextBackOff()); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}

// step reads a table whole if version is negative, and its changes after version otherwise.
func (f *Follower) step(ctx context.Context, table string, version int64) (int64, error) {
	if version < 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rows, newest, err := f.opts.Store.List(ctx, table)
		if err != nil {
			return version, err
		}
		f.answered(table)
		f.opts.Log.Info("table listed", "table", table, "rows", len(rows), "version", newest)
		f.Apply(append(rows, f.missing(table, rows, newest)...), true)
		return newest, nil
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedGrace)
	defer cancel()
	rows, next, err := f.opts.Store.Feed(ctx, table, version, feedWait)
	if err != nil {
		return version, err
	}
	f.answered(table)
	f.Apply(rows, true)
	return next, nil
}

// missing returns removals for the known rows of a table that a list of it no longer has.
func (f *Follower) missing(table string, listed []platform.Row, newest int64) []platform.Row {
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

// answered notes that the store answers. It comes before the rows are applied, so that removals of an outage are known
// as such.
func (f *Follower) answered(table string) {
	now := f.opts.Clock()
	silence := now - time.Duration(f.lastAnswer.Swap(int64(now)))
	if f.away.CompareAndSwap(true, false) {
		f.opts.View.StoreReturned(now + f.opts.Return)
		f.opts.Log.Info("store regained", "table", table, "silence", silence)
	}
}

func (f *Follower) failed(table string, err error) {
	silence := f.opts.Clock() - time.Duration(f.lastAnswer.Load())
	if silence > outageAfter && f.away.CompareAndSwap(false, true) {
		f.opts.Log.Warn("store lost", "table", table, "silence", silence, "error", err)
		return
	}
	f.opts.Log.Debug("store call failed", "table", table, "error", err)
}

func (f *Follower) expire(ctx context.Context) error {
	for {
		if err := duty.Sleep(ctx, expiry); err != nil {
			return err
		}
		if gone := f.opts.View.Expire(f.opts.Clock()); gone != nil {
			f.opts.Log.Info("servers did not come back after the outage", "servers", gone)
			f.opts.Gone(gone)
		}
	}
}

// Apply merges rows. fromStore says that this process read them itself; then news are published to the other
// gateways. News of the configuration are published in any case, because a peer may reach neither the store nor the
// sender.
func (f *Follower) Apply(rows []platform.Row, fromStore bool) {
	var news []platform.Row
	var gone []string
	for _, row := range rows {
		if !f.remember(row) {
			continue
		}
		switch row.Table {
		case platform.TableOperator:
			f.applyOperator(row)
			news = append(news, row)
		case platform.TableServers:
			changed, removed := f.applyServer(row)
			if changed && fromStore {
				news = append(news, row)
			}
			if removed {
				gone = append(gone, row.Key)
			}
		}
	}
	if news != nil {
		f.opts.Publish(news)
	}
	if gone != nil {
		f.opts.Gone(gone)
	}
}

// remember keeps a row if it is newer than the known one.
func (f *Follower) remember(row platform.Row) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := rowKey{row.Table, row.Key}
	if known, ok := f.rows[k]; ok && known.Version >= row.Version {
		return false
	}
	f.rows[k] = row
	return true
}

func (f *Follower) applyOperator(row platform.Row) {
	if dataCentre, ok := platform.OutOfService(row.Key); ok {
		if f.opts.View.SetOut(dataCentre, !row.Deleted, row.Version) {
			f.opts.Log.Info("data centre changed", "data_centre", dataCentre, "out", !row.Deleted, "version", row.Version)
		}
		return
	}
	if !platform.IsConfiguration(row.Key) || row.Deleted {
		return
	}
	c, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		f.opts.Log.Error("configuration not decoded, the previous one stays", "version", row.Version, "error", err)
		return
	}
	if f.opts.View.SetConfiguration(c, row.Version) {
		f.opts.Log.Info("configuration in force", "config_version", c.Version, "version", row.Version,
			"routes", len(c.Routes), "services", len(c.Services), "organisations", len(c.Organisations))
	}
}

// applyServer reports whether the entry changed in more than its version, and whether the server is gone.
func (f *Follower) applyServer(row platform.Row) (changed, gone bool) {
	before := f.opts.View.Snapshot().Replicas[row.Key]
	if row.Deleted {
		removed := f.opts.View.RemoveReplica(row.Key, row.Version, f.opts.Clock())
		f.opts.Log.Info("server left the list", "server", row.Key, "version", row.Version, "kept", !removed && before != nil)
		return true, removed
	}
	r, err := platform.DecodeReplica(row.Key, row.Value, row.Version)
	if err != nil {
		f.opts.Log.Warn("server entry not decoded", "server", row.Key, "version", row.Version, "error", err)
		return true, false
	}
	if !f.opts.View.SetReplica(r) {
		return false, false
	}
	if before == nil || before.Draining != r.Draining || before.Address != r.Address || before.Born != r.Born {
		f.opts.Log.Info("server changed", "server", r.ID, "service", r.Service, "address", r.Address,
			"data_centre", r.DataCentre, "draining", r.Draining, "cold", r.Cold, "version", row.Version)
		return true, false
	}
	return r.Cold > 0 || before.Cold > 0 || !slices.EqualFunc(before.Models, r.Models, sameModel), false
}

func sameModel(a, b fleet.HeldModel) bool {
	return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters)
}
