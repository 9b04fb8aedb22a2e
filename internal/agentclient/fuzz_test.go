package agentclient_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/agentclient"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
)

// FuzzReplies guards against replies and reports of an agent that end the gateway or make a request wait without a bound.
func FuzzReplies(f *testing.F) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	var reply atomic.Pointer[[]byte]
	server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
		if _, err := s.Recv(); err == nil {
			_, _ = s.Write(*reply.Load())
		}
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	f.Cleanup(func() { _ = server.Close() })
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		f.Fatal(err)
	}
	client := agentclient.New(agentclient.Options{
		View: fleet.NewView(), Pool: transport.NewPool(nil), Port: port, Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler),
		Changed: func() {}, Demand: func(string, string) float64 { return 1 },
	})
	replica := &fleet.Replica{ID: "i-1", Address: "127.0.0.1:1"}
	f.Fuzz(func(t *testing.T, data []byte) {
		reply.Store(&data)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		const maxWait = 100 * time.Millisecond
		wait, granted, err := client.AcquireColdTurn(ctx, replica, "r", 8, maxWait)
		if err == nil && (wait < 0 || (granted && wait > maxWait+time.Millisecond)) {
			t.Fatalf("a turn in %v (granted: %v), the longest wait is %v", wait, granted, maxWait)
		}
		for _, err := range []error{
			client.EnsureAdapter(ctx, replica, "r", "m", "a"), client.Propose(ctx, replica, 1, "load", "m", "because"),
		} {
			_ = errkind.Of(err).Answer()
		}
		if e, err := wire.Read(bytes.NewReader(data)); err == nil && e.GetAgentUpdate() != nil {
			client.StoreReport("i-1", e.GetAgentUpdate())
			client.Report(replica, bootclock.Now())
			client.Counts(bootclock.Now())
		}
	})
}
