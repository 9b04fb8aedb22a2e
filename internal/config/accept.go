package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// Accept validates a change, writes it in one transaction and returns its version. Change.Version is the
// head version on which the author based the change, and each entity's Version is the entity version on which
// it is based, 0 if the entity did not exist. Accept is idempotent by change ID: for a change that was already
// accepted it returns the version assigned the first time.
//
// Errors: *ValidationError, *ConflictError or ErrChangeIDReused if the change was not accepted, *OutcomeUnknownError if
// the outcome is unknown (retry with the same change ID), or an error that wraps
// tablestore.ErrUnavailable if the table service could not be reached and nothing was written.
func (l *Log) Accept(ctx context.Context, change Change) (int64, error) {
	if err := checkChangeFields(change); err != nil {
		return 0, err
	}
	version, err := l.acceptedVersion(ctx, change)
	if !errors.Is(err, tablestore.ErrNotFound) {
		return version, err
	}
	current, err := l.Load(ctx)
	if err != nil {
		return 0, err
	}
	if err := l.checkEntityVersions(ctx, current, change); err != nil {
		return 0, err
	}
	if err := Validate(current, change.Entities, change.Force); err != nil {
		return 0, err
	}
	change.Before = entitiesBefore(current, change.Entities)
	return l.write(ctx, change, current.Version())
}

// entitiesBefore returns the state in current of each of the entities, in the same order. An entity that does
// not exist in current is returned as deleted, at version 0.
func entitiesBefore(current *Snapshot, entities []Entity) []Entity {
	before := make([]Entity, len(entities))
	for i, e := range entities {
		existing, ok := current.Entity(e.ID())
		if !ok {
			existing = Entity{Kind: e.Kind, Name: e.Name, Deleted: true}
		}
		before[i] = existing
	}
	return before
}

// Check is a dry run of Accept: it checks the entity versions and validates the configuration, but writes
// nothing. It returns the configuration that would result, at the next version. Unlike Accept it does not
// check the other fields of the change, nor whether the change ID was used before. Errors: *ValidationError,
// *ConflictError, or the error of a read.
func (l *Log) Check(ctx context.Context, change Change) (*Snapshot, error) {
	current, err := l.Load(ctx)
	if err != nil {
		return nil, err
	}
	if err := l.checkEntityVersions(ctx, current, change); err != nil {
		return nil, err
	}
	if err := Validate(current, change.Entities, change.Force); err != nil {
		return nil, err
	}
	return current.Apply(current.Version()+1, withVersion(change.Entities, current.Version()+1))
}

func checkChangeFields(c Change) error {
	var v ValidationError
	for name, value := range map[string]string{"change ID": c.ID, "author": c.Author, "reason": c.Reason} {
		v.require(value != "", "%s is missing", name)
	}
	for name, value := range map[string]string{
		"change ID": c.ID, "author": c.Author, "reason": c.Reason, "action": c.Action, "affects": c.Affects,
	} {
		v.require(len(value) <= maxFieldBytes, "%s exceeds %d bytes", name, maxFieldBytes)
	}
	v.require(len(c.Entities) > 0, "the change contains no entities")
	v.require(len(c.Entities) <= MaxEntitiesPerChange,
		"the change contains %d entities, more than the limit of %d", len(c.Entities), MaxEntitiesPerChange)
	seen := make(map[EntityID]bool)
	for _, e := range c.Entities {
		v.require(!seen[e.ID()], "%s %q appears more than once in the change", e.Kind, e.Name)
		seen[e.ID()] = true
	}
	return v.errorOrNil()
}

// acceptedVersion returns the version of a change that was accepted earlier, an error that wraps
// tablestore.ErrNotFound if its ID is not in the log, or one that wraps ErrChangeIDReused if the ID belongs to a
// change with other entities.
func (l *Log) acceptedVersion(ctx context.Context, change Change) (int64, error) {
	version, err := l.Find(ctx, change.ID)
	if err != nil {
		return 0, err
	}
	stored, err := l.Change(ctx, version)
	if err != nil {
		return 0, err
	}
	if !equalEntities(stored.Entities, change.Entities) {
		return 0, fmt.Errorf("change ID %s, version %d: %w", change.ID, version, ErrChangeIDReused)
	}
	return version, nil
}

func equalEntities(a, b []Entity) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID() != b[i].ID() || a[i].Deleted != b[i].Deleted || !equalJSON(a[i].Value, b[i].Value) {
			return false
		}
	}
	return true
}

func equalJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

// checkEntityVersions returns a *ConflictError if an entity of the change is no longer at the version on which
// the change is based.
func (l *Log) checkEntityVersions(ctx context.Context, current *Snapshot, change Change) error {
	for _, e := range change.Entities {
		existing, _ := current.Entity(e.ID())
		if existing.Version != e.Version {
			return l.conflict(ctx, change.Version, current.Version())
		}
	}
	return nil
}

func (l *Log) conflict(ctx context.Context, base, head int64) error {
	// At most one page of changes is reported, the newest; Base and Head give the total number.
	changes, err := l.Since(ctx, max(base, head-MaxChangesPerPage))
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Head: head, Changes: changes}
}

func withVersion(entities []Entity, version int64) []Entity {
	versioned := make([]Entity, len(entities))
	for i, e := range entities {
		e.Version = version
		versioned[i] = e
	}
	return versioned
}

// writeOps returns the write operations that append a change after the version head.
func writeOps(change Change, head int64) ([]tablestore.Op, error) {
	version := head + 1
	change.Version = version
	change.Entities = withVersion(change.Entities, version)
	rawChange, err := json.Marshal(change)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	rawVersion, err := json.Marshal(version)
	if err != nil {
		return nil, fmt.Errorf("encode version: %w", err)
	}
	ops := []tablestore.Op{
		{Key: headKey(), IfVersion: head, Value: rawVersion},
		{Key: changeKey(version), IfVersion: tablestore.Absent, Value: rawChange},
		{Key: changeIDKey(change.ID), IfVersion: tablestore.Absent, Value: rawVersion},
	}
	for _, e := range change.Entities {
		raw, err := json.Marshal(e)
		if err != nil {
			return nil, fmt.Errorf("encode %s %q: %w", e.Kind, e.Name, err)
		}
		key := tablestore.Key{Partition: partitionEntity, Sort: string(e.Kind) + "/" + e.Name}
		// No precondition is needed: the one on the head row already serialises all writes of entity rows.
		ops = append(ops, tablestore.Op{Key: key, IfVersion: tablestore.Any, Value: raw})
	}
	return ops, nil
}

// write sends the transaction. If the answer is lost, it reads the row of the change ID to find out whether
// the write was applied; if that row is absent, it sends the identical write again, which is idempotent.
func (l *Log) write(ctx context.Context, change Change, head int64) (int64, error) {
	ops, err := writeOps(change, head)
	if err != nil {
		return 0, err
	}
	writeID := fmt.Sprintf("%s@%d", change.ID, head)
	mayBeApplied := false
	backoff := initialWriteBackoff
	for range maxWriteAttempts {
		err := l.store.Write(ctx, writeID, ops...)
		if err == nil {
			return head + 1, nil
		}
		if errors.Is(err, tablestore.ErrUnavailable) && !mayBeApplied {
			return 0, fmt.Errorf("write change %s: %w", change.ID, err)
		}
		version, findErr := l.acceptedVersion(ctx, change)
		if findErr == nil || errors.Is(findErr, ErrChangeIDReused) {
			return version, findErr
		}
		if errors.Is(err, tablestore.ErrPrecondition) && errors.Is(findErr, tablestore.ErrNotFound) {
			// The head has advanced, so no earlier attempt with this head as precondition can still be applied.
			return 0, l.raceConflict(ctx, change)
		}
		mayBeApplied = true
		if l.sleep(ctx, backoff) != nil {
			break
		}
		backoff *= 2
	}
	return 0, &OutcomeUnknownError{ChangeID: change.ID}
}

// raceConflict returns the *ConflictError for a change whose write failed because another change was accepted
// after the configuration was read.
func (l *Log) raceConflict(ctx context.Context, change Change) error {
	head, err := l.Head(ctx)
	if err != nil {
		return err
	}
	return l.conflict(ctx, change.Version, head)
}
