// Package fleetplanner decides which models the engines of the fleet load and unload. Use it in a gateway of the fleet: one
// gateway plans at a time, under a lease in the platform's store, and the agents on the engines' hosts execute its
// proposals.
package fleetplanner

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
)

// LeaseStore is the part of the platform's store that a Lease uses.
type LeaseStore interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Commit(ctx context.Context, expected []platform.Precondition, puts []platform.Row) (int64, []platform.Row, bool, error)
}

// LeaseOptions configure a Lease. All fields are required.
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
	Log        *slog.Logger
}

// Lease lets the gateways elect one planner: the gateway that holds the lease plans. Its epoch is the store version of
// the write that acquired it.
type Lease struct {
	opts LeaseOptions

	writeMu sync.Mutex // serialises writes of the row

	mu          sync.Mutex
	released    bool // this gateway is stopping and must not acquire the lease again
	epoch       int64
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
		switch {
		case l.held():
			l.renew(ctx)
		case !l.PlannerAlive():
			l.tryAcquire(ctx)
		}
		delay = leaseReadInterval/2 + rand.N(leaseReadInterval)
		if l.held() {
			delay = renewInterval
		}
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
// incarnation's, which includes a row written by an earlier call whose answer was lost.
func (l *Lease) commit(ctx context.Context, expected int64, released bool) (version int64, owned bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, rows, committed, err := l.opts.Store.Commit(ctx,
		[]platform.Precondition{{Table: leaseTable, Key: leaseKey, Version: expected}}, l.row(released))
	switch {
	case err != nil:
		return 0, false, err
	case committed:
		return version, true, nil
	}
	for _, r := range rows {
		var row leaseRow
		if json.Unmarshal(r.Value, &row) == nil && row.Incarnation == l.opts.Incarnation && !row.Released {
			return r.Version, true, nil
		}
	}
	return 0, false, nil
}

func (l *Lease) renew(ctx context.Context) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	version, epoch := l.version, l.epoch
	l.mu.Unlock()
	sent := l.opts.Clock()
	next, owned, err := l.commit(ctx, version, false)
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
	default:
		l.version = next
		l.expiresAt = sent + leaseTerm
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
	if exists && !l.holderGone(row) {
		return
	}
	expected := row.Version
	sent := l.opts.Clock()
	version, owned, err := l.commit(ctx, expected, false)
	if err != nil || !owned {
		l.opts.Log.Info("planner's lease not acquired; retrying", "expected", expected, "error", err)
		return
	}
	var previous leaseRow
	if exists && json.Unmarshal(row.Value, &previous) == nil {
		l.opts.OnAcquired(previous.Demand)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.version, l.expiresAt = version, version, sent+leaseTerm
	l.opts.Log.Info("planner's lease acquired; planning starts", "epoch", version, "previous", previous.Host,
		"models_with_demand", len(previous.Demand))
}

// holderGone reports whether the holder of the row can no longer plan: it released the lease, it was an earlier process
// on this host, or the row has not changed for leaseTerm plus expiryMargin. A row that does not decode has no holder.
func (l *Lease) holderGone(r platform.Row) bool {
	var row leaseRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		l.opts.Log.Warn("planner's lease row not decoded; treating the lease as expired", "error", err)
		return true
	}
	if row.Released || row.Host == l.opts.Host {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock()
	if l.seenVersion != r.Version {
		l.seenVersion, l.seenAt = r.Version, now
		return false
	}
	return now-l.seenAt > leaseTerm+expiryMargin
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
	_, _, err := l.commit(ctx, version, true)
	l.opts.Log.Info("planner's lease released; planning stops", "epoch", epoch, "error", err)
}
