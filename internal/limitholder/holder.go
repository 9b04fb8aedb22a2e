package limitholder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// queryPageRows is the maximum number of lease rows in one query. A fleet of the design size has 7 × 64 rows.
const queryPageRows = 500

// Holder keeps the leases of a gateway and serves the shares of the partitions whose leases it holds. It is
// safe for concurrent use.
type Holder struct {
	opts           Options
	metrics        metrics
	roundRequested chan struct{} // receives a value when an early round is requested

	roundMu sync.Mutex // held by Round and Release, so that at most one write is in flight

	mu                  sync.Mutex               // guards the fields below; never held during a call
	leases              []*lease                 // leases of the gateway's own data centre, by partition
	foreignLeases       map[string][]*lease      // leases of other data centres, by data centre and partition
	foreignDataCentres  []string                 // keys of foreignLeases, sorted
	noGatewaySince      map[string]time.Duration // by data centre: when it was first seen without a gateway
	hasGateway          map[string]bool          // data centres with a gateway at the last round
	rows                map[leaseID]storedRow    // lease rows of the last successful read
	writes              int64                    // number of writes; part of the change ID
	loans               int64                    // number of loan requests; part of the loan ID
	shuttingDown        bool
	lastMembership      membership    // membership in the last snapshot that was checked
	snapshotCheckedAt   time.Duration // when the snapshot was last checked
	running             bool          // Run is running
	roundDone           chan struct{} // closed at the end of the next round
	roundWasRequested   bool          // a caller has requested a round
	requestedRoundAt    time.Duration // when the last requested round was due
	storeUnavailable    bool          // the last read of the table service failed
	roundCompleted      bool          // a round has ended, which requires a configuration
	ready               bool
	configurationSeen   bool
	configurationSeenAt time.Duration            // when a configuration was first seen
	unresponsiveUntil   map[string]time.Duration // by address: time until which it is called after the others
}

// New returns a Holder without leases.
func New(opts Options) *Holder {
	opts.setDefaults()
	h := &Holder{
		opts: opts, roundRequested: make(chan struct{}, 1), roundDone: make(chan struct{}),
		unresponsiveUntil: make(map[string]time.Duration),
		leases:            newLeases(opts.DataCentre, opts.Partitions), foreignLeases: make(map[string][]*lease),
		noGatewaySince: make(map[string]time.Duration), hasGateway: make(map[string]bool),
	}
	h.initMetrics()
	return h
}

// Run acquires and renews leases until ctx is done, then releases them and returns the error of the release.
func (h *Holder) Run(ctx context.Context) error {
	h.setRunning(true)
	defer h.setRunning(false)
	for {
		if err := h.Round(ctx); err != nil {
			h.opts.Log.Warn("limit lease round failed; the next round tries again", "error", err)
		}
		timer := time.NewTimer(h.nextRoundDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return h.Release(context.WithoutCancel(ctx))
		case <-timer.C:
		case <-h.roundRequested:
			timer.Stop()
			if background.Sleep(ctx, h.requestedRoundDelay()) != nil {
				return h.Release(context.WithoutCancel(ctx))
			}
		}
	}
}

// RequestRound requests an early round, for a caller that found no holder. It does not wait.
func (h *Holder) RequestRound() {
	select {
	case h.roundRequested <- struct{}{}:
	default:
	}
}

// Round reads the lease rows once and writes all rows of leases that have to be acquired, renewed or released
// together. It does nothing before the first configuration is known. If the table service does not answer, it
// returns an error and the leases stay as they are.
func (h *Holder) Round(ctx context.Context) error {
	if h.opts.Snapshot().Version() == 0 {
		return nil // the number of data centres is not known yet
	}
	h.roundMu.Lock()
	defer h.roundMu.Unlock()
	err := h.round(ctx)
	h.completeRound()
	return err
}

func (h *Holder) round(ctx context.Context) error {
	h.mu.Lock()
	h.membership()
	h.mu.Unlock()
	rows, err := h.readRows(ctx)
	h.mu.Lock()
	h.storeUnavailable = err != nil
	if err != nil {
		h.mu.Unlock()
		return err
	}
	h.rows = rows
	now := h.opts.Now()
	var due []*lease
	h.updateGatewayPresence(rows, now)
	for _, l := range h.allLeases() {
		h.observe(l, rows[l.leaseID()], now)
		if p := h.planWrite(l, rows, now); p != nil {
			l.pending = p
			due = append(due, l)
		}
	}
	h.mu.Unlock()
	return h.writePending(ctx, due)
}

func (h *Holder) readRows(ctx context.Context) (map[leaseID]storedRow, error) {
	var all []tablestore.Row
	for after := ""; ; {
		callCtx, cancel := context.WithTimeout(ctx, h.opts.StoreTimeout)
		rows, err := h.opts.Store.Query(callCtx, tablePartition, after, queryPageRows)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("read lease rows: %w", err)
		}
		all = append(all, rows...)
		if len(rows) < queryPageRows {
			return decodeRows(all)
		}
		after = rows[len(rows)-1].Key.Sort
	}
}

// writePending writes the pending rows of the leases in as few transactions as the table service allows.
func (h *Holder) writePending(ctx context.Context, due []*lease) error {
	var errs []error
	for chunk := range slices.Chunk(due, tablestore.MaxOps) {
		errs = append(errs, h.writeChunk(ctx, chunk))
	}
	return errors.Join(errs...)
}

// writeChunk writes pending rows in one transaction. If other gateways changed some of the rows, it writes the
// remaining ones in a second transaction.
func (h *Holder) writeChunk(ctx context.Context, due []*lease) error {
	for range 2 {
		if len(due) == 0 {
			return nil
		}
		err := h.writeOnce(ctx, due)
		var conflict *tablestore.PreconditionError
		if !errors.As(err, &conflict) {
			return h.recordOutcome(due, err)
		}
		due = h.dropConflicts(due, conflict)
	}
	return h.recordOutcome(due, tablestore.ErrPrecondition)
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
		ops = append(ops, tablestore.Op{Key: rowKey(l.dataCentre, l.partitionNumber), IfVersion: l.pending.ifVersion, Value: value})
	}
	h.writes++
	id := fmt.Sprintf("limit/%s/%d", h.opts.Incarnation, h.writes)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, h.opts.StoreTimeout)
	defer cancel()
	return h.opts.Store.Write(ctx, id, ops...)
}

// recordOutcome records the outcome of a write. After an unknown outcome the writes stay pending until the
// next read of the rows resolves them.
func (h *Holder) recordOutcome(due []*lease, err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	for _, l := range due {
		p := l.pending
		switch {
		case err == nil:
			l.pending = nil
			h.applyWrite(l, p, p.ifVersion+1, now)
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
		if conflicts[rowKey(l.dataCentre, l.partitionNumber)] {
			l.pending = nil
			continue
		}
		rest = append(rest, l)
	}
	return rest
}

// Release stops granting and marks the held rows as released, so that other gateways need not wait for the
// leases to expire. If it returns an error, the leases expire at the end of their term.
func (h *Holder) Release(ctx context.Context) error {
	h.roundMu.Lock()
	defer h.roundMu.Unlock()
	h.mu.Lock()
	h.shuttingDown = true
	var due []*lease
	for _, l := range h.allLeases() {
		l.pending = nil
		if !l.held {
			continue
		}
		l.pending = h.planRelease(l, h.opts.Now(), "shutdown")
		due = append(due, l)
	}
	h.mu.Unlock()
	return h.writePending(ctx, due)
}

// Holds reports whether this gateway holds a valid lease of the partition in any data centre.
func (h *Holder) Holds(partition int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if h.leases[partition].valid(now) {
		return true
	}
	for _, leases := range h.foreignLeases {
		if leases[partition].valid(now) {
			return true
		}
	}
	return false
}

// unresponsivePeriod is the time for which a holder that did not answer is called after all others, so that a
// crashed holder does not delay every request by a call timeout.
const unresponsivePeriod = 2 * time.Second

// call sends a message to another holder and records whether it answered.
func (h *Holder) call(ctx context.Context, address string, message *wirepb.Envelope) (*wirepb.Envelope, error) {
	reply, err := h.opts.Caller.Call(ctx, address, message)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.unresponsiveUntil[address] = h.opts.Now() + unresponsivePeriod
		return nil, err
	}
	delete(h.unresponsiveUntil, address)
	return reply, nil
}
