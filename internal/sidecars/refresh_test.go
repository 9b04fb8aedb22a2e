package sidecars_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/sidecars"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// answeringSidecar answers every status request on a stream as a sidecar does, and counts them.
func answeringSidecar(draining bool, asked *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
		for {
			e, err := s.Recv()
			if err != nil {
				return
			}
			asked.Add(1)
			reply := wire.TrimStatus(modelStatus(draining), e.GetStatusRequest())
			if s.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Status{Status: reply}}) != nil {
				return
			}
		}
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

func modelStatus(draining bool) *wirepb.Status {
	return &wirepb.Status{Service: "s", Kind: "model", Resident: []string{"m"}, Ready: !draining, Draining: draining, Limit: 4}
}

// deadAddress returns an address that refuses connections.
func deadAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

var _ = Describe("a choice among old statuses", func() {
	var client *sidecars.Client
	request := route.Request{Service: "s", Model: "m"}
	old := func(address string) { client.Update(address, modelStatus(false), time.Now().Add(-time.Minute)) }

	BeforeEach(func() {
		pool := transport.NewPool(nil)
		DeferCleanup(pool.Close)
		client = sidecars.New(sidecars.Options{Pool: pool, Policy: route.PolicyLoad, StatusInterval: time.Second,
			StatusMaxAge: 5 * time.Second, Log: slog.New(slog.DiscardHandler)})
	})

	It("asks before it chooses, so that a fleet too large to poll every second stays in routing", func() {
		var asked atomic.Int64
		address := answeringSidecar(false, &asked)
		old(address)
		Expect(client.Choose(request).Chosen()).To(BeEmpty())
		Expect(client.Select(context.Background(), request).Chosen()).To(Equal(address))
		Expect(asked.Load()).To(Equal(int64(1)))
		Expect(client.Select(context.Background(), request).Chosen()).To(Equal(address))
		Expect(asked.Load()).To(Equal(int64(1)), "a fresh status is not asked for again")
	})

	It("does not choose a sidecar that drains or is gone since its old status", func() {
		var asked atomic.Int64
		good := answeringSidecar(false, &asked)
		for range 3 {
			old(deadAddress())
		}
		old(answeringSidecar(true, &asked))
		old(good)
		Expect(client.Select(context.Background(), request).Chosen()).To(Equal(good))
	})

	It("does not ask for a status older than several rounds", func() {
		var asked atomic.Int64
		client.Update(answeringSidecar(false, &asked), modelStatus(false), time.Now().Add(-time.Hour))
		Expect(client.Select(context.Background(), request).Chosen()).To(BeEmpty())
		Expect(asked.Load()).To(BeZero())
	})
})
