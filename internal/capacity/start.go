package capacity

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// The simultaneous start of gateways is measured at a tenth of the gateways of a data centre, with a poll budget that
// takes about 6 s for the first statuses, as at full size.
const (
	startGateways    = 6
	startSidecars    = 300
	startStatusPolls = 5
	startTimeout     = 30 * time.Second
)

func measureStart(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "start",
		Note: "Gateways that start at the same time and discover the same sidecars (stubs, one process). The burst at a sidecar " +
			"is the largest number of first polls that it gets within 100 ms; the number of gateways is the worst case.",
		Columns: []string{"gateways", "sidecars", "s to discover", "mean burst at a sidecar", "largest burst", "KB/s of one gateway"}}
	var mu sync.Mutex
	arrivals := make([][]time.Time, startSidecars)
	cluster, err := startCluster(startSidecars, func(i int, address string) transport.Handler {
		status := sampleStatus(i, address)
		wire.SetVersions(status)
		answer := statusReplier(status)
		return replyHandler(func(e *wirepb.Envelope) *wirepb.Envelope {
			if e.GetStatusRequest().GetKnownLists() == 0 {
				mu.Lock()
				arrivals[i] = append(arrivals[i], time.Now())
				mu.Unlock()
			}
			return answer(e)
		})
	})
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	learned, err := timeDiscovery(ctx, cluster)
	if err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	sum, largest := 0, 0
	for _, at := range arrivals {
		c := largestBurst(at, 100*time.Millisecond)
		sum, largest = sum+c, max(largest, c)
	}
	kilobytes := cluster.meter.read().bytesWithHeaders() / 1000 / startGateways / learned.Seconds()
	t.add(startGateways, startSidecars, learned.Seconds(), float64(sum)/startSidecars, largest, kilobytes)
	return t, nil
}

// timeDiscovery starts the gateways and returns the time until each has the status of every sidecar.
func timeDiscovery(ctx context.Context, cluster *cluster) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	begin := time.Now()
	clients := make([]*sidecarclient.Client, startGateways)
	for i := range clients {
		pool := transport.NewPool(nil)
		defer pool.Close()
		opts := statusOptions(pool, cluster.addresses)
		opts.StatusPolls = startStatusPolls
		clients[i] = sidecarclient.New(opts)
		wg.Go(func() { _ = clients[i].Run(ctx) })
	}
	incomplete := func(c *sidecarclient.Client) bool { return c.KnownCount() < startSidecars }
	for slices.ContainsFunc(clients, incomplete) {
		if time.Since(begin) > startTimeout {
			return 0, fmt.Errorf("gateways did not receive the status of %d sidecars within %v", startSidecars, startTimeout)
		}
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	return time.Since(begin), nil
}

// largestBurst returns the largest number of the times that lie within one window. It sorts at.
func largestBurst(at []time.Time, window time.Duration) int {
	slices.SortFunc(at, time.Time.Compare)
	largest := 0
	for i := range at {
		n := 1
		for i+n < len(at) && at[i+n].Sub(at[i]) < window {
			n++
		}
		largest = max(largest, n)
	}
	return largest
}
