// Package fleetplan plans which models the engines of the fleet hold. One gateway plans at a time, under a lease in the
// platform's store; its proposals are carried out by the agents beside the engines.
package fleetplan

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	leaseTable = "duties"
	leaseKey   = "planner"
	// leaseTerm is how long a renewal lasts, counted from before it was sent. It is as long as a short pause of the
	// store, and short enough for another gateway to plan again within seconds.
	leaseTerm = 3 * time.Second
	// takeoverMargin is added by a gateway that waits for a lease to lapse: clocks differ little over seconds, and the
	// time of the last renewal is known to one look at the row.
	takeoverMargin = 400 * time.Millisecond
	// renewEvery leaves two more tries within the term.
	renewEvery = time.Second
	// heardFor is the age of the planner's last word at which others look at the row.
	heardFor = 1500 * time.Millisecond
	// look is the pause between two looks at the row while no planner is heard.
	look = 400 * time.Millisecond
	// firstLook bounds the pause before the first look, which spreads gateways that start together.
	firstLook = 60 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 700 * time.Millisecond
)

// LeaseStore is the part of the platform's store that the lease needs.
type LeaseStore interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Commit(ctx context.Context, expected []platform.Expectation, puts []platform.Row) (int64, []platform.Row, bool, error)
}

// LeaseOptions configure a Lease.
type LeaseOptions struct {
	Store       LeaseStore
	Host        string
	Incarnation string
	Clock       bootclock.Clock
	// Demand returns what the next planner should know of the models' demand. It is written with each renewal.
	Demand func() map[string]float64
	// Taken is called with the demand that the previous planner left when this gateway takes the lease.
	Taken func(demand map[string]float64)
	Log   *slog.Logger
}

// Lease is this gateway's part in the election of the planner. Its epoch is the store version with which it was
// taken.
type Lease struct {
	opts LeaseOptions

	writing sync.Mutex // one write of the row at a time

	mu         sync.Mutex
	released   bool // this gateway is stopping and takes the lease no more
	epoch      int64
	version    int64         // of the row as this gateway last wrote it
	until      time.Duration // end of the term
	heard      time.Duration // when another planner was last heard
	heardEpoch int64
	seen       int64 // version of another holder's row, and when it was first seen
	seenAt     time.Duration
}

type leaseRow struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Released    bool   `json:"released,omitempty"`
	// Demand is in units a second by service and model.
	Demand map[string]float64 `json:"demand,omitempty"`
}

// NewLease returns a lease that is not held.
func NewLease(opts LeaseOptions) *Lease { return &Lease{opts: opts, heard: -heardFor} }

// Epoch returns the epoch if the lease is held now, or zero.
func (l *Lease) Epoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 || l.opts.Clock() >= l.until {
		return 0
	}
	return l.epoch
}

// PlannerHeard reports whether some gateway plans, this one included.
func (l *Lease) PlannerHeard() bool {
	if l.Epoch() != 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opts.Clock()-l.heard < heardFor
}

// Heard records that a peer plans under an epoch. A newer epoch ends this gateway's lease.
func (l *Lease) Heard(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.heardEpoch {
		return
	}
	l.heard, l.heardEpoch = l.opts.Clock(), epoch
	if l.epoch != 0 && epoch > l.epoch {
		l.opts.Log.Warn("planner's lease lost to a newer one", "epoch", l.epoch, "newer", epoch)
		l.epoch = 0
	}
}

// Run takes the lease when nobody holds it and renews it, until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	pause := rand.N(firstLook)
	for {
		if err := duty.Sleep(ctx, pause); err != nil {
			return err
		}
		switch {
		case l.held():
			l.renew(ctx)
		case !l.PlannerHeard():
			l.attempt(ctx)
		}
		pause = look/2 + rand.N(look)
		if l.held() {
			pause = renewEvery
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
		panic("a row of texts and finite numbers is always encoded: " + err.Error())
	}
	return []platform.Row{{Table: leaseTable, Key: leaseKey, Value: value}}
}

// commit writes the row if it has the expected version. mine says that the row was written by this incarnation, also
// by a call whose answer was lost.
func (l *Lease) commit(ctx context.Context, expected int64, released bool) (version int64, mine bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, rows, held, err := l.opts.Store.Commit(ctx,
		[]platform.Expectation{{Table: leaseTable, Key: leaseKey, Version: expected}}, l.row(released))
	switch {
	case err != nil:
		return 0, false, err
	case held:
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
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	version, epoch := l.version, l.epoch
	l.mu.Unlock()
	sent := l.opts.Clock()
	next, mine, err := l.commit(ctx, version, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.epoch != epoch:
	case err != nil:
		l.opts.Log.Warn("planner's lease not renewed", "epoch", epoch, "left", l.until-l.opts.Clock(), "error", err)
		if l.opts.Clock() > l.until+leaseTerm {
			l.epoch = 0
		}
	case !mine:
		l.opts.Log.Warn("planner's lease lost", "epoch", epoch)
		l.epoch = 0
	default:
		l.version = next
		l.until = sent + leaseTerm
	}
}

// attempt takes the lease if its row shows that nobody holds it.
func (l *Lease) attempt(ctx context.Context) {
	l.writing.Lock()
	defer l.writing.Unlock()
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
		l.opts.Log.Debug("planner's lease not read", "error", err)
		return
	}
	if exists && !l.lapsed(row) {
		return
	}
	expected := row.Version
	sent := l.opts.Clock()
	version, mine, err := l.commit(ctx, expected, false)
	if err != nil || !mine {
		l.opts.Log.Info("planner's lease not taken", "expected", expected, "error", err)
		return
	}
	var previous leaseRow
	if exists && json.Unmarshal(row.Value, &previous) == nil {
		l.opts.Taken(previous.Demand)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.version, l.until = version, version, sent+leaseTerm
	l.opts.Log.Info("planner's lease taken", "epoch", version, "previous", previous.Host, "models_with_demand",
		len(previous.Demand))
}

// lapsed reports whether the holder of the row can no longer plan: it released the lease, it was an earlier process
// of this host, or the row did not change for a whole term.
func (l *Lease) lapsed(r platform.Row) bool {
	var row leaseRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		l.opts.Log.Warn("planner's lease does not decode and is taken over", "error", err)
		return true
	}
	if row.Released || row.Host == l.opts.Host {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock()
	if l.seen != r.Version {
		l.seen, l.seenAt = r.Version, now
		return false
	}
	return now-l.seenAt > leaseTerm+takeoverMargin
}

// Release gives the lease up for good, so that another gateway can plan at once. It waits for a write under way.
func (l *Lease) Release(ctx context.Context) {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	epoch, version := l.epoch, l.version
	l.epoch, l.released = 0, true
	l.mu.Unlock()
	if epoch == 0 {
		return
	}
	_, _, err := l.commit(ctx, version, true)
	l.opts.Log.Info("planner's lease released", "epoch", epoch, "error", err)
}
