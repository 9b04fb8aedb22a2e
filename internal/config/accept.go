package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// Accept writes a change in one transaction and returns its version. Change.Version is the head version
// that the author saw, and the version of each entity is the one that the author saw, 0 for none. A repeat
// of an accepted change returns its first version.
//
// Errors: *ValidationError, *ConflictError and ErrIDReused (not accepted), *UnknownError (ask again
// with the same change ID), or an error that wraps tablestore.ErrUnavailable (not accepted).
func (l *Log) Accept(ctx context.Context, change Change) (int64, error) {
	if err := checkForm(change); err != nil {
		return 0, err
	}
	version, err := l.accepted(ctx, change)
	if !errors.Is(err, tablestore.ErrNotFound) {
		return version, err
	}
	current, err := l.Load(ctx)
	if err != nil {
		return 0, err
	}
	if err := l.checkView(ctx, current, change); err != nil {
		return 0, err
	}
	if err := Validate(current, change.Entities, change.Force); err != nil {
		return 0, err
	}
	change.Before = replaced(current, change.Entities)
	return l.write(ctx, change, current.Version())
}

// replaced returns the entities as current holds them. One that does not exist has version 0.
func replaced(current *Snapshot, entities []Entity) []Entity {
	before := make([]Entity, len(entities))
	for i, e := range entities {
		held, ok := current.Entity(e.ID())
		if !ok {
			held = Entity{Kind: e.Kind, Name: e.Name, Deleted: true}
		}
		before[i] = held
	}
	return before
}

// Check does everything that Accept does except the write. It returns the configuration as it would be.
func (l *Log) Check(ctx context.Context, change Change) (*Snapshot, error) {
	current, err := l.Load(ctx)
	if err != nil {
		return nil, err
	}
	if err := l.checkView(ctx, current, change); err != nil {
		return nil, err
	}
	if err := Validate(current, change.Entities, change.Force); err != nil {
		return nil, err
	}
	return current.Apply(current.Version()+1, stamp(change.Entities, current.Version()+1))
}

func checkForm(c Change) error {
	var v ValidationError
	for name, value := range map[string]string{"change ID": c.ID, "author": c.Author, "reason": c.Reason} {
		v.check(value != "", "%s is missing", name)
	}
	for name, value := range map[string]string{
		"change ID": c.ID, "author": c.Author, "reason": c.Reason, "action": c.Action, "affects": c.Affects,
	} {
		v.check(len(value) <= maxFieldBytes, "%s exceeds %d bytes", name, maxFieldBytes)
	}
	v.check(len(c.Entities) > 0, "the change holds no entity")
	v.check(len(c.Entities) <= MaxEntities, "the change holds %d entities, more than %d", len(c.Entities), MaxEntities)
	seen := make(map[EntityID]bool)
	for _, e := range c.Entities {
		v.check(!seen[e.ID()], "%s %q stands twice in the change", e.Kind, e.Name)
		seen[e.ID()] = true
	}
	return v.orNil()
}

// accepted returns the version of the change if it was accepted before.
func (l *Log) accepted(ctx context.Context, change Change) (int64, error) {
	version, err := l.Find(ctx, change.ID)
	if err != nil {
		return 0, err
	}
	stored, err := l.Change(ctx, version)
	if err != nil {
		return 0, err
	}
	if !sameContent(stored.Entities, change.Entities) {
		return 0, fmt.Errorf("change ID %s, version %d: %w", change.ID, version, ErrIDReused)
	}
	return version, nil
}

func sameContent(a, b []Entity) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID() != b[i].ID() || a[i].Deleted != b[i].Deleted || !sameJSON(a[i].Value, b[i].Value) {
			return false
		}
	}
	return true
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

// checkView refuses a change of an entity that another change has set since the author's view.
func (l *Log) checkView(ctx context.Context, current *Snapshot, change Change) error {
	for _, e := range change.Entities {
		held, _ := current.Entity(e.ID())
		if held.Version != e.Version {
			return l.conflict(ctx, change.Version, current.Version())
		}
	}
	return nil
}

func (l *Log) conflict(ctx context.Context, base, head int64) error {
	// Only the newest page is told; the head says how many there are.
	changes, err := l.Since(ctx, max(base, head-PageChanges))
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Head: head, Changes: changes}
}

func stamp(entities []Entity, version int64) []Entity {
	stamped := make([]Entity, len(entities))
	for i, e := range entities {
		e.Version = version
		stamped[i] = e
	}
	return stamped
}

// writeOps returns the rows of one change on top of head.
func writeOps(change Change, head int64) ([]tablestore.Op, error) {
	version := head + 1
	change.Version = version
	change.Entities = stamp(change.Entities, version)
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
		// The precondition on the head already orders all writes of entity rows.
		ops = append(ops, tablestore.Op{Key: key, IfVersion: tablestore.Any, Value: raw})
	}
	return ops, nil
}

// write sends the transaction. A lost answer is resolved by reading the row of the change ID; if it is
// absent, the identical write is sent again, which has no second effect.
func (l *Log) write(ctx context.Context, change Change, head int64) (int64, error) {
	ops, err := writeOps(change, head)
	if err != nil {
		return 0, err
	}
	writeID := fmt.Sprintf("%s@%d", change.ID, head)
	unknown := false
	wait := resolveFirstWait
	for range resolveAttempts {
		err := l.store.Write(ctx, writeID, ops...)
		if err == nil {
			return head + 1, nil
		}
		if errors.Is(err, tablestore.ErrUnavailable) && !unknown {
			return 0, fmt.Errorf("write change %s: %w", change.ID, err)
		}
		version, findErr := l.accepted(ctx, change)
		if findErr == nil || errors.Is(findErr, ErrIDReused) {
			return version, findErr
		}
		if errors.Is(err, tablestore.ErrPrecondition) && errors.Is(findErr, tablestore.ErrNotFound) {
			// The head moved, so no earlier attempt at this head can take effect any more.
			return 0, l.lost(ctx, change)
		}
		unknown = true
		if l.pause(ctx, wait) != nil {
			break
		}
		wait *= 2
	}
	return 0, &UnknownError{ChangeID: change.ID}
}

// lost returns the conflict for a change that lost a race.
func (l *Log) lost(ctx context.Context, change Change) error {
	head, err := l.Head(ctx)
	if err != nil {
		return err
	}
	return l.conflict(ctx, change.Version, head)
}
