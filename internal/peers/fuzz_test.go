package peers_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/peers"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// FuzzRow guards against a large row from a peer, such as a compressed one that expands without limit, that ends the process
// or fills the memory.
func FuzzRow(f *testing.F) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	var frames atomic.Pointer[[]byte]
	server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
		if _, err := s.Recv(); err == nil {
			_, _ = s.Write(*frames.Load())
		}
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	f.Cleanup(func() { _ = server.Close() })
	mesh := peers.New(peers.Options{
		Identity: &wirepb.Identity{Address: "self"}, Pool: transport.NewPool(nil), Clock: bootclock.Now,
		Log: slog.New(slog.DiscardHandler),
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		frames.Store(&data)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		row, err := mesh.RequestRow(ctx, listener.Addr().String())
		if ctx.Err() != nil {
			t.Fatal("the transfer did not end")
		}
		if err == nil && (len(row.GetValue()) > peers.MaxRowBytes || row.GetVersion() == 0) {
			t.Fatalf("version %d with %d bytes", row.GetVersion(), len(row.GetValue()))
		}
	})
}
