// Package freshness decides whether a gateway may still act on the operator's rows that it has. Use a Tracker to record which
// state of these rows the store was last known to have, by the gateway's own reads and by what its peers report.
package freshness

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/rowversion"
)

const (
	// clockMargin covers the error of the estimate of the store's clock, which is late by the time of a message.
	clockMargin = 100 * time.Millisecond
	// readFraction is the fraction of the bound after which a gateway confirms its rows by a read of its own.
	readFraction = 0.8
	// maxDrift is the largest difference in rate between two hosts' clocks, as a fraction.
	maxDrift = 200e-6
)

// State identifies the operator's rows that a gateway has.
type State struct {
	Newest int64  // version of the newest row or removal
	Hash   uint64 // of the keys and versions of all rows
}

// Confirmation says that the rows with the given hash contained all changes up to a version of the store at a time on the
// store's clock. The zero value confirms nothing.
type Confirmation struct {
	Version int64
	Hash    uint64
	At      time.Duration
}

// Report is what a gateway tells its peers. Its times are on the store's clock in an era: the clock may go back when the store comes
// back from a copy.
type Report struct {
	Era    int64
	SentAt time.Duration // by the sender's estimate of the clock
	Latest Confirmation  // latest one known to the sender, which need not be of its own rows
}

// Tracker tracks the age of the operator's rows that a gateway has. Its methods get the time on the gateway's own clock. It is
// safe for concurrent use.
type Tracker struct {
	bound time.Duration

	mu          sync.Mutex
	era         int64         // whose clock all times below are on
	offset      time.Duration // estimate, not too high, of the store's clock minus the gateway's, at offsetAt
	offsetAt    time.Duration
	offsetKnown bool
	own         State
	confirmed   Confirmation // latest one of the gateway's own rows
	latest      Confirmation // latest one of any rows
	peers       map[string]Report
}

// New returns a Tracker for rows that have to be in force at every gateway within bound after a change.
func New(bound time.Duration) *Tracker {
	return &Tracker{bound: bound - clockMargin, peers: make(map[string]Report)}
}

// SetOwn records the rows that the gateway has now.
func (t *Tracker) SetOwn(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = s
	t.confirm(t.era, t.latest)
}

// ConfirmRead records that the gateway has read all changes up to a version of the store. at is the time on the store's clock
// in the store's response.
func (t *Tracker) ConfirmRead(now time.Duration, version int64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	era := rowversion.Era(version)
	t.observeStoreClock(now, era, at)
	t.confirm(era, Confirmation{Version: version, Hash: t.own.Hash, At: at})
}

// Receive records a peer's report.
func (t *Tracker) Receive(now time.Duration, peer string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeStoreClock(now, r.Era, r.SentAt)
	t.confirm(r.Era, r.Latest)
	if r.Era < t.era { // the peer does not know the present era, and the store's clock of its era may be ahead
		r.SentAt = min(r.SentAt, t.storeTime(now))
	}
	if r.SentAt >= t.peers[peer].SentAt {
		t.peers[peer] = r
	}
}

// Forget removes the report of a peer that is lost.
func (t *Tracker) Forget(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, peer)
}

// observeStoreClock raises the estimate of the store's clock to a time that the clock has passed in an era. Times of an earlier era say
// nothing.
func (t *Tracker) observeStoreClock(now time.Duration, era int64, storeTime time.Duration) {
	switch {
	case !t.offsetKnown:
	case era < t.era:
		return
	case era > t.era:
		t.shiftTimes(storeTime - t.storeTime(now))
	case storeTime <= t.storeTime(now):
		return
	}
	t.era, t.offset, t.offsetAt, t.offsetKnown = era, storeTime-now, now, true
}

// shiftTimes moves all times to another clock, so that ages stay as they are.
func (t *Tracker) shiftTimes(by time.Duration) {
	t.confirmed.At += by
	t.latest.At += by
	for peer, r := range t.peers {
		r.SentAt += by
		t.peers[peer] = r
	}
}

// storeTime returns the estimate of the time on the store's clock. It loses maxDrift until the next observation, so that a
// clock of this host that runs fast does not let confirmations seem older and older.
func (t *Tracker) storeTime(now time.Duration) time.Duration {
	return now + t.offset - time.Duration(maxDrift*float64(now-t.offsetAt))
}

// confirm records a confirmation whose time is on the clock of an era.
func (t *Tracker) confirm(era int64, c Confirmation) {
	if era < t.era {
		return
	}
	if c.At > t.latest.At {
		t.latest = c
	}
	if c.Hash == t.own.Hash && c.At > t.confirmed.At {
		t.confirmed = c
	}
}

// Report returns the report to send to peers, and whether there is one: it needs the store's clock.
func (t *Tracker) Report(now time.Duration) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Report{Era: t.era, SentAt: t.storeTime(now), Latest: t.latest}, t.offsetKnown
}

// ConfirmedVersion returns the version of the store up to which the gateway's rows are known to contain all changes, or zero.
func (t *Tracker) ConfirmedVersion() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed.Hash != t.own.Hash {
		return 0
	}
	return t.confirmed.Version
}

// Age returns the time for which the gateway's rows have not been confirmed, and whether it is known.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age(now), t.offsetKnown
}

// age counts from the last confirmation also if newer rows have replaced those that were confirmed.
func (t *Tracker) age(now time.Duration) time.Duration { return t.storeTime(now) - t.confirmed.At }

// NeedsRead reports whether the gateway should confirm its rows by a read of its own, because no peer has done so.
func (t *Tracker) NeedsRead(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offsetKnown && t.age(now) > time.Duration(readFraction*float64(t.bound))
}

// Behind reports whether the store has, or had, rows that the gateway lacks.
func (t *Tracker) Behind() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behind()
}

func (t *Tracker) behind() bool {
	return t.latest.At > t.confirmed.At && t.latest.Hash != t.own.Hash && t.latest.Version >= t.own.Newest
}

// Others says what a gateway knows of the other gateways of the fleet.
type Others int

const (
	// Silence means that others may be alive, and none sent a recent update.
	Silence Others = iota
	// PeerHeard means that another one sent a recent update.
	PeerHeard
	// EarlierPeersHeard means that others sent recent updates, and that all of these run a release that sends no reports.
	EarlierPeersHeard
	// NoOther means that no other one is known that may be alive.
	NoOther
)

// Check returns an error if the gateway must not act on its rows. It may use rows that were confirmed within the bound. It may use
// older ones only if no newer rows are known and one of these holds:
//   - a peer reported within the bound, so the store is away for the whole fleet;
//   - there is no other gateway that could serve;
//   - all peers that are heard run a release that sends no reports.
//
// Without any report the age is not known; then a peer must be heard, or there must be no other gateway.
func (t *Tracker) Check(now time.Duration, others Others) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.offsetKnown {
		if others == Silence {
			return errors.New("the age of the own rows is not known, and no peer is heard")
		}
		return nil
	}
	age := t.age(now)
	if age <= t.bound {
		return nil
	}
	if t.behind() {
		return fmt.Errorf("newer rows are in force: own rows not confirmed for %v, version %d is newer", age, t.latest.Version)
	}
	if others == NoOther || others == EarlierPeersHeard {
		return nil
	}
	for _, r := range t.peers {
		if t.storeTime(now)-r.SentAt <= t.bound {
			return nil
		}
	}
	return fmt.Errorf("own rows not confirmed for %v, and no peer reported within %v", age, t.bound)
}
