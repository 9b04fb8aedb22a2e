package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func measureSessions(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "sessions",
		Note: "Sessions from one pool to the same number of servers in one process, so memory and descriptors count both ends. " +
			"Listeners are not counted. Idle: one exchange was made and its stream closed. Used: one stream is open.",
		Columns: []string{"sessions", "KB per idle session", "additional KB per used session", "descriptors per session"}}
	for _, n := range []int{100, 400, 1000, 1900} {
		if err := sessions(ctx, t, n); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func sessions(ctx context.Context, t *Table, n int) error {
	status := sampleStatus(0, "10.0.0.1:7100")
	cluster, err := startCluster(n, func(int, string) transport.Handler { return statusHandler(status) })
	if err != nil {
		return err
	}
	defer cluster.close()
	pool := transport.NewPool(nil)
	defer pool.Close()
	client := sidecarclient.New(sidecarclient.Options{Pool: pool, Log: discardLog})
	request := &wirepb.Envelope{Message: &wirepb.Envelope_StatusRequest{StatusRequest: &wirepb.StatusRequest{}}}
	memoryBefore, descriptorsBefore := memoryInUse(), openDescriptors()
	for _, a := range cluster.addresses {
		if _, err := client.RoundTrip(ctx, a, request); err != nil {
			return fmt.Errorf("request status: %w", err)
		}
	}
	if err := wait(ctx, time.Second); err != nil {
		return err
	}
	idle, open := memoryInUse()-memoryBefore, openDescriptors()-descriptorsBefore
	var streams []*transport.Stream
	for _, a := range cluster.addresses {
		s, err := pool.Open(ctx, a)
		if err != nil {
			return fmt.Errorf("open stream: %w", err)
		}
		streams = append(streams, s)
		if err := s.Send(request); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		if _, err := s.Recv(); err != nil {
			return fmt.Errorf("receive: %w", err)
		}
	}
	used := memoryInUse() - memoryBefore - idle
	for _, s := range streams {
		_ = s.Close()
	}
	t.add(n, idle/float64(n)/1000, used/float64(n)/1000, float64(open)/float64(n))
	return nil
}
