package tablestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Memory is an in-memory Store for tests. SetUnavailable, SetDelay, LoseAnswers and FailCall inject faults. It is safe
// for concurrent use.
type Memory struct {
	mu            sync.Mutex
	rows          map[string]map[string]Row
	fingerprints  map[string]string // hash of the ops by write ID
	unavailable   bool
	delay         time.Duration
	answersToLose int
	calls         int
	faultsByCall  map[int]error
	applied       int
}

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{
		rows:         make(map[string]map[string]Row),
		fingerprints: make(map[string]string),
		faultsByCall: make(map[int]error),
	}
}

// SetUnavailable sets whether every call fails with ErrUnavailable.
func (m *Memory) SetUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

// SetDelay makes every call wait before it starts. A call whose context ends first has no effect.
func (m *Memory) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// LoseAnswers makes the next n writes return ErrUnknown, whether they were applied or failed. It replaces the
// number set before.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answersToLose = n
}

// FailCall makes the n-th call from now return err without being applied. n is 1 for the next call.
func (m *Memory) FailCall(n int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faultsByCall[m.calls+n] = err
}

// Calls returns the number of calls so far, including failed ones.
func (m *Memory) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Applied returns the number of writes that were applied; repeats are not counted.
func (m *Memory) Applied() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// begin waits for the configured delay, counts the call and returns the fault to inject, if any. It returns with
// m.mu locked; the caller unlocks it.
func (m *Memory) begin(ctx context.Context) error {
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	m.mu.Lock()
	m.calls++
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err, ok := m.faultsByCall[m.calls]; ok {
		delete(m.faultsByCall, m.calls)
		return err
	}
	if m.unavailable {
		return ErrUnavailable
	}
	return nil
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key Key) (Row, error) {
	err := m.begin(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return Row{}, fmt.Errorf("get %s: %w", key, err)
	}
	row, ok := m.rows[key.Partition][key.Sort]
	if !ok {
		return Row{}, fmt.Errorf("get %s: %w", key, ErrNotFound)
	}
	return copyRow(row), nil
}

func copyRow(r Row) Row {
	r.Value = slices.Clone(r.Value)
	return r
}

// Query implements Store.
func (m *Memory) Query(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	err := m.begin(ctx)
	defer m.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("query %s: %w", partition, err)
	}
	var found []Row
	for _, sort := range slices.Sorted(maps.Keys(m.rows[partition])) {
		if sort > after && len(found) < limit {
			found = append(found, copyRow(m.rows[partition][sort]))
		}
	}
	return found, nil
}

// Write implements Store.
func (m *Memory) Write(ctx context.Context, writeID string, ops ...Op) error {
	err := m.begin(ctx)
	defer m.mu.Unlock()
	if err == nil {
		err = m.apply(writeID, ops)
		if m.answersToLose > 0 {
			m.answersToLose--
			err = ErrUnknown
		}
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", writeID, err)
	}
	return nil
}

func (m *Memory) apply(writeID string, ops []Op) error {
	print, err := fingerprint(ops)
	if err != nil {
		return err
	}
	if old, ok := m.fingerprints[writeID]; ok {
		if old != print {
			return errWriteIDReused
		}
		return nil
	}
	var failed []Key
	for _, op := range ops {
		if op.IfVersion != Any && m.rows[op.Key.Partition][op.Key.Sort].Version != op.IfVersion {
			failed = append(failed, op.Key)
		}
	}
	if len(failed) > 0 {
		return &PreconditionError{Keys: failed}
	}
	for _, op := range ops {
		m.set(op)
	}
	m.fingerprints[writeID] = print
	m.applied++
	return nil
}

func (m *Memory) set(op Op) {
	switch {
	case op.Check:
	case op.Delete:
		delete(m.rows[op.Key.Partition], op.Key.Sort)
	default:
		if m.rows[op.Key.Partition] == nil {
			m.rows[op.Key.Partition] = make(map[string]Row)
		}
		row := Row{Key: op.Key, Version: nextVersion(op), Value: slices.Clone(op.Value)}
		m.rows[op.Key.Partition][op.Key.Sort] = row
	}
}

// nextVersion returns the version of the row after op. A row written with Any always has version 1.
func nextVersion(op Op) int64 {
	if op.IfVersion == Any {
		return 1
	}
	return op.IfVersion + 1
}

// fingerprint returns a hash of ops, by which a repeated write is told from another one with the same ID.
func fingerprint(ops []Op) (string, error) {
	raw, err := json.Marshal(ops)
	if err != nil {
		return "", fmt.Errorf("encode ops: %w", err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:]), nil
}
