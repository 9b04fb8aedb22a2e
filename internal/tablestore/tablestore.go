// Package tablestore is the client of the platform's transactional table service. Rows are versioned;
// writes are atomic over several rows, guarded by preconditions and named by a change ID.
package tablestore

import (
	"context"
	"errors"
	"fmt"
)

// Errors of a Store. Get wraps ErrNotFound; Write wraps one of the other three.
var (
	// ErrNotFound says that the row does not exist.
	ErrNotFound = errors.New("row not found")
	// ErrPrecondition says that a precondition did not hold and nothing was written.
	ErrPrecondition = errors.New("precondition failed")
	// ErrUnavailable says that the service refused the call and nothing was written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnknown says that the answer was lost and the write may or may not have taken effect. The
	// caller resolves it by reading a row that the write would have changed.
	ErrUnknown = errors.New("outcome of the write is unknown")
)

// Key names a row.
type Key struct {
	Partition string
	Sort      string
}

// String returns the key as "partition/sort".
func (k Key) String() string { return k.Partition + "/" + k.Sort }

// Row is one stored row. Version counts the writes of the row, from 1.
type Row struct {
	Key     Key
	Version int64
	Value   []byte
}

// Any and Absent are special values of Op.IfVersion.
const (
	Any    int64 = -1 // no precondition
	Absent int64 = 0  // the row must not exist
)

// Op is one part of a write.
type Op struct {
	Key       Key
	IfVersion int64  // version that the row must have, Absent or Any
	Value     []byte // new value; ignored by Delete and Check
	Delete    bool   // removes the row
	Check     bool   // only checks the precondition
}

// PreconditionError names the rows whose precondition did not hold. It wraps ErrPrecondition.
type PreconditionError struct {
	Keys []Key
}

// Error implements error.
func (e *PreconditionError) Error() string { return fmt.Sprintf("%v: %v", ErrPrecondition, e.Keys) }

// Unwrap returns ErrPrecondition.
func (e *PreconditionError) Unwrap() error { return ErrPrecondition }

// Store is the table service as pomelowheel uses it. Reads are strongly consistent. An implementation
// does not retry on its own, so that each caller decides within its own deadline.
type Store interface {
	// Get returns the row at key, or an error that wraps ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key Key) (Row, error)
	// Query returns up to limit rows of a partition whose sort key is greater than after, in order of
	// the sort key.
	Query(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Write applies all ops or none. A repeat with the same changeID and ops has no second effect
	// and succeeds if the first took effect. An op with IfVersion set to a version n or Absent leaves
	// the row at version n+1; an op with Any is allowed only for rows whose version is not used.
	Write(ctx context.Context, changeID string, ops ...Op) error
}
