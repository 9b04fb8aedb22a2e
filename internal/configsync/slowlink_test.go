package configsync_test

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// slowConn limits what is written, in bytes per second.
type slowConn struct {
	net.Conn
	link *rate.Limiter
}

func (c *slowConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		part := b[written:min(len(b), written+c.link.Burst())]
		if err := c.link.WaitN(context.Background(), len(part)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

type slowListener struct {
	net.Listener
	link *rate.Limiter
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l.link}, nil
}

// Guards against a copy that never follows its peers, because their answers take longer than a round and begin anew in the next.
var _ = It("takes a configuration whose transfer takes longer than a round", func(ctx SpecContext) {
	const linkBytes, entityBytes, entities = 600_000, 18_000, 100 // 3 s
	delta := &wirepb.ConfigDelta{Version: 1}
	for i := range entities {
		delta.Entities = append(delta.Entities, &wirepb.ConfigEntity{
			Kind: "organisation", Name: strings.Repeat("o", i+1), Version: 1,
			Value: []byte(`{"name":"` + strings.Repeat("o", i+1) + `","padding":"` + strings.Repeat("x", entityBytes) + `"}`),
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := transport.NewServer(&slowListener{listener, rate.NewLimiter(linkBytes, 16<<10)}, nil,
		func(_ context.Context, s *transport.Stream) {
			e, err := s.Recv()
			if err != nil {
				return
			}
			answer := &wirepb.ConfigDelta{Version: delta.GetVersion()}
			if e.GetConfigRequest().GetSince() < delta.GetVersion() {
				answer = delta
			}
			_ = s.Send(&wirepb.Envelope{Message: &wirepb.Envelope_ConfigDelta{ConfigDelta: answer}})
		}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(ctx) }()
	pool := transport.NewPool(nil)
	DeferCleanup(func() { pool.Close(); _ = server.Close() })
	sidecar := configsync.New(configsync.Options{
		Pool: pool, Peers: func() []string { return []string{listener.Addr().String()} }, PollInterval: time.Second,
	})
	run, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = sidecar.Run(run)
	}()
	DeferCleanup(func() { cancel(); <-done })
	Eventually(sidecar.Version, "10s").Should(BeEquivalentTo(1))
})
