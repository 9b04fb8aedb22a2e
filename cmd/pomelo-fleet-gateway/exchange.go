package main

import (
	"errors"
	"math"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/discovery"
	"github.com/pomelowheel/pomelowheel/internal/fleetguard"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/freshness"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

// The methods below implement peers.Source and peers.Sink, the gateway's side of the exchange with its peers.

// Rows implements peers.Source.
func (g *gateway) Rows() []*wirepb.StoreRow { return toWire(g.follower.Rows()) }

// Row implements peers.Source.
func (g *gateway) Row(table, key string) *wirepb.StoreRow {
	if r, ok := g.follower.Row(table, key); ok {
		return toWire([]platform.Row{r})[0]
	}
	return nil
}

// HasRow implements peers.Source.
func (g *gateway) HasRow(table, key string, version int64) bool {
	r, ok := g.follower.Row(table, key)
	return ok && rowversion.Era(r.Version) == rowversion.Era(version) && r.Version >= version
}

// ReceiveRow implements peers.Sink.
func (g *gateway) ReceiveRow(row *wirepb.StoreRow) {
	g.follower.Apply(g.fromWire([]*wirepb.StoreRow{row}), false)
}

// RowsHash implements peers.Source.
func (g *gateway) RowsHash() uint64 { return g.view.Snapshot().Hash }

// Loads implements peers.Source.
func (g *gateway) Loads() []*wirepb.ReplicaLoad {
	loads := g.table.Loads(bootclock.Now())
	list := make([]*wirepb.ReplicaLoad, 0, len(loads))
	for id, l := range loads {
		list = append(list, &wirepb.ReplicaLoad{
			Replica: id, InFlight: int32(l.InFlight), PrefillTokens: int64(l.Prefill), MemoryTokens: int64(l.Memory),
			Stalled: l.Stalled, PacePermille: uint32(math.Round(1000 * l.Pace)),
		})
	}
	return list
}

// Use implements peers.Source.
func (g *gateway) Use() []*wirepb.OrganisationUse { return g.limits.Use() }

// Demand implements peers.Source.
func (g *gateway) Demand() []*wirepb.ModelDemand { return g.demand.ToWire() }

// StoreUnavailable implements peers.Source.
func (g *gateway) StoreUnavailable() bool { return g.follower.StoreUnavailable() }

// Freshness implements peers.Source.
func (g *gateway) Freshness() (*wirepb.Freshness, bool) {
	report, ok := g.freshness.Report(bootclock.Now())
	if !ok {
		return nil, false
	}
	return &wirepb.Freshness{
		SentAtMs: report.SentAt.Milliseconds(), Era: report.Era, Hash: report.Latest.Hash, AtMs: report.Latest.At.Milliseconds(),
		Version: rowversion.Number(report.Latest.Version), VersionEra: rowversion.Era(report.Latest.Version),
	}, g.mesh.IsStoreReader(discovery.ReaderCount)
}

// PlannerEpoch implements peers.Source.
func (g *gateway) PlannerEpoch() int64 { return g.lease.Epoch() }

// Update implements peers.Sink.
func (g *gateway) Update(peer string, u *wirepb.PeerUpdate, use, demand map[string]float64) {
	if rows := g.fromWire(u.GetRows()); len(rows) > 0 {
		g.follower.Apply(rows, false)
	}
	if f := u.GetFreshness(); f != nil {
		g.receiveFreshness(peer, f)
	}
	if report := u.GetGuard(); report != nil {
		g.server.Prompts().Receive(func(now time.Duration) fleetguard.Report { return guardFromWire(report, now) })
	}
	loads := make(map[string]fleetroute.Load, len(u.GetLoads()))
	for _, l := range u.GetLoads() {
		loads[l.GetReplica()] = fleetroute.Load{
			InFlight: int(l.GetInFlight()), Prefill: float64(l.GetPrefillTokens()), Memory: float64(l.GetMemoryTokens()),
			Stalled: l.GetStalled(), Pace: float64(l.GetPacePermille()) / 1000,
		}
	}
	g.table.UpdatePeer(peer, bootclock.Now(), loads, u.GetIdentity() != nil)
	g.server.LoadsReceived()
	if u.GetStoreAway() && !g.mesh.IsStoreReader(discovery.ReaderCount) {
		// This gateway learns of removals from its peers only, and some entries may have expired only because of the
		// outage.
		g.view.StoreRecovered(bootclock.Now() + g.settings.Bounds.ServerListRecovery)
	}
	g.limits.UsedElsewhere(use)
	if u.GetIdentity() != nil {
		g.limits.Adopt(u.GetUse())
	}
	g.planner.AddPeerDemand(demand)
	if epoch := u.GetPlannerEpoch(); epoch != 0 {
		g.lease.ObserveEpoch(epoch)
	}
}

func (g *gateway) receiveFreshness(peer string, f *wirepb.Freshness) {
	version, err := rowversion.Join(f.GetVersionEra(), f.GetVersion())
	if _, eraErr := rowversion.Join(f.GetEra(), 0); err != nil || eraErr != nil {
		g.log.Warn("report of the age of rows ignored", "peer", peer, "error", errors.Join(err, eraErr))
		return
	}
	g.follower.ObserveEra(f.GetEra())
	g.freshness.Receive(bootclock.Now(), peer, freshness.Report{
		Era: f.GetEra(), SentAt: time.Duration(f.GetSentAtMs()) * time.Millisecond,
		Latest: freshness.Confirmation{Version: version, Hash: f.GetHash(), At: time.Duration(f.GetAtMs()) * time.Millisecond},
	})
}

// PeerLost implements peers.Sink.
func (g *gateway) PeerLost(peer string) {
	g.table.DropPeer(peer)
	g.freshness.Forget(peer)
	if g.duties.scaling != nil {
		g.duties.scaling.observer.Drop(peer)
	}
}

// checkConfiguration returns an error if the configuration must not be used any longer.
func (g *gateway) checkConfiguration() error {
	now := bootclock.Now()
	err := g.freshness.Check(now, g.others())
	if g.stale.Swap(err != nil) != (err != nil) {
		age, _ := g.freshness.Age(now)
		if err != nil {
			g.log.Warn("configuration too old to be used; refusing requests", "age", age, "error", err)
		} else {
			g.log.Info("configuration may be used again", "age", age)
		}
	}
	return err
}

// others says what this gateway knows of the other ones.
func (g *gateway) others() freshness.Others {
	switch heard, _ := g.mesh.Count(); {
	case heard > 1 && g.mesh.HearsOnlyEarlierReleases():
		return freshness.EarlierPeersHeard
	case heard > 1:
		return freshness.PeerHeard
	case g.mesh.Alone():
		return freshness.NoOther
	}
	return freshness.Silence
}

// readsStore reports whether this gateway is one of the n that read the store. Beside gateways whose rows have no era each gateway
// reads the store itself, because such rows cannot be ordered after a restore of the store from a copy.
func (g *gateway) readsStore(n int) bool {
	return g.mesh.IsStoreReader(n) || g.mesh.HearsPeerWithoutEras()
}

func (g *gateway) publish(rows []platform.Row) { g.mesh.Publish(toWire(rows)) }

func toWire(rows []platform.Row) []*wirepb.StoreRow {
	list := make([]*wirepb.StoreRow, 0, len(rows))
	for _, r := range rows {
		list = append(list, &wirepb.StoreRow{
			Table: r.Table, Key: r.Key, Value: r.Value, Version: rowversion.Number(r.Version), Era: rowversion.Era(r.Version),
			Deleted: r.Deleted,
		})
	}
	return list
}

// fromWire returns a peer's rows without those whose version is out of range.
func (g *gateway) fromWire(rows []*wirepb.StoreRow) []platform.Row {
	list := make([]platform.Row, 0, len(rows))
	for _, r := range rows {
		version, err := rowversion.Join(r.GetEra(), r.GetVersion())
		if err != nil {
			g.log.Warn("row from a peer ignored", "table", r.GetTable(), "key", r.GetKey(), "error", err)
			continue
		}
		list = append(list, platform.Row{
			Table: r.GetTable(), Key: r.GetKey(), Value: r.GetValue(), Version: version, Deleted: r.GetDeleted(),
		})
	}
	return list
}
