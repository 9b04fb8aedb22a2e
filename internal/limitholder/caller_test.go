package limitholder

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func reserveMessage(id string) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_LimitReserve{LimitReserve: &wirepb.LimitReserve{RequestId: id}}}
}

var _ = Describe("streams of PoolCaller", func() {
	ctx := context.Background()
	var streams, charges, refunds atomic.Int64
	var address string
	var caller *PoolCaller
	var pool *transport.Pool
	var late, lateSent chan struct{}
	BeforeEach(func() {
		streams.Store(0)
		charges.Store(0)
		refunds.Store(0)
		late, lateSent = make(chan struct{}), make(chan struct{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		server := transport.NewServer(l, nil, func(_ context.Context, s *transport.Stream) {
			streams.Add(1)
			for m, err := s.Recv(); err == nil; m, err = s.Recv() {
				if m.GetLimitRefund() != nil {
					refunds.Add(1)
					continue
				}
				charges.Add(1)
				id := m.GetLimitReserve().GetRequestId()
				if id == "late" {
					<-late
				}
				_ = s.Send(&wirepb.Envelope{Message: &wirepb.Envelope_LimitGrant{LimitGrant: &wirepb.LimitGrant{ReservationId: id}}})
				if id == "late" {
					close(lateSent)
				}
				if id == "last" {
					return
				}
			}
		}, slog.New(slog.DiscardHandler))
		go func() { _ = server.Serve(ctx) }()
		DeferCleanup(server.Close)
		pool = transport.NewPool(nil)
		DeferCleanup(pool.Close)
		caller = NewPoolCaller(pool)
	})
	reserve := func(id string) {
		GinkgoHelper()
		reply, err := caller.Call(ctx, address, reserveMessage(id))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetLimitGrant().GetReservationId()).To(Equal(id))
	}

	It("guards against a stream for each call, and a refund that waits for an answer and then drops the session", func() {
		short, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		for range 10 {
			reserve("own")
			_, err := caller.Call(short, address,
				&wirepb.Envelope{Message: &wirepb.Envelope_LimitRefund{LimitRefund: &wirepb.LimitRefund{}}})
			Expect(err).NotTo(HaveOccurred())
		}
		reserve("own") // comes after the refunds on the same stream
		Expect(streams.Load()).To(BeEquivalentTo(1))
		Expect(refunds.Load()).To(BeEquivalentTo(10))
		Expect(pool.Len()).To(Equal(1))
	})

	It("guards against taking the late answer of a cancelled call for the next call's", func() {
		reserve("own")
		callCtx, cancelCall := context.WithCancel(ctx)
		done := make(chan error)
		go func() {
			_, err := caller.Call(callCtx, address, reserveMessage("late"))
			done <- err
		}()
		Eventually(charges.Load).Should(BeEquivalentTo(2))
		cancelCall()
		Expect(<-done).To(HaveOccurred())
		close(late)
		<-lateSent
		reserve("second")
		Expect(charges.Load()).To(BeEquivalentTo(3), "the lost charge is not repeated")
	})

	It("guards against a call that fails, or charges twice, because the peer's session or stream ended before it", func() {
		reserve("first")
		pool.Drop(address)
		reserve("last")
		Eventually(func() bool { return caller.takeIdle(address) == nil }).Should(BeTrue(), "a stream that the peer closed")
		reserve("third")
		Expect(charges.Load()).To(BeEquivalentTo(3))
	})
})
