package capacity

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Sizes of a status in a system of full size, and of the measurement. fullModels is the number of models of the design;
// the other sizes are assumptions.
const (
	fullModels      = 230
	residentModels  = 4
	loadedAdapters  = 12
	statusPrefixes  = 32
	trafficWindow   = 5 * time.Second
	statusInterval  = time.Second
	statusMaxAge    = 5 * time.Second
	hexPrefixLength = 16
)

func identity(role, address string) *wirepb.Identity {
	return &wirepb.Identity{Host: "host-0123", DataCentre: "walled-city", Role: role, Address: address,
		Incarnation: "6f1d0c9e-5a53-4d0c-8b0f-0c1f1f0e7a11"}
}

// sampleStatus returns the status of replica i, with lists as long as in a system of full size.
func sampleStatus(i int, address string) *wirepb.Status {
	s := &wirepb.Status{Identity: identity("sidecar", address), Service: "brush-assistant", Kind: "model", Ready: true,
		Running: 3, Queued: 1, Limit: 16, QueueMs: 40, ConfigVersion: 21000, MemoryTotalMb: 81920, MemoryFreeMb: 9000,
		BackendIncarnation: fmt.Sprintf("engine-%d", i)}
	for k := range residentModels + loadedAdapters {
		name := fmt.Sprintf("model-%03d", (i*residentModels+k)%fullModels)
		if k < residentModels {
			s.Resident = append(s.Resident, name)
		} else {
			s.Adapters = append(s.Adapters, name)
		}
		s.ModelLoads = append(s.ModelLoads, &wirepb.ModelLoad{Model: name, Requests: 1000, Tokens: 400000, Running: 1})
	}
	for k := range statusPrefixes {
		s.Prefixes = append(s.Prefixes, strings.Repeat(fmt.Sprintf("%04x", (i*31+k)%65536), hexPrefixLength/4))
	}
	return s
}

func measureStatusMemory(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "status-memory", Note: "Heap and stacks used by a gateway's status table, in one process without sessions.",
		Columns: []string{"statuses", "bytes", "bytes per status"}}
	for _, n := range []int{100, 500, 1900} {
		before := memoryInUse()
		c := sidecarclient.New(sidecarclient.Options{Policy: route.PolicyLoad, Log: discardLog})
		for i := range n {
			address := fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250)
			c.Update(address, sampleStatus(i, address), time.Now())
		}
		used := memoryInUse() - before
		t.add(n, used, used/float64(n))
		runtime.KeepAlive(c)
	}
	return t, ctx.Err()
}

type hostList []string

// Sidecars implements sidecarclient.HostList.
func (h hostList) Sidecars() []string { return h }

func measureStatusTraffic(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "status-traffic",
		Note: fmt.Sprintf("One gateway's status polls with the default settings, for %s after the first statuses arrived. The "+
			"sidecars are stubs in the same process. The processor time is that of both ends.", trafficWindow),
		Columns: []string{"sidecars", "known at start", "s to discover", "KB/s of discovery with connection set-up", "polls/s",
			"bytes/s", "segments/s", "KB/s with headers", "processor % (both ends)",
			"descriptors (both ends)", "resident MB (both ends)"}}
	for _, n := range []int{15, 100, 400, 1900} {
		if err := addStatusTraffic(ctx, t, n); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func addStatusTraffic(ctx context.Context, t *Table, n int) error {
	cluster, err := startCluster(n, func(i int, address string) transport.Handler { return statusHandler(sampleStatus(i, address)) })
	if err != nil {
		return err
	}
	defer cluster.close()
	pool := transport.NewPool(nil)
	defer pool.Close()
	c := sidecarclient.New(statusOptions(pool, cluster.addresses))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	begin := time.Now()
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	for c.KnownCount() < n && time.Since(begin) < 15*time.Second {
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	learned := time.Since(begin).Seconds()
	discoveryKBps := cluster.meter.read().bytesWithHeaders() / 1000 / max(learned, 1)
	if err := wait(ctx, 2*statusInterval); err != nil {
		return err
	}
	polls, _ := c.Polls()
	known, before, cpu, start := c.KnownCount(), cluster.meter.read(), processorTime(), time.Now()
	if err := wait(ctx, trafficWindow); err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	used, spent := cluster.meter.read().minus(before), processorTime()-cpu
	pollsAfter, _ := c.Polls()
	t.add(n, known, learned, discoveryKBps, float64(pollsAfter-polls)/seconds, used.bytes/seconds, used.segments/seconds,
		used.bytesWithHeaders()/seconds/1000,
		100*spent.Seconds()/seconds, openDescriptors(), residentMB())
	cancel()
	<-done
	return nil
}

func statusOptions(pool *transport.Pool, addresses []string) sidecarclient.Options {
	return sidecarclient.Options{Pool: pool, HostList: hostList(addresses), Policy: route.PolicyLoad, Log: discardLog,
		StatusInterval: statusInterval, StatusMaxAge: statusMaxAge, Identity: identity("gateway", "10.0.0.1:7000")}
}

func statusHandler(s *wirepb.Status) transport.Handler { return replyHandler(statusReplier(s)) }

// statusReplier returns a function that replies to status requests as a busy sidecar does: its prefixes and loads change
// between any two polls. Other messages get no reply.
func statusReplier(s *wirepb.Status) func(e *wirepb.Envelope) *wirepb.Envelope {
	var mu sync.Mutex
	return func(e *wirepb.Envelope) *wirepb.Envelope {
		r := e.GetStatusRequest()
		if r == nil {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		s.Prefixes = append(s.Prefixes[1:len(s.Prefixes):len(s.Prefixes)], s.Prefixes[0])
		s.ModelLoads[0].Requests++
		status, _ := proto.Clone(s).(*wirepb.Status)
		return &wirepb.Envelope{Message: &wirepb.Envelope_Status{Status: wire.TrimStatus(status, r)}}
	}
}
