package transport_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/transport"
)

// shortListener fails to accept for lack of a descriptor as often as failures says.
type shortListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

var _ = Describe("a server without free descriptors", func() {
	// Guards against a process that ends, with its requests in progress, when a peer connects while no descriptor is free.
	It("accepts sessions again once a descriptor is free", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		short := &shortListener{Listener: inner}
		short.failures.Store(3)
		server := transport.NewServer(short, nil, func(_ context.Context, s *transport.Stream) {
			if e, err := s.Recv(); err == nil {
				_ = s.Send(e) // the test waits for it
			}
		}, slog.New(slog.DiscardHandler))
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(context.Background()) }()
		DeferCleanup(server.Close)
		pool := transport.NewPool(nil)
		defer pool.Close()
		stream, err := pool.Open(context.Background(), server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Send(cancelFrame("a"))).To(Succeed())
		_, err = stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(ended).NotTo(Receive())
	})

	// Guards against sessions that nobody uses and that take the descriptors of those that are needed.
	It("closes the sessions without a stream at the bound, and refuses new ones only if there is none", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := transport.NewServer(inner, nil, func(_ context.Context, s *transport.Stream) {
			for {
				e, err := s.Recv()
				if err != nil || s.Send(e) != nil {
					return
				}
			}
		}, slog.New(slog.DiscardHandler), transport.WithDescriptors(2, nil))
		go func() { _ = server.Serve(context.Background()) }()
		DeferCleanup(server.Close)
		echo := func(s *transport.Stream) error {
			if err := s.Send(cancelFrame("a")); err != nil {
				return err
			}
			_, err := s.Recv()
			return err
		}
		open := func() *transport.Stream {
			pool := transport.NewPool(nil)
			DeferCleanup(pool.Close)
			stream, err := pool.Open(context.Background(), server.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			return stream
		}
		used := open()
		Expect(echo(used)).To(Succeed())
		unused, err := net.Dial("tcp", server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(unused.Close)
		third := open()
		Expect(echo(third)).To(Succeed())
		_, err = unused.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		pool := transport.NewPool(nil)
		DeferCleanup(pool.Close)
		Eventually(func() error {
			refused, err := pool.Open(context.Background(), server.Addr().String())
			if err == nil {
				err = echo(refused)
			}
			return err
		}).Should(HaveOccurred())
		Expect(echo(used)).To(Succeed())
		Expect(echo(third)).To(Succeed())
	})
})
