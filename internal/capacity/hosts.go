package capacity

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
	"github.com/pomelowheel/pomelowheel/internal/hostlist"
)

func measureHostList(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "host-list",
		Note: "Sequential reads of the simulated platform's host list by a gateway's client. With conditional reads the list is " +
			"sent only when it has changed. Not compressed: for a platform that supports neither.",
		Columns: []string{"hosts", "read", "bytes", "segments", "KB with headers", "KB/s at one read every 2 s",
			"µs processor (both ends)"}}
	kinds := []struct {
		name        string
		client      *http.Client
		conditional bool // one hostlist.List for all reads, so that they are conditional
	}{
		{"unchanged, conditional", http.DefaultClient, true},
		{"full, compressed", http.DefaultClient, false},
		{"full, not compressed", &http.Client{Transport: &http.Transport{DisableCompression: true}}, false},
	}
	for _, n := range []int{100, 500, 2300} {
		for _, k := range kinds {
			if err := addHostListReads(ctx, t, n, k.name, k.client, k.conditional); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

func addHostListReads(ctx context.Context, t *Table, n int, name string, client *http.Client, conditional bool) error {
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
	newList := func() *hostlist.List {
		return hostlist.New(hostlist.Options{URL: "http://" + l.Addr().String() + "/hosts", Client: client})
	}
	list := newList()
	if err := list.Poll(ctx); err != nil {
		return err
	}
	before, cpu := m.read(), processorTime()
	for range reads {
		if !conditional {
			list = newList()
		}
		if err := list.Poll(ctx); err != nil {
			return err
		}
	}
	spent := processorTime() - cpu
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	used := m.read().minus(before)
	kilobytes := used.bytesWithHeaders() / reads / 1000
	t.add(n, name, used.bytes/reads, used.segments/reads, kilobytes, kilobytes/2, float64(spent.Microseconds())/reads)
	client.CloseIdleConnections()
	return nil
}
