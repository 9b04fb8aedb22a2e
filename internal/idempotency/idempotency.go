// Package idempotency makes calls with an Idempotency-Key run at most once. Before a call is dispatched it is
// claimed by a row of the table service; afterwards its outcome is recorded in that row and returned to
// repeats of the call.
package idempotency

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

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

const (
	// maxClaimRounds bounds how often one Claim writes the row and, if the row exists or the answer is lost, reads it
	// to find out which attempt holds it.
	maxClaimRounds = 3
	// backlogSize bounds the outcomes and releases that wait while the table service does not answer.
	backlogSize   = 256
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 5 * time.Second
	// claimedVersion is the version of a claim row after its first write.
	claimedVersion = 1
	// DefaultMaxBodyBytes is the default maximum size of a recorded body, in bytes. A row of the table service holds
	// 400 KB, and JSON encodes the body as base64.
	DefaultMaxBodyBytes = 256 << 10
)

// Outcome is the recorded response to a call.
type Outcome struct {
	Status  int                 `json:"status"`
	Headers map[string][]string `json:"headers,omitempty"`
	Body    []byte              `json:"body,omitempty"`
	// Truncated reports that the body exceeded the maximum size and was not recorded.
	Truncated bool `json:"truncated,omitempty"`
}

// record is the value of a claim row.
type record struct {
	Attempt  string   `json:"attempt"`
	BodyHash string   `json:"body_hash"`
	Outcome  *Outcome `json:"outcome,omitempty"`
}

// Claim is the exclusive right of this process to dispatch a call.
type Claim struct {
	key    tablestore.Key
	record record
}

// Request identifies a call to claim.
type Request struct {
	Scope     string // organisation, or a fixed name for the callers of a service that is open to all
	Key       string // value of the Idempotency-Key header
	AttemptID string // unique for each attempt
	BodyHash  string // result of BodyHash
}

// Options configures a Book. All fields are required.
type Options struct {
	Store   tablestore.Store
	Log     *slog.Logger
	Timeout time.Duration // timeout of one call to the table service
}

// Claims claims calls and records their outcomes. It is safe for concurrent use.
type Claims struct {
	opts    Options
	backlog *background.Queue[task]
	pending atomic.Int64 // tasks in the backlog or being retried by Run
}

type task struct {
	claim   Claim
	outcome *Outcome // nil releases the claim
}

// New returns a Book. Outcomes and releases are retried only while Run is running.
func New(opts Options) *Claims {
	return &Claims{opts: opts, backlog: background.NewQueue[task](backlogSize)}
}

// RowKey returns the key of the row that holds the claim of a call: the partition is "claim/" and the scope, the
// sort key the hexadecimal SHA-256 of the idempotency key.
func RowKey(scope, idempotencyKey string) tablestore.Key {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return tablestore.Key{Partition: "claim/" + scope, Sort: hex.EncodeToString(sum[:])}
}

// BodyHash returns a hash of the parts of a call, in hexadecimal. A repeat with another hash is refused.
func BodyHash(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(part))
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Claim claims a call before its dispatch. It returns either a claim, or the outcome of an earlier attempt, or
// an error of kind IdempotencyInProgress, IdempotencyMismatch or StoreUnavailable. The call may be dispatched
// only if a claim is returned.
func (b *Claims) Claim(ctx context.Context, r Request) (*Claim, *Outcome, error) {
	claim := &Claim{
		key:    RowKey(r.Scope, r.Key),
		record: record{Attempt: r.AttemptID, BodyHash: r.BodyHash},
	}
	var err error
	uncertain := false
	for range maxClaimRounds {
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
		// A write may still take effect. The release enqueued here removes its row, which would otherwise make
		// repeats of the call fail as in progress.
		b.enqueue(task{claim: *claim}, err)
	}
	return nil, nil, errkind.Wrap(errkind.StoreUnavailable, err, "claim the call")
}

// resolve returns the result of Claim for the row that was found.
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

func (b *Claims) read(ctx context.Context, key tablestore.Key) (record, error) {
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

func (b *Claims) write(ctx context.Context, changeID string, key tablestore.Key, version int64, value *record) error {
	ctx, cancel := context.WithTimeout(ctx, b.opts.Timeout)
	defer cancel()
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	return b.opts.Store.Write(ctx, changeID, tablestore.Op{Key: key, IfVersion: version, Value: encoded})
}

// Record records the outcome of a claimed call. If the table service does not answer, Run retries the outcome;
// until it is recorded, a repeat of the call fails with IdempotencyInProgress.
func (b *Claims) Record(ctx context.Context, c Claim, outcome Outcome) {
	b.executeOrEnqueue(ctx, task{claim: c, outcome: &outcome})
}

// Release removes the claim of a call that certainly did not run. If the table service does not answer, Run
// retries the removal.
func (b *Claims) Release(c Claim) {
	b.executeOrEnqueue(context.Background(), task{claim: c})
}

func (b *Claims) executeOrEnqueue(ctx context.Context, t task) {
	done, err := b.execute(context.WithoutCancel(ctx), t)
	if !done {
		b.enqueue(t, err)
	}
}

// enqueue adds a task to the backlog. If the backlog is full, the claim stays without an outcome, so that the
// call never runs again.
func (b *Claims) enqueue(t task, err error) {
	b.pending.Add(1)
	if !b.backlog.Offer(t) {
		b.pending.Add(-1)
		b.opts.Log.Error("claim left without an outcome; repeats of the call may be refused as in progress",
			"row", t.claim.key.String(), "reason", "retry backlog is full", "error", err)
	}
}

// execute tries a task once and reports whether it is finished.
func (b *Claims) execute(ctx context.Context, t task) (bool, error) {
	var err error
	if t.outcome == nil {
		err = b.remove(ctx, t.claim)
	} else {
		value := t.claim.record
		value.Outcome = t.outcome
		err = b.write(ctx, t.claim.changeID("outcome"), t.claim.key, claimedVersion, &value)
	}
	if errors.Is(err, tablestore.ErrPrecondition) {
		// Either an earlier write of this task took effect, or the row no longer belongs to this claim.
		return true, nil
	}
	return err == nil, err
}

// remove deletes the row if it belongs to this claim and has no outcome. If the answer to the claim was lost,
// a missing row may still appear, so remove returns ErrNotFound and the removal is retried.
func (b *Claims) remove(ctx context.Context, c Claim) error {
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

// Pending returns the number of outcomes and releases that are not yet written to the table service.
func (b *Claims) Pending() int64 { return b.pending.Load() }
