// Package route chooses the replica that serves a request: a sidecar with its backend server. A Table holds the last
// status of each replica, and its method Choose orders candidates by a policy.
//
// The package does no I/O and reads no clock: the time, the random source and the statuses are passed in. Callers must
// serialise access to a table.
package route

import (
	"slices"
	"time"
)

// Replica is the last known status of one sidecar and its backend server.
type Replica struct {
	Address       string // of the sidecar, IP:port
	DataCentre    string
	Service       string
	Plain         bool     // the service is plain, not a model service
	Resident      []string // models that may be served now
	Adapters      []string // adapters loaded now
	Prefixes      []string // hashes of recently served prompt prefixes
	Running       int64    // requests being served
	Queued        int64    // requests waiting at the sidecar
	Limit         int64    // current concurrency limit; it is lower during the ramp-up
	QueueMS       int64    // estimated queue wait in milliseconds
	Draining      bool     // gets no new requests
	DataCentreOut bool     // its data centre is out of service according to the sidecar
	Ready         bool
	StatusAt      time.Time // when the status was requested; the zero time after Expire
}

// entry is a replica with the counts that this process keeps for it.
type entry struct {
	Replica
	inFlight        int64 // requests of this process that have not ended
	sentSinceStatus int64 // requests of this process since the last status, which does not include them
}

// listKey identifies a list of replicas: those of a plain service, or those where a model is resident or an adapter is
// loaded.
type listKey struct {
	plain bool
	name  string
}

type list struct {
	entries []*entry // sorted by address
	cursor  int      // next position for PolicyRoundRobin
}

// Table indexes replicas by model and by plain service. It is not safe for concurrent use.
type Table struct {
	byAddress map[string]*entry
	lists     map[listKey]*list
	scratch   []candidate // candidates of the current Choose; reused to save allocations
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byAddress: make(map[string]*entry), lists: make(map[listKey]*list)}
}

// Set stores the status of a replica, keyed by its address. A status older than the stored one is ignored. The table keeps
// the slices of r; they must not be changed afterwards.
func (t *Table) Set(r Replica) {
	e, ok := t.byAddress[r.Address]
	if !ok {
		e = &entry{Replica: r}
		t.byAddress[r.Address] = e
		t.index(e)
		return
	}
	if r.StatusAt.Before(e.StatusAt) {
		return
	}
	same := e.Plain == r.Plain && e.Service == r.Service &&
		slices.Equal(e.Resident, r.Resident) && slices.Equal(e.Adapters, r.Adapters)
	if !same {
		t.unindex(e)
	}
	e.Replica = r
	e.sentSinceStatus = 0
	if !same {
		t.index(e)
	}
}

// Remove deletes a replica from the table.
func (t *Table) Remove(address string) {
	if e, ok := t.byAddress[address]; ok {
		t.unindex(e)
		delete(t.byAddress, address)
	}
}

// Expire marks the status of a replica as too old, so that it is not eligible until Set stores a new one.
func (t *Table) Expire(address string) {
	if e, ok := t.byAddress[address]; ok {
		e.StatusAt = time.Time{}
	}
}

// Start counts a request sent to the replica; Done counts its end. Unknown addresses are ignored.
func (t *Table) Start(address string) {
	if e, ok := t.byAddress[address]; ok {
		e.inFlight++
		e.sentSinceStatus++
	}
}

// Done counts the end of a request that Start counted. Unknown addresses are ignored.
func (t *Table) Done(address string) {
	if e, ok := t.byAddress[address]; ok && e.inFlight > 0 {
		e.inFlight--
	}
}

// Get returns the last status of a replica, and false if the address is unknown.
func (t *Table) Get(address string) (Replica, bool) {
	e, ok := t.byAddress[address]
	if !ok {
		return Replica{}, false
	}
	return e.Replica, true
}

// All returns the last status of every replica in no particular order.
func (t *Table) All() []Replica {
	all := make([]Replica, 0, len(t.byAddress))
	for _, e := range t.byAddress {
		all = append(all, e.Replica)
	}
	return all
}

// Len returns the number of replicas.
func (t *Table) Len() int { return len(t.byAddress) }

// keys returns the keys of the lists that contain e.
func (e *entry) keys() []listKey {
	if e.Plain {
		return []listKey{{plain: true, name: e.Service}}
	}
	keys := make([]listKey, 0, len(e.Resident)+len(e.Adapters))
	for _, names := range [][]string{e.Resident, e.Adapters} {
		for _, m := range names {
			keys = append(keys, listKey{name: m})
		}
	}
	return keys
}

// byAddress compares the address of e with address, for sorting and searching.
func byAddress(e *entry, address string) int {
	switch {
	case e.Address < address:
		return -1
	case e.Address > address:
		return 1
	}
	return 0
}

// index adds e to its lists.
func (t *Table) index(e *entry) {
	for _, k := range e.keys() {
		l, ok := t.lists[k]
		if !ok {
			l = new(list)
			t.lists[k] = l
		}
		i, found := slices.BinarySearchFunc(l.entries, e.Address, byAddress)
		if !found {
			l.entries = slices.Insert(l.entries, i, e)
		}
	}
}

// unindex removes e from its lists and deletes lists that are then empty.
func (t *Table) unindex(e *entry) {
	for _, k := range e.keys() {
		l, ok := t.lists[k]
		if !ok {
			continue
		}
		if i, found := slices.BinarySearchFunc(l.entries, e.Address, byAddress); found {
			l.entries = slices.Delete(l.entries, i, i+1)
		}
		if len(l.entries) == 0 {
			delete(t.lists, k)
		}
	}
}
