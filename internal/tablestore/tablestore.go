// Package tablestore is a client of the platform's transactional table service. Rows are versioned. A write is
// atomic over several rows, can require row versions as preconditions, and is idempotent by its write ID. Use
// DynamoDB to reach the table service and Memory in tests.
package tablestore

import (
	"context"
	"errors"
	"fmt"
)

// Errors of a Store. Get wraps ErrNotFound; Write wraps one of the other three.
var (
	// ErrNotFound reports that the row does not exist.
	ErrNotFound = errors.New("row not found")
	// ErrPrecondition reports that a precondition did not hold and nothing was written.
	ErrPrecondition = errors.New("precondition failed")
	// ErrUnavailable reports that the service refused the call or could not be reached, and that nothing was
	// written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnknown reports that the answer was lost and the write may or may not have been applied. The caller
	// can find out by reading a row that the write would have changed.
	ErrUnknown = errors.New("outcome of the write is unknown")
)

// Key identifies a row.
type Key struct {
	Partition string
	Sort      string
}

// String returns the key as "partition/sort".
func (k Key) String() string { return k.Partition + "/" + k.Sort }

// Row is a stored row. Version is the number of writes to the row, starting at 1; see Store.Write for Any.
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

// Op is an operation on one row: a put, unless Delete or Check is set.
type Op struct {
	Key       Key
	IfVersion int64  // version that the row must have, Absent or Any
	Value     []byte // new value; ignored if Delete or Check is set
	Delete    bool   // deletes the row
	Check     bool   // only checks the precondition and writes nothing
}

// PreconditionError lists the keys of the rows whose precondition did not hold. It wraps ErrPrecondition.
type PreconditionError struct {
	Keys []Key
}

// Error implements error.
func (e *PreconditionError) Error() string { return fmt.Sprintf("%v: %v", ErrPrecondition, e.Keys) }

// Unwrap returns ErrPrecondition.
func (e *PreconditionError) Unwrap() error { return ErrPrecondition }

// Store is the interface to the table service. Reads are strongly consistent. Implementations do not retry, so
// that each caller can decide about retries within its own deadline.
type Store interface {
	// Get returns the row at key, or an error that wraps ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key Key) (Row, error)
	// Query returns up to limit rows of a partition whose sort key is greater than after, in ascending order of
	// the sort key. An empty after starts at the first row. Its error wraps ErrUnavailable if the service did
	// not answer.
	Query(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Write applies all ops or none. If a write was applied, a repeat with the same writeID and ops succeeds
	// without being applied again, and one with the same writeID and other ops fails. An op with IfVersion set
	// to a version n or Absent leaves the row at version n+1; an op with Any is allowed only for rows whose
	// version is not used.
	Write(ctx context.Context, writeID string, ops ...Op) error
}
