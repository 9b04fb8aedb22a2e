package configsync

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// neverConfirmed is the confirmation age sent for a copy that was never confirmed.
	neverConfirmed = -1
	// maxClaimedAgeMS is the largest confirmation age accepted from a peer: a year, in milliseconds.
	maxClaimedAgeMS = 365 * 24 * 3600 * 1000
)

// ServeConfig returns the entities changed after the version in r, the age of the copy's confirmation in
// milliseconds (-1 if it was never confirmed), and whether the table service is unavailable to this process.
func (c *Copy) ServeConfig(r *wirepb.ConfigRequest) *wirepb.ConfigDelta {
	// The age is read before the snapshot, so that the snapshot is at least as new as the one that was confirmed.
	c.mu.Lock()
	age, ok := c.age()
	unavailable := c.storeUnavailable
	c.mu.Unlock()
	snapshot := c.Snapshot()
	delta := &wirepb.ConfigDelta{
		Version:        snapshot.Version(),
		ConfirmedAgeMs: neverConfirmed,
		StoreAway:      unavailable,
		Entities:       toWire(snapshot.Since(r.GetSince())),
	}
	if ok {
		// Rounded up, so that the sum over several hops is never less than the true age.
		delta.ConfirmedAgeMs = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	return delta
}

// toWire converts entities to protobuf messages.
func toWire(entities []config.Entity) []*wirepb.ConfigEntity {
	out := make([]*wirepb.ConfigEntity, 0, len(entities))
	for _, e := range entities {
		out = append(out, &wirepb.ConfigEntity{
			Kind: string(e.Kind), Name: e.Name, Version: e.Version, Value: e.Value, Deleted: e.Deleted,
		})
	}
	return out
}

// fromWire converts the entities of a delta at version. It returns an error if an entity's version is not
// positive or is above that of the delta.
func fromWire(entities []*wirepb.ConfigEntity, version int64) ([]config.Entity, error) {
	out := make([]config.Entity, 0, len(entities))
	for _, e := range entities {
		if e.GetVersion() <= 0 || e.GetVersion() > version {
			return nil, fmt.Errorf("entity %s %q has version %d in a delta of version %d",
				e.GetKind(), e.GetName(), e.GetVersion(), version)
		}
		out = append(out, config.Entity{
			Kind: config.Kind(e.GetKind()), Name: e.GetName(), Version: e.GetVersion(),
			Value: json.RawMessage(e.GetValue()), Deleted: e.GetDeleted(),
		})
	}
	return out, nil
}
