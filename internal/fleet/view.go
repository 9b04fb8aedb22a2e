package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is what a gateway knows at one moment. It is not changed after it was published.
type Snapshot struct {
	Config   *Configuration        // nil until one is known
	Services map[string][]*Replica // listed servers by service, in order of their IDs
	Replicas map[string]*Replica   // by ID
	Out      map[string]bool       // data centres out of service
	Hash     uint64                // of all of it but heartbeats, models and store versions; zero if nothing is known
}

// Usable reports whether new requests may go to the server.
func (s *Snapshot) Usable(r *Replica) bool { return !r.Draining && !s.Out[r.DataCentre] }

// View merges news from the store and from peers. News about an entry counts only if its store version is newer,
// so copies that arrive late or out of order change nothing.
type View struct {
	mu       sync.Mutex
	versions map[string]int64 // store version by entry, removed ones included
	config   *Configuration
	replicas map[string]*Replica
	out      map[string]bool
	removals map[string]time.Duration // servers missing after an outage, with the time at which they count as gone
	backAt   time.Duration            // until then, missing servers may still come back
	current  atomic.Pointer[Snapshot]
}

// NewView returns a view that knows nothing.
func NewView() *View {
	v := &View{
		versions: make(map[string]int64), replicas: make(map[string]*Replica),
		out: make(map[string]bool), removals: make(map[string]time.Duration),
	}
	v.publish()
	return v
}

// Snapshot returns the present state.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

func (v *View) publish() {
	s := &Snapshot{
		Config: v.config, Services: make(map[string][]*Replica), Replicas: maps.Clone(v.replicas), Out: maps.Clone(v.out),
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
			delete(s.Replicas, id) // the server at its address started after it
			continue
		}
		s.Services[r.Service] = append(s.Services[r.Service], r)
	}
	s.Hash = hash(s)
	v.current.Store(s)
}

// hash sums up what a snapshot says, so that gateways can compare what they know.
func hash(s *Snapshot) uint64 {
	if s.Config == nil {
		return 0
	}
	h := xxhash.New()
	_, _ = fmt.Fprint(h, s.Config.Version, slices.Sorted(maps.Keys(s.Out))) // a hash takes everything
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		r := s.Replicas[id]
		_, _ = fmt.Fprint(h, "/", id, r.Address, r.Draining, r.Born)
	}
	return h.Sum64()
}

// newer records the store version of an entry and reports whether it is newer than what is known.
func (v *View) newer(entry string, version int64) bool {
	if version <= v.versions[entry] {
		return false
	}
	v.versions[entry] = version
	return true
}

// Organisation returns an organisation of the newest configuration, or nil.
func (v *View) Organisation(name string) *Organisation {
	if c := v.Snapshot().Config; c != nil {
		return c.Organisations[name]
	}
	return nil
}

// SetConfiguration takes a configuration over if it is newer. A configuration never goes back.
func (v *View) SetConfiguration(c *Configuration, storeVersion int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.newer("configuration", storeVersion) || (v.config != nil && c.Version <= v.config.Version) {
		return false
	}
	v.config = c
	v.publish()
	return true
}

// SetOut records that a data centre is in or out of service.
func (v *View) SetOut(dataCentre string, out bool, storeVersion int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.newer("out/"+dataCentre, storeVersion) || v.out[dataCentre] == out {
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

// SetReplica records an entry of the server list.
func (v *View) SetReplica(r *Replica) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.newer("server/"+r.ID, r.ListVersion) {
		return false
	}
	delete(v.removals, r.ID)
	v.replicas[r.ID] = r
	v.publish()
	return true
}

// RemoveReplica records that a server is no longer listed. Shortly after an outage of the store the server is kept
// until the time given to StoreReturned, because entries of living servers come back.
func (v *View) RemoveReplica(id string, storeVersion int64, now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.newer("server/"+id, storeVersion) || v.replicas[id] == nil {
		return false
	}
	if now < v.backAt {
		v.removals[id] = v.backAt
		return false
	}
	delete(v.replicas, id)
	v.publish()
	return true
}

// StoreReturned says that the store answers again after an outage. Servers that are missing count as gone only
// after until.
func (v *View) StoreReturned(until time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.backAt = max(v.backAt, until)
}

// Expire removes the servers that did not come back in time, and returns their IDs.
func (v *View) Expire(now time.Duration) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var gone []string
	for id, at := range v.removals {
		if now >= at {
			delete(v.removals, id)
			delete(v.replicas, id)
			gone = append(gone, id)
		}
	}
	if gone != nil {
		v.publish()
	}
	return gone
}
