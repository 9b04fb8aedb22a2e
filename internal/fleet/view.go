package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelowheel/pomelowheel/internal/rowversion"
)

// Snapshot is the state of the fleet that a gateway knows at one moment. It is immutable.
type Snapshot struct {
	Config       *Configuration        // nil until one is known
	Services     map[string][]*Replica // listed servers by service, sorted by ID
	Replicas     map[string]*Replica   // by ID
	OutOfService map[string]bool       // data centres out of service
	Hash         uint64                // of everything but heartbeats, models and store versions; zero without a configuration
}

// Usable reports whether new requests may be sent to the server.
func (s *Snapshot) Usable(r *Replica) bool { return !r.Draining && !s.OutOfService[r.DataCentre] }

// View merges updates from the store and from peers into a Snapshot. An update of an entry is applied only if it is newer than the
// known one, see rowversion, so late, duplicate and reordered updates have no effect. One whose order is undecided is applied: the
// caller decides when. A View is safe for concurrent use. Times are durations on a monotonic clock.
type View struct {
	mu              sync.Mutex
	known           map[string]rowversion.Entry // by entry, including removed entries
	config          *Configuration
	replicas        map[string]*Replica
	out             map[string]bool
	pendingRemovals map[string]time.Duration // when a server that is missing after an outage is removed, by ID
	graceEndsAt     time.Duration            // until then, missing servers may still be listed again
	current         atomic.Pointer[Snapshot]
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{
		known: make(map[string]rowversion.Entry), replicas: make(map[string]*Replica),
		out: make(map[string]bool), pendingRemovals: make(map[string]time.Duration),
	}
	v.publish()
	return v
}

// Snapshot returns the current state. It is never nil.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

func (v *View) publish() {
	s := &Snapshot{
		Config: v.config, Services: make(map[string][]*Replica), Replicas: maps.Clone(v.replicas),
		OutOfService: maps.Clone(v.out),
	}
	newest := make(map[string]*Replica, len(v.replicas)) // by address
	for _, r := range v.replicas {
		if n := newest[r.Address]; n == nil || r.Born > n.Born {
			newest[r.Address] = r
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.replicas)) {
		r := v.replicas[id]
		if newest[r.Address].Born > r.Born {
			delete(s.Replicas, id) // a server that started later has its address
			continue
		}
		s.Services[r.Service] = append(s.Services[r.Service], r)
	}
	s.Hash = hashSnapshot(s)
	v.current.Store(s)
}

// hashSnapshot returns a hash of a snapshot, with which gateways compare their state.
func hashSnapshot(s *Snapshot) uint64 {
	if s.Config == nil {
		return 0
	}
	h := xxhash.New()
	_, _ = fmt.Fprint(h, s.Config.Version, slices.Sorted(maps.Keys(s.OutOfService))) // writes to a hash do not fail
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		r := s.Replicas[id]
		_, _ = fmt.Fprint(h, "/", id, r.Address, r.Draining, r.Born)
	}
	return h.Sum64()
}

// advance records the state of an entry if it is not older than the known one, and reports whether it did.
func (v *View) advance(entry string, next rowversion.Entry) bool {
	held := v.known[entry]
	if rowversion.Compare(held, next) == rowversion.NotNewer {
		return false
	}
	if next.Deleted {
		next.Content = held.Content
	}
	v.known[entry] = next
	return true
}

// Organisation returns an organisation of the current configuration, or nil if it is unknown.
func (v *View) Organisation(name string) *Organisation {
	if c := v.Snapshot().Config; c != nil {
		return c.Organisations[name]
	}
	return nil
}

// SetConfiguration applies a configuration if both its row and its own version are newer than the known ones, and reports whether it
// did.
func (v *View) SetConfiguration(c *Configuration, storeVersion int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.advance("configuration", rowversion.Entry{Version: storeVersion, Content: c.Content()}) || (v.config != nil && c.Version <= v.config.Version) {
		return false
	}
	v.config = c
	v.publish()
	return true
}

// SetOutOfService records that a data centre is in or out of service, and reports whether that changed its state.
func (v *View) SetOutOfService(dataCentre string, out bool, storeVersion int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.advance("out/"+dataCentre, rowversion.Entry{Version: storeVersion, Deleted: !out}) || v.out[dataCentre] == out {
		return false
	}
	if out {
		v.out[dataCentre] = true
	} else {
		delete(v.out, dataCentre)
	}
	v.publish()
	return true
}

// SetReplica records an entry of the server list if it is newer than the known one, and reports whether it did.
func (v *View) SetReplica(r *Replica) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.advance("server/"+r.ID, rowversion.Entry{Version: r.ListVersion, Content: r.Content()}) {
		return false
	}
	delete(v.pendingRemovals, r.ID)
	v.replicas[r.ID] = r
	v.publish()
	return true
}

// RemoveReplica records that a server is no longer listed, and reports whether it was removed now. Shortly after an
// outage of the store the server is kept until the time given to StoreRecovered, because the entries of running servers
// are written again.
func (v *View) RemoveReplica(id string, storeVersion int64, now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.advance("server/"+id, rowversion.Entry{Version: storeVersion, Deleted: true}) || v.replicas[id] == nil {
		return false
	}
	if now < v.graceEndsAt {
		v.pendingRemovals[id] = v.graceEndsAt
		return false
	}
	delete(v.replicas, id)
	v.publish()
	return true
}

// StoreRecovered records that the store answers again after an outage. Missing servers are kept until the given time.
func (v *View) StoreRecovered(until time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.graceEndsAt = max(v.graceEndsAt, until)
}

// Expire removes the servers that RemoveReplica kept after an outage and that were not listed again in time. It returns
// their IDs, or nil if there are none.
func (v *View) Expire(now time.Duration) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var gone []string
	for id, at := range v.pendingRemovals {
		if now >= at {
			delete(v.pendingRemovals, id)
			delete(v.replicas, id)
			gone = append(gone, id)
		}
	}
	if gone != nil {
		v.publish()
	}
	return gone
}
