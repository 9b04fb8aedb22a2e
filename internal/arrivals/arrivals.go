// Package arrivals ends the connections of an HTTP server without the loss of an answer. Use a Tracker for each server that callers
// connect to.
package arrivals

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
)

// arrivalTimeout is the time without a byte after which a request that has arrived in part no longer delays the end of a
// process. A sound caller sends a request in one piece or a few.
const arrivalTimeout = time.Second

// firstRequestTimeout limits the wait for the first request of a connection when the process ends. It allows a few round trips
// with the slowest callers; a longer limit would delay the end, because callers open connections that they do not use.
const firstRequestTimeout = 300 * time.Millisecond

// endPollInterval is the pause between two checks whether the connections have ended.
const endPollInterval = 5 * time.Millisecond

// idleBatchFraction is the part of the connections, as a divisor, that is ended at a time at Options.MaxConnections.
const idleBatchFraction = 16

// fullLogInterval is the shortest time between two log lines about connections at their bound.
const fullLogInterval = time.Second

// Tracker tracks the connections of one http.Server, so that the process can end without the loss of an answer. The methods
// Shutdown and Close of http.Server do not serve that: both close connections on which a part of a request has been read,
// and after a call of one of them the server answers no request whose header it reads.
type Tracker struct {
	opts   Options
	ended  atomic.Int64 // idle connections ended because of Options.MaxConnections or EndLongestIdle
	full   atomic.Int64 // connections refused because of Options.MaxConnections
	secure atomic.Bool  // the server adds TLS
	coarse atomic.Int64 // time of the last check of watch in nanoseconds since 1970; reading the clock for each call costs more

	mu       sync.Mutex
	conns    map[*arrivalConn]struct{}
	refusing bool // new connections are closed
	fullAt   time.Time
}

// Options configure a Tracker.
type Options struct {
	// MaxConnections bounds the connections; zero means no limit. At the bound, the connections that have been idle for longest
	// are ended. If there is none, new connections are closed before anything is read from them.
	MaxConnections int
	Log            *slog.Logger // may be nil without MaxConnections
	Limits         Limits
}

// New returns a Tracker without connections.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts, conns: make(map[*arrivalConn]struct{})}
}

// Counts returns the number of open connections, and since the start of those that were ended while idle and of those that
// were refused to keep to the bound.
func (a *Tracker) Counts() (open int, ended, refused int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns), a.ended.Load(), a.full.Load()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Attach sets the hooks of a server and wraps its handler. The server must use a listener of Listener.
func (a *Tracker) Attach(server *http.Server) {
	handler := server.Handler
	a.secure.Store(server.TLSConfig != nil)
	server.ConnState = a.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			if c := tracked(conn); c != nil {
				defer a.handled(c)
				if reason := c.coverParsed(r); reason != none {
					c.refuseParsed(w, reason)
					return
				}
				if r.ProtoMajor == 1 && r.Body != nil && r.Body != http.NoBody {
					r.Body = &trackedBody{r.Body, c}
				}
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections are tracked. Until it is closed, a goroutine ends connections without progress.
func (a *Tracker) Listener(l net.Listener) net.Listener {
	tracked := &arrivalListener{Listener: l, arrivals: a, closed: make(chan struct{})}
	a.coarse.Store(time.Now().UnixNano())
	if a.opts.Limits.BodyStall > 0 || a.opts.Limits.Unread > 0 || a.opts.Limits.StallTime > 0 {
		go a.watch(tracked.closed)
	}
	return tracked
}

// tracked returns the tracked connection below conn, which may add TLS to it, or nil.
func tracked(conn net.Conn) *arrivalConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*arrivalConn)
	return c
}

// connState is the hook for http.Server.ConnState.
func (a *Tracker) connState(conn net.Conn, state http.ConnState) {
	c := tracked(conn)
	if c == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateActive:
		c.used, c.serving, c.ended, c.handledAt, c.lastByteAt = true, true, false, time.Time{}, time.Time{}
		if c.cut { // the head became complete at the same time
			c.cut = false
			_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection only
		}
	case http.StateIdle:
		c.serving, c.handledAt, c.lastByteAt, c.idleSince, c.headSince = false, time.Time{}, time.Time{}, time.Now(), time.Time{}
		c.head.reset()
	case http.StateClosed, http.StateHijacked:
		delete(a.conns, c)
		c.head.reset()
	}
}

// add begins to track a connection, unless new connections are refused.
func (a *Tracker) add(c *arrivalConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refusing || !a.makeRoom() {
		return false
	}
	c.idleSince = time.Now()
	a.conns[c] = struct{}{}
	return true
}

// makeRoom reports whether one more connection may be accepted. At the bound it first ends a batch of idle connections. Those
// that are being closed no longer count. The caller holds a.mu.
func (a *Tracker) makeRoom() bool {
	if a.opts.MaxConnections <= 0 || len(a.conns) < a.opts.MaxConnections {
		return true
	}
	open := 0
	for c := range a.conns {
		if !c.ended {
			open++
		}
	}
	if open < a.opts.MaxConnections {
		return true
	}
	batch := a.opts.MaxConnections/idleBatchFraction + 1
	ended := a.endLongestIdle(batch)
	if ended == 0 {
		ended = a.endWithoutProgress(time.Now(), batch)
	}
	if ended == 0 {
		a.full.Add(1)
	}
	if now := time.Now(); now.Sub(a.fullAt) >= fullLogInterval {
		a.fullAt = now
		a.opts.Log.Warn("connections are at their bound", "most", a.opts.MaxConnections, "idle_ended", ended,
			"idle_ended_total", a.ended.Load(), "refused_total", a.full.Load())
	}
	return ended > 0
}

// EndLongestIdle ends up to n connections on which nothing of a request has been read, those that have been idle for longest
// first, and returns their number.
func (a *Tracker) EndLongestIdle(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endLongestIdle(n)
}

// endLongestIdle is EndLongestIdle for a caller that holds a.mu. A connection that has had no request yet counts as idle after
// the time within which a first request arrives.
func (a *Tracker) endLongestIdle(n int) int {
	var idle []*arrivalConn
	now := time.Now()
	for c := range a.conns {
		if !c.ended && !c.serving && c.lastByteAt.IsZero() && (c.used || now.Sub(c.idleSince) > firstRequestTimeout) {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *arrivalConn) int { return a.idleSince.Compare(b.idleSince) })
	idle = idle[:min(n, len(idle))]
	for _, c := range idle {
		c.endReads()
	}
	a.ended.Add(int64(len(idle)))
	return len(idle)
}

// handled records that the handler of a request has returned.
func (a *Tracker) handled(c *arrivalConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.handledAt = time.Now()
}

// Pending returns the number of connections with a request that is being served or that has arrived in part. One whose bytes
// stopped to arrive arrivalTimeout before now is left out, unless its handler has not returned.
func (a *Tracker) Pending(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for c := range a.conns {
		if c.pending(now) {
			n++
		}
	}
	return n
}

// End ends all connections and closes the server. No further request begins on an idle connection, nor on a new one after
// firstRequestTimeout. End waits for the pending requests until limit has passed or ctx ends, and returns an error if some
// are left then.
func (a *Tracker) End(ctx context.Context, server *http.Server, limit time.Duration) error {
	start := time.Now()
	left := a.endUnused(start, false)
	for refusing := false; !refusing || left > 0; {
		now := time.Now()
		if now.Sub(start) >= limit || ctx.Err() != nil {
			break
		}
		refusing = left == 0 || now.Sub(start) >= firstRequestTimeout
		left = a.endUnused(now, refusing)
		if left > 0 {
			_ = background.Sleep(ctx, endPollInterval) // the loop ends with ctx
		}
	}
	if err := server.Close(); err != nil {
		return fmt.Errorf("close the server: %w", err)
	}
	if left > 0 {
		return fmt.Errorf("%d connections closed with a request", left)
	}
	return nil
}

// endUnused lets the server close the connections on which nothing of a request has been read; those on which nothing has ever
// been read are included, and new connections refused, if first is set. It returns the number of connections to wait for.
func (a *Tracker) endUnused(now time.Time, first bool) (left int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusing = first
	for c := range a.conns {
		switch {
		case c.pending(now):
			left++
		case !c.serving && c.lastByteAt.IsZero():
			left++ // until the server has closed it, because bytes may just have been read
			if c.used || first {
				c.endReads()
			}
		}
	}
	return left
}

// EndIdle ends the connections that have been idle for longer than timeout before now and on which nothing of a request has been
// read.
func (a *Tracker) EndIdle(now time.Time, timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if c.used && !c.serving && c.lastByteAt.IsZero() && now.Sub(c.idleSince) > timeout {
			c.endReads()
		}
	}
}

// mayRead reports whether the server may read from a connection.
func (a *Tracker) mayRead(c *arrivalConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !c.ended
}

// recordBytes records that bytes were read from a connection, and reports whether they may belong to a head. One that was ended
// at the same time goes on, because the bytes may be a whole request.
func (a *Tracker) recordBytes(c *arrivalConn) (inHead bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.lastByteAt = time.Now()
	if c.headSince.IsZero() && !c.serving {
		c.headSince = c.lastByteAt
	}
	if c.ended && !c.cut {
		c.ended = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection only
	}
	return !c.serving
}

// arrivalConn is a connection of a caller. Its state is protected by the mutex of arrivals.
type arrivalConn struct {
	net.Conn
	arrivals   *Tracker
	used       bool      // a request was read from it
	serving    bool      // the server has read the header of a request and has not ended its response
	handledAt  time.Time // when the handler of that request returned; zero before
	lastByteAt time.Time // of the current request; zero if nothing of it was read since its header, or none arrives
	idleSince  time.Time // when the last response ended, or the connection was accepted
	ended      bool      // no further request may begin
	cut        bool      // ended because it makes no progress, whatever arrives
	headSince  time.Time // when the first byte of the head that arrives was read; zero if none arrives

	head         head
	readingSince atomic.Int64 // of the coarse clock when the handler began to wait for bytes of the body, or zero
	writingSince atomic.Int64 // of the coarse clock when the write in progress began, or zero
}

// endReads lets reads fail, which makes the server close the connection.
func (c *arrivalConn) endReads() {
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails on a closed connection only
}

// pending reports whether a request is being served or has arrived in part.
func (c *arrivalConn) pending(now time.Time) bool {
	switch {
	case c.serving && c.handledAt.IsZero():
		return true
	case c.serving && now.Sub(c.handledAt) < arrivalTimeout:
		return true
	}
	return !c.lastByteAt.IsZero() && now.Sub(c.lastByteAt) < arrivalTimeout
}

// Read implements net.Conn.
func (c *arrivalConn) Read(b []byte) (int, error) {
	if !c.arrivals.mayRead(c) {
		return 0, os.ErrDeadlineExceeded // other errors make the server send a response
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		if inHead := c.arrivals.recordBytes(c); inHead && !c.arrivals.secure.Load() {
			if reason := c.head.add(b[:n]); reason != none {
				c.refuseUnparsed(reason)
				return 0, os.ErrDeadlineExceeded
			}
		}
	}
	return n, err
}

// Write implements net.Conn. It records how long the client has not read.
func (c *arrivalConn) Write(b []byte) (int, error) {
	c.writingSince.Store(c.arrivals.coarse.Load())
	n, err := c.Conn.Write(b)
	c.writingSince.Store(0)
	return n, err
}

// CloseWrite closes the sending side. The server uses it so that a response is not lost when unread bytes of the caller
// would reset the connection.
func (c *arrivalConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
