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

// LeaseOptions configure a Lease. All fields but HandoverPause are required.
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
	Log           *slog.Logger
}

// Lease lets the gateways elect one holder of all duties: the gateway that holds the lease plans and calls the cloud interface. Its
// epoch is the store version of the write that acquired it. The epoch is also the fencing token of calls.
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
	peerHeardAt time.Duration // when another planner's epoch was last received
	peerEpoch   int64
	seenVersion int64         // store version of another holder's row
	seenAt      time.Duration // when seenVersion was first read
}

type leaseRow struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Released    bool   `json:"released,omitempty"`
	// Demand is in prompt tokens per second, by service and model joined by a zero byte.
	Demand map[string]float64 `json:"demand,omitempty"`
}

// NewLease returns a lease that is not held.
func NewLease(opts LeaseOptions) *Lease { return &Lease{opts: opts, peerHeardAt: -plannerTimeout} }

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
	l.peerHeardAt, l.peerEpoch = l.opts.Clock(), epoch
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
		if l.held() {
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

func (l *Lease) row(released bool) []platform.Row {
	value, err := json.Marshal(leaseRow{
		Host: l.opts.Host, Incarnation: l.opts.Incarnation, Released: released, Demand: l.opts.Demand(),
	})
	if err != nil {
		panic("encode a lease row, which holds only strings, booleans and finite numbers: " + err.Error())
	}
	return []platform.Row{{Table: leaseTable, Key: leaseKey, Value: value}}
}

// commit writes the row if its store version is the expected one. owned reports that the stored row is this
// incarnation's. It was written by an earlier call whose answer was lost unless written is set.
func (l *Lease) commit(ctx context.Context, expected int64, released bool) (version int64, owned, written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, rows, committed, err := l.opts.Store.Commit(ctx,
		[]platform.Precondition{{Table: leaseTable, Key: leaseKey, Version: expected}}, l.row(released))
	switch {
	case err != nil:
		return 0, false, false, err
	case committed:
		return version, true, true, nil
	}
	for _, r := range rows {
		var row leaseRow
		if json.Unmarshal(r.Value, &row) == nil && row.Incarnation == l.opts.Incarnation && !row.Released {
			return r.Version, true, false, nil
		}
	}
	return 0, false, false, nil
}

func (l *Lease) renew(ctx context.Context) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	version, epoch := l.version, l.epoch
	l.mu.Unlock()
	sent := l.opts.Clock()
	next, owned, written, err := l.commit(ctx, version, false)
	if owned && !written {
		// The other gateways count the term from the earlier write, so it does not extend the lease from now.
		sent = l.opts.Clock()
		next, owned, written, err = l.commit(ctx, next, false)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.epoch != epoch:
	case err != nil:
		l.opts.Log.Warn("planner's lease not renewed; retrying, planning stops when it expires", "epoch", epoch,
			"left", l.expiresAt-l.opts.Clock(), "error", err)
		if l.opts.Clock() > l.expiresAt+leaseTerm {
			l.epoch = 0
		}
	case !owned:
		l.opts.Log.Warn("planner's lease lost; planning stops", "epoch", epoch)
		l.epoch = 0
	case written:
		l.version = next
		l.expiresAt = sent + leaseTerm
	default:
		l.version = next
	}
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
	var lastCall time.Duration // of an earlier holder
	if exists {
		gone := false
		if gone, lastCall = l.holderGone(row); !gone {
			return
		}
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
	l.epoch, l.version, l.acquiredAt, l.expiresAt = version, version, sent, sent+leaseTerm
	if l.callsFrom = sent; exists {
		l.callsFrom = max(sent, lastCall+l.opts.HandoverPause)
	}
	l.opts.Log.Info("planner's lease acquired; planning starts", "epoch", version, "previous", previous.Host,
		"models_with_demand", len(previous.Demand), "calls_in", max(0, l.callsFrom-sent))
}

// holderGone reports whether the holder of the row can no longer act: it released the lease, it was an earlier process on this host, or
// the row has not changed for leaseTerm plus expiryMargin. A row that does not decode has no holder. lastCall is the latest time at
// which a call of the holder can arrive: the end of its lease, or sendMargin from now if it ended without one.
func (l *Lease) holderGone(r platform.Row) (gone bool, lastCall time.Duration) {
	now := l.opts.Clock()
	var row leaseRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		l.opts.Log.Warn("planner's lease row not decoded; treating the lease as expired", "error", err)
		return true, now + sendMargin
	}
	if row.Released || row.Host == l.opts.Host {
		return true, now + sendMargin
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seenVersion != r.Version {
		l.seenVersion, l.seenAt = r.Version, now
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
