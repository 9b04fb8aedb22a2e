package descriptors

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reclaimBatch is the number of connections that are given back at a time.
	reclaimBatch = 64
	// reclaimInterval is the shortest time between two batches. Connections of callers are closed within it.
	reclaimInterval = 10 * time.Millisecond
)

// Reclaimer gives idle connections back when a connection could not be accepted or opened for lack of a descriptor. It is safe
// for concurrent use. A nil Reclaimer gives nothing back.
type Reclaimer struct {
	log   *slog.Logger
	short atomic.Int64

	mu      sync.Mutex
	sources []source
	last    time.Time
}

type source struct {
	name string
	free func(n int) int
}

// NewReclaimer returns a Reclaimer without sources.
func NewReclaimer(log *slog.Logger) *Reclaimer { return &Reclaimer{log: log} }

// Add adds a source of idle connections. free closes up to n of them, those that have been idle longest first, and returns their
// number. Sources are asked in the order in which they were added.
func (r *Reclaimer) Add(name string, free func(n int) int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sources = append(r.sources, source{name, free})
}

// Short returns how often no descriptor was free.
func (r *Reclaimer) Short() int64 { return r.short.Load() }

// Reclaim closes a batch of idle connections of the first source that has any, unless that was done less than 10 ms ago.
func (r *Reclaimer) Reclaim() {
	if r == nil {
		return
	}
	r.short.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.last) < reclaimInterval {
		return
	}
	r.last = now
	for _, s := range r.sources {
		if n := s.free(reclaimBatch); n > 0 {
			r.log.Warn("no free file descriptor; idle connections closed", "holder", s.name, "closed", n)
			return
		}
	}
	r.log.Error("no free file descriptor, and no idle connection to close")
}

// Dial returns a dial function that reclaims descriptors if none is free, and then dials once more.
func (r *Reclaimer) Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil || !Exhausted(err) {
			return conn, err
		}
		r.Reclaim()
		return dialer.DialContext(ctx, network, address)
	}
}
