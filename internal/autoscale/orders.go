package autoscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

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

// orderRow is the value of a row. Token is the token under which the count was written.
type orderRow struct {
	Count int   `json:"count"`
	Token int64 `json:"token"`
}

// order is the last ordered count of a service in a data centre, as settled by its row.
type order struct {
	Order
	token      int64
	version    int64 // of the row in the store; zero if there is none
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
	}, nil
}

// load reads the ordered counts. A row that does not decode keeps its version, so that it can be replaced, and orders nothing.
func (r *Runner) load(ctx context.Context, now time.Duration, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := r.opts.Store.List(ctx, Table)
	if err != nil {
		return err
	}
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
		// The rows are read again after a write without an answer. What was confirmed before is not sent again.
		if known := r.orders[key]; known != nil && known.version == o.version {
			o = known
		}
		orders[key] = o
	}
	r.orders, r.loaded = orders, true
	return nil
}

// settle writes a count under the precondition that its row is as this gateway knows it. After an error the row may have
// been written; the rows are read again before anything else is ordered.
func (r *Runner) settle(ctx context.Context, now time.Duration, key zoneKey, count int, token int64) error {
	previous := r.orders[key]
	if previous == nil {
		previous = new(order)
	}
	value, err := json.Marshal(orderRow{count, token})
	if err != nil {
		return fmt.Errorf("encode ordered count: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, _, held, err := r.opts.Store.Commit(ctx,
		[]platform.Precondition{{Table: Table, Key: key.String(), Version: previous.version}},
		[]platform.Row{{Table: Table, Key: key.String(), Value: value}})
	switch {
	case err != nil:
		r.loaded = false
		return err
	case !held:
		r.loaded = false
		return errors.New("the row has changed")
	}
	r.orders[key] = &order{
		Order: Order{Known: true, Count: count, At: now}, token: token, version: version, unanswered: true,
		attemptAt: previous.attemptAt,
	}
	r.settled.Add(1)
	return nil
}
