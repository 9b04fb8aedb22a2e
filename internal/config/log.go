package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

const (
	partitionConfig   = "config"
	partitionEntity   = "config-entity"
	partitionChangeID = "config-change-id"
	headSortKey       = "head"
	changeSortPrefix  = "change/"

	// MaxEntitiesPerChange is the largest number of entities in one change. Together with the rows of the head, the
	// change and the change ID, it stays below the table service's limit of 100 rows per transaction.
	MaxEntitiesPerChange = 90
	// MaxChangesPerPage is the largest number of changes that one call of Since returns.
	MaxChangesPerPage = 200

	maxEntitiesPerPage  = 500
	maxFieldBytes       = 2048
	maxWriteAttempts    = 3
	initialWriteBackoff = 100 * time.Millisecond
)

// ErrChangeIDReused reports that a change ID belongs to an accepted change with other entities.
var ErrChangeIDReused = errors.New("change ID belongs to another change")

// ConflictError reports that a change was not accepted because other changes were accepted after the version
// on which it is based.
type ConflictError struct {
	Base    int64    // head version on which the change is based
	Head    int64    // head version when the conflict was detected
	Changes []Change // accepted after Base, oldest first; if more than MaxChangesPerPage, only the newest
}

// Error implements error.
func (e *ConflictError) Error() string {
	var summaries []string
	for _, c := range e.Changes {
		summaries = append(summaries, fmt.Sprintf("%d by %s: %s", c.Version, c.Author, c.Action))
	}
	return fmt.Sprintf("configuration changed from version %d to %d: %s", e.Base, e.Head, strings.Join(summaries, "; "))
}

// OutcomeUnknownError reports that it could not be determined whether a change was accepted. It is safe to retry the
// same change with the same change ID. It wraps tablestore.ErrUnknown.
type OutcomeUnknownError struct{ ChangeID string }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown; retry with the same change ID", e.ChangeID)
}

// Unwrap returns tablestore.ErrUnknown.
func (e *OutcomeUnknownError) Unwrap() error { return tablestore.ErrUnknown }

// Log reads and appends to the change log in the table service. It is safe for concurrent use.
type Log struct {
	store tablestore.Store
	sleep func(ctx context.Context, d time.Duration) error
}

// NewLog returns a Log that uses store.
func NewLog(store tablestore.Store) *Log { return &Log{store: store, sleep: background.Sleep} }

// WithSleep returns a Log on the same store that calls f to wait between write attempts after a lost answer.
// f returns an error if the context ended.
func (l *Log) WithSleep(f func(ctx context.Context, d time.Duration) error) *Log {
	return &Log{store: l.store, sleep: f}
}

func changeKey(version int64) tablestore.Key {
	return tablestore.Key{Partition: partitionConfig, Sort: fmt.Sprintf("%s%012d", changeSortPrefix, version)}
}

func headKey() tablestore.Key { return tablestore.Key{Partition: partitionConfig, Sort: headSortKey} }

func changeIDKey(id string) tablestore.Key {
	return tablestore.Key{Partition: partitionChangeID, Sort: id}
}

// Head returns the version of the newest accepted change, 0 if there is none. It returns the version of the
// head row, which equals the version of the change because each change writes that row once.
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

// Change returns the change accepted at version, or an error that wraps tablestore.ErrNotFound.
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

// Since returns up to MaxChangesPerPage changes accepted after version, oldest first. It returns an error if
// the versions are not consecutive.
func (l *Log) Since(ctx context.Context, version int64) ([]Change, error) {
	rows, err := l.store.Query(ctx, partitionConfig, changeKey(version).Sort, MaxChangesPerPage)
	if err != nil {
		return nil, fmt.Errorf("read changes after %d: %w", version, err)
	}
	var changes []Change
	for _, row := range rows {
		if !strings.HasPrefix(row.Key.Sort, changeSortPrefix) {
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

// CatchUp returns a snapshot with all changes applied that were accepted after the version of s.
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
		if len(changes) < MaxChangesPerPage {
			return s, nil
		}
	}
}

// Load reads the whole configuration. A change may be accepted while the entity rows are read, so Load reads
// the head first and at the end applies the changes accepted after it.
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
		rows, err := l.store.Query(ctx, partitionEntity, after, maxEntitiesPerPage)
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
		if len(rows) < maxEntitiesPerPage {
			break
		}
	}
	if s, err = s.Apply(head, nil); err != nil {
		return nil, err
	}
	return l.CatchUp(ctx, s)
}

// Find returns the version of the change with the given ID, or an error that wraps tablestore.ErrNotFound.
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
