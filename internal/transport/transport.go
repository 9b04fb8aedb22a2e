// Package transport connects the processes of pomelowheel by yamux sessions over TCP, with mutual TLS if certificates
// are configured. Use Pool to open streams to a peer and Server to accept them; each stream carries one exchange of wire
// frames.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/listener"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	dialTimeout   = time.Second
	writeTimeout  = 5 * time.Second
	acceptBacklog = 1024
	// idleBatchFraction is the part of the sessions, as a divisor, that is closed at a time when all are in use.
	idleBatchFraction = 16
	// streamWindowBytes bounds the receive buffer of one stream, in bytes.
	streamWindowBytes = 256 << 10
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// Keep-alive is off: with 1,900 sessions the pings alone would use up the budget for control traffic. A dead peer
	// is detected when the next exchange with it times out.
	c.EnableKeepAlive = false
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard
	return c
}

// Stream carries one exchange of frames with a peer. Send may be called from several goroutines at once, Recv from one.
type Stream struct {
	net.Conn
	sendMu sync.Mutex
	frames *frameMemory // nil for a stream that this process opened
	abort  func()       // ends the session
}

// Send writes one frame. It fails if the frame exceeds wire.MaxFrameBytes.
func (s *Stream) Send(e *wirepb.Envelope) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return wire.Write(s.Conn, e)
}

// Recv reads one frame. It returns io.EOF if the peer closed the stream between frames.
func (s *Stream) Recv() (*wirepb.Envelope, error) {
	if s.frames != nil {
		return s.frames.read(s.Conn, s.abort)
	}
	return wire.Read(s.Conn)
}

// progressBytes is the part of a frame that has to arrive within the time limit of RecvWithProgress.
const progressBytes = 16 << 10

// RecvWithProgress reads one frame. It fails if the frame does not begin, or a further 16 KiB of it do not arrive, within
// timeout, so that the time for a large frame is not bounded. When ctx ends it sets no further deadlines.
func (s *Stream) RecvWithProgress(ctx context.Context, timeout time.Duration) (*wirepb.Envelope, error) {
	if err := s.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	return wire.Read(&progressReader{ctx: ctx, stream: s, timeout: timeout})
}

type progressReader struct {
	ctx     context.Context
	stream  *Stream
	timeout time.Duration
	count   int // bytes since the deadline was set
}

func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.stream.Read(b)
	if r.count += n; r.count >= progressBytes && err == nil && r.ctx.Err() == nil {
		r.count = 0
		err = r.stream.SetReadDeadline(time.Now().Add(r.timeout))
	}
	return n, err
}

// Handler serves one stream. The server closes the stream when the handler returns.
type Handler func(ctx context.Context, s *Stream)

// Server accepts sessions and runs a handler for each stream.
type Server struct {
	listener net.Listener
	handler  Handler
	log      *slog.Logger

	maxSessions int // zero for no limit
	reclaim     *descriptors.Reclaimer
	frames      *frameMemory // nil for no limit

	mu       sync.Mutex
	sessions map[*yamux.Session]time.Time // when a stream was last accepted, or the session
	streams  map[net.Conn]struct{}
	wg       sync.WaitGroup
	closed   bool
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithDescriptors bounds the sessions of a server and makes it ask r for descriptors when none is free. At the bound, sessions
// without a stream are closed, those without one for longest first; if there is none, new sessions are refused.
func WithDescriptors(maxSessions int, r *descriptors.Reclaimer) ServerOption {
	return func(s *Server) { s.maxSessions, s.reclaim = maxSessions, r }
}

// WithFrames bounds the memory of frames that arrive, and records the peers whose frames were refused.
func WithFrames(budget *memorybudget.Budget, recorder *refusals.Recorder) ServerOption {
	return func(s *Server) { s.frames = &frameMemory{budget: budget, refusals: recorder} }
}

// NewServer returns a server that accepts connections from l. A nil tlsConfig means plain TCP.
func NewServer(l net.Listener, tlsConfig *tls.Config, handler Handler, log *slog.Logger, opts ...ServerOption) *Server {
	s := &Server{handler: handler, log: log, sessions: make(map[*yamux.Session]time.Time), streams: make(map[net.Conn]struct{})}
	for _, set := range opts {
		set(s)
	}
	s.listener = listener.Persistent(l, listener.Options{Name: "peers", Reclaim: s.reclaim, Log: log})
	if tlsConfig != nil {
		s.listener = tls.NewListener(s.listener, tlsConfig)
	}
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts sessions until Close is called or ctx is done, and then returns nil. It returns an error only if the listening
// socket becomes unusable.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept peer session: %w", err)
		}
		session, err := yamux.Server(&coalescingConn{Conn: conn}, sessionConfig())
		if err != nil {
			_ = conn.Close()
			s.log.Warn("peer session refused", "peer", conn.RemoteAddr().String(), "error", err)
			continue
		}
		switch s.add(session) {
		case refused:
			_ = session.Close()
			s.log.Warn("peer session refused: all sessions are in use", "peer", conn.RemoteAddr().String(), "most", s.maxSessions)
			continue
		case ended:
			_ = session.Close()
			return nil
		}
		go s.serveSession(ctx, conn, session)
	}
}

// admission is what happens with a new session.
type admission int

const (
	accepted admission = iota
	refused
	ended // the server is closed
)

func (s *Server) add(session *yamux.Session) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return ended
	case s.maxSessions > 0 && len(s.sessions) >= s.maxSessions && s.closeIdle(s.maxSessions/idleBatchFraction+1) == 0:
		return refused
	}
	s.sessions[session] = time.Now()
	s.wg.Add(1)
	return accepted
}

// CloseIdle closes up to n sessions that have no stream, those without one for longest first, and returns their number.
func (s *Server) CloseIdle(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeIdle(n)
}

// closeIdle is CloseIdle for a caller that holds s.mu. A closed session no longer counts.
func (s *Server) closeIdle(n int) int {
	var idle []*yamux.Session
	for session := range s.sessions {
		if session.NumStreams() == 0 {
			idle = append(idle, session)
		}
	}
	slices.SortFunc(idle, func(a, b *yamux.Session) int { return s.sessions[a].Compare(s.sessions[b]) })
	idle = idle[:min(n, len(idle))]
	for _, session := range idle {
		delete(s.sessions, session)
		go func() { _ = session.Close() }() // a TLS peer that does not read delays it
	}
	if len(idle) > 0 {
		s.log.Info("peer sessions without a stream closed", "closed", len(idle), "open", len(s.sessions))
	}
	return len(idle)
}

// handshake completes the TLS handshake with a peer within dialTimeout. It returns nil for plain TCP.
func handshake(ctx context.Context, conn net.Conn) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return tlsConn.HandshakeContext(ctx)
}

func (s *Server) serveSession(ctx context.Context, conn net.Conn, session *yamux.Session) {
	defer s.wg.Done()
	defer func() {
		_ = session.Close()
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
	}()
	if err := handshake(ctx, conn); err != nil {
		s.log.Warn("peer session refused", "peer", conn.RemoteAddr().String(), "error", err)
		return
	}
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Add(1)
		s.recordUse(session)
		s.trackStream(conn, true)
		go func() {
			defer s.wg.Done()
			defer func() { _ = conn.Close() }()
			defer s.trackStream(conn, false)
			defer s.recoverHandler(conn)
			streamCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			s.handler(streamCtx, &Stream{Conn: conn, frames: s.frames, abort: func() { _ = session.Close() }})
		}()
	}
}

// recordUse records that a stream of the session was accepted.
func (s *Server) recordUse(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.sessions[session]; open {
		s.sessions[session] = time.Now()
	}
}

func (s *Server) trackStream(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.streams[conn] = struct{}{}
	} else {
		delete(s.streams, conn)
	}
}

// recoverHandler ends a stream whose handler panicked, so that one message does not end the process and with it the
// requests of all other streams.
func (s *Server) recoverHandler(conn net.Conn) {
	if cause := recover(); cause != nil {
		s.log.Error("handler of a peer's stream panicked; the stream is closed", "peer", conn.RemoteAddr().String(),
			"cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}

// Close stops accepting sessions, closes the open ones and waits until all handlers have returned.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	// While a session ends, yamux makes reads without a deadline spin.
	for conn := range s.streams {
		_ = conn.SetReadDeadline(time.Now()) // cannot fail
	}
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	err := s.listener.Close()
	s.wg.Wait()
	return err
}
