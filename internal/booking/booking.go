// Package booking keeps claims and outcomes of calls with an Idempotency-Key as rows of the table service,
// so that such a call runs at most once and a repeat gets the recorded outcome.
package booking

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

const (
	// claimTries bounds the write and read rounds that resolve a lost answer within one request.
	claimTries = 3
	// backlogSize bounds the outcomes and releases that wait while the table service is away.
	backlogSize = 256
	retryMin    = 100 * time.Millisecond
	retryMax    = 5 * time.Second
	// claimedVersion is the version of a claim row after its first write.
	claimedVersion = 1
	// DefaultMaxBody bounds the recorded body, in bytes. A row of the table service holds 400 KB, and JSON
	// encodes the body as base64.
	DefaultMaxBody = 256 << 10
)

// Outcome is the recorded answer of a call.
type Outcome struct {
	Status  int                 `json:"status"`
	Headers map[string][]string `json:"headers,omitempty"`
	Body    []byte              `json:"body,omitempty"`
	// Truncated says that the body exceeded the bound and was not recorded.
	Truncated bool `json:"truncated,omitempty"`
}

// record is the value of a claim row.
type record struct {
	Attempt  string   `json:"attempt"`
	BodyHash string   `json:"body_hash"`
	Outcome  *Outcome `json:"outcome,omitempty"`
}

// Claim is a claim that this process holds.
type Claim struct {
	key    tablestore.Key
	record record
}

// Request names a call to claim.
type Request struct {
	Scope     string // organisation, or a name that stands for the callers of an open service
	Key       string // Idempotency-Key
	AttemptID string // new for each attempt
	BodyHash  string // from BodyHash
}

// Options configures a Book.
type Options struct {
	Store   tablestore.Store
	Log     *slog.Logger
	Timeout time.Duration // of one call to the table service
}

// Book claims calls and records outcomes.
type Book struct {
	opts    Options
	backlog *duty.Ring[task]
	pending atomic.Int64 // tasks in the backlog or being retried
}

type task struct {
	claim   Claim
	outcome *Outcome // nil: release the claim
}

// New returns a book. Run must run for outcomes to be retried.
func New(opts Options) *Book {
	return &Book{opts: opts, backlog: duty.NewRing[task](backlogSize)}
}

// RowKey returns the key of a claim row.
func RowKey(scope, idempotencyKey string) tablestore.Key {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return tablestore.Key{Partition: "claim/" + scope, Sort: hex.EncodeToString(sum[:])}
}

// BodyHash returns the hash by which a repeat is recognised as the same call.
func BodyHash(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(part))
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Claim claims a call before its dispatch. It returns a claim, or the outcome of an earlier attempt, or an
// error of kind IdempotencyInProgress, IdempotencyMismatch or StoreUnavailable. Only with a claim may the
// call be dispatched.
func (b *Book) Claim(ctx context.Context, r Request) (*Claim, *Outcome, error) {
	claim := &Claim{
		key:    RowKey(r.Scope, r.Key),
		record: record{Attempt: r.AttemptID, BodyHash: r.BodyHash},
	}
	var err error
	uncertain := false
	for range claimTries {
		err = b.write(ctx, claim.changeID("claim"), claim.key, tablestore.Absent, &claim.record)
		if err == nil {
			return claim, nil, nil
		}
		if errors.Is(err, tablestore.ErrUnavailable) {
			break
		}
		uncertain = uncertain || !errors.Is(err, tablestore.ErrPrecondition)
		row, readErr := b.read(ctx, claim.key)
		if readErr == nil {
			return claim.resolve(row)
		}
		if !errors.Is(readErr, tablestore.ErrNotFound) {
			err = readErr
			break
		}
	}
	if uncertain {
		// A write may still take effect; the release removes it then, so that a repeat isn't blocked.
		b.later(task{claim: *claim}, err)
	}
	return nil, nil, errkind.Wrap(errkind.StoreUnavailable, err, "claim the call")
}

// resolve decides by the row that was found.
func (c *Claim) resolve(row record) (*Claim, *Outcome, error) {
	switch {
	case row.BodyHash != c.record.BodyHash:
		return nil, nil, errkind.New(errkind.IdempotencyMismatch, "the key was used with another call")
	case row.Outcome != nil:
		return nil, row.Outcome, nil
	case row.Attempt == c.record.Attempt:
		return c, nil, nil
	}
	return nil, nil, errkind.New(errkind.IdempotencyInProgress, "attempt %s has no recorded outcome", row.Attempt)
}

func (c *Claim) changeID(action string) string { return c.record.Attempt + "/" + action }

func (b *Book) read(ctx context.Context, key tablestore.Key) (record, error) {
	ctx, cancel := context.WithTimeout(ctx, b.opts.Timeout)
	defer cancel()
	row, err := b.opts.Store.Get(ctx, key)
	if err != nil {
		return record{}, fmt.Errorf("read claim: %w", err)
	}
	var found record
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return record{}, fmt.Errorf("decode claim: %w", err)
	}
	return found, nil
}

func (b *Book) write(ctx context.Context, changeID string, key tablestore.Key, version int64, value *record) error {
	ctx, cancel := context.WithTimeout(ctx, b.opts.Timeout)
	defer cancel()
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	return b.opts.Store.Write(ctx, changeID, tablestore.Op{Key: key, IfVersion: version, Value: encoded})
}

// Record records the outcome of a claimed call. If the table service is away, the outcome is retried in
// the background, and until then a repeat is answered as in progress.
func (b *Book) Record(ctx context.Context, c Claim, outcome Outcome) {
	b.try(ctx, task{claim: c, outcome: &outcome})
}

// Release removes the claim of a call that certainly did not run.
func (b *Book) Release(c Claim) {
	b.try(context.Background(), task{claim: c})
}

func (b *Book) try(ctx context.Context, t task) {
	done, err := b.settle(context.WithoutCancel(ctx), t)
	if !done {
		b.later(t, err)
	}
}

// later puts a task into the backlog. A full backlog leaves the claim without an outcome, so that the call
// is never run again.
func (b *Book) later(t task, err error) {
	b.pending.Add(1)
	if !b.backlog.Offer(t) {
		b.pending.Add(-1)
		b.opts.Log.Error("claim left without an outcome", "row", t.claim.key.String(), "reason", "backlog is full", "error", err)
	}
}

// settle tries to finish a task once and reports whether it is done.
func (b *Book) settle(ctx context.Context, t task) (bool, error) {
	var err error
	if t.outcome == nil {
		err = b.remove(ctx, t.claim)
	} else {
		value := t.claim.record
		value.Outcome = t.outcome
		err = b.write(ctx, t.claim.changeID("outcome"), t.claim.key, claimedVersion, &value)
	}
	if errors.Is(err, tablestore.ErrPrecondition) {
		// Either an earlier write of this task took effect, or the row is not this claim any more.
		return true, nil
	}
	return err == nil, err
}

// remove deletes the row if it is this claim without an outcome. A row that isn't there yet may still
// appear when the claim's answer was lost, so absence is an error and removal is tried again.
func (b *Book) remove(ctx context.Context, c Claim) error {
	row, err := b.read(ctx, c.key)
	if err != nil {
		return err
	}
	if row.Attempt != c.record.Attempt || row.Outcome != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.opts.Timeout)
	defer cancel()
	op := tablestore.Op{Key: c.key, IfVersion: claimedVersion, Delete: true}
	return b.opts.Store.Write(ctx, c.changeID("release"), op)
}

// Pending returns how many outcomes and releases wait for the table service.
func (b *Book) Pending() int64 { return b.pending.Load() }
