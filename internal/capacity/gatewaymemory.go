package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
	"github.com/pomelowheel/pomelowheel/internal/hostlist"
	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

const (
	memoryEntities = 2500
	memoryWindow   = 30 * time.Second
	memoryGateways = 400 // in the host list, in addition to the sidecars
)

// ServeFleet runs n stub sidecars and an HTTP server with their host list in this process until ctx ends. Once all of
// them listen, it writes the URL of the host list to w as one line. It returns an error if it can't listen or write.
func ServeFleet(ctx context.Context, n int, w io.Writer) error {
	cluster, err := startCluster(n, func(i int, address string) transport.Handler { return statusHandler(sampleStatus(i, address)) })
	if err != nil {
		return err
	}
	defer cluster.close()
	var hosts []platform.Host
	for i, a := range cluster.addresses {
		hosts = append(hosts, platform.Host{Address: a, Host: fmt.Sprintf("host-%04d", i), DataCentre: "walled-city", Role: "sidecar"})
	}
	for i := range memoryGateways {
		hosts = append(hosts, platform.Host{Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Host: fmt.Sprintf("gateway-%04d", i),
			DataCentre: "walled-city", Role: "gateway"})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: platform.New(platform.Options{Hosts: hosts}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	if _, err := fmt.Fprintf(w, "http://%s/hosts\n", l.Addr()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// GatewayMemory returns the slope of a gateway's own memory. The sidecars run in another process, so that their memory
// isn't counted; url is the URL of the host list that ServeFleet writes there.
func GatewayMemory(url string) Slope {
	measure := func(ctx context.Context) (*Table, error) { return measureGatewayMemory(ctx, url) }
	return Slope{Name: "gateway-memory", Timeout: 2 * time.Minute, Measure: measure}
}

func measureGatewayMemory(ctx context.Context, url string) (*Table, error) {
	t := &Table{Slope: "gateway-memory",
		Note: fmt.Sprintf("Memory of a gateway's sessions, full statuses, host list and configuration of %d entities after all "+
			"sidecars are known, over %s. The largest values are reported. The sidecars run in another process.", memoryEntities,
			memoryWindow),
		Columns: []string{"sidecars", "models", "resident MB", "heap in use MB", "live heap MB", "stacks MB", "goroutines"}}
	entities, err := sampleEntities(memoryEntities)
	if err != nil {
		return nil, err
	}
	snapshot, err := new(config.Snapshot).Apply(1, entities)
	if err != nil {
		return nil, err
	}
	list := hostlist.New(hostlist.Options{URL: url})
	if err := list.Poll(ctx); err != nil {
		return nil, err
	}
	pool := transport.NewPool(nil)
	defer pool.Close()
	opts := statusOptions(pool, nil)
	opts.HostList = list
	c := sidecarclient.New(opts)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = list.Run(ctx) }()
	go func() { _ = c.Run(ctx) }()
	n := len(list.Sidecars())
	for c.KnownCount() < n {
		if err := wait(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	setFullStatuses(c, list.Sidecars())
	if err := addMemoryRow(ctx, t, c, n); err != nil {
		return nil, err
	}
	runtime.KeepAlive(snapshot)
	return t, nil
}

// setFullStatuses stores a status with all lists for every sidecar, as a gateway has it after replies to requests.
func setFullStatuses(c *sidecarclient.Client, addresses []string) {
	for i, a := range addresses {
		c.Update(a, sampleStatus(i, a), time.Now())
	}
}

// addMemoryRow selects a sidecar twice a second, as a gateway does to route, and adds a row with the largest resident
// size, heap and stacks, and with the live heap at the end.
func addMemoryRow(ctx context.Context, t *Table, c *sidecarclient.Client, n int) error {
	var largest runtime.MemStats
	resident := 0.0
	for i, start := 0, time.Now(); time.Since(start) < memoryWindow; i++ {
		c.Select(ctx, route.Request{Service: "brush-assistant", Model: fmt.Sprintf("model-%03d", i%fullModels),
			DataCentre: "walled-city"})
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		largest.HeapInuse = max(largest.HeapInuse, m.HeapInuse)
		largest.StackInuse = max(largest.StackInuse, m.StackInuse)
		resident = max(resident, residentMB())
		if err := wait(ctx, 500*time.Millisecond); err != nil {
			return err
		}
	}
	goroutines := runtime.NumGoroutine()
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	t.add(n, fullModels, resident, float64(largest.HeapInuse)/1e6, float64(m.HeapAlloc)/1e6,
		float64(largest.StackInuse)/1e6, goroutines)
	return nil
}
