// Package duty runs the duties of a process, one named goroutine each, and joins them by bounded rings.
package duty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Group runs named duties. The first duty that fails ends the others.
type Group struct {
	group *errgroup.Group
	ctx   context.Context
	log   *slog.Logger
}

// NewGroup returns a group whose duties end with ctx.
func NewGroup(ctx context.Context, log *slog.Logger) *Group {
	g, ctx := errgroup.WithContext(ctx)
	return &Group{group: g, ctx: ctx, log: log}
}

// Context returns the context of the duties.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a duty. A duty returns nil or the context's error when its context ends.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.group.Go(func() error {
		err := run(g.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			g.log.Error("duty failed", "duty", name, "error", err)
			return fmt.Errorf("duty %s: %w", name, err)
		}
		return nil
	})
}

// Wait waits for every duty and returns the first failure.
func (g *Group) Wait() error { return g.group.Wait() }

// Ring is a bounded queue between two duties. A full ring refuses an item and counts the refusal.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
	once    sync.Once
}

// NewRing returns a ring of the given capacity.
func NewRing[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds item and reports whether there was room.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// C returns the channel to receive from.
func (r *Ring[T]) C() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns how many items were refused since the start.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }

// Close ends the ring for its receiver. No Offer may follow.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.items) }) }
