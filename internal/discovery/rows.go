package discovery

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/freshness"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

// deferredRow is a row of a new era that is applied when its writer had time to write again what the store lost, unless a newer one is
// known by then.
type deferredRow struct {
	row       platform.Row
	fromStore bool
	until     time.Duration
}

// ObserveEra records the store's era, as read from the store or received from a peer. A new era means that the store was restored from a
// copy: it has lost the writes since that copy, and the operator and the servers will repeat theirs.
func (f *Follower) ObserveEra(era int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.era {
		return
	}
	now := f.opts.Clock()
	if f.era != 0 {
		f.opts.Log.Warn("store was restored from an earlier copy; keeping newer rows and waiting for lost ones to be written again",
			"era", era, "previous", f.era)
		f.opts.View.StoreRecovered(now + f.opts.RemovalGrace)
	}
	f.era, f.eraSince = era, now
}

// Era returns the latest known era of the store, or zero.
func (f *Follower) Era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// applyList applies the rows of a list of a whole table, and removes the known rows that are missing in it. Missing rows of an earlier
// era are removed later, if they are not written again.
func (f *Follower) applyList(table string, page platform.Page) {
	present := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		present[r.Key] = true
	}
	f.mu.Lock()
	f.listedEra[table] = max(f.listedEra[table], rowversion.Era(page.Version))
	maps.DeleteFunc(f.deferred, func(k rowKey, d deferredRow) bool {
		return k.table == table && !present[k.key] && d.row.Version < page.Version
	})
	removed, lost := f.removalsFor(table, present, page.Version)
	for _, r := range lost {
		if !f.deferRow(r, true) {
			removed = append(removed, r)
		}
	}
	f.mu.Unlock()
	f.Apply(append(page.Rows, removed...), true)
}

// removalsFor returns removals for the known rows of a table whose keys are not present in a newer list of it. lost are those of rows that
// may be missing only because the store was restored from a copy. The caller holds f.mu.
func (f *Follower) removalsFor(table string, present map[string]bool, newest int64) (removed, lost []platform.Row) {
	for k, r := range f.rows {
		if k.table != table || present[k.key] || r.Deleted || r.Version >= newest {
			continue
		}
		removal := platform.Row{Table: table, Key: k.key, Version: newest, Deleted: true}
		if rowversion.Era(r.Version) < rowversion.Era(newest) {
			lost = append(lost, removal)
		} else {
			removed = append(removed, removal)
		}
	}
	return removed, lost
}

// applyDeferred applies the deferred rows that are due.
func (f *Follower) applyDeferred() {
	now := f.opts.Clock()
	var own, received []platform.Row
	f.mu.Lock()
	for k, d := range f.deferred {
		switch {
		case now < d.until:
			continue
		case d.fromStore:
			own = append(own, d.row)
		default:
			received = append(received, d.row)
		}
		delete(f.deferred, k)
	}
	f.mu.Unlock()
	if len(own)+len(received) == 0 {
		return
	}
	f.opts.Log.Info("applying rows that were not written again since the store was restored from a copy", "era", f.Era(),
		"rows", len(own)+len(received))
	f.Apply(own, true)
	f.Apply(received, false)
}

// deferRow keeps a row of the present era until its writer had time to write it again, and reports whether it did. It does not if that
// time is over, or if the row is the second one of this era: then it was written after the restore. The caller holds f.mu.
func (f *Follower) deferRow(row platform.Row, fromStore bool) bool {
	until := f.eraSince + f.opts.RewriteGrace
	if row.Deleted && row.Table == platform.TableServers {
		until = f.eraSince + f.opts.RemovalGrace
	}
	k := rowKey{row.Table, row.Key}
	d, ok := f.deferred[k]
	ok = ok && rowversion.Era(d.row.Version) == rowversion.Era(row.Version)
	switch {
	case f.opts.Clock() >= until:
		return false
	case ok && d.row.Version >= row.Version:
		return true
	case ok && !row.Deleted:
		delete(f.deferred, k)
		return false
	}
	f.deferred[k] = deferredRow{row, fromStore, until}
	return true
}

// Apply merges rows into the view and ignores rows that are not newer than the known ones. Rows whose order is undecided are
// deferred. fromStore says that this process read the rows from the store itself: then changes are published to the
// other gateways. Changes of the operator's table are always published, because a peer may reach neither the store nor the sender. In
// a fleet where no reader reaches all others, changes of servers are published too.
func (f *Follower) Apply(rows []platform.Row, fromStore bool) {
	var updates []platform.Row
	var removedIDs []string
	for _, row := range rows {
		f.ObserveEra(rowversion.Era(row.Version))
		if !f.recordRow(row, fromStore) {
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

// recordRow stores a row if it is newer than the known one, and reports whether it did. A peer's row of an earlier era that this
// gateway does not have was removed if the table has been listed since, or it will be written again.
func (f *Follower) recordRow(row platform.Row, fromStore bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := rowKey{row.Table, row.Key}
	held, ok := f.rows[k]
	if !ok {
		if !fromStore && rowversion.Era(row.Version) < f.listedEra[row.Table] {
			return false
		}
		f.rows[k] = row
		return true
	}
	switch compareRows(held, row) {
	case rowversion.NotNewer:
		return false
	case rowversion.Undecided:
		if f.deferRow(row, fromStore) {
			return false
		}
	}
	if row.Deleted && row.Table == platform.TableServers && len(row.Value) == 0 {
		row.Value = held.Value // the last known state, which the store's copy may still have
	}
	f.rows[k] = row
	return true
}

// compareRows reports whether next is newer than held. The values are decoded only if the rows are of different eras.
func compareRows(held, next platform.Row) rowversion.Order {
	entry := func(r platform.Row) rowversion.Entry { return rowversion.Entry{Version: r.Version, Deleted: r.Deleted} }
	a, b := entry(held), entry(next)
	if rowversion.Era(a.Version) != rowversion.Era(b.Version) {
		a.Content, b.Content = platform.RowContent(held), platform.RowContent(next)
	}
	return rowversion.Compare(a, b)
}

// recordApplied records that an operator's row is in force in the view. A removed row is not part of the hash, because a
// gateway that listed the table later does not know of it.
func (f *Follower) recordApplied(row platform.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows[rowKey{row.Table, row.Key}].Version != row.Version {
		return // a newer row has been recorded and is being applied
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
