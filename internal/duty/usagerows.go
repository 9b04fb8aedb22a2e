package duty

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"

	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/platform"
)

// usageRow is the value of the row of a settled window. It is written once.
type usageRow struct {
	Counts map[string]int64 `json:"counts"`
	// Acknowledged is the last window up to which all reports had been acknowledged when the row was written.
	Acknowledged int64 `json:"acknowledged"`
	// Era is the store's era in which the row was written, or zero from a release that did not record it.
	Era int64 `json:"era,omitempty"`
}

// load reads the settled windows. If there is none, it first marks where the reports begin. After a restore of the store from a copy it
// keeps what this process and its peers know of windows that the copy lacks.
func (m *Metering) load(ctx context.Context, epoch int64) error {
	page, err := m.opts.Store.List(ctx, usageTable)
	if err != nil {
		return err
	}
	m.mu.Lock()
	returned := m.next != 0 && m.era < rowversion.Era(page.Version)
	unsettled := m.firstUnsettled(page)
	m.mu.Unlock()
	skips := unsettled > m.firstAfter(page.Rows)
	if skips || len(page.Rows) == 0 && !returned {
		marker, err := m.begin(ctx, unsettled)
		if err != nil {
			return err
		}
		page.Rows = append(page.Rows, marker...)
	}
	if skips {
		m.opts.Log.Warn("usage windows without a row are not reported before this one", "window", unsettled)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch, m.acquiredAt, m.stored = epoch, m.opts.Clock(), nil
	m.retrySendAt, m.backoff, m.batch = 0, 0, maxBatch
	if !returned {
		m.next, m.acknowledged, m.era = 0, 0, rowversion.Era(page.Version)
		m.pending, m.counts = make(map[int64]*pendingReport), make(map[int64]map[string]int64)
	}
	for _, r := range page.Rows {
		m.adopt(r)
	}
	slices.Sort(m.stored)
	m.forgetAcknowledged()
	m.opts.Ledger.Settle(m.next - 1)
	m.opts.Log.Info("usage reports continue", "token", epoch, "next_window", m.next, "rows", len(page.Rows),
		"not_acknowledged", len(m.pending))
	return nil
}

// firstUnsettled returns the first window that no other gateway can have settled in a row that the store lost, or zero if there is no sign of
// such a row. A gateway tells its peers what it settled, and writes lost rows again. If no row was written in the present era, it may
// have ended, or be cut off, before it did either, and all windows count as settled that could be when this process learned of the era. The
// caller holds m.mu.
func (m *Metering) firstUnsettled(page platform.Page) int64 {
	first := int64(0)
	if settled := m.opts.Ledger.Settled(); settled > 0 {
		first = settled + 1
	}
	newest, era := int64(0), int64(0)
	for _, r := range page.Rows {
		var row usageRow
		if window, err := strconv.ParseInt(r.Key, 10, 64); err == nil && window >= newest && json.Unmarshal(r.Value, &row) == nil {
			newest, era = window, row.Era
		}
	}
	if len(page.Rows) == 0 {
		era = m.firstKnown
	}
	if era != 0 && era < rowversion.Era(page.Version) {
		first = max(first, usage.WindowAt(m.knownSince.Add(-settleEarliest), m.opts.Window))
	}
	return first
}

// forgetAcknowledged removes the windows whose reports are acknowledged. The caller holds m.mu.
func (m *Metering) forgetAcknowledged() {
	maps.DeleteFunc(m.pending, func(window int64, _ *pendingReport) bool { return window <= m.acknowledged })
	maps.DeleteFunc(m.counts, func(window int64, _ map[string]int64) bool { return window <= m.acknowledged })
}

// rewriteLost writes the rows of settled windows again that the store lost in a restore, so that the next holder repeats no
// report with other counts. It also writes the newest row, which tells the next holder that no other is missing.
func (m *Metering) rewriteLost(ctx context.Context, epoch int64) error {
	page, err := m.opts.Store.List(ctx, usageTable)
	if err != nil {
		return err
	}
	stored := make(map[string]platform.Row, len(page.Rows))
	for _, r := range page.Rows {
		stored[r.Key] = r
	}
	m.mu.Lock()
	counts, acknowledged, last := maps.Clone(m.counts), m.acknowledged, m.next-1
	m.mu.Unlock()
	newest, found := stored[strconv.FormatInt(last, 10)]
	var row usageRow
	if found && json.Unmarshal(newest.Value, &row) != nil {
		row = usageRow{}
	}
	if counts[last] == nil { // all reports up to it are acknowledged
		counts[last] = row.Counts
	}
	current := found && row.Era == rowversion.Era(page.Version) // written since the restore, perhaps by another holder
	var lost []int64
	for _, w := range slices.Sorted(maps.Keys(counts)) {
		if _, ok := stored[strconv.FormatInt(w, 10)]; !ok || w == last && !current {
			lost = append(lost, w)
		}
	}
	for windows := range slices.Chunk(lost, maxBatch) {
		if m.opts.Epoch() != epoch {
			return ErrNotHolder
		}
		expected, puts, err := usageRows(windows, acknowledged, rowversion.Era(page.Version), func(w int64) map[string]int64 { return counts[w] })
		if err != nil {
			return err
		}
		if windows[len(windows)-1] == last {
			expected[len(expected)-1].Version = newest.Version
		}
		if _, _, held, err := m.opts.Store.Commit(ctx, expected, puts); err != nil {
			return err
		} else if !held {
			return errors.New("rows of settled windows were written meanwhile")
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era = rowversion.Era(page.Version)
	m.stored = append(m.stored, lost...)
	slices.Sort(m.stored)
	m.stored = slices.Compact(m.stored)
	m.opts.Log.Warn("usage windows written again after the store was restored from a copy", "era", m.era, "rows", len(lost))
	return nil
}

// firstAfter returns the first window after those of the rows, and of those that this process settled. It is zero if there are none.
func (m *Metering) firstAfter(rows []platform.Row) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.next
	for _, r := range rows {
		if window, err := strconv.ParseInt(r.Key, 10, 64); err == nil {
			first = max(first, window+1)
		}
	}
	return first
}

// begin writes and returns a row for the window before the first one that is reported, so that every window from then on is reported
// whichever gateways end. No window before earliest is reported.
func (m *Metering) begin(ctx context.Context, earliest int64) ([]platform.Row, error) {
	first := usage.WindowAt(m.started.Add(-firstMargin), m.opts.Window)
	if oldest, ok := m.opts.Ledger.Oldest(); ok {
		first = min(first, oldest)
	}
	first = max(first, earliest)
	expected, puts, err := usageRows([]int64{first - 1}, first-1, m.opts.Era(), func(int64) map[string]int64 { return map[string]int64{} })
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
func usageRows(windows []int64, acknowledged, era int64, counts func(int64) map[string]int64) (expected []platform.Precondition,
	puts []platform.Row, err error) {
	for _, w := range windows {
		value, err := json.Marshal(usageRow{Counts: counts(w), Acknowledged: acknowledged, Era: era})
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
	if m.pending[window] != nil {
		m.counts[window] = m.pending[window].counts
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
