package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// spreadScale divides the poll intervals of 4 s and 3 s and the freshness limit of 8 s, to shorten the measurement.
	spreadScale        = 10
	gatewayPoll        = 4 * time.Second / spreadScale
	sidecarPoll        = 3 * time.Second / spreadScale
	spreadFreshFor     = 8 * time.Second / spreadScale
	spreadChanges      = 12
	sidecarsPerGateway = 4 // 400 gateways and 1,900 sidecars at full size
	peersPerSidecar    = 3 // gateways in the settings of a sidecar
)

// countingStore wraps a store and counts its reads.
type countingStore struct {
	tablestore.Store
	reads atomic.Int64
}

// Get implements tablestore.Store.
func (s *countingStore) Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

// Query implements tablestore.Store.
func (s *countingStore) Query(ctx context.Context, partition, after string, limit int) ([]tablestore.Row, error) {
	s.reads.Add(1)
	return s.Store.Query(ctx, partition, after, limit)
}

// configCopies holds the configuration copies of gateways and sidecars in one process.
type configCopies struct {
	store     *countingStore
	memory    *tablestore.Memory
	gateways  []*configsync.Copy
	sidecars  []*configsync.Copy
	peerPolls atomic.Int64

	mu      sync.Mutex
	arrived map[int64][]time.Time // when the copies received each version, in ascending order
}

func newConfigCopies(gateways, sidecars int) *configCopies {
	f := &configCopies{memory: tablestore.NewMemory(), arrived: make(map[int64][]time.Time)}
	f.store = &countingStore{Store: f.memory}
	for i := range gateways {
		c := configsync.New(configsync.Options{Store: f.store, FetchDelta: f.ask, PollInterval: gatewayPoll,
			FreshFor: spreadFreshFor, Identity: identity("gateway", fmt.Sprint("g", i)), Log: discardLog})
		f.gateways = append(f.gateways, f.recordArrivals(c))
	}
	for i := range sidecars {
		var peers []string
		for k := range min(peersPerSidecar, gateways) {
			peers = append(peers, fmt.Sprint("g", (i+k)%gateways))
		}
		c := configsync.New(configsync.Options{Peers: func() []string { return slices.Clone(peers) }, FetchDelta: f.ask,
			PollInterval: sidecarPoll, FreshFor: spreadFreshFor, Identity: identity("sidecar", fmt.Sprint("s", i)), Log: discardLog})
		f.sidecars = append(f.sidecars, f.recordArrivals(c))
	}
	return f
}

func (f *configCopies) recordArrivals(c *configsync.Copy) *configsync.Copy {
	seen := int64(0)
	c.Subscribe(func(s *config.Snapshot) {
		now := time.Now()
		f.mu.Lock()
		defer f.mu.Unlock()
		for ; seen < s.Version(); seen++ {
			f.arrived[seen+1] = append(f.arrived[seen+1], now)
		}
	})
	return c
}

func (f *configCopies) ask(_ context.Context, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
	var i int
	if _, err := fmt.Sscanf(address, "g%d", &i); err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	f.peerPolls.Add(1)
	return f.gateways[i].ServeConfig(r), nil
}

func measureSpread(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "spread",
		Note: fmt.Sprintf("Propagation of configuration changes to copies in one process, with function calls "+
			"for messages and poll intervals divided by %d. %d changes at random times; the time from acceptance to the last copy, "+
			"in units of the gateways' poll interval. 4 sidecars for each gateway, each with 3 gateways in its settings.",
			spreadScale, spreadChanges),
		Columns: []string{"copies", "gateways", "median last copy (intervals)", "worst last copy (intervals)",
			"s at 4 s (worst)", "table reads per gateway and interval", "peer polls per gateway and sidecar interval"}}
	for _, n := range []int{20, 60, 150} {
		if err := spread(ctx, t, n); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func spread(ctx context.Context, t *Table, copies int) error {
	gateways := copies / (1 + sidecarsPerGateway)
	f := newConfigCopies(gateways, copies-gateways)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log := config.NewLog(f.memory)
	if err := acceptOrganisation(ctx, log, 0); err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, c := range slices.Concat(f.gateways, f.sidecars) {
		// Starts the copies at different times, as processes do not start simultaneously.
		delay := rand.N(gatewayPoll)
		wg.Go(func() {
			if wait(ctx, delay) == nil {
				_ = c.Run(ctx)
			}
		})
	}
	if err := wait(ctx, 4*gatewayPoll); err != nil {
		return err
	}
	reads, peerPolls, start := f.store.reads.Load(), f.peerPolls.Load(), time.Now()
	accepted := make([]time.Time, 0, spreadChanges)
	for i := range spreadChanges {
		if err := acceptOrganisation(ctx, log, i+1); err != nil {
			return err
		}
		accepted = append(accepted, time.Now())
		if err := wait(ctx, 2*gatewayPoll+rand.N(gatewayPoll)); err != nil {
			return err
		}
	}
	elapsed := time.Since(start)
	reads, peerPolls = f.store.reads.Load()-reads, f.peerPolls.Load()-peerPolls
	if err := wait(ctx, 4*gatewayPoll); err != nil {
		return err
	}
	last, err := f.lastArrivals(accepted, copies)
	if err != nil {
		return err
	}
	worst := last[len(last)-1]
	t.add(copies, gateways, last[len(last)/2], worst, 4*worst,
		float64(reads)/float64(gateways)/(elapsed.Seconds()/gatewayPoll.Seconds()),
		float64(peerPolls)/float64(gateways)/(elapsed.Seconds()/sidecarPoll.Seconds()))
	return nil
}

// lastArrivals returns, for each change, the time from acceptance until the last copy received it, in gateway poll
// intervals. The times are in ascending order.
func (f *configCopies) lastArrivals(accepted []time.Time, copies int) ([]float64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last []float64
	for i, at := range accepted {
		arrived := f.arrived[int64(i+2)]
		if len(arrived) != copies {
			return nil, fmt.Errorf("change %d reached %d of %d copies", i+1, len(arrived), copies)
		}
		last = append(last, arrived[len(arrived)-1].Sub(at).Seconds()/gatewayPoll.Seconds())
	}
	slices.Sort(last)
	return last, nil
}

func acceptOrganisation(ctx context.Context, log *config.Log, i int) error {
	e, err := config.NewEntity(config.Organisation{Name: fmt.Sprint("org-", i), Rate: 1000, Burst: 1000, Weight: 1})
	if err != nil {
		return err
	}
	id := fmt.Sprint("change-", i)
	_, err = log.Accept(ctx, config.Change{ID: id, Author: "capacity", Reason: "spread", Action: "add",
		Entities: []config.Entity{e}})
	return err
}
