package duty

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

// writtenInEraOf reports whether the row with this value was written in its present era, and so is not from a copy of the store.
func (r leaseRow) writtenInEraOf(row platform.Row) bool { return r.Era == rowversion.Era(row.Version) }

// commit writes the row if its store version is the expected one. owned reports that this incarnation holds the lease by the stored row,
// which was written by an earlier call whose answer was lost, or by a call of an earlier era, unless written is set.
func (l *Lease) commit(ctx context.Context, expected int64, released bool) (version int64, owned, written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, rows, committed, err := l.opts.Store.Commit(ctx,
		[]platform.Precondition{{Table: leaseTable, Key: leaseKey, Version: expected}}, l.row(released, rowversion.Era(expected)))
	switch {
	case err != nil:
		return 0, false, false, err
	case committed:
		return version, true, true, nil
	}
	for _, r := range rows {
		var row leaseRow
		if json.Unmarshal(r.Value, &row) != nil {
			continue
		}
		own := row.writtenInEraOf(r) && row.Incarnation == l.opts.Incarnation && !row.Released
		// A write of an earlier era may be executed late, and hold by chance. While the lease lasts it replaced this gateway's row.
		late := !row.writtenInEraOf(r) && l.validAt(l.opts.Clock())
		if own || late {
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
	if errors.Is(err, platform.ErrEraChanged) {
		l.renewInNewEra(ctx, epoch)
		return
	}
	if owned && !written {
		// The other gateways count the term from the earlier write, so it does not extend the lease from now.
		sent = l.opts.Clock()
		next, owned, written, err = l.commit(ctx, next, false)
	}
	l.recordRenewal(epoch, sent, next, owned, written, err)
}

// renewInNewEra writes the row again after the store was restored from a copy, if the lease has not expired: until then no other gateway
// acquires it. The caller holds l.writeMu.
func (l *Lease) renewInNewEra(ctx context.Context, epoch int64) {
	for range newEraAttempts {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		row, _, err := l.opts.Store.Get(call, leaseTable, leaseKey)
		cancel()
		if err != nil {
			l.recordRenewal(epoch, 0, 0, false, false, err)
			return
		}
		sent := l.opts.Clock()
		var value leaseRow
		taken := json.Unmarshal(row.Value, &value) == nil && value.writtenInEraOf(row) && value.Incarnation != l.opts.Incarnation
		if taken || !l.validAt(sent) {
			l.recordRenewal(epoch, sent, 0, false, false, nil)
			return
		}
		l.opts.Log.Warn("planner's lease is written again after the store was restored from a copy", "epoch", epoch,
			"store_era", rowversion.Era(row.Version))
		next, owned, written, err := l.commit(ctx, row.Version, false)
		if owned || err != nil {
			l.recordRenewal(epoch, sent, next, owned, written, err)
			return
		}
		// The row changed meanwhile, perhaps by a renewal of the earlier era that the store executed late.
	}
}

// validAt reports whether this gateway holds the lease and it lasts at the given time.
func (l *Lease) validAt(t time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch != 0 && t < l.expiresAt
}

// recordRenewal records the result of commit for the lease that is held under the given epoch.
func (l *Lease) recordRenewal(epoch int64, sent time.Duration, next int64, owned, written bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = err != nil
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
