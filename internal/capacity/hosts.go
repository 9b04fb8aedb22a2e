package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
)

func measureHostList(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "host-list", Note: "One read of the host list of the stand-in, as a gateway does by default every 2 s.",
		Columns: []string{"hosts", "bytes", "segments", "KB with headers", "KB/s at one read in 2 s", "µs processor (both ends, not decoded)"}}
	for _, n := range []int{100, 500, 2300} {
		if err := hostListRead(ctx, t, n); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func hostListRead(ctx context.Context, t *Table, n int) error {
	hosts := make([]platform.Host, n)
	for i := range hosts {
		hosts[i] = platform.Host{Address: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), Host: fmt.Sprintf("host-%04d", i),
			DataCentre: "walled-city", Role: "sidecar", State: "live"}
	}
	var m meter
	l, err := m.listen()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.New(platform.Options{Hosts: hosts}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	const reads = 50
	cpu := processorTime()
	for range reads {
		if err := fetch(ctx, "http://"+l.Addr().String()+"/hosts"); err != nil {
			return err
		}
	}
	spent := processorTime() - cpu
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	used := m.read()
	kilobytes := used.onWire() / reads / 1000
	t.add(n, used.bytes/reads, used.segments/reads, kilobytes, kilobytes/2, float64(spent.Microseconds())/reads)
	return nil
}

func fetch(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	_, err = io.Copy(io.Discard, reply.Body)
	return err
}
