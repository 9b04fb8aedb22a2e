package duty

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	usageTable = "usage"
	// settleEarliest is the time after the end of a window before which it is not settled. Gateways send the last counts of a window
	// within some hundred milliseconds of its end.
	settleEarliest = 1500 * time.Millisecond
	// settleLatest is the time after the end of a window at which it is settled although a gateway that reported before has not
	// closed it. It leaves time for a change of the holder and for repeats before a report is due.
	settleLatest = 4 * time.Second
	// lateFraction bounds settleLatest by the time after which a report is late.
	lateFraction = 0.4
	// gatherTime is the time after the lease was acquired in which the other gateways send what they counted.
	gatherTime = 1500 * time.Millisecond
	// firstMargin is how long before the first holder another gateway may have started.
	firstMargin = 2 * time.Second
	// maxBatch limits the windows that are settled in one transaction.
	maxBatch = 32
	// maxGap limits the windows without a row that are reported after a time in which nothing could be settled.
	maxGap = 720
	// keptWindows is the number of settled windows whose rows are kept. Rows of reports that are not acknowledged are kept, too.
	keptWindows = 64
	// removeBatch is the least number of rows that are removed at once.
	removeBatch = 16
	// settleInterval and sendInterval are the pauses between two steps.
	settleInterval = 200 * time.Millisecond
	sendInterval   = 50 * time.Millisecond
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed report. It doubles with each failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// rejectedDelay is the pause before a report is repeated that was answered with a status that a repeat is unlikely to change. Other
	// reports are sent meanwhile.
	rejectedDelay = 5 * time.Second
)

// MeteringStore is the part of the platform's store that Metering uses.
type MeteringStore interface {
	List(ctx context.Context, table string) (platform.Page, error)
	Commit(ctx context.Context, expected []platform.Precondition, puts []platform.Row) (int64, []platform.Row, bool, error)
	Remove(ctx context.Context, table string, keys []string) error
}

// MeteringOptions configure a Metering. All fields are required.
type MeteringOptions struct {
	Store  MeteringStore
	Epoch  func() int64                                             // of the lease if this gateway holds it, or zero
	Era    func() int64                                             // latest one of the store that this process knows
	Report func(ctx context.Context, call platform.CloudCall) error // as Client.Report
	Ledger *usage.Ledger
	Window time.Duration // length of a window
	Late   time.Duration // from the end of a window until its report is due
	Clock  bootclock.Clock
	Wall   func() time.Time
	Log    *slog.Logger
}

// pendingReport is a settled window whose report has not been acknowledged.
type pendingReport struct {
	counts   map[string]int64
	notUntil time.Duration // when it may be sent again
	sends    int
}

// Metering settles the windows of usage and reports them while its gateway holds the lease. A window is settled by the first write of
// its row; what is sent is what the row contains. It is safe for concurrent use.
type Metering struct {
	opts    MeteringOptions
	started time.Time

	mu           sync.Mutex
	epoch        int64 // of the lease for which the fields below were read from the store, or zero
	era          int64 // of the store in which the rows were last read or written again
	firstKnown   int64 // era of the store that this process knew first
	known        int64 // latest one that it knows
	knownSince   time.Time
	acquiredAt   time.Duration
	next         int64                    // first window to settle
	acknowledged int64                    // all reports up to this window are acknowledged
	pending      map[int64]*pendingReport // by window
	// counts are those of the settled windows after acknowledged, which may have to be written again.
	counts       map[int64]map[string]int64
	stored       []int64 // windows with a row, ascending
	batch        int     // windows that the next transaction may settle
	retryStoreAt time.Duration
	retrySendAt  time.Duration
	backoff      time.Duration
	stats        MeteringStats
}

// MeteringStats are counters since the start of the process.
type MeteringStats struct {
	Settled      int64         // windows whose row this gateway wrote
	Acknowledged int64         // reports that got status 200
	Overdue      int64         // of them, after they were due
	Pending      int64         // settled windows without an acknowledgement, now
	LastLateness time.Duration // from the end of the window to the last acknowledgement
}

// NewMetering returns a Metering. Call Run to start it.
func NewMetering(opts MeteringOptions) *Metering { return &Metering{opts: opts, started: opts.Wall()} }

// Stats returns the counters.
func (m *Metering) Stats() MeteringStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	if m.opts.Epoch() == m.epoch {
		s.Pending = int64(len(m.pending))
	}
	return s
}

// Run settles and reports windows while the lease is held. It returns the error of ctx when ctx ends.
func (m *Metering) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	repeat := func(step func(context.Context), pause time.Duration) func() error {
		return func() error {
			for {
				if err := background.Sleep(ctx, pause); err != nil {
					return err
				}
				step(ctx)
			}
		}
	}
	group.Go(repeat(m.Settle, settleInterval))
	group.Go(repeat(m.Send, sendInterval))
	return group.Wait()
}

// Settle reads the rows after the lease was acquired, or else writes those again that the store lost in a restore, or else writes the rows of the windows that are due, or else removes old rows.
// Settle must not be called concurrently with itself.
func (m *Metering) Settle(ctx context.Context) {
	epoch, now := m.opts.Epoch(), m.opts.Clock()
	m.mu.Lock()
	if era := m.opts.Era(); era > m.known {
		m.known, m.knownSince = era, m.opts.Wall()
		if m.firstKnown == 0 {
			m.firstKnown = era
		}
	}
	current, lost, retryAt := m.epoch == epoch, m.era < m.known, m.retryStoreAt
	m.mu.Unlock()
	if epoch == 0 || now < retryAt {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if !current {
		err = m.load(call, epoch)
	} else if lost {
		err = m.rewriteLost(call, epoch)
	} else if windows := m.due(now); len(windows) > 0 {
		err = m.settle(call, epoch, windows)
	} else if keys := m.removable(); len(keys) >= removeBatch {
		err = m.remove(call, keys)
	}
	if err != nil {
		m.mu.Lock()
		m.retryStoreAt = m.opts.Clock() + storeRetryDelay
		m.mu.Unlock()
		m.opts.Log.Warn("usage windows not settled; retrying", "error", err)
	}
}

// due returns the windows to settle now, in order.
func (m *Metering) due(now time.Duration) []int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.acquiredAt < gatherTime {
		return nil
	}
	wall := m.opts.Wall()
	current := usage.WindowAt(wall, m.opts.Window)
	if current-m.next > maxGap {
		m.opts.Log.Error("usage windows are too old to be reported", "from", m.next, "to", current-maxGap-1)
		m.next = current - maxGap
	}
	latest := min(settleLatest, time.Duration(lateFraction*float64(m.opts.Late)))
	var windows []int64
	for w := m.next; len(windows) < m.batch; w++ {
		since := wall.Sub(usage.WindowEnd(w, m.opts.Window))
		if since < min(settleEarliest, latest) || (since < latest && !m.opts.Ledger.Complete(w, wall)) {
			break
		}
		windows = append(windows, w)
	}
	return windows
}

// settle writes the rows of windows. If some exist already, it takes over these.
func (m *Metering) settle(ctx context.Context, epoch int64, windows []int64) error {
	m.mu.Lock()
	acknowledged, era := m.acknowledged, m.era
	m.mu.Unlock()
	expected, puts, err := usageRows(windows, acknowledged, era, m.opts.Ledger.Totals)
	if err != nil {
		return err
	}
	_, rows, held, err := m.opts.Store.Commit(ctx, expected, puts)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch != epoch {
		return nil // the rows are read again
	}
	m.batch = 1 // a row exists; the ones before it may not
	if held {
		rows, m.batch = puts, maxBatch
		m.stats.Settled += int64(len(windows))
	}
	stored := make(map[string]platform.Row, len(rows))
	for _, r := range rows {
		stored[r.Key] = r
	}
	for _, w := range windows {
		r, ok := stored[strconv.FormatInt(w, 10)]
		if !ok {
			break
		}
		m.adopt(r)
		m.opts.Log.Info("usage window settled", "window", w, "counts", string(r.Value), "written", held,
			"after", m.opts.Wall().Sub(usage.WindowEnd(w, m.opts.Window)))
	}
	m.opts.Ledger.Settle(m.next - 1)
	return nil
}

// Send sends the oldest report that may be sent now. Send must not be called concurrently with itself.
func (m *Metering) Send(ctx context.Context) {
	window, report, epoch := m.nextReport()
	if report == nil {
		return
	}
	err := m.opts.Report(ctx, platform.UsageReport{Window: window, Counts: report.counts})
	if errors.Is(err, ErrNotHolder) || errors.Is(err, ErrRate) || ctx.Err() != nil {
		return
	}
	lateness := m.opts.Wall().Sub(usage.WindowEnd(window, m.opts.Window))
	m.mu.Lock()
	defer m.mu.Unlock()
	report.sends++
	var status *platform.CloudStatusError
	switch {
	case err == nil:
		m.opts.Log.Info("usage report acknowledged", "window", window, "token", epoch, "sends", report.sends, "after", lateness)
		m.backoff = 0
		m.stats.Acknowledged++
		m.stats.LastLateness = lateness
		if lateness > m.opts.Late {
			m.stats.Overdue++
		}
		if m.epoch == epoch {
			delete(m.pending, window)
			m.advanceAcknowledged()
		}
		return
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError && status.Status != http.StatusTooManyRequests:
		report.notUntil = m.opts.Clock() + rejectedDelay
	default:
		m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
		m.retrySendAt = m.opts.Clock() + m.backoff
	}
	m.opts.Log.Warn("usage report not acknowledged; it will be repeated", "window", window, "token", epoch, "sends", report.sends,
		"after", lateness, "error", err)
}

// nextReport returns the oldest report that may be sent now, or nil, and the epoch that it belongs to.
func (m *Metering) nextReport() (window int64, report *pendingReport, epoch int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock()
	if m.epoch == 0 || m.epoch != m.opts.Epoch() || now < m.retrySendAt {
		return 0, nil, 0
	}
	for w, r := range m.pending {
		if now >= r.notUntil && (report == nil || w < window) {
			window, report = w, r
		}
	}
	return window, report, m.epoch
}

// advanceAcknowledged sets acknowledged to the window before the first one without an acknowledgement. The caller holds m.mu.
func (m *Metering) advanceAcknowledged() {
	through := m.next - 1
	for w := range m.pending {
		through = min(through, w-1)
	}
	m.acknowledged = max(m.acknowledged, through)
	maps.DeleteFunc(m.counts, func(window int64, _ map[string]int64) bool { return window <= m.acknowledged })
}
