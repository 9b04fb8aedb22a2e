package fleetgateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// testAgent stands in for the agents of all servers on the loopback address. Their engines hold the model m.
type testAgent struct {
	waitMS int64           // wait for a turn
	born   *atomic.Int64   // start that is reported; that of the request for reports if nil
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
		update := &wirepb.AgentUpdate{Born: m.AgentTarget.GetBorn(), Models: []*wirepb.EngineModel{{Model: "m"}}}
		for {
			if a.born != nil {
				update.Born = a.born.Load()
			}
			if stream.Send(wire.AgentUpdate(update)) != nil {
				return
			}
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
		s := newGatewayWithAgent(agent, route(once, 4*time.Second), perSecond)
		release := make(chan struct{})
		b := s.addBackend("i-1", after(release, sign))
		s.update(b, func(r *fleet.Replica) { r.Cold = time.Minute })
		s.awaitReport("i-1")
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
