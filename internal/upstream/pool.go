// Package upstream sends HTTP/1.1 requests to backend servers over pooled connections. Use it instead of
// http.Transport where the caller must know whether a request can be sent again: it never sends a request twice,
// reports whether any byte may have reached the server, and recognises responses that are for another request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/responsecheck"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the response has no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutFactor is the fraction of the server's Keep-Alive timeout for which an idle connection is reused, so
	// that a request is not sent while the server closes the connection.
	idleTimeoutFactor = 0.85
	// readBufferBytes is the size of a connection's read buffer in bytes.
	readBufferBytes = 4 << 10
	// idleBatchFraction is the part of the idle connections, as a divisor, that is closed at a time at Options.MaxIdleAll.
	idleBatchFraction = 16
	// maxHeadBytes bounds the status line and header of a response, in bytes.
	maxHeadBytes = 64 << 10
)

// ErrNotSent means that no byte of the request was sent.
var ErrNotSent = errors.New("request not sent")

// ErrWithdrawn means that Request.MayStillSend returned false.
var ErrWithdrawn = errors.New("the request may not be sent any longer")

// Options configure a Pool.
type Options struct {
	DialTimeout time.Duration
	MaxIdle     int // idle connections to one server
	MaxIdleAll  int // idle connections to all servers together; zero for no limit
	Control     func(network, address string, c syscall.RawConn) error
	Reclaim     *descriptors.Reclaimer // asked for descriptors when none is free; may be nil
}

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	opts  Options
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	dials atomic.Int64

	mu        sync.Mutex
	idle      map[string][]*conn // by server ID, the most recently used last
	idleCount int                // over all servers
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	dialer := &net.Dialer{Timeout: opts.DialTimeout, Control: opts.Control}
	return &Pool{opts: opts, dial: opts.Reclaim.Dial(dialer), idle: make(map[string][]*conn)}
}

// Dials returns the number of connections that the pool has tried to open since it was created.
func (p *Pool) Dials() int64 { return p.dials.Load() }

type conn struct {
	net.Conn
	reader   *bufio.Reader
	server   string
	expires  time.Time // when it is too old to be reused; zero before the first response
	idleAt   time.Time // when it last became idle
	headLeft int       // bytes that may still be read while the header of a response is read
	inHead   bool
	head     responsecheck.Head // of the response whose header is read
}

// errHeadTooLarge means that the server sent more than maxHeadBytes without ending the header of its response.
var errHeadTooLarge = errors.New("the header of the response exceeds the size limit")

// beginHead tells that the next bytes are those of a response.
func (c *conn) beginHead() error {
	c.inHead, c.headLeft, c.head = true, maxHeadBytes, responsecheck.Head{}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	_, err := c.head.Scan(buffered)
	return err
}

// Read implements io.Reader. It bounds the bytes of a header, which net/http reads without a limit, and checks them.
func (c *conn) Read(b []byte) (int, error) {
	if c.inHead {
		if c.headLeft <= 0 {
			return 0, errHeadTooLarge
		}
		b = b[:min(len(b), c.headLeft)]
	}
	n, err := c.Conn.Read(b)
	if c.inHead {
		c.headLeft -= n
		if _, malformed := c.head.Scan(b[:n]); malformed != nil {
			return 0, malformed
		}
	}
	return n, err
}

// abort resets the connection. A closed one would still deliver the rest of its request to a server that does not read at
// the moment, long after the caller has left.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, the connection is closed in the usual way
	}
	_ = c.Close()
}

// empty reports whether nothing has arrived on an idle connection. If the server closed it, or sent bytes that
// belong to no request, there is something to read.
func (c *conn) empty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// takeIdle returns an idle connection to server, or nil.
func (p *Pool) takeIdle(server string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[server]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[server] = list[:len(list)-1]
		p.idleCount--
		p.mu.Unlock()
		if now.Before(c.expires) && c.empty() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) get(ctx context.Context, server, address string) (*conn, error) {
	if c := p.takeIdle(server, time.Now()); c != nil {
		return c, nil
	}
	p.dials.Add(1)
	netConn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := &conn{Conn: netConn, server: server}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func (p *Pool) putIdle(c *conn, idle time.Duration) {
	c.idleAt = time.Now()
	c.expires = c.idleAt.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opts.MaxIdleAll > 0 && p.idleCount >= p.opts.MaxIdleAll {
		p.closeIdle(p.opts.MaxIdleAll/idleBatchFraction + 1)
	}
	list := p.idle[c.server]
	if len(list) >= p.opts.MaxIdle {
		_ = list[0].Close()
		list = list[1:]
		p.idleCount--
	}
	p.idle[c.server] = append(list, c)
	p.idleCount++
}

// CloseIdle closes up to n idle connections, those that have been idle for longest first, and returns their number.
func (p *Pool) CloseIdle(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closeIdle(n)
}

// closeIdle is CloseIdle for a caller that holds p.mu.
func (p *Pool) closeIdle(n int) int {
	all := make([]*conn, 0, p.idleCount)
	for _, list := range p.idle {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *conn) int { return a.idleAt.Compare(b.idleAt) })
	all = all[:min(n, len(all))]
	for _, c := range all {
		_ = c.Close()
		list := p.idle[c.server]
		p.idle[c.server] = slices.Delete(list, slices.Index(list, c), slices.Index(list, c)+1)
		if len(p.idle[c.server]) == 0 {
			delete(p.idle, c.server)
		}
	}
	p.idleCount -= len(all)
	return len(all)
}

// putBack returns a connection on which nothing was sent since get. A new one is closed: its server has not said how long it
// keeps idle connections.
func (p *Pool) putBack(c *conn) {
	if idle := time.Until(c.expires); idle > 0 {
		p.putIdle(c, idle)
		return
	}
	_ = c.Close()
}

// Forget closes the idle connections to a server that is no longer listed, or that gets no more requests.
func (p *Pool) Forget(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[server] {
		_ = c.Close()
	}
	p.idleCount -= len(p.idle[server])
	delete(p.idle, server)
}

// CloseExpired closes the idle connections that are too old to be reused.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
				p.idleCount--
			}
		}
		if len(kept) == 0 {
			delete(p.idle, server)
		} else {
			p.idle[server] = kept
		}
	}
}

// keepAliveTimeout returns how long a connection may stay idle after this response. Zero means that it must be
// closed.
func keepAliveTimeout(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for item := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(s) * idleTimeoutFactor * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
