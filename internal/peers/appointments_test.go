package peers_test

import (
	"context"
	"log/slog"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/peers"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against changes of appointments that a peer doesn't get, or gets again with each update.
var _ = It("sends changes of appointments once", func(ctx SpecContext) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	log, received := slog.New(slog.DiscardHandler), make(chan []uint64, 16)
	source := &member{usePerPeer: make(map[string]float64)}
	options := peers.Options{
		Identity: &wirepb.Identity{Host: "receiver", Address: listener.Addr().String()}, Pool: transport.NewPool(nil),
		Clock: bootclock.Now, Source: source, Sink: source, Log: log,
		OnAppointments: func(_ string, changes *wirepb.Appointments) { received <- changes.GetEnded() },
	}
	receiver := peers.New(options)
	options.Identity = &wirepb.Identity{Host: "sender", Address: "127.0.0.1:1"}
	options.Seeds = func() []string { return []string{listener.Addr().String()} }
	options.Appointments = func(after uint64) (*wirepb.Appointments, uint64) {
		if after == 3 {
			return nil, after
		}
		return &wirepb.Appointments{Ended: []uint64{after}}, after + 1
	}
	server := transport.NewServer(listener, nil, func(ctx context.Context, s *transport.Stream) {
		if frame, err := s.Recv(); err == nil {
			receiver.Serve(ctx, s, frame)
		}
	}, log)
	run, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(run) })
	done.Go(func() { _ = peers.New(options).Run(run) })
	DeferCleanup(func() { cancel(); done.Wait() })
	for i := range uint64(3) {
		Eventually(received, eventuallyTimeout).Should(Receive(Equal([]uint64{i})))
	}
	Consistently(received, "500ms").ShouldNot(Receive())
})
