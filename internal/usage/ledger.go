// Package usage counts how many requests of each organisation began to run in each window of time, at one gateway and in the fleet.
// It reads no clock and calls nothing: times are passed in.
package usage

import (
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// reportInterval is the least time between two reports of the counts in windows that have not ended. A gateway that ends
	// without notice loses what it counted since.
	reportInterval = time.Second
	// closeDelay is the time after the end of a window in which requests that began before may still be counted.
	closeDelay = 100 * time.Millisecond
	// maxOpenWindows bounds the windows that are kept while none can be settled.
	maxOpenWindows = 720
	// maxClockSkew is how many windows another gateway's clock may be ahead. What it reports beyond is ignored.
	maxClockSkew = 2
	// foldDelay is the time without a change after which a window's counts of the other gateways are replaced by their sum.
	foldDelay = time.Minute
	// foldedSource stands for the gateways whose counts were replaced by their sum. It is not an incarnation.
	foldedSource = ""
)

// WindowAt returns the number of the window of the given length that contains t.
func WindowAt(t time.Time, length time.Duration) int64 {
	n := t.UnixNano() / int64(length)
	if t.UnixNano()%int64(length) < 0 {
		n--
	}
	return n
}

// WindowEnd returns the end of a window.
func WindowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// window holds the counts of one window by source and organisation.
type window struct {
	counts  map[string]map[string]int64
	changed time.Time // when the counts of another gateway last changed
	folded  bool      // counts[foldedSource] is the sum of the other gateways
}

func (w *window) of(source string) map[string]int64 {
	c := w.counts[source]
	if c == nil {
		c = make(map[string]int64)
		w.counts[source] = c
	}
	return c
}

// Ledger holds the counts of the windows that are not settled: those of this gateway, and those that other gateways reported to
// it. Counts are cumulative for each window, organisation and incarnation of a gateway, so that a repeated report changes
// nothing. It is safe for concurrent use.
type Ledger struct {
	length time.Duration
	own    string // incarnation of this gateway

	mu       sync.Mutex
	windows  map[int64]*window
	closed   map[string]int64 // last closed window, by incarnation
	settled  int64            // windows up to this one are settled
	late     int64            // requests reported after their window was settled
	report   *wirepb.UsageReport
	reportAt time.Time
}

// NewLedger returns an empty ledger of windows of the given length for the gateway with the given incarnation.
func NewLedger(length time.Duration, incarnation string) *Ledger {
	return &Ledger{length: length, own: incarnation, windows: make(map[int64]*window), closed: make(map[string]int64)}
}

// window returns a window that is not settled, or nil. The caller holds l.mu.
func (l *Ledger) window(number int64) *window {
	if number <= l.settled {
		return nil
	}
	w := l.windows[number]
	if w == nil {
		w = &window{counts: make(map[string]map[string]int64)}
		l.windows[number] = w
		for len(l.windows) > maxOpenWindows {
			oldest, _ := l.oldest()
			delete(l.windows, oldest)
			if oldest == number {
				return nil
			}
		}
	}
	return w
}

// oldest returns the oldest window with counts. The caller holds l.mu.
func (l *Ledger) oldest() (number int64, ok bool) {
	for n := range l.windows {
		if !ok || n < number {
			number, ok = n, true
		}
	}
	return number, ok
}

// Oldest returns the oldest window with counts, and whether there is one.
func (l *Ledger) Oldest() (number int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.oldest()
}

// Count counts a request of an organisation that began to run at this gateway now.
func (l *Ledger) Count(organisation string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.window(WindowAt(now, l.length)); w != nil {
		w.of(l.own)[organisation]++
	} else {
		l.late++
	}
}

// Receive adds a report of the gateway with the given incarnation. Counts that are lower than those known, or of settled windows, are
// ignored.
func (l *Ledger) Receive(incarnation string, report *wirepb.UsageReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := WindowAt(now, l.length) + maxClockSkew
	for _, c := range report.GetCounts() {
		source := c.GetSource()
		if source == "" {
			source = incarnation
		}
		if source == "" || source == l.own || c.GetWindow() > newest {
			continue
		}
		w := l.window(c.GetWindow())
		if w == nil || w.folded {
			l.late++
			continue
		}
		if counts := w.of(source); c.GetCount() > counts[c.GetOrganisation()] {
			counts[c.GetOrganisation()], w.changed = c.GetCount(), now
		}
	}
	if report.GetClosed() <= newest {
		l.closed[incarnation] = max(l.closed[incarnation], report.GetClosed())
	}
	if report.GetSettled() <= newest {
		l.settle(report.GetSettled())
	}
}

// Settle removes the windows up to the given one, whose counts are stored. Later reports of them are ignored.
func (l *Ledger) Settle(through int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(through)
}

// Settled returns the last window up to which all are settled, as far as this gateway knows, or zero.
func (l *Ledger) Settled() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settled
}

func (l *Ledger) settle(through int64) {
	if through <= l.settled {
		return
	}
	l.settled = through
	for n := range l.windows {
		if n <= through {
			delete(l.windows, n)
		}
	}
	for source, closed := range l.closed {
		if closed < through-1 {
			delete(l.closed, source)
		}
	}
}

// Totals returns the counts of a window by organisation, over all gateways. It is not nil.
func (l *Ledger) Totals(number int64) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make(map[string]int64)
	if w := l.windows[number]; w != nil {
		for _, counts := range w.counts {
			for organisation, n := range counts {
				totals[organisation] += n
			}
		}
	}
	return totals
}

// Complete reports whether all gateways that reported in the window or closed the one before have closed the window.
func (l *Ledger) Complete(number int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closedAt(now) < number {
		return false
	}
	for _, closed := range l.closed {
		if closed == number-1 {
			return false
		}
	}
	if w := l.windows[number]; w != nil {
		for source := range w.counts {
			if source != l.own && source != foldedSource && l.closed[source] < number {
				return false
			}
		}
	}
	return true
}

func (l *Ledger) closedAt(now time.Time) int64 { return WindowAt(now.Add(-closeDelay), l.length) - 1 }

// Late returns how many counts came too late for their window.
func (l *Ledger) Late() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late
}

// Report returns all counts of windows that are not settled, with the incarnation of each as its source, empty for this gateway's
// own. Counts of other gateways are included once their window has ended. The report must not be changed; the same one is returned
// until reportInterval has passed, a window has closed or been settled.
func (l *Ledger) Report(now time.Time) *wirepb.UsageReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	closed := l.closedAt(now)
	if age := now.Sub(l.reportAt); l.report != nil && age >= 0 && age < reportInterval && l.report.GetClosed() == closed &&
		l.report.GetSettled() == l.settled {
		return l.report
	}
	l.fold(now, closed)
	report := &wirepb.UsageReport{Closed: closed, Settled: l.settled}
	for n, w := range l.windows {
		for source, counts := range w.counts {
			if source == foldedSource || (source != l.own && n > closed) {
				continue
			}
			name := source
			if source == l.own {
				name = ""
			}
			for organisation, count := range counts {
				report.Counts = append(report.Counts,
					&wirepb.UsageCount{Window: n, Organisation: organisation, Count: count, Source: name})
			}
		}
	}
	l.report, l.reportAt = report, now
	return report
}

// fold bounds the memory while windows cannot be settled: it replaces the counts of the other gateways in old windows by their sum.
func (l *Ledger) fold(now time.Time, closed int64) {
	for n, w := range l.windows {
		if w.folded || n > closed || w.changed.IsZero() || now.Sub(w.changed) < foldDelay {
			continue
		}
		sum := make(map[string]int64)
		for source, counts := range w.counts {
			if source == l.own {
				continue
			}
			for organisation, count := range counts {
				sum[organisation] += count
			}
			delete(w.counts, source)
		}
		w.counts[foldedSource], w.folded = sum, true
	}
}
