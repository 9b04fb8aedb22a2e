// Package route chooses a backend server for a request. It is pure: the time, the random source and the
// status figures are passed in, and the caller serialises access.
package route

import (
	"slices"
	"time"
)

// Replica is what is known about one sidecar and the backend server beside it.
type Replica struct {
	Address    string // of the sidecar, IP:port
	DataCentre string
	Service    string
	Plain      bool     // runs a plain service
	Resident   []string // models that may be served now
	Adapters   []string // adapters loaded now
	Prefixes   []string // hashes of recently served prompt prefixes
	Running    int64
	Queued     int64
	Limit      int64 // concurrency limit of the ramp
	QueueMS    int64 // estimated wait in milliseconds
	Draining   bool
	Out        bool // its data centre is out, as the sidecar sees it
	Ready      bool
	At         time.Time // when the figures were requested
}

// entry is a replica with the figures that this process keeps about it.
type entry struct {
	Replica
	inFlight int64 // requests of this process that have not ended
	sent     int64 // requests of this process since At, which the figures do not include
}

// listKey names a list of replicas: those of a plain service, or those where a model or an adapter may run.
type listKey struct {
	plain bool
	name  string
}

type list struct {
	entries []*entry // sorted by address
	cursor  int      // next position for round robin
}

// Table indexes replicas by model and by plain service. It is not safe for concurrent use.
type Table struct {
	byAddress map[string]*entry
	lists     map[listKey]*list
	scratch   []scored
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byAddress: make(map[string]*entry), lists: make(map[listKey]*list)}
}

// Set stores the figures of a replica. Figures older than the stored ones are ignored.
func (t *Table) Set(r Replica) {
	e, ok := t.byAddress[r.Address]
	if !ok {
		e = &entry{Replica: r}
		t.byAddress[r.Address] = e
		t.index(e)
		return
	}
	if r.At.Before(e.At) {
		return
	}
	same := e.Plain == r.Plain && e.Service == r.Service &&
		slices.Equal(e.Resident, r.Resident) && slices.Equal(e.Adapters, r.Adapters)
	if !same {
		t.unindex(e)
	}
	e.Replica = r
	e.sent = 0
	if !same {
		t.index(e)
	}
}

// Remove forgets a replica.
func (t *Table) Remove(address string) {
	if e, ok := t.byAddress[address]; ok {
		t.unindex(e)
		delete(t.byAddress, address)
	}
}

// Expire makes the figures of a replica stale, so that it is no candidate until it is heard from again.
func (t *Table) Expire(address string) {
	if e, ok := t.byAddress[address]; ok {
		e.At = time.Time{}
	}
}

// Start counts a request sent to the replica, Done its end.
func (t *Table) Start(address string) {
	if e, ok := t.byAddress[address]; ok {
		e.inFlight++
		e.sent++
	}
}

// Done counts the end of a request that Start counted.
func (t *Table) Done(address string) {
	if e, ok := t.byAddress[address]; ok && e.inFlight > 0 {
		e.inFlight--
	}
}

// Get returns the figures of a replica.
func (t *Table) Get(address string) (Replica, bool) {
	e, ok := t.byAddress[address]
	if !ok {
		return Replica{}, false
	}
	return e.Replica, true
}

// All returns the figures of every replica in no particular order.
func (t *Table) All() []Replica {
	all := make([]Replica, 0, len(t.byAddress))
	for _, e := range t.byAddress {
		all = append(all, e.Replica)
	}
	return all
}

// Len returns the number of replicas.
func (t *Table) Len() int { return len(t.byAddress) }

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

func byAddress(e *entry, address string) int {
	switch {
	case e.Address < address:
		return -1
	case e.Address > address:
		return 1
	}
	return 0
}

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
