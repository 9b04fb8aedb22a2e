package limitholder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// queryPage is the number of lease rows read by one query. The design size has 7 × 64 rows.
const queryPage = 500

// Holder holds the leases of its gateway and serves the shares of the partitions that it holds.
type Holder struct {
	opts    Options
	metrics metrics
	kick    chan struct{}

	roundMu sync.Mutex // held by Round and HandBack, so that one write is under way at a time

	mu           sync.Mutex               // guards the fields below; never held during a call
	leases       []*lease                 // of the own data centre, by partition
	foreign      map[string][]*lease      // of other data centres
	foreignOrder []string                 // names in foreign, in order
	abandoned    map[string]time.Duration // since when a data centre is without a gateway
	attended     map[string]bool          // data centres with a gateway
	rows         map[place]storedRow      // as read last
	writes       int64                    // for change IDs
	loans        int64                    // for loan IDs
	closing      bool
	members      membership    // of the snapshot seen last
	checkedAt    time.Duration // when the snapshot was looked at last
	running      bool          // Run keeps the leases
	roundDone    chan struct{} // closed at the end of the next round
	readAt       time.Duration // end of the last round
	away         bool          // the table service did not answer the last read
	tried        bool          // a round ended, so that the configuration had arrived
	ready        bool
	configured   bool
	configuredAt time.Duration            // when the configuration was first seen
	avoided      map[string]time.Duration // until when an address that did not answer is tried last
}

// New returns a holder that holds nothing yet.
func New(opts Options) *Holder {
	opts.setDefaults()
	h := &Holder{
		opts: opts, kick: make(chan struct{}, 1), roundDone: make(chan struct{}), avoided: make(map[string]time.Duration),
		leases: newLeases(opts.DataCentre, opts.Partitions), foreign: make(map[string][]*lease),
		abandoned: make(map[string]time.Duration), attended: make(map[string]bool),
	}
	h.publish()
	return h
}

// Run keeps the leases until ctx ends, and then hands them back.
func (h *Holder) Run(ctx context.Context) error {
	h.setRunning(true)
	defer h.setRunning(false)
	for {
		if err := h.Round(ctx); err != nil {
			h.opts.Log.Warn("limit leases not refreshed", "error", err)
		}
		timer := time.NewTimer(h.pause())
		select {
		case <-ctx.Done():
			timer.Stop()
			return h.HandBack(context.WithoutCancel(ctx))
		case <-timer.C:
		case <-h.kick:
			timer.Stop()
			if duty.Sleep(ctx, h.kickPause()) != nil {
				return h.HandBack(context.WithoutCancel(ctx))
			}
		}
	}
}

// Refresh asks for an early read of the lease rows, for a caller that found no holder.
func (h *Holder) Refresh() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// Round reads the lease rows once and renews or takes over what is due in one write. It returns an error
// if the table service did not answer; the leases then stay as they are.
func (h *Holder) Round(ctx context.Context) error {
	if h.opts.Snapshot().Version() == 0 {
		return nil // the number of data centres is not known yet
	}
	h.roundMu.Lock()
	defer h.roundMu.Unlock()
	err := h.round(ctx)
	h.finished()
	return err
}

func (h *Holder) round(ctx context.Context) error {
	h.mu.Lock()
	h.membership()
	h.mu.Unlock()
	rows, err := h.read(ctx)
	h.mu.Lock()
	h.away = err != nil
	if err != nil {
		h.mu.Unlock()
		return err
	}
	h.rows = rows
	now := h.opts.Now()
	var due []*lease
	h.findAbandoned(rows, now)
	for _, l := range h.allLeases() {
		h.observe(l, rows[l.place()], now)
		if p := h.plan(l, rows, now); p != nil {
			l.pending = p
			due = append(due, l)
		}
	}
	h.mu.Unlock()
	return h.write(ctx, due)
}

func (h *Holder) read(ctx context.Context) (map[place]storedRow, error) {
	var all []tablestore.Row
	for after := ""; ; {
		callCtx, cancel := context.WithTimeout(ctx, h.opts.StoreTimeout)
		rows, err := h.opts.Store.Query(callCtx, rowPartition, after, queryPage)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("read lease rows: %w", err)
		}
		all = append(all, rows...)
		if len(rows) < queryPage {
			return decodeRows(all)
		}
		after = rows[len(rows)-1].Key.Sort
	}
}

// write writes the pending rows of the leases in as few transactions as the table service allows.
func (h *Holder) write(ctx context.Context, due []*lease) error {
	var errs []error
	for chunk := range slices.Chunk(due, tablestore.MaxOps) {
		errs = append(errs, h.writeChunk(ctx, chunk))
	}
	return errors.Join(errs...)
}

// writeChunk writes rows in one transaction. When other gateways changed some of the rows, it writes the
// rest once more.
func (h *Holder) writeChunk(ctx context.Context, due []*lease) error {
	for range 2 {
		if len(due) == 0 {
			return nil
		}
		err := h.writeOnce(ctx, due)
		var conflict *tablestore.PreconditionError
		if !errors.As(err, &conflict) {
			return h.settle(due, err)
		}
		due = h.dropConflicts(due, conflict)
	}
	return h.settle(due, tablestore.ErrPrecondition)
}

func (h *Holder) writeOnce(ctx context.Context, due []*lease) error {
	h.mu.Lock()
	ops := make([]tablestore.Op, 0, len(due))
	for _, l := range due {
		value, err := json.Marshal(l.pending.row)
		if err != nil {
			h.mu.Unlock()
			return fmt.Errorf("encode lease row: %w", err)
		}
		ops = append(ops, tablestore.Op{Key: rowKey(l.dataCentre, l.number), IfVersion: l.pending.ifVersion, Value: value})
	}
	h.writes++
	id := fmt.Sprintf("limit/%s/%d", h.opts.Incarnation, h.writes)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, h.opts.StoreTimeout)
	defer cancel()
	return h.opts.Store.Write(ctx, id, ops...)
}

// settle records the outcome of a write. After an unknown outcome the writes stay pending, and the next
// read resolves them.
func (h *Holder) settle(due []*lease, err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	for _, l := range due {
		p := l.pending
		switch {
		case err == nil:
			l.pending = nil
			h.adopt(l, p, p.ifVersion+1, now)
		case errors.Is(err, tablestore.ErrPrecondition), errors.Is(err, tablestore.ErrUnavailable):
			l.pending = nil
		}
	}
	if err != nil {
		return fmt.Errorf("write %d lease rows: %w", len(due), err)
	}
	return nil
}

func (h *Holder) dropConflicts(due []*lease, conflict *tablestore.PreconditionError) []*lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	conflicts := make(map[tablestore.Key]bool, len(conflict.Keys))
	for _, k := range conflict.Keys {
		conflicts[k] = true
	}
	var rest []*lease
	for _, l := range due {
		if conflicts[rowKey(l.dataCentre, l.number)] {
			l.pending = nil
			continue
		}
		rest = append(rest, l)
	}
	return rest
}

// HandBack stops granting and marks the rows as handed back, so that other gateways need not wait for the
// leases to lapse. After an error the leases lapse on their own.
func (h *Holder) HandBack(ctx context.Context) error {
	h.roundMu.Lock()
	defer h.roundMu.Unlock()
	h.mu.Lock()
	h.closing = true
	var due []*lease
	for _, l := range h.allLeases() {
		l.pending = nil
		if !l.held {
			continue
		}
		l.pending = h.planReturn(l, h.opts.Now(), "shutdown")
		due = append(due, l)
	}
	h.mu.Unlock()
	return h.write(ctx, due)
}

// Holds reports whether this gateway now holds a valid lease of the partition, of any data centre.
func (h *Holder) Holds(partition int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if h.leases[partition].valid(now) {
		return true
	}
	for _, leases := range h.foreign {
		if leases[partition].valid(now) {
			return true
		}
	}
	return false
}

// avoidPause is the time for which a holder that did not answer is tried only after the others, so that a
// dead one does not delay every request by the timeout of a call.
const avoidPause = 2 * time.Second

// call asks another holder and remembers whether it answered.
func (h *Holder) call(ctx context.Context, address string, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	reply, err := h.opts.Caller.Call(ctx, address, message)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.avoided[address] = h.opts.Now() + avoidPause
		return nil, err
	}
	delete(h.avoided, address)
	return reply, nil
}
