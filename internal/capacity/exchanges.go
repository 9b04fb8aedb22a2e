package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
	"github.com/pomelowheel/pomelowheel/internal/limitholder"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	holderAddress    = "10.0.0.1:7000"
	exchangeRounds   = 3000
	leaseRounds      = 100
	exchangeEntities = 500 // number of configuration entities
	limitPartitions  = 4
	// settleTime is the wait for delayed acknowledgements, which Linux sends after 40 ms.
	settleTime = 200 * time.Millisecond
)

// exchangePeer is a peer that handles every kind of message, and a table service, both on loopback.
type exchangePeer struct {
	cluster  *cluster
	pool     *transport.Pool
	snapshot *config.Snapshot
	holder   *limitholder.Holder
	http     meter
	server   *http.Server
	store    *tablestore.DynamoDB
}

func startExchangePeer(ctx context.Context) (*exchangePeer, error) {
	p := &exchangePeer{pool: transport.NewPool(nil)}
	listener, err := p.http.listen()
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: platform.New(platform.Options{}), ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(listener) }()
	p.store = tablestore.NewDynamoDB(tablestore.DynamoDBOptions{
		Endpoint: "http://" + listener.Addr().String(), Region: "local", Table: "pomelowheel"})
	if p.snapshot, err = storeEntities(ctx, p.store); err != nil {
		return nil, err
	}
	p.holder = p.newHolder(holderAddress, "1")
	if err := p.holder.Round(ctx); err != nil {
		return nil, err
	}
	configCopy := configsync.New(configsync.Options{Store: p.store, Identity: identity("gateway", "10.0.0.1:7000")})
	if err := configCopy.Confirm(ctx); err != nil {
		return nil, err
	}
	status := sampleStatus(0, "10.0.0.2:7100")
	p.cluster, err = startCluster(1, func(int, string) transport.Handler { return p.handler(configCopy, status) })
	return p, err
}

// storeEntities writes the sample entities to the configuration log in several changes, then a change that withdraws the
// last key, and returns the resulting snapshot.
func storeEntities(ctx context.Context, store tablestore.Store) (*config.Snapshot, error) {
	entities, err := sampleEntities(exchangeEntities)
	if err != nil {
		return nil, err
	}
	for i := range entities {
		entities[i].Version = 0 // not stored yet, as the author of the first change sees them
	}
	log := config.NewLog(store)
	for i := 0; i < len(entities); i += config.MaxEntitiesPerChange {
		version := int64(i / config.MaxEntitiesPerChange)
		part := entities[i:min(i+config.MaxEntitiesPerChange, len(entities))]
		change := config.Change{ID: fmt.Sprint("load-", version), Author: "capacity", Reason: "load", Action: "load",
			Affects: "all", Version: version, Entities: part}
		if _, err := log.Accept(ctx, change); err != nil {
			return nil, err
		}
	}
	// The last change has one entity, so that a delta of one change can be requested.
	version := int64((len(entities) + config.MaxEntitiesPerChange - 1) / config.MaxEntitiesPerChange)
	last := entities[len(entities)-1]
	last.Version = version
	change := config.Change{ID: "last", Author: "capacity", Reason: "one", Action: "withdraw", Affects: "all",
		Version: version, Entities: []config.Entity{withdrawn(last)}}
	if _, err := log.Accept(ctx, change); err != nil {
		return nil, err
	}
	return log.Load(ctx)
}

// withdrawn returns the entity of a key with the key marked as withdrawn. It returns e if e holds no key.
func withdrawn(e config.Entity) config.Entity {
	var key config.Key
	if err := json.Unmarshal(e.Value, &key); err != nil {
		return e
	}
	key.Withdrawn = true
	changed, err := config.NewEntity(key)
	if err != nil {
		return e
	}
	changed.Version = e.Version
	return changed
}

func (p *exchangePeer) newHolder(address, incarnation string) *limitholder.Holder {
	return limitholder.New(limitholder.Options{
		Address: address, DataCentre: "dc-0", Incarnation: incarnation, Partitions: limitPartitions, LeaseTerm: 90 * time.Minute,
		Limit: limitshare.Options{MaxLoanDuration: 5 * time.Second, LoanReturnMargin: time.Second, Propagation: 16 * time.Second},
		Store: p.store, Caller: limitholder.NewPoolCaller(p.pool), Snapshot: func() *config.Snapshot { return p.snapshot },
		Gateways: func() []string { return []string{address} }, Removed: func(string) bool { return false },
		Fresh: func() bool { return true }, Log: discardLog,
	})
}

func (p *exchangePeer) handler(configCopy *configsync.Copy, status *wirepb.Status) transport.Handler {
	return func(ctx context.Context, s *transport.Stream) {
		statuses := statusReplier(status)
		replyHandler(func(e *wirepb.Envelope) *wirepb.Envelope {
			switch m := e.GetMessage().(type) {
			case *wirepb.Envelope_StatusRequest:
				return statuses(e)
			case *wirepb.Envelope_ConfigRequest:
				return &wirepb.Envelope{Message: &wirepb.Envelope_ConfigDelta{ConfigDelta: configCopy.ServeConfig(m.ConfigRequest)}}
			case *wirepb.Envelope_Probe:
				return &wirepb.Envelope{Message: &wirepb.Envelope_ProbeReply{ProbeReply: &wirepb.ProbeReply{QueueMs: 40, Resident: true}}}
			}
			return p.holder.Serve(ctx, e)
		})(ctx, s)
	}
}

func (p *exchangePeer) close() {
	p.pool.Close()
	p.cluster.close()
	_ = p.server.Close()
}

// exchange is one kind of request and reply, or call of the table service.
type exchange struct {
	name   string
	meter  *meter
	rounds int
	run    func(ctx context.Context) error
}

func measureExchanges(ctx context.Context) (*Table, error) {
	t := &Table{Slope: "exchanges",
		Note: "Sequential exchanges on an established session, both directions. Bytes are the TCP payload; \"with headers\" adds " +
			"66 bytes for each segment that the kernel counted. The processor time is that of both ends.",
		Columns: []string{"exchange", "rounds", "bytes", "segments", "bytes with headers", "connections opened",
			"µs processor (both ends)", "µs elapsed"}}
	p, err := startExchangePeer(ctx)
	if err != nil {
		return nil, err
	}
	defer p.close()
	list, err := p.exchanges(ctx)
	if err != nil {
		return nil, err
	}
	for _, x := range list {
		if err := x.measure(ctx, t); err != nil {
			return nil, fmt.Errorf("%s: %w", x.name, err)
		}
	}
	return t, nil
}

func (x exchange) measure(ctx context.Context, t *Table) error {
	if err := x.run(ctx); err != nil {
		return err
	}
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	before, opened, cpu, start := x.meter.read(), x.meter.connections(), processorTime(), time.Now()
	for range x.rounds {
		if err := x.run(ctx); err != nil {
			return err
		}
	}
	elapsed, spent := time.Since(start), processorTime()-cpu
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	used, n := x.meter.read().minus(before), float64(x.rounds)
	t.add(x.name, x.rounds, used.bytes/n, used.segments/n, used.bytesWithHeaders()/n, float64(x.meter.connections()-opened)/n,
		float64(spent.Microseconds())/n, float64(elapsed.Microseconds())/n)
	return nil
}

func (p *exchangePeer) exchanges(ctx context.Context) ([]exchange, error) {
	address, m, n := p.cluster.addresses[0], &p.cluster.meter, exchangeRounds
	stream, err := p.pool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	fullStatus, err := requestStatus(stream, &wirepb.StatusRequest{})
	if err != nil {
		return nil, err
	}
	pollRequest := &wirepb.StatusRequest{KnownLists: fullStatus.GetListsVersion(), OmitPrefixes: true, OmitLoads: true}
	routingRequest := &wirepb.StatusRequest{KnownLists: fullStatus.GetListsVersion(), OmitLoads: true}
	version := p.snapshot.Version()
	client, caller := limitholder.NewClient(p.holder), limitholder.NewPoolCaller(p.pool)
	org, _ := p.snapshot.Organisation("org-0")
	log := config.NewLog(p.store)
	return []exchange{
		{"full status", m, n, func(context.Context) error { _, err := requestStatus(stream, &wirepb.StatusRequest{}); return err }},
		{"status poll, lists unchanged", m, n,
			func(context.Context) error { _, err := requestStatus(stream, pollRequest); return err }},
		{"status before routing, prefixes changed", m, n,
			func(context.Context) error { _, err := requestStatus(stream, routingRequest); return err }},
		{"configuration poll, no changes", m, n, func(ctx context.Context) error { return p.pollConfig(ctx, address, version) }},
		{"configuration poll, one change", m, n, func(ctx context.Context) error { return p.pollConfig(ctx, address, version-1) }},
		{"probe", m, n, func(ctx context.Context) error { return p.probe(ctx, address) }},
		{"limit reserve and refund", m, n, func(ctx context.Context) error { return p.reserve(ctx, caller, address, org) }},
		{"limit reserve and refund, local to the holder", m, n,
			func(ctx context.Context) error { return reserveLocal(ctx, client, org) }},
		{"table service: head read", &p.http, n, func(ctx context.Context) error { _, err := log.Head(ctx); return err }},
		{"table service: round of a holder without a renewal", &p.http, n / 10, p.holder.Round},
		{"table service: round of a holder with the renewal of 4 leases", &p.http, leaseRounds, p.renewalRound()},
	}, nil
}

func requestStatus(stream *transport.Stream, r *wirepb.StatusRequest) (*wirepb.Status, error) {
	if err := stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_StatusRequest{StatusRequest: r}}); err != nil {
		return nil, err
	}
	reply, err := stream.Recv()
	return reply.GetStatus(), err
}

func (p *exchangePeer) pollConfig(ctx context.Context, address string, since int64) error {
	_, err := configsync.FetchDelta(ctx, p.pool, address,
		&wirepb.ConfigRequest{Identity: identity("sidecar", "10.0.0.2:7100"), Since: since})
	return err
}

func (p *exchangePeer) probe(ctx context.Context, address string) error {
	_, err := configsync.Exchange(ctx, p.pool, address, &wirepb.Envelope{Message: &wirepb.Envelope_Probe{Probe: &wirepb.Probe{
		RequestId: "6f1d0c9e-5a53-4d0c-8b0f-0c1f1f0e7a11", Organisation: "org-0", Service: "brush-assistant",
		Profile: "standard", Model: "model-001", Tokens: 900, PrefixHash: "0123456789abcdef"}}})
	return err
}

// reserve reserves and refunds tokens with the messages that a gateway sends to a holder at another gateway.
func (p *exchangePeer) reserve(
	ctx context.Context, caller *limitholder.PoolCaller, address string, org config.Organisation,
) error {
	reply, err := caller.Call(ctx, address,
		&wirepb.Envelope{Message: &wirepb.Envelope_LimitReserve{LimitReserve: &wirepb.LimitReserve{
			RequestId: "6f1d0c9e-5a53-4d0c-8b0f-0c1f1f0e7a11", Organisation: org.Name, Tokens: 10}}})
	if err != nil {
		return err
	}
	grant := reply.GetLimitGrant()
	if grant.GetKind() != 0 {
		return fmt.Errorf("refused: %s %s", errkind.Kind(grant.GetKind()), grant.GetDetail())
	}
	_, err = caller.Call(ctx, address, &wirepb.Envelope{Message: &wirepb.Envelope_LimitRefund{LimitRefund: &wirepb.LimitRefund{
		ReservationId: grant.GetReservationId(), Organisation: org.Name, Epoch: grant.GetEpoch(), Unused: 10}}})
	return err
}

func reserveLocal(ctx context.Context, client *limitholder.Client, org config.Organisation) error {
	r, err := client.Reserve(ctx, "r", org, 10)
	if err != nil {
		return err
	}
	r.Refund(10)
	return nil
}

// renewalRound returns a function that runs a holder's round in which every lease is written: each call is a new
// incarnation of the holder at the same address, which takes over the leases.
func (p *exchangePeer) renewalRound() func(ctx context.Context) error {
	incarnation := 1
	return func(ctx context.Context) error {
		incarnation++
		return p.newHolder(holderAddress, strconv.Itoa(incarnation)).Round(ctx)
	}
}
