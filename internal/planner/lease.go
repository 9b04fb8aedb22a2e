package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// leaseKey is the row of the planner's lease.
var leaseKey = tablestore.Key{Partition: "lease", Sort: "planner"}

// leaseRow is the value of the lease row. As with the rows of limits it holds a duration and no time.
type leaseRow struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`   // fencing number of the orders; grows at each change of planner
	Renewal     int64  `json:"renewal"` // grows at each write
	TermMS      int64  `json:"term_ms"`
	Returned    bool   `json:"returned,omitempty"`
}

func (r leaseRow) sameWrite(o leaseRow) bool {
	return r.Address == o.Address && r.Incarnation == o.Incarnation && r.Epoch == o.Epoch && r.Renewal == o.Renewal
}

// lease is this gateway's view of the row. Two planners at a time are harmless, because sidecars refuse
// orders of an older epoch; the lease only keeps them rare.
type lease struct {
	held    bool
	row     leaseRow
	version int64
	sentAt  time.Duration // when the write that counts was sent

	pending     *leaseRow
	pendingAt   time.Duration
	pendingBase int64 // version that the pending write replaces

	seenVersion int64
	seenAt      time.Duration
	seen        bool
}

func (l *lease) term() time.Duration { return time.Duration(l.row.TermMS) * time.Millisecond }

func (l *lease) valid(now time.Duration) bool { return l.held && now < l.sentAt+l.term() }

// keep reads the row and writes it if it is free or due for renewal. It reports whether the lease was
// newly taken.
func (p *Planner) keep(ctx context.Context) (taken bool, err error) {
	l := &p.lease
	if l.valid(p.opts.Now()) && p.opts.Now() < l.sentAt+l.term()/3 {
		return false, nil
	}
	row, version, err := p.readLease(ctx)
	if err != nil {
		return false, err
	}
	now := p.opts.Now()
	taken = p.resolve(row, version)
	if !l.seen || version != l.seenVersion {
		l.seen, l.seenVersion, l.seenAt = true, version, now
	}
	if l.held && version != l.version {
		p.opts.Log.Warn("planner lease lost", "epoch", l.row.Epoch, "holder", row.Address)
		l.held = false
	}
	reason := p.claimReason(row, now)
	if reason == "" {
		return taken, nil
	}
	next := leaseRow{
		Address: p.opts.Address, Incarnation: p.opts.Incarnation, Epoch: row.Epoch + 1, Renewal: row.Renewal + 1,
		TermMS: p.opts.LeaseTerm.Milliseconds(),
	}
	if l.held {
		next.Epoch = l.row.Epoch
	}
	changed, err := p.writeLease(ctx, next, version, now, reason)
	return taken || changed, err
}

// claimReason says why the row may be written now, or returns an empty string.
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
	case row.Returned:
		return "handed back"
	case row.Address == p.opts.Address && row.Incarnation != p.opts.Incarnation:
		return "new incarnation at the same address"
	case now >= l.seenAt+time.Duration(row.TermMS)*time.Millisecond+p.opts.Interval:
		return "lapsed"
	}
	return ""
}

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
		return p.resolve(row, version+1), nil
	}
	if errors.Is(err, tablestore.ErrPrecondition) || errors.Is(err, tablestore.ErrUnavailable) {
		l.pending = nil
	}
	return false, fmt.Errorf("write planner lease: %w", err)
}

// resolve puts the pending write into force if the row shows it, and reports whether it began an epoch.
func (p *Planner) resolve(row leaseRow, version int64) bool {
	l := &p.lease
	if l.pending == nil || version == l.pendingBase {
		return false
	}
	pending := *l.pending
	l.pending = nil
	if !row.sameWrite(pending) || pending.Returned {
		return false
	}
	began := !l.held || l.row.Epoch != pending.Epoch
	l.held, l.row, l.version, l.sentAt = true, pending, version, l.pendingAt
	l.seen, l.seenVersion, l.seenAt = true, version, p.opts.Now()
	return began
}

// handBack lets another gateway plan at once.
func (p *Planner) handBack(ctx context.Context) error {
	if !p.lease.held {
		return nil
	}
	row := p.lease.row
	row.Renewal++
	row.Returned = true
	p.lease.held = false
	_, err := p.writeLease(ctx, row, p.lease.version, p.opts.Now(), "shutdown")
	return err
}
