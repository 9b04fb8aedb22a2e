package sidecarclient_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// answeringSidecar starts a server that answers status requests as a sidecar does and counts them in statusRequests. It
// returns its address.
func answeringSidecar(draining bool, statusRequests *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
		for {
			e, err := s.Recv()
			if err != nil {
				return
			}
			statusRequests.Add(1)
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
	var client *sidecarclient.Client
	request := route.Request{Service: "s", Model: "m"}
	setOldStatus := func(address string) { client.Update(address, modelStatus(false), time.Now().Add(-time.Minute)) }

	BeforeEach(func() {
		pool := transport.NewPool(nil)
		DeferCleanup(pool.Close)
		client = sidecarclient.New(sidecarclient.Options{Pool: pool, Policy: route.PolicyLoad, StatusInterval: time.Second,
			StatusMaxAge: 5 * time.Second, Log: slog.New(slog.DiscardHandler)})
	})

	It("refreshes an old status first, so that sidecars of a fleet too large to poll every second can be chosen", func() {
		var statusRequests atomic.Int64
		address := answeringSidecar(false, &statusRequests)
		setOldStatus(address)
		Expect(client.Choose(request).Chosen()).To(BeEmpty())
		Expect(client.Select(context.Background(), request).Chosen()).To(Equal(address))
		Expect(statusRequests.Load()).To(Equal(int64(1)))
		Expect(client.Select(context.Background(), request).Chosen()).To(Equal(address))
		Expect(statusRequests.Load()).To(Equal(int64(1)), "a recent status is not requested again")
	})

	It("does not choose a sidecar that has begun to drain or stopped since its old status", func() {
		var statusRequests atomic.Int64
		good := answeringSidecar(false, &statusRequests)
		for range 3 {
			setOldStatus(deadAddress())
		}
		setOldStatus(answeringSidecar(true, &statusRequests))
		setOldStatus(good)
		Expect(client.Select(context.Background(), request).Chosen()).To(Equal(good))
	})

	It("does not refresh a status older than several poll rounds", func() {
		var statusRequests atomic.Int64
		client.Update(answeringSidecar(false, &statusRequests), modelStatus(false), time.Now().Add(-time.Hour))
		Expect(client.Select(context.Background(), request).Chosen()).To(BeEmpty())
		Expect(statusRequests.Load()).To(BeZero())
	})
})
