// Package transport connects the processes of pomelowheel by yamux sessions over TCP, with mutual TLS
// where it is configured. Each conversation is one stream of wire frames.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	dialTimeout   = time.Second
	writeTimeout  = 5 * time.Second
	acceptBacklog = 1024
	// streamWindow bounds the memory that one stream may buffer.
	streamWindow = 256 << 10
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// Keep-alive is off: at 1,900 sessions its pings alone would use the whole control budget. A dead
	// peer is noticed by the timeout of the next conversation.
	c.EnableKeepAlive = false
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindow
	c.LogOutput = io.Discard
	return c
}

// Stream is one conversation. Send and Recv may be used from different goroutines.
type Stream struct {
	net.Conn
	sendMu sync.Mutex
}

// Send writes one frame.
func (s *Stream) Send(e *wirepb.Envelope) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return wire.Write(s.Conn, e)
}

// Recv reads one frame. It returns io.EOF when the peer closed the stream between frames.
func (s *Stream) Recv() (*wirepb.Envelope, error) { return wire.Read(s.Conn) }

// Handler serves one conversation. The server closes the stream when it returns.
type Handler func(ctx context.Context, s *Stream)

// Server accepts sessions and runs a handler for each stream.
type Server struct {
	listener net.Listener
	handler  Handler
	log      *slog.Logger

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	wg       sync.WaitGroup
	closed   bool
}

// NewServer returns a server for l. tlsConfig may be nil for plain TCP.
func NewServer(l net.Listener, tlsConfig *tls.Config, handler Handler, log *slog.Logger) *Server {
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	return &Server{listener: l, handler: handler, log: log, sessions: make(map[*yamux.Session]struct{})}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts sessions until Close or until ctx ends.
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
		session, err := yamux.Server(conn, sessionConfig())
		if err != nil {
			_ = conn.Close()
			s.log.Warn("peer session refused", "peer", conn.RemoteAddr().String(), "error", err)
			continue
		}
		if !s.add(session) {
			_ = session.Close()
			return nil
		}
		go s.serveSession(ctx, conn, session)
	}
}

func (s *Server) add(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	s.wg.Add(1)
	return true
}

// handshake ends the TLS handshake of a peer within dialTimeout. It returns nil for plain TCP.
func handshake(ctx context.Context, conn net.Conn) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return secured.HandshakeContext(ctx)
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
		go func() {
			defer s.wg.Done()
			defer func() { _ = conn.Close() }()
			streamCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			s.handler(streamCtx, &Stream{Conn: conn})
		}()
	}
}

// Close stops accepting, closes every session and waits for the handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	err := s.listener.Close()
	s.wg.Wait()
	return err
}
