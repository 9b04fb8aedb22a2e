package configsync

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	neverConfirmed = -1
	// maxAgeMS bounds an age that a peer may claim: a year, in milliseconds.
	maxAgeMS = 365 * 24 * 3600 * 1000
)

// ServeConfig answers a peer with the changes after the version that it holds.
func (c *Copy) ServeConfig(r *wirepb.ConfigRequest) *wirepb.ConfigDelta {
	// The age is read first: the snapshot is then at least as new as the one that was confirmed.
	c.mu.Lock()
	age, ok := c.age()
	away := c.storeAway
	c.mu.Unlock()
	snapshot := c.Snapshot()
	delta := &wirepb.ConfigDelta{
		Version:        snapshot.Version(),
		ConfirmedAgeMs: neverConfirmed,
		StoreAway:      away,
		Entities:       toWire(snapshot.Since(r.GetSince())),
	}
	if ok {
		// Rounded up, so that the sum over several hops is never too small.
		delta.ConfirmedAgeMs = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	return delta
}

func toWire(entities []config.Entity) []*wirepb.ConfigEntity {
	out := make([]*wirepb.ConfigEntity, 0, len(entities))
	for _, e := range entities {
		out = append(out, &wirepb.ConfigEntity{
			Kind: string(e.Kind), Name: e.Name, Version: e.Version, Value: e.Value, Deleted: e.Deleted,
		})
	}
	return out
}

// fromWire refuses an entity that claims a version above that of its delta.
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
