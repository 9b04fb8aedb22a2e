package fleetgateway_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// testAgent stands in for the agents of all servers on the loopback address. Their engines hold the model m.
type testAgent struct {
	waitMS int64           // wait for a turn
	before chan<- string   // gets the ID of each request before the reply
	resume <-chan struct{} // a reply is sent after a value from it
}

func (a *testAgent) handle(ctx context.Context, stream *transport.Stream) {
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	frame, err := stream.Recv()
	if err != nil {
		return
	}
	reply := func(e *wirepb.Envelope, id string) {
		a.before <- id
		<-a.resume
		_ = stream.Send(e) // the gateway may have closed the stream
	}
	switch m := frame.GetMessage().(type) {
	case *wirepb.Envelope_AgentTarget:
		report := wire.AgentUpdate(&wirepb.AgentUpdate{Born: m.AgentTarget.GetBorn(), Models: []*wirepb.EngineModel{{Model: "m"}}})
		for stream.Send(report) == nil {
			time.Sleep(50 * time.Millisecond)
		}
	case *wirepb.Envelope_AdapterRequest:
		reply(wire.AdapterReply(&wirepb.AdapterReply{}), m.AdapterRequest.GetRequestId())
	case *wirepb.Envelope_ColdRequest:
		reply(wire.ColdReply(&wirepb.ColdReply{Granted: true, WaitMs: a.waitMS}), m.ColdRequest.GetRequestId())
	}
}

// Guards against a request that waited while its server said that it leaves or wants no requests, and is sent there after the wait.
var _ = DescribeTable("a request whose server gives a sign meanwhile, and that waits",
	func(perSecond float64, header map[string]string, sign http.HandlerFunc) {
		before, resume := make(chan string, 4), make(chan struct{}, 4)
		agent := &testAgent{waitMS: 1200, before: before, resume: resume}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		_, port, err := net.SplitHostPort(l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		s := newTestGatewayWithAgents(port, route(once, 4*time.Second), engine,
			func(c *fleet.Configuration) { c.Services["s"].ColdPerSecond = perSecond })
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { _ = transport.NewServer(l, nil, agent.handle, slog.New(slog.DiscardHandler)).Serve(ctx) })
		done.Go(func() { _ = s.agents.Run(ctx) })
		DeferCleanup(func() { cancel(); done.Wait() })

		release := make(chan struct{})
		b := s.addBackend("i-1", after(release, sign))
		s.update(b, func(r *fleet.Replica) { r.Cold = time.Minute })
		replica := s.view.Snapshot().Replicas["i-1"]
		Eventually(func() bool { _, ok := s.agents.Report(replica, bootclock.Now()); return ok }, "2s", "5ms").Should(BeTrue())
		turns := perSecond > 0
		if turns {
			resume <- struct{}{}
		}
		first := s.inBackground("first", map[string]string{"X-Model": "m"})
		Eventually(b.received.Load, "2s", "5ms").Should(BeEquivalentTo(1))
		second := s.inBackground("second", header)
		for id := range before {
			if id == "second" {
				break
			}
		}
		if turns {
			resume <- struct{}{}
			time.Sleep(100 * time.Millisecond) // the wait for the turn begins
		}
		close(release)
		<-first
		if !turns {
			resume <- struct{}{}
		}
		a := <-second
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.duration).To(BeNumerically("<", time.Second), "its turn comes after 1.2 s")
		Expect(b.received.Load()).To(BeEquivalentTo(1))
	},
	Entry("for its turn at a cold server that leaves", 50.0, map[string]string{"X-Model": "m"}, status(http.StatusOK, leaves...)),
	Entry("for its turn at a cold server that asks for a pause", 50.0, map[string]string{"X-Model": "m"}, busyFor("60")),
	Entry("for an adapter at a server that leaves", 0.0, map[string]string{"X-Model": "m/a1"}, status(http.StatusOK, leaves...)),
	Entry("for an adapter at a server that asks for a pause", 0.0, map[string]string{"X-Model": "m/a1"}, busyFor("60")),
)
