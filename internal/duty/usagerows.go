package duty

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/platform"
)

// usageRow is the value of the row of a settled window. It is written once.
type usageRow struct {
	Counts map[string]int64 `json:"counts"`
	// Acknowledged is the last window up to which all reports had been acknowledged when the row was written.
	Acknowledged int64 `json:"acknowledged"`
}

// load reads the settled windows. If there is none, it first marks where the reports begin.
func (m *Metering) load(ctx context.Context, epoch int64) error {
	page, err := m.opts.Store.List(ctx, usageTable)
	if err != nil {
		return err
	}
	if len(page.Rows) == 0 {
		if page.Rows, err = m.begin(ctx); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch, m.acquiredAt, m.next, m.acknowledged, m.stored = epoch, m.opts.Clock(), 0, 0, nil
	m.pending, m.retrySendAt, m.backoff, m.batch = make(map[int64]*pendingReport), 0, 0, maxBatch
	for _, r := range page.Rows {
		m.adopt(r)
	}
	slices.Sort(m.stored)
	maps.DeleteFunc(m.pending, func(window int64, _ *pendingReport) bool { return window <= m.acknowledged })
	m.opts.Ledger.Settle(m.next - 1)
	m.opts.Log.Info("usage reports continue", "token", epoch, "next_window", m.next, "rows", len(page.Rows),
		"not_acknowledged", len(m.pending))
	return nil
}

// begin writes and returns a row for the window before the first one that is reported, so that every window from then on is reported
// whichever gateways end.
func (m *Metering) begin(ctx context.Context) ([]platform.Row, error) {
	first := usage.WindowAt(m.started.Add(-firstMargin), m.opts.Window)
	if oldest, ok := m.opts.Ledger.Oldest(); ok {
		first = min(first, oldest)
	}
	expected, puts, err := usageRows([]int64{first - 1}, first-1, func(int64) map[string]int64 { return map[string]int64{} })
	if err != nil {
		return nil, err
	}
	_, rows, held, err := m.opts.Store.Commit(ctx, expected, puts)
	if held {
		rows = puts
	}
	return rows, err
}

// usageRows returns the transaction that stores the counts of windows if none of them is stored.
func usageRows(windows []int64, acknowledged int64, counts func(int64) map[string]int64) (expected []platform.Precondition,
	puts []platform.Row, err error) {
	for _, w := range windows {
		value, err := json.Marshal(usageRow{Counts: counts(w), Acknowledged: acknowledged})
		if err != nil {
			return nil, nil, err
		}
		key := strconv.FormatInt(w, 10)
		expected = append(expected, platform.Precondition{Table: usageTable, Key: key})
		puts = append(puts, platform.Row{Table: usageTable, Key: key, Value: value})
	}
	return expected, puts, nil
}

// adopt takes over a stored row. The caller holds m.mu.
func (m *Metering) adopt(r platform.Row) {
	window, err := strconv.ParseInt(r.Key, 10, 64)
	var row usageRow
	if err == nil {
		err = json.Unmarshal(r.Value, &row)
	}
	if err != nil {
		m.opts.Log.Error("row of a usage window not decoded; ignoring it", "key", r.Key, "error", err)
		if window == 0 {
			return
		}
	} else if m.pending[window] == nil {
		if row.Counts == nil {
			row.Counts = make(map[string]int64)
		}
		m.pending[window] = &pendingReport{counts: row.Counts}
	}
	m.stored = append(m.stored, window)
	m.next, m.acknowledged = max(m.next, window+1), max(m.acknowledged, row.Acknowledged)
}

// removable returns the keys of rows that are not needed any more.
func (m *Metering) removable() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var keys []string
	for _, w := range m.stored {
		if w > m.acknowledged || w >= m.next-keptWindows {
			break
		}
		keys = append(keys, strconv.FormatInt(w, 10))
	}
	return keys
}

func (m *Metering) remove(ctx context.Context, keys []string) error {
	if err := m.opts.Store.Remove(ctx, usageTable, keys); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored = m.stored[len(keys):]
	return nil
}
