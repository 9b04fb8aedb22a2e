package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// leaseKey is the key of the row that holds the planner lease.
var leaseKey = tablestore.Key{Partition: "lease", Sort: "planner"}

// leaseRow is the value of the lease row. Like the rows of the limit leases it holds a duration, not a point in time,
// so gateways need no common clock.
type leaseRow struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`   // fencing number of orders; higher than all known ones when the lease is acquired
	Renewal     int64  `json:"renewal"` // incremented at each write
	TermMS      int64  `json:"term_ms"`
	Released    bool   `json:"returned,omitempty"` // set when the holder shut down; the row is free at once
}

// sameWrite reports whether r and o come from the same write of the row.
func (r leaseRow) sameWrite(o leaseRow) bool {
	return r.Address == o.Address && r.Incarnation == o.Incarnation && r.Epoch == o.Epoch && r.Renewal == o.Renewal
}

// lease is this gateway's view of the lease row. Two planners at the same time do no harm, because sidecars refuse
// orders of an older epoch; the lease only makes this case rare.
type lease struct {
	held    bool
	row     leaseRow
	version int64
	sentAt  time.Duration // when the write of row was sent; the lease term is counted from then

	pending     *leaseRow     // write whose outcome is not known; nil if there is none
	pendingAt   time.Duration // when the pending write was sent
	pendingBase int64         // version that the pending write replaces

	seenVersion int64         // version of the row at the last read
	seenAt      time.Duration // when seenVersion was first read
	seen        bool          // the row was read at least once
}

func (l *lease) term() time.Duration { return time.Duration(l.row.TermMS) * time.Millisecond }

func (l *lease) valid(now time.Duration) bool { return l.held && now < l.sentAt+l.term() }

// acquireOrRenew reads the lease row and writes it if the lease is free or due for renewal, which is after a third of
// its term. It reports whether a new epoch of this gateway began.
func (p *Planner) acquireOrRenew(ctx context.Context) (acquired bool, err error) {
	l := &p.lease
	if l.valid(p.opts.Now()) && p.opts.Now() < l.sentAt+l.term()/3 {
		return false, nil
	}
	row, version, err := p.readLease(ctx)
	if err != nil {
		return false, err
	}
	now := p.opts.Now()
	acquired = p.confirmPending(row, version)
	if !l.seen || version != l.seenVersion {
		l.seen, l.seenVersion, l.seenAt = true, version, now
	}
	if l.held && version != l.version {
		p.opts.Log.Warn("planner lease lost; no orders are sent until it is acquired again",
			"epoch", l.row.Epoch, "holder", row.Address)
		l.held = false
	}
	reason := p.claimReason(row, now)
	if reason == "" {
		return acquired, nil
	}
	known := max(row.Epoch, p.highestEpoch())
	next := leaseRow{
		Address: p.opts.Address, Incarnation: p.opts.Incarnation, Epoch: known + 1, Renewal: row.Renewal + 1,
		TermMS: p.opts.LeaseTerm.Milliseconds(),
	}
	if l.held && l.row.Epoch >= known {
		next.Epoch = l.row.Epoch
	}
	confirmed, err := p.writeLease(ctx, next, version, now, reason)
	return acquired || confirmed, err
}

// highestEpoch returns the highest epoch that this planner held or that a sidecar got an order of. The row may have a lower one if the
// table service was restored from a copy; sidecars would refuse its orders.
func (p *Planner) highestEpoch() int64 {
	highest := p.lease.row.Epoch
	for _, s := range p.opts.Sidecars.Statuses() {
		highest = max(highest, s.Status.GetPlannerEpoch())
	}
	return highest
}

// claimReason returns why the row may be written now, or an empty string if it may not.
func (p *Planner) claimReason(row leaseRow, now time.Duration) string {
	l := &p.lease
	switch {
	case l.held:
		if now < l.sentAt+l.term()/3 {
			return ""
		}
		return "renewal"
	case l.seenVersion == 0:
		return "new row"
	case row.Released:
		return "released by its holder"
	case row.Address == p.opts.Address && row.Incarnation != p.opts.Incarnation:
		return "new incarnation at the same address"
	case now >= l.seenAt+time.Duration(row.TermMS)*time.Millisecond+p.opts.Interval:
		return "lapsed"
	}
	return ""
}

// readLease returns the lease row and its version, which is 0 if there is no row yet.
func (p *Planner) readLease(ctx context.Context) (leaseRow, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.StoreTimeout)
	defer cancel()
	stored, err := p.opts.Store.Get(ctx, leaseKey)
	if errors.Is(err, tablestore.ErrNotFound) {
		return leaseRow{}, 0, nil
	}
	if err != nil {
		return leaseRow{}, 0, fmt.Errorf("read planner lease: %w", err)
	}
	var row leaseRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return leaseRow{}, 0, fmt.Errorf("read planner lease: %w", err)
	}
	return row, stored.Version, nil
}

// writeLease replaces the given version of the lease row and reports whether a new epoch of this gateway began. If the
// outcome of the write is not known, the write stays pending until the next read of the row.
func (p *Planner) writeLease(ctx context.Context, row leaseRow, version int64, now time.Duration, reason string) (bool, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return false, fmt.Errorf("encode planner lease: %w", err)
	}
	l := &p.lease
	l.pending, l.pendingAt, l.pendingBase = &row, now, version
	ctx, cancel := context.WithTimeout(ctx, p.opts.StoreTimeout)
	defer cancel()
	id := fmt.Sprintf("planner/%s/%s/%d", p.opts.Address, p.opts.Incarnation, row.Renewal)
	err = p.opts.Store.Write(ctx, id, tablestore.Op{Key: leaseKey, IfVersion: version, Value: value})
	if err == nil {
		p.opts.Log.Info("planner lease written", "epoch", row.Epoch, "renewal", row.Renewal, "reason", reason)
		return p.confirmPending(row, version+1), nil
	}
	if errors.Is(err, tablestore.ErrPrecondition) || errors.Is(err, tablestore.ErrUnavailable) {
		l.pending = nil
	}
	return false, fmt.Errorf("write planner lease: %w", err)
}

// confirmPending makes the pending write effective if the row that was read contains it, and reports whether a new epoch
// of this gateway began.
func (p *Planner) confirmPending(row leaseRow, version int64) bool {
	l := &p.lease
	if l.pending == nil || version == l.pendingBase {
		return false
	}
	pending := *l.pending
	l.pending = nil
	if !row.sameWrite(pending) || pending.Released {
		return false
	}
	newEpoch := !l.held || l.row.Epoch != pending.Epoch
	l.held, l.row, l.version, l.sentAt = true, pending, version, l.pendingAt
	l.seen, l.seenVersion, l.seenAt = true, version, p.opts.Now()
	return newEpoch
}

// release marks the lease row as released, so that another gateway can acquire the lease without waiting for the term to
// end.
func (p *Planner) release(ctx context.Context) error {
	if !p.lease.held {
		return nil
	}
	row := p.lease.row
	row.Renewal++
	row.Released = true
	p.lease.held = false
	_, err := p.writeLease(ctx, row, p.lease.version, p.opts.Now(), "shutdown")
	return err
}
