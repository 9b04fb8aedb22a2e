package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/limitholder"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/planner"
	"github.com/pomelowheel/pomelowheel/internal/sidecar"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// loanMargin allows for clocks that differ in speed by 10% over the longest loan, and for late grants.
	loanMargin = time.Second
	// configPropagation is the time within which a configuration change takes effect everywhere in a system of the
	// largest supported size.
	configPropagation = 16 * time.Second
	// copiesPageRows is the number of copies rows that one query reads.
	copiesPageRows = 200
)

// limitClient adapts the limit holder's client to gateway.Limiter.
type limitClient struct{ client *limitholder.Client }

// Reserve implements gateway.Limiter.
func (l limitClient) Reserve(
	ctx context.Context, requestID string, org config.Organisation, tokens int64,
) (gateway.Reservation, error) {
	reservation, err := l.client.Reserve(ctx, requestID, org, tokens)
	var limited *limitholder.RateLimitError
	if errors.As(err, &limited) {
		return nil, &gateway.RetryError{Err: limited.Err, After: limited.RetryAfter}
	}
	if err != nil {
		return nil, err
	}
	return reservation, nil
}

// buildLimits sets p.limits, if limits are enabled, and returns the limiter of the request path.
func (p *components) buildLimits() gateway.Limiter {
	s := p.settings
	if !s.Limits.Enabled {
		return gateway.NoLimit{}
	}
	p.limits = limitholder.New(limitholder.Options{
		Address: p.identity.GetAddress(), DataCentre: s.Process.DataCentre, Incarnation: p.identity.GetIncarnation(),
		Partitions: s.Limits.Partitions, LeaseTerm: s.Limits.LeaseTerm.D(), StoreTimeout: s.TableService.Timeout.D(),
		Limit: limitshare.Options{
			MaxLoanDuration: s.Limits.LoanTerm.D(), LoanReturnMargin: loanMargin, Propagation: configPropagation,
		},
		Store: p.store, Caller: limitholder.NewPoolCaller(p.pool), Snapshot: p.config.Snapshot,
		Fresh: p.configFresh, Gateways: p.localGateways, Peers: p.knownGateways, Removed: p.hosts.Removed, Log: p.log,
	})
	return limitClient{limitholder.NewClient(p.limits)}
}

// limitsReady reports whether the limit holder is ready. It becomes ready within a bounded time, even if no holder is
// known.
func (p *components) limitsReady() bool { return p.limits == nil || p.limits.Ready() }

// configFresh reports whether the copy of the configuration contains every change that is older than configPropagation.
// During an outage of the table service no change is accepted, so the copy stays valid.
func (p *components) configFresh() bool {
	age, ok := p.config.ConfirmedAge()
	return p.config.Usable() || (ok && age <= configPropagation)
}

// localGateways returns the addresses of the gateways in this data centre, including this process.
func (p *components) localGateways() []string {
	local := []string{p.identity.GetAddress()}
	for _, address := range p.hosts.Gateways() {
		host, ok := p.hosts.Host(address)
		if ok && host.DataCentre == p.settings.Process.DataCentre && !slices.Contains(local, address) {
			local = append(local, address)
		}
	}
	return local
}

// knownGateways returns the gateways of all data centres that are not leaving. It returns false before the first read
// of the host list. After it, only listed gateways are included, because one that only the settings name may have been
// down for long. Without a host list, the data centres of the gateways in the settings are unknown.
func (p *components) knownGateways() ([]limitholder.Peer, bool) {
	self := p.identity.GetAddress()
	peers := []limitholder.Peer{{Address: self, DataCentre: p.settings.Process.DataCentre}}
	_, read := p.hosts.Age()
	for _, address := range p.otherGateways() {
		host, listed := p.hosts.Host(address)
		if host.Leaving || (read && !listed) {
			continue
		}
		peers = append(peers, limitholder.Peer{Address: address, DataCentre: host.DataCentre})
	}
	return peers, read || p.settings.HostList.URL == ""
}

// limitHandlers sets the handlers of the frames that other gateways send to the limit holder.
func (p *components) limitHandlers(h *gateway.PeerHandlers) {
	if p.limits == nil {
		return
	}
	h.LimitReserve = func(ctx context.Context, r *wirepb.LimitReserve) *wirepb.LimitGrant {
		return p.limits.Serve(ctx, &wirepb.Envelope{Message: &wirepb.Envelope_LimitReserve{LimitReserve: r}}).GetLimitGrant()
	}
	h.LimitRefund = func(ctx context.Context, r *wirepb.LimitRefund) {
		p.limits.Serve(ctx, &wirepb.Envelope{Message: &wirepb.Envelope_LimitRefund{LimitRefund: r}})
	}
	h.LimitBorrow = func(ctx context.Context, r *wirepb.LimitBorrow) *wirepb.LimitLoan {
		return p.limits.Serve(ctx, &wirepb.Envelope{Message: &wirepb.Envelope_LimitBorrow{LimitBorrow: r}}).GetLimitLoan()
	}
}

// plannerSidecars adapts the sidecars' client to planner.Sidecars.
type plannerSidecars struct{ client *sidecarclient.Client }

// Statuses implements planner.Sidecars.
func (f plannerSidecars) Statuses() []planner.SidecarStatus {
	var statuses []planner.SidecarStatus
	for address, status := range f.client.Statuses() {
		if age, ok := f.client.StatusAge(address); ok {
			statuses = append(statuses, planner.SidecarStatus{Address: address, Status: status, Age: age})
		}
	}
	return statuses
}

// Order implements planner.Sidecars.
func (f plannerSidecars) Order(ctx context.Context, address string, order *wirepb.ModelOrder) (*wirepb.OrderReply, error) {
	reply, err := f.client.RoundTrip(ctx, address, &wirepb.Envelope{Message: &wirepb.Envelope_ModelOrder{ModelOrder: order}})
	if err != nil {
		return nil, err
	}
	if reply.GetOrderReply() == nil {
		return nil, errkind.New(errkind.ProtocolError, "sidecar %s answered an order with another message", address)
	}
	return reply.GetOrderReply(), nil
}

func (p *components) newPlanner() *planner.Planner {
	s := p.settings
	return planner.New(planner.Options{
		Address: p.identity.GetAddress(), Incarnation: p.identity.GetIncarnation(),
		Interval: s.Planner.Interval.D(), LeaseTerm: s.Planner.LeaseTerm.D(),
		LoadRate: s.Planner.LoadRate, MaxConcurrentLoads: s.Planner.LoadSlots, StatusMaxAge: s.Routing.StatusMaxAge.D(),
		StoreTimeout: s.TableService.Timeout.D(), Store: p.store, Sidecars: plannerSidecars{p.sidecars},
		Snapshot: p.config.Snapshot, Copies: p.readCopies, PollRound: p.sidecars.PollRound, Log: p.log,
	})
}

// readCopies reads the copies rows. It returns the addresses of the sidecars that have a copy, by model.
func (p *components) readCopies(ctx context.Context) (map[string][]string, error) {
	copies := make(map[string][]string)
	after := ""
	for {
		rows, err := p.store.Query(ctx, sidecar.CopiesKey("").Partition, after, copiesPageRows)
		if err != nil {
			return nil, fmt.Errorf("read copies: %w", err)
		}
		for _, row := range rows {
			if err := addCopies(copies, row); err != nil {
				return nil, err
			}
			after = row.Key.Sort
		}
		if len(rows) < copiesPageRows {
			return copies, nil
		}
	}
}

func addCopies(copies map[string][]string, row tablestore.Row) error {
	var value sidecar.CopiesRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return fmt.Errorf("decode %s: %w", row.Key, err)
	}
	for _, c := range value.Copies {
		copies[row.Key.Sort] = append(copies[row.Key.Sort], c.Address)
	}
	return nil
}
