package agent_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/agent"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

// idleEngine reports a model and accepts each order.
type idleEngine struct{}

func (idleEngine) Report(context.Context) (*fleet.Report, error) {
	return &fleet.Report{Born: 1, Models: []fleet.ResidentModel{{Name: "m"}}}, nil
}

func (idleEngine) Send(context.Context, platform.Order) (platform.OrderOutcome, error) {
	return platform.OrderAccepted, nil
}

// lastFrame returns the last whole frame that is in data, or nil.
func lastFrame(data []byte) *wirepb.Envelope {
	var last *wirepb.Envelope
	for r := bytes.NewReader(data); ; {
		e, err := wire.Read(r)
		if err != nil {
			return last
		}
		last = e
	}
}

// FuzzHandle guards against frames of a gateway that end the agent or make it useless for other gateways.
func FuzzHandle(f *testing.F) {
	valid, err := turn(8)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, frames []byte) {
		a := agent.New(agent.Options{Host: "h", Engine: idleEngine{}, Log: slog.New(slog.DiscardHandler)})
		handle(a, frames)
		reply := lastFrame(handle(a, valid)).GetColdReply()
		if !reply.GetGranted() || reply.GetWaitMs() > time.Minute.Milliseconds() {
			t.Fatalf("a turn of another gateway: %v", reply)
		}
	})
}

// turn returns a frame that asks for a turn at a cold engine.
func turn(perSecond float64) ([]byte, error) {
	var b bytes.Buffer
	err := wire.Write(&b, wire.ColdRequest(&wirepb.ColdRequest{
		Replica: "i-1", PerSecond: perSecond, MostWaitMs: 2 * time.Minute.Milliseconds(),
	}))
	return b.Bytes(), err
}

// handle passes a stream with the given bytes to the agent and returns the bytes that it sends.
func handle(a *agent.Agent, frames []byte) []byte {
	ours, theirs := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = theirs.Write(frames)
		if len(frames) < 4 || binary.BigEndian.Uint32(frames) > uint32(len(frames)) {
			_ = theirs.Close() // no whole frame
		}
		time.AfterFunc(20*time.Millisecond, cancel) // reports end with the stream only
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Handle(ctx, &transport.Stream{Conn: ours})
		_ = ours.Close()
		cancel()
	}()
	answer, _ := io.ReadAll(theirs)
	<-done
	return answer
}
