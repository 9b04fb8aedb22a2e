// Package upstream exchanges HTTP/1.1 requests with backend servers over kept connections. Unlike an http.Transport it
// never sends a request twice, tells whether any byte may have reached the server, and recognises answers that
// belong to another request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// defaultIdle is how long a connection is kept if the server names no time.
	defaultIdle = 8 * time.Second
	// idleShare of the time that a server keeps an idle connection is used, so that a request does not cross the
	// server's close.
	idleShare = 0.85
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
)

// ErrNotSent says that no byte of the request was sent.
var ErrNotSent = errors.New("request not sent")

// Options configure a Pool.
type Options struct {
	DialTimeout time.Duration
	MaxIdle     int // kept connections to one server
	Control     func(network, address string, c syscall.RawConn) error
}

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	opts   Options
	dialer net.Dialer
	dials  atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn // by server, the most recently used last
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{
		opts: opts, dialer: net.Dialer{Timeout: opts.DialTimeout, Control: opts.Control}, idle: make(map[string][]*conn),
	}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 { return p.dials.Load() }

type conn struct {
	net.Conn
	reader *bufio.Reader
	server string
	until  time.Time // when it is too old to be used again
}

// silent reports whether nothing has arrived on an idle connection. A server that closed it, or that sent bytes
// which belong to no request, leaves something to read.
func (c *conn) silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// take returns an idle connection to server, or nil.
func (p *Pool) take(server string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[server]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[server] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.until) && c.silent() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) get(ctx context.Context, server, address string) (*conn, error) {
	if c := p.take(server, time.Now()); c != nil {
		return c, nil
	}
	p.dials.Add(1)
	dialled, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &conn{Conn: dialled, reader: bufio.NewReaderSize(dialled, readBuffer), server: server}, nil
}

func (p *Pool) put(c *conn, idle time.Duration) {
	c.until = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.server]
	if len(list) >= p.opts.MaxIdle {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[c.server] = append(list, c)
}

// Forget closes the idle connections to a server that is gone.
func (p *Pool) Forget(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[server] {
		_ = c.Close()
	}
	delete(p.idle, server)
}

// CloseExpired closes connections that are too old to be used again.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, server)
		} else {
			p.idle[server] = kept
		}
	}
}

// keepFor returns how long the connection of an answer may stay idle. Zero means that it must be closed.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for item := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(s) * idleShare * float64(time.Second))
		}
	}
	return defaultIdle
}
