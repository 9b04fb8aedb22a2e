package tablestore

import (
	"context"
	"errors"
	"expvar"
)

// CountingStore is a Store that forwards to another Store and counts its calls by operation and its failures by cause.
// ErrNotFound is not counted as a failure.
type CountingStore struct {
	store    Store
	calls    expvar.Map // by operation
	failures expvar.Map // by cause
	vars     expvar.Map
}

// NewCountingStore returns a Store that forwards to store and counts the calls.
func NewCountingStore(store Store) *CountingStore {
	c := &CountingStore{store: store}
	c.calls.Init()
	c.failures.Init()
	c.vars.Init()
	for _, operation := range []string{"get", "query", "write"} {
		c.calls.Add(operation, 0)
	}
	for _, cause := range []string{"unavailable", "unknown", "precondition", "other"} {
		c.failures.Add(cause, 0)
	}
	c.vars.Set("calls", &c.calls)
	c.vars.Set("failures", &c.failures)
	return c
}

// Vars returns the counters as one variable for /debug/vars.
func (c *CountingStore) Vars() expvar.Var { return &c.vars }

// Get implements Store.
func (c *CountingStore) Get(ctx context.Context, key Key) (Row, error) {
	row, err := c.store.Get(ctx, key)
	c.count("get", err)
	return row, err
}

// Query implements Store.
func (c *CountingStore) Query(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	rows, err := c.store.Query(ctx, partition, after, limit)
	c.count("query", err)
	return rows, err
}

// Write implements Store.
func (c *CountingStore) Write(ctx context.Context, writeID string, ops ...Op) error {
	err := c.store.Write(ctx, writeID, ops...)
	c.count("write", err)
	return err
}

func (c *CountingStore) count(operation string, err error) {
	c.calls.Add(operation, 1)
	switch {
	case err == nil, errors.Is(err, ErrNotFound):
	case errors.Is(err, ErrUnavailable):
		c.failures.Add("unavailable", 1)
	case errors.Is(err, ErrUnknown):
		c.failures.Add("unknown", 1)
	case errors.Is(err, ErrPrecondition):
		c.failures.Add("precondition", 1)
	default:
		c.failures.Add("other", 1)
	}
}
