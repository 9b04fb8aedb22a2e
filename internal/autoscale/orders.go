package autoscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

// Table is the table of the store with the last ordered counts. The key of a row is SERVICE/DATA CENTRE.
const Table = "scale"

// storeTimeout limits a call to the store.
const storeTimeout = 700 * time.Millisecond

// Store is the part of the platform's store that a Runner uses.
type Store interface {
	List(ctx context.Context, table string) (platform.Page, error)
	Commit(ctx context.Context, expected []platform.Precondition, puts []platform.Row) (int64, []platform.Row, bool, error)
}

// orderRow is the value of a row. Token is the token under which the count was written, and Era the store's era in which it was.
type orderRow struct {
	Count int   `json:"count"`
	Token int64 `json:"token"`
	Era   int64 `json:"era,omitempty"`
}

// order is the last ordered count of a service in a data centre, as settled by its row.
type order struct {
	Order
	token      int64
	version    int64 // of the row in the store, or of its absence
	current    bool  // the row was written in its present era, so that it does not stem from a copy of the store
	lost       bool  // the store has no row or an earlier one
	unanswered bool  // the platform has not confirmed the count
	attemptAt  time.Duration
}

// errTokenPassed means that a row was written under a newer token, so that this gateway no longer holds the duty.
var errTokenPassed = errors.New("a newer token has written the row")

// String returns the key of the row. Slashes in the data centre's name are escaped.
func (k zoneKey) String() string { return k.service + "/" + url.PathEscape(k.dataCentre) }

// splitKey is the reverse of zoneKey.String.
func splitKey(key string) (zoneKey, bool) {
	i := strings.LastIndexByte(key, '/')
	if i < 0 {
		return zoneKey{}, false
	}
	dataCentre, err := url.PathUnescape(key[i+1:])
	return zoneKey{key[:i], dataCentre}, err == nil
}

// decodeOrder decodes a row. What a row orders was settled by an earlier holder that may have ended before its call was
// answered, so it is treated as unanswered.
func decodeOrder(row platform.Row, now time.Duration) (*order, error) {
	var value orderRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return nil, fmt.Errorf("decode ordered count: %w", err)
	}
	if value.Count < 0 || value.Token < 0 {
		return nil, fmt.Errorf("ordered count %d or token %d is negative", value.Count, value.Token)
	}
	return &order{
		Order: Order{Known: true, Count: value.Count, At: now}, token: value.Token, version: row.Version, unanswered: true,
		current: value.Era == rowversion.Era(row.Version),
	}, nil
}

// load reads the ordered counts. A row that does not decode keeps its version, so that it can be replaced, and orders nothing. After a
// restore of the store from a copy, the counts that this gateway settled before stay in force and are written again.
func (r *Runner) load(ctx context.Context, now time.Duration, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := r.opts.Store.List(ctx, Table)
	if err != nil {
		return err
	}
	era := rowversion.Era(page.Version)
	orders := make(map[zoneKey]*order, len(page.Rows))
	for _, row := range page.Rows {
		key, ok := splitKey(row.Key)
		if !ok || row.Deleted {
			continue
		}
		o, err := decodeOrder(row, now)
		if err != nil {
			r.opts.Log.Warn("ordered replica count not decoded; ignoring it", "key", row.Key, "error", err)
			o = &order{version: row.Version}
		}
		if o.token > token {
			return fmt.Errorf("%w: %s, token %d, own %d", errTokenPassed, row.Key, o.token, token)
		}
		orders[key] = o
	}
	for key, known := range r.orders {
		o := orders[key]
		switch {
		// The rows are read again after a write without an answer. What was confirmed before is not sent again.
		case o != nil && known.version == o.version:
			orders[key] = known
		case !known.Known || o != nil && o.current, !known.lost && rowversion.Era(known.version) == era:
		default:
			absent, err := rowversion.Join(era, 0)
			if err != nil {
				return err
			}
			kept := *known
			if kept.version, kept.lost = absent, true; o != nil {
				kept.version = o.version
			}
			orders[key] = &kept
		}
	}
	r.orders = orders
	for key, o := range orders {
		if !o.lost {
			continue
		}
		version, err := r.commit(ctx, key, o.version, o.Count, token)
		r.opts.Log.Warn("replica count written again after the store was restored from a copy", "key", key.String(), "count", o.Count,
			"era", era, "error", err)
		if err != nil {
			return err
		}
		o.version, o.lost, o.current = version, false, true
	}
	r.loaded, r.era = true, era
	return nil
}

// commit writes the row of a count if it has the expected version, and returns its new one.
func (r *Runner) commit(ctx context.Context, key zoneKey, expected int64, count int, token int64) (version int64, err error) {
	value, err := json.Marshal(orderRow{count, token, rowversion.Era(expected)})
	if err != nil {
		return 0, fmt.Errorf("encode ordered count: %w", err)
	}
	version, _, held, err := r.opts.Store.Commit(ctx,
		[]platform.Precondition{{Table: Table, Key: key.String(), Version: expected}},
		[]platform.Row{{Table: Table, Key: key.String(), Value: value}})
	if err == nil && !held {
		err = errors.New("the row has changed")
	}
	return version, err
}

// settle writes a count under the precondition that its row is as this gateway knows it. After an error the row may have
// been written; the rows are read again before anything else is ordered.
func (r *Runner) settle(ctx context.Context, now time.Duration, key zoneKey, count int, token int64) error {
	previous := r.orders[key]
	if previous == nil {
		absent, err := rowversion.Join(r.era, 0)
		if err != nil {
			return err
		}
		previous = &order{version: absent}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := r.commit(ctx, key, previous.version, count, token)
	if err != nil {
		r.loaded = false
		return err
	}
	r.orders[key] = &order{
		Order: Order{Known: true, Count: count, At: now}, token: token, version: version, unanswered: true, current: true,
		attemptAt: previous.attemptAt,
	}
	r.settled.Add(1)
	return nil
}
