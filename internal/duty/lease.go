// Package duty elects the one gateway that performs the fleet's duties, the planning of placement and the calls of the platform's
// cloud interface, under a lease in the platform's store, and makes these calls.
package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	leaseTable = "duties"
	leaseKey   = "planner"
	// leaseTerm is how long the lease is valid after a renewal, counted from before the renewal was sent. It outlasts a
	// short outage of the store and is short enough for another gateway to take over planning within seconds.
	leaseTerm = 3 * time.Second
	// expiryMargin is added to leaseTerm by a gateway that waits for another's lease to expire. It covers the small
	// drift between clocks over seconds and the time of the last renewal, which is known only to within one read of
	// the row.
	expiryMargin = 400 * time.Millisecond
	// renewInterval leaves time for two more attempts within leaseTerm.
	renewInterval = time.Second
	// plannerTimeout is the time without an update from the planner after which other gateways read the lease row.
	plannerTimeout = 1500 * time.Millisecond
	// leaseReadInterval is the mean pause between two reads of the lease row while no planner is known to be alive.
	leaseReadInterval = 400 * time.Millisecond
	// maxStartDelay limits the random delay before the first read, which spreads out gateways that start together.
	maxStartDelay = 60 * time.Millisecond
	// callTimeout limits a call to the store.
	callTimeout = 700 * time.Millisecond
	// newEraAttempts is the number of attempts in a row to write the lease again after the store was restored from a copy.
	newEraAttempts = 3
	// sendMargin is the part of the lease's term before its end in which no call of a duty is sent, so that calls arrive before the
	// lease ends: connecting, one retransmission and the way take less.
	sendMargin = 900 * time.Millisecond
)

// Holder tells whether this process holds the fleet's duties.
type Holder interface {
	// Token returns the fencing token if a call of a duty may be sent now. The token increases whenever the holder changes.
	Token() (token int64, ok bool)
}

// LeaseStore is the part of the platform's store that a Lease uses.
type LeaseStore interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Commit(ctx context.Context, expected []platform.Precondition, puts []platform.Row) (int64, []platform.Row, bool, error)
}

// LeaseOptions configure a Lease. All fields but HandoverPause and Restarted are required.
type LeaseOptions struct {
	Store       LeaseStore
	Host        string
	Incarnation string
	Clock       bootclock.Clock
	// Demand returns the demand to hand over to the next planner, in prompt tokens per second by service and model. It
	// is written with each renewal.
	Demand func() map[string]float64
	// OnAcquired is called when this gateway acquires the lease, with the demand that the previous planner stored in it.
	OnAcquired func(demand map[string]float64)
	// HandoverPause is the time after the last call that another holder can have made before which Token permits none.
	HandoverPause time.Duration
	// Restarted says that another process may have held the lease before, so that a missing row does not mean that it is free.
	Restarted bool
	Log       *slog.Logger
}

// Lease lets the gateways elect one holder of all duties: the gateway that holds the lease plans and calls the cloud interface. Its
// epoch is the store version of the write that acquired it. The epoch is also the fencing token of calls.
//
// After a restore of the store from a copy the row may be missing or name an earlier holder. The holder keeps the lease, and its epoch,
// if it writes the row again before its term ends. Any other gateway first waits for a whole term, whatever the row says.
type Lease struct {
	opts LeaseOptions

	writeMu sync.Mutex // serialises writes of the row

	mu          sync.Mutex
	released    bool // this gateway is stopping and must not acquire the lease again
	epoch       int64
	acquiredAt  time.Duration
	callsFrom   time.Duration // when calls of duties may begin
	version     int64         // store version of the row as last written by this gateway
	expiresAt   time.Duration // of the lease held by this gateway
	failed      bool          // the last renewal got no answer
	peerHeardAt time.Duration // when another planner's epoch was last received
	peerEpoch   int64
	seen        bool          // seenVersion was read
	seenVersion int64         // store version of another holder's row, or of its absence
	seenAt      time.Duration // when seenVersion was first read
	firstEra    int64         // of the store when the row was first read, or unknownEra
	heldBefore  bool          // some gateway held the lease, as far as this one knows
}

// unknownEra stands for an era of the store that has not been read yet.
const unknownEra = -1

type leaseRow struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Released    bool   `json:"released,omitempty"`
	// Era is the store's era for which the row was written. In a later one the row is one of a copy.
	Era int64 `json:"era,omitempty"`
	// Demand is in prompt tokens per second, by service and model joined by a zero byte.
	Demand map[string]float64 `json:"demand,omitempty"`
}

// NewLease returns a lease that is not held.
func NewLease(opts LeaseOptions) *Lease {
	return &Lease{opts: opts, peerHeardAt: -plannerTimeout, firstEra: unknownEra}
}

// Epoch returns the epoch if this gateway holds the lease now, or 0.
func (l *Lease) Epoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 || l.opts.Clock() >= l.expiresAt {
		return 0
	}
	return l.epoch
}

// Token implements Holder: it returns the epoch if the lease lasts for sendMargin and no call of an earlier holder can have been made
// within HandoverPause.
func (l *Lease) Token() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock()
	if l.epoch == 0 || now >= l.expiresAt-sendMargin || now < l.callsFrom {
		return 0, false
	}
	return l.epoch, true
}

// HeldFor returns how long this gateway has held the lease, or zero.
func (l *Lease) HeldFor() time.Duration {
	if l.Epoch() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opts.Clock() - l.acquiredAt
}

// PlannerAlive reports whether this gateway holds the lease or another planner was heard within plannerTimeout.
func (l *Lease) PlannerAlive() bool {
	if l.Epoch() != 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opts.Clock()-l.peerHeardAt < plannerTimeout
}

// ObserveEpoch records that a peer plans under the given epoch. An epoch newer than this gateway's ends its lease; one older
// than the newest known is ignored.
func (l *Lease) ObserveEpoch(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.peerEpoch {
		return
	}
	l.peerHeardAt, l.peerEpoch, l.heldBefore = l.opts.Clock(), epoch, true
	if l.epoch != 0 && epoch > l.epoch {
		l.opts.Log.Warn("planner's lease superseded by a newer epoch; planning stops", "epoch", l.epoch, "newer", epoch)
		l.epoch = 0
	}
}

// Run acquires the lease when no gateway holds it, and renews it while it is held. It returns the error of ctx when ctx
// ends.
func (l *Lease) Run(ctx context.Context) error {
	delay := rand.N(maxStartDelay)
	for {
		if err := background.Sleep(ctx, delay); err != nil {
			return err
		}
		l.step(ctx)
		delay = leaseReadInterval/2 + rand.N(leaseReadInterval)
		if l.held() && !l.renewalFailed() {
			delay = renewInterval
		}
	}
}

// step renews the lease if it is held, or else acquires it if no gateway holds it.
func (l *Lease) step(ctx context.Context) {
	switch {
	case l.held():
		l.renew(ctx)
	case !l.PlannerAlive():
		l.tryAcquire(ctx)
	}
}

func (l *Lease) held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch != 0
}

// renewalFailed reports whether the last renewal got no answer, so that the next one should not wait for renewInterval.
func (l *Lease) renewalFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

func (l *Lease) row(released bool, era int64) []platform.Row {
	value, err := json.Marshal(leaseRow{
		Host: l.opts.Host, Incarnation: l.opts.Incarnation, Released: released, Era: era, Demand: l.opts.Demand(),
	})
	if err != nil {
		panic("encode a lease row, which holds only strings, booleans and finite numbers: " + err.Error())
	}
	return []platform.Row{{Table: leaseTable, Key: leaseKey, Value: value}}
}

// tryAcquire acquires the lease if no gateway holds it according to its row.
func (l *Lease) tryAcquire(ctx context.Context) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	row, exists, err := l.opts.Store.Get(call, leaseTable, leaseKey)
	cancel()
	if err != nil {
		l.opts.Log.Debug("planner's lease not read; retrying", "error", err)
		return
	}
	gone, lastCall := l.holderGone(row, exists)
	if !gone {
		return
	}
	expected := row.Version
	sent := l.opts.Clock()
	version, _, written, err := l.commit(ctx, expected, false)
	if err != nil || !written {
		l.opts.Log.Info("planner's lease not acquired; retrying", "expected", expected, "error", err)
		return
	}
	var previous leaseRow
	if exists && json.Unmarshal(row.Value, &previous) == nil {
		l.opts.OnAcquired(previous.Demand)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.version, l.acquiredAt, l.expiresAt, l.heldBefore = version, version, sent, sent+leaseTerm, true
	if l.callsFrom = sent; lastCall != 0 {
		l.callsFrom = max(sent, lastCall+l.opts.HandoverPause)
	}
	l.opts.Log.Info("planner's lease acquired; planning starts", "epoch", version, "previous", previous.Host,
		"models_with_demand", len(previous.Demand), "calls_in", max(0, l.callsFrom-sent))
}

// holderGone reports whether no holder can act any longer: there never was one, it released the lease, it was an earlier process on
// this host, or the row has not changed for leaseTerm plus expiryMargin. Only a row that was written in its present era tells one of the
// first three. lastCall is the latest time at which a call of the holder can arrive, or zero: the end of its lease, or sendMargin from
// now if it ended without one.
func (l *Lease) holderGone(r platform.Row, exists bool) (gone bool, lastCall time.Duration) {
	now := l.opts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstEra == unknownEra {
		l.firstEra = rowversion.Era(r.Version)
	}
	var row leaseRow
	switch err := json.Unmarshal(r.Value, &row); {
	case !exists:
		if !l.opts.Restarted && l.firstEra == rowversion.Era(r.Version) && !l.heldBefore {
			return true, 0
		}
	case err != nil:
		l.opts.Log.Warn("planner's lease row not decoded; waiting until its lease has expired", "error", err)
	case row.writtenInEraOf(r) && (row.Released || row.Host == l.opts.Host):
		return true, now + sendMargin
	}
	if !l.seen || l.seenVersion != r.Version {
		l.seen, l.seenVersion, l.seenAt = true, r.Version, now
		return false, 0
	}
	return now-l.seenAt > leaseTerm+expiryMargin, l.seenAt + leaseTerm
}

// Release gives up the lease permanently, so that another gateway can plan at once. It waits for a write in progress.
// Afterwards this Lease is not acquired again.
func (l *Lease) Release(ctx context.Context) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	epoch, version := l.epoch, l.version
	l.epoch, l.released = 0, true
	l.mu.Unlock()
	if epoch == 0 {
		return
	}
	_, _, _, err := l.commit(ctx, version, true)
	l.opts.Log.Info("planner's lease released; planning stops", "epoch", epoch, "error", err)
}
