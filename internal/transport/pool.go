package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pomelowheel/pomelowheel/internal/descriptors"
)

// Pool keeps at most one client session per peer address and opens streams on it. A session is dialled on first
// use. Failed sessions are replaced by Open, idle ones are closed by CloseIdle. A Pool is safe for concurrent use.
type Pool struct {
	tlsConfig *tls.Config
	control   func(network, address string, c syscall.RawConn) error
	reclaim   *descriptors.Reclaimer

	mu       sync.Mutex
	sessions map[string]*pooledSession
}

type pooledSession struct {
	mu       sync.Mutex
	session  *yamux.Session
	lastUsed time.Time
}

// NewPool returns an empty pool. A nil tlsConfig means plain TCP.
func NewPool(tlsConfig *tls.Config) *Pool {
	return &Pool{tlsConfig: tlsConfig, sessions: make(map[string]*pooledSession)}
}

// NewPoolWithControl returns an empty pool for plain TCP that uses control as the Control function of net.Dialer, which
// is called on each socket before it connects.
func NewPoolWithControl(control func(network, address string, c syscall.RawConn) error) *Pool {
	p := NewPool(nil)
	p.control = control
	return p
}

// ReclaimWith makes the pool ask r for descriptors when none is free. It must be called before the first Open.
func (p *Pool) ReclaimWith(r *descriptors.Reclaimer) { p.reclaim = r }

// Open opens a stream to the peer at address (IP:port), and dials the peer if there is no open session. If it returns an
// error, no data was sent on the stream.
func (p *Pool) Open(ctx context.Context, address string) (*Stream, error) {
	entry := p.entry(address)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.session == nil || entry.session.IsClosed() {
		session, err := p.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		entry.session = session
	}
	entry.lastUsed = time.Now()
	conn, err := entry.session.OpenStream()
	if err != nil {
		_ = entry.session.Close()
		entry.session = nil
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	return &Stream{Conn: conn}, nil
}

func (p *Pool) entry(address string) *pooledSession {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.sessions[address]
	if !ok {
		e = new(pooledSession)
		p.sessions[address] = e
	}
	return e
}

func (p *Pool) dial(ctx context.Context, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.reclaim.Dial(&net.Dialer{Control: p.control})(ctx, "tcp", address)
	if err == nil && p.tlsConfig != nil {
		conn, err = secure(ctx, conn, p.tlsConfig, address)
	}
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	session, err := yamux.Client(&coalescingConn{Conn: conn}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session to %s: %w", address, err)
	}
	return session, nil
}

// secure completes a TLS handshake with the peer at address (IP:port) on conn. It closes conn if that fails.
func secure(ctx context.Context, conn net.Conn, config *tls.Config, address string) (net.Conn, error) {
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		config = config.Clone()
		config.ServerName = host
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// Drop closes the session to address, so that the next Open dials again. Call it after an exchange with the peer timed
// out: as sessions have no keep-alive, such a time-out is the only sign of a dead peer.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	e, ok := p.sessions[address]
	delete(p.sessions, address)
	p.mu.Unlock()
	if ok {
		e.close()
	}
}

// CloseIdle closes the sessions that have no open stream and on which no stream was opened since before, and removes
// failed ones.
func (p *Pool) CloseIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, e := range p.sessions {
		if e.idleSince(before) {
			e.close()
			delete(p.sessions, address)
		}
	}
}

func (e *pooledSession) idleSince(before time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.session == nil || e.session.IsClosed() || (e.session.NumStreams() == 0 && e.lastUsed.Before(before))
}

func (e *pooledSession) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != nil {
		_ = e.session.Close()
		e.session = nil
	}
}

// Close closes all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, e := range p.sessions {
		e.close()
		delete(p.sessions, address)
	}
}

// Len returns the number of sessions, including failed ones that are not removed yet. It is used for metrics.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}
