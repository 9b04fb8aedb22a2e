package transport_test

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestTransport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transport")
}

func cancelFrame(id string) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_Cancel{Cancel: &wirepb.Cancel{RequestId: id}}}
}

// startEchoServer starts a server that returns each frame. It panics at a Cancel of the request "bad".
func startEchoServer() *transport.Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
		for {
			e, err := s.Recv()
			if e.GetCancel().GetRequestId() == "bad" {
				panic("unexpected message")
			}
			if err != nil || s.Send(e) != nil {
				return
			}
		}
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	DeferCleanup(server.Close)
	return server
}

var _ = Describe("sessions between processes", func() {
	// Guards against one message that takes the whole process down.
	It("ends only the stream whose handler panics", func() {
		server := startEchoServer()
		pool := transport.NewPool(nil)
		defer pool.Close()
		other, err := pool.Open(context.Background(), server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		bad, err := pool.Open(context.Background(), server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(bad.Send(cancelFrame("bad"))).To(Succeed())
		_, err = bad.Recv()
		Expect(err).To(HaveOccurred())
		Expect(other.Send(cancelFrame("a"))).To(Succeed())
		got, err := other.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(got.GetCancel().GetRequestId()).To(Equal("a"))
	})

	It("carries concurrent streams on one session", func() {
		server := startEchoServer()
		pool := transport.NewPool(nil)
		defer pool.Close()
		first, err := pool.Open(context.Background(), server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		second, err := pool.Open(context.Background(), server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(pool.Len()).To(Equal(1))
		Expect(second.Send(cancelFrame("b"))).To(Succeed())
		Expect(first.Send(cancelFrame("a"))).To(Succeed())
		got, err := first.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(got.GetCancel().GetRequestId()).To(Equal("a"))
		got, err = second.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(got.GetCancel().GetRequestId()).To(Equal("b"))
	})

	It("dials again after the peer restarted at the same address", func() {
		server := startEchoServer()
		address := server.Addr().String()
		pool := transport.NewPool(nil)
		defer pool.Close()
		_, err := pool.Open(context.Background(), address)
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Close()).To(Succeed())
		Eventually(func() error {
			_, err := pool.Open(context.Background(), address)
			return err
		}).Should(HaveOccurred())

		listener, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		again := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
			_, _ = s.Recv()
		}, slog.New(slog.DiscardHandler))
		go func() { _ = again.Serve(context.Background()) }()
		defer func() { _ = again.Close() }()
		stream, err := pool.Open(context.Background(), address)
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Send(cancelFrame("a"))).To(Succeed())
	})
})

// FuzzRead guards against malformed frames from a peer that crash the reader or make it allocate more than the limit.
func FuzzRead(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add(append(binary.BigEndian.AppendUint32(nil, 3), 1, 2, 3))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r, w := io.Pipe()
		go func() {
			_, _ = w.Write(data)
			_ = w.Close()
		}()
		for {
			if _, err := wire.Read(r); err != nil {
				_ = r.Close()
				return
			}
		}
	})
}
