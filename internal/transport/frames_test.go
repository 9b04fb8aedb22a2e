package transport_test

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

var _ = Describe("a server with a bound on frames", func() {
	// Guards against frames that are bounded one by one only, and against a bound that ends the sessions of others.
	It("ends the session of a frame beyond the memory and serves the others", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		budget, recorder := memorybudget.New(2<<20), refusals.NewRecorder("peers", nil)
		server := transport.NewServer(inner, nil, func(_ context.Context, s *transport.Stream) {
			if e, err := s.Recv(); err == nil {
				_ = s.Send(e) // the test waits for it
			}
		}, slog.New(slog.DiscardHandler), transport.WithFrames(budget, recorder))
		go func() { _ = server.Serve(context.Background()) }() // ends with Close
		DeferCleanup(server.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		misbehaving, other := transport.NewPool(nil), transport.NewPool(nil)
		defer misbehaving.Close()
		defer other.Close()

		stream, err := misbehaving.Open(ctx, server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Write(binary.BigEndian.AppendUint32(nil, 8<<20))
		Expect(err).To(Or(Succeed(), MatchError(yamux.ErrSessionShutdown))) // yamux reports the end of the session, if that comes first
		_, err = stream.Recv()
		Expect(err).To(HaveOccurred())
		Expect(recorder.Counts()).To(HaveKeyWithValue("no_memory_for_frames", BeEquivalentTo(1)))

		for _, id := range []int{10, 1 << 20} {
			stream, err = other.Open(ctx, server.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			sent := cancelFrame(string(make([]byte, id)))
			Expect(stream.Send(sent)).To(Succeed())
			var got *wirepb.Envelope
			got, err = stream.Recv()
			Expect(err).NotTo(HaveOccurred())
			Expect(got.GetCancel().GetRequestId()).To(HaveLen(id))
			Eventually(budget.Held).Should(BeZero())
		}
	})
})
