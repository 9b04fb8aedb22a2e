package agent_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/agentclient"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// newGateway returns a gateway's client for the host's agent, the host's backend server and the gateway's view.
func (h *host) newGateway() (*agentclient.Client, *fleet.Replica, *fleet.View) {
	GinkgoHelper()
	log := slog.New(slog.DiscardHandler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = transport.NewServer(listener, nil, h.agent.Handle, log).Serve(ctx) })
	DeferCleanup(func() { cancel(); done.Wait() })
	_, port, err := net.SplitHostPort(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	view := fleet.NewView()
	return agentclient.New(agentclient.Options{
		Identity: &wirepb.Identity{Host: "g"}, View: view, Pool: transport.NewPool(nil), Port: port,
		Clock: bootclock.Now, Log: log, Changed: func() {}, Demand: func(string, string) float64 { return 0 },
	}), &fleet.Replica{ID: "i-1", Service: "s", Address: "127.0.0.1:1"}, view
}

var _ = Describe("turns at a cold engine", func() {
	It("are limited to the engine's rate across all gateways and refused beyond the longest wait", func() {
		h := newHost("a")
		one, replica, _ := h.newGateway()
		two, again, _ := h.newGateway()
		start := time.Now()
		for i, gateway := range []*agentclient.Client{one, two, one, two} {
			wait, granted, err := gateway.AcquireColdTurn(context.Background(), []*fleet.Replica{replica, again}[i%2], "r", 2,
				1700*time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Expect(granted).To(BeTrue())
			turn := time.Since(start) + wait
			Expect(turn).To(BeNumerically(">=", time.Duration(i)*500*time.Millisecond))
			Expect(turn).To(BeNumerically("<", time.Duration(i)*500*time.Millisecond+400*time.Millisecond))
		}
		wait, granted, err := one.AcquireColdTurn(context.Background(), replica, "r", 2, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(granted).To(BeFalse())
		Expect(wait).To(BeNumerically(">", time.Second))
	})
})
