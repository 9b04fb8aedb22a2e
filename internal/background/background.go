// Package background runs the long-running tasks of a process, called duties, each in a goroutine with a name for the log. Use a
// Group where the failure of one duty must stop the others. The package also provides a bounded queue between goroutines
// and a sleep that ends with a context.
package background

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Group runs named duties. When a duty fails, the context of all duties is cancelled.
type Group struct {
	group *errgroup.Group
	ctx   context.Context
	log   *slog.Logger
}

// NewGroup returns a group whose duties run until ctx ends. Failures are logged to log.
func NewGroup(ctx context.Context, log *slog.Logger) *Group {
	g, ctx := errgroup.WithContext(ctx)
	return &Group{group: g, ctx: ctx, log: log}
}

// Context returns the context that is passed to the duties.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs a duty in a new goroutine. run must return nil or the context's error when its context ends. Any error other than
// context.Canceled is a failure.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.group.Go(func() error {
		err := run(g.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			g.log.Error("duty failed; stopping the other duties", "duty", name, "error", err)
			return fmt.Errorf("duty %s: %w", name, err)
		}
		return nil
	})
}

// Wait waits until all duties have returned, and returns the first failure with the duty's name, or nil.
func (g *Group) Wait() error { return g.group.Wait() }

// Queue is a bounded FIFO queue between goroutines. Adding an item never blocks: a full queue refuses the item and counts
// the refusal. Use it where a slow receiver must not block the sender.
type Queue[T any] struct {
	items   chan T
	refused atomic.Int64
	once    sync.Once
}

// NewQueue returns a queue that holds up to capacity items.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer adds item and reports whether there was room.
func (r *Queue[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// C returns the channel to receive from.
func (r *Queue[T]) C() <-chan T { return r.items }

// Len returns the number of items in the queue.
func (r *Queue[T]) Len() int { return len(r.items) }

// Refused returns the number of items that were refused since the queue was created.
func (r *Queue[T]) Refused() int64 { return r.refused.Load() }

// Close closes the channel that C returns. Offer must not be called after Close.
func (r *Queue[T]) Close() { r.once.Do(func() { close(r.items) }) }
