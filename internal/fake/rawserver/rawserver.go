// Package rawserver is a stand-in for a server that answers with given bytes, which need not be a valid HTTP/1.1 response. Use it in
// tests of what clients make of such answers.
package rawserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// receiveBufferBytes is small, so that a long upload is still being written when an early answer arrives.
	receiveBufferBytes = 64 << 10
	// resetDelay lets a client read the bytes of an answer before the connection is reset.
	resetDelay = 2 * time.Millisecond
	// maxUnreadTime ends a connection whose client keeps it open.
	maxUnreadTime = 10 * time.Second
)

// End is what the server does with a connection after an answer.
type End int

const (
	// Keep serves the next request on the connection, unless the answer says that it is closed.
	Keep End = iota
	// Close closes the connection.
	Close
	// Reset resets the connection.
	Reset
	// HalfClose ends the sending side of the connection, reads what the client still sends, and closes it then.
	HalfClose
)

// Answer is how the server answers a request.
type Answer struct {
	Early bool   // answers before the body of the request is read
	Text  string // all bytes of the answer; each ID in it stands for the X-Request-Id of the request
	End   End
}

// Server answers each request in the same way. It is safe for concurrent use.
type Server struct {
	Address string // IP:port

	answer      Answer
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
	reused      atomic.Bool
}

// Start starts a server on a loopback port.
func Start(answer Answer) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), answer: answer, listener: l}
	go s.accept()
	return s, nil
}

// Stop stops accepting connections. Those that are open end with their clients.
func (s *Server) Stop() { _ = s.listener.Close() }

// Connections returns the number of connections that were accepted.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// Requests returns the number of requests whose head arrived.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Reused reports whether a connection carried more than one request.
func (s *Server) Reused() bool { return s.reused.Load() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serve(conn.(*net.TCPConn))
	}
}

// serve answers the requests on a connection. Errors end it: the client has closed it.
func (s *Server) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !first {
			s.reused.Store(true)
		}
		if !s.answer.Early {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		text := strings.ReplaceAll(s.answer.Text, "ID", request.Header.Get("X-Request-Id"))
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if s.answer.End == Keep && strings.Contains(text, "Connection: close\r\n") {
			return
		}
		switch s.answer.End {
		case Close:
			return
		case Reset:
			time.Sleep(resetDelay)
			_ = conn.SetLinger(0)
			return
		case HalfClose:
			_ = conn.CloseWrite()
			_ = conn.SetReadDeadline(time.Now().Add(maxUnreadTime))
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}
