package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

const (
	partitionConfig   = "config"
	partitionEntity   = "config-entity"
	partitionChangeID = "config-change-id"
	sortHead          = "head"
	prefixChange      = "change/"

	// MaxEntities is the most entities of one change. With the head, the change and the change ID it
	// stays under the 100 rows that one transaction of the table service may hold.
	MaxEntities = 90
	// PageChanges is the most changes that one call of Since returns.
	PageChanges = 200

	pageEntities     = 500
	maxFieldBytes    = 2048
	resolveAttempts  = 3
	resolveFirstWait = 100 * time.Millisecond
)

// ErrIDReused says that a change ID belongs to another accepted change.
var ErrIDReused = errors.New("change ID belongs to another change")

// ConflictError says that a change was not accepted because others were accepted since the author's view.
type ConflictError struct {
	Base    int64    // version that the author saw
	Head    int64    // version now
	Changes []Change // accepted after Base, oldest first
}

// Error implements error.
func (e *ConflictError) Error() string {
	var told []string
	for _, c := range e.Changes {
		told = append(told, fmt.Sprintf("%d by %s: %s", c.Version, c.Author, c.Action))
	}
	return fmt.Sprintf("configuration moved from version %d to %d: %s", e.Base, e.Head, strings.Join(told, "; "))
}

// UnknownError says that the outcome of a change could not be found out. The same change may be sent
// again with the same change ID. It wraps tablestore.ErrUnknown.
type UnknownError struct{ ChangeID string }

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown; ask again with this change ID", e.ChangeID)
}

// Unwrap returns tablestore.ErrUnknown.
func (e *UnknownError) Unwrap() error { return tablestore.ErrUnknown }

// Log is the change log in the table service. It may be used from several goroutines.
type Log struct {
	store tablestore.Store
	pause func(ctx context.Context, d time.Duration) error
}

// NewLog returns the change log in store.
func NewLog(store tablestore.Store) *Log { return &Log{store: store, pause: duty.Sleep} }

// WithPause returns a log on the same store whose waits between attempts to resolve a lost answer are done by
// f, which returns an error when the context ended.
func (l *Log) WithPause(f func(ctx context.Context, d time.Duration) error) *Log {
	return &Log{store: l.store, pause: f}
}

func changeKey(version int64) tablestore.Key {
	return tablestore.Key{Partition: partitionConfig, Sort: fmt.Sprintf("%s%012d", prefixChange, version)}
}

func headKey() tablestore.Key { return tablestore.Key{Partition: partitionConfig, Sort: sortHead} }

func changeIDKey(id string) tablestore.Key {
	return tablestore.Key{Partition: partitionChangeID, Sort: id}
}

// Head returns the version of the newest accepted change, 0 if there is none. The row's own version
// counts its writes and so equals it.
func (l *Log) Head(ctx context.Context) (int64, error) {
	row, err := l.store.Get(ctx, headKey())
	if errors.Is(err, tablestore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read configuration head: %w", err)
	}
	return row.Version, nil
}

// Change returns one accepted change, or an error that wraps tablestore.ErrNotFound.
func (l *Log) Change(ctx context.Context, version int64) (Change, error) {
	row, err := l.store.Get(ctx, changeKey(version))
	if err != nil {
		return Change{}, fmt.Errorf("read change %d: %w", version, err)
	}
	return decodeChange(row)
}

func decodeChange(row tablestore.Row) (Change, error) {
	var c Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Change{}, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return c, nil
}

// Since returns up to PageChanges changes accepted after version, oldest first and without a gap.
func (l *Log) Since(ctx context.Context, version int64) ([]Change, error) {
	rows, err := l.store.Query(ctx, partitionConfig, changeKey(version).Sort, PageChanges)
	if err != nil {
		return nil, fmt.Errorf("read changes after %d: %w", version, err)
	}
	var changes []Change
	for _, row := range rows {
		if !strings.HasPrefix(row.Key.Sort, prefixChange) {
			break
		}
		c, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		if c.Version != version+int64(len(changes))+1 {
			return nil, fmt.Errorf("change log has a gap before version %d", c.Version)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// CatchUp returns s with every change accepted after its version.
func (l *Log) CatchUp(ctx context.Context, s *Snapshot) (*Snapshot, error) {
	for {
		changes, err := l.Since(ctx, s.Version())
		if err != nil {
			return nil, err
		}
		if len(changes) == 0 {
			return s, nil
		}
		var entities []Entity
		for _, c := range changes {
			entities = append(entities, c.Entities...)
		}
		if s, err = s.Apply(changes[len(changes)-1].Version, entities); err != nil {
			return nil, err
		}
		if len(changes) < PageChanges {
			return s, nil
		}
	}
}

// Load reads the whole configuration. The entity rows may be read while a change is accepted, so the
// changes after the head that was read first are applied at the end.
func (l *Log) Load(ctx context.Context) (*Snapshot, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	s := new(Snapshot)
	if head == 0 {
		return s, nil
	}
	for after := ""; ; {
		rows, err := l.store.Query(ctx, partitionEntity, after, pageEntities)
		if err != nil {
			return nil, fmt.Errorf("read configuration entities: %w", err)
		}
		entities := make([]Entity, len(rows))
		for i, row := range rows {
			if err := json.Unmarshal(row.Value, &entities[i]); err != nil {
				return nil, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			after = row.Key.Sort
		}
		if s, err = s.Apply(0, entities); err != nil {
			return nil, err
		}
		if len(rows) < pageEntities {
			break
		}
	}
	if s, err = s.Apply(head, nil); err != nil {
		return nil, err
	}
	return l.CatchUp(ctx, s)
}

// Find returns the version of the change with that ID, or an error that wraps tablestore.ErrNotFound.
func (l *Log) Find(ctx context.Context, changeID string) (int64, error) {
	row, err := l.store.Get(ctx, changeIDKey(changeID))
	if err != nil {
		return 0, fmt.Errorf("read change ID %s: %w", changeID, err)
	}
	var version int64
	if err := json.Unmarshal(row.Value, &version); err != nil {
		return 0, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return version, nil
}
