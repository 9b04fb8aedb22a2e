package gateway_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var _ = Describe("the retry budget", func() {
	It("allows no retry for a ratio of zero", func() {
		var b gateway.Budget
		for range 100 {
			b.RecordFirstAttempt(0)
		}
		Expect(b.Allows()).To(BeFalse())
	})
})

var _ = Describe("the peer listener", func() {
	It("answers frames that have a handler and closes the stream on other frames", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		log := slog.New(slog.DiscardHandler)
		handlers := gateway.PeerHandlers{Config: func(_ context.Context, r *wirepb.ConfigRequest) *wirepb.ConfigDelta {
			return &wirepb.ConfigDelta{Version: r.GetSince() + 1}
		}}
		server := transport.NewServer(listener, nil, handlers.Handler(log), log)
		go func() { _ = server.Serve(context.Background()) }()
		DeferCleanup(server.Close)
		pool := transport.NewPool(nil)
		DeferCleanup(pool.Close)
		stream, err := pool.Open(context.Background(), server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		for since := range int64(2) {
			Expect(stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_ConfigRequest{
				ConfigRequest: &wirepb.ConfigRequest{Since: since}}})).To(Succeed())
			e, err := stream.Recv()
			Expect(err).NotTo(HaveOccurred())
			Expect(e.GetConfigDelta().GetVersion()).To(Equal(since + 1))
		}
		Expect(stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_LimitBorrow{LimitBorrow: &wirepb.LimitBorrow{}}})).To(Succeed())
		_, err = stream.Recv()
		Expect(err).To(MatchError(io.EOF))
	})
})

// Guards against retries that multiply the load of an overloaded fleet.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const capacityRetries = 32
		ratio := rapid.Float64Range(0, 1).Draw(rt, "ratio")
		firstAttempts, retries := 0, 0
		var b gateway.Budget
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(rt, "steps") {
			if !retry {
				b.RecordFirstAttempt(ratio)
				firstAttempts++
			} else if b.Allows() {
				b.Take()
				retries++
			}
		}
		if float64(retries) > capacityRetries+ratio*float64(firstAttempts)+1e-6 {
			rt.Fatalf("%d retries for %d first attempts at ratio %v", retries, firstAttempts, ratio)
		}
	})
}
