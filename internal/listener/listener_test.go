package listener_test

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/listener"
)

// scriptedListener returns errors in turn, and then waits until it is closed.
type scriptedListener struct {
	net.Listener
	errs   []error
	closed chan struct{}
}

func (s *scriptedListener) Accept() (net.Conn, error) {
	if len(s.errs) > 0 {
		err := s.errs[0]
		s.errs = s.errs[1:]
		if err == nil {
			client, server := net.Pipe()
			_ = client.Close()
			return server, nil
		}
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	<-s.closed
	return nil, net.ErrClosed
}

func (s *scriptedListener) Close() error {
	close(s.closed)
	return nil
}

func persistent(errs ...error) net.Listener {
	l := &scriptedListener{errs: errs, closed: make(chan struct{})}
	return listener.Persistent(l, listener.Options{Name: "test", Log: slog.New(slog.DiscardHandler)})
}

// Guards against a server that ends because of an error of Accept that passes by itself.
func TestAcceptGoesOnAfterErrorsThatPass(t *testing.T) {
	l := persistent(syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO,
		syscall.EPERM, errors.New("unknown"), nil)
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("Accept failed: %v", err)
	}
	_ = conn.Close()
}

// Guards against a server that seems to run although its listening socket is unusable.
func TestAcceptFailsOnAnUnusableSocket(t *testing.T) {
	for _, cause := range []error{syscall.EBADF, syscall.EINVAL} {
		if _, err := persistent(cause, nil).Accept(); !errors.Is(err, cause) {
			t.Errorf("Accept returned %v, expected %v", err, cause)
		}
	}
}

// Guards against a process that can't stop while it waits for a free descriptor.
func TestCloseEndsAPauseOfAccept(t *testing.T) {
	errs := make([]error, 1000)
	for i := range errs {
		errs[i] = syscall.EMFILE
	}
	l := persistent(errs...)
	result := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		result <- err
	}()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-result:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept returned %v after Close", err)
		}
	case <-time.After(30 * time.Second):
		t.Error("Accept did not return after Close")
	}
}
