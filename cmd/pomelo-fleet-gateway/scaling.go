package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"maps"

	"github.com/pomelowheel/pomelowheel/internal/autoscale"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

// scaling orders the numbers of backend servers while this gateway holds the duties.
type scaling struct {
	demand   *fleetgateway.ServiceDemand
	observer *autoscale.Observer
	runner   *autoscale.Runner
}

// newScaling returns the scaling without its observer and runner, or nil if the settings do not name the duty.
func newScaling(s *platform.Settings) *scaling {
	if !s.Cloud.Has(platform.Autoscaling) {
		return nil
	}
	return &scaling{demand: fleetgateway.NewServiceDemand()}
}

// setUp creates the observer and the runner of g, whose other parts exist.
func (s *scaling) setUp(g *gateway, clock bootclock.Clock) {
	s.observer = autoscale.NewObserver(autoscale.ObserverOptions{
		Host: g.settings.Host, DataCentre: g.settings.DataCentre, Snapshot: g.view.Snapshot, Totals: s.totals,
		InFlight: func(server string) int { return g.table.InFlight(server, clock()) },
		Stalled:  func(server string) bool { return g.table.Stalled(server, clock()) },
		Demanded: func(service, model string) bool { return g.planner.DemandOf(service, model) > 0 },
		ListAge:  g.follower.ListAge, Gateways: g.mesh.Count,
	})
	s.runner = autoscale.NewRunner(autoscale.RunnerOptions{
		Duty: scaleDuty{g}, Caller: scaleCaller{g.lease, g.duties.client}, Store: g.store, Services: s.observer.Services,
		CallsPerSecond: g.settings.Cloud.CallsPerSecond, Era: g.follower.Era, Clock: clock, Log: g.log,
	})
}

// totals returns the demand from the callers of this gateway.
func (s *scaling) totals() map[string]autoscale.Totals {
	totals := make(map[string]autoscale.Totals)
	for name, t := range s.demand.Totals() {
		totals[name] = autoscale.Totals{Work: float64(t.Work), Refused: float64(t.Refused), Waiting: float64(t.Waiting)}
	}
	return totals
}

// scaleDuty is the duty of a gateway whose configuration has a service with scaling. Without one the runner does nothing.
type scaleDuty struct{ gateway *gateway }

// Token implements autoscale.Duty.
func (d scaleDuty) Token() (int64, bool) {
	if !hasScaling(d.gateway.view.Snapshot().Config) {
		return 0, false
	}
	return d.gateway.lease.Token()
}

// hasScaling reports whether a configuration, which may be nil, has a service with scaling.
func hasScaling(c *fleet.Configuration) bool {
	if c == nil {
		return false
	}
	for _, s := range c.Services {
		if s.Scaling != nil {
			return true
		}
	}
	return false
}

// scaleCaller makes the calls of a runner.
type scaleCaller struct {
	holder duty.Holder
	client *duty.Client
}

// Scale implements autoscale.Caller.
func (c scaleCaller) Scale(ctx context.Context, token int64, service, dataCentre string, count int) error {
	if now, ok := c.holder.Token(); !ok || now != token {
		return fmt.Errorf("%w: %w", autoscale.ErrNotSent, duty.ErrNotHolder)
	}
	err := c.client.Report(ctx, platform.ScaleOrder{Service: service, DataCentre: dataCentre, Count: count})
	if errors.Is(err, duty.ErrNotHolder) || errors.Is(err, duty.ErrRate) {
		return fmt.Errorf("%w: %w", autoscale.ErrNotSent, err)
	}
	return err
}

// serviceDemand returns the counts of the demand for services with scaling, or nil if they are not needed.
func (g *gateway) serviceDemand() *fleetgateway.ServiceDemand {
	if g.duties.scaling == nil {
		return nil
	}
	return g.duties.scaling.demand
}

// scaleSource returns the function by which the exchange with the peers reads the demand for services with scaling, or nil.
func (g *gateway) scaleSource() func() ([]*wirepb.ServiceDemand, bool) {
	if g.duties.scaling == nil {
		return nil
	}
	return func() ([]*wirepb.ServiceDemand, bool) {
		if !hasScaling(g.view.Snapshot().Config) {
			return nil, false
		}
		return g.duties.scaling.demand.ToWire(), true
	}
}

// receiveScale passes the demand that a peer reported to the observer, unless it was reported for an earlier term of this gateway:
// then it is as old as that.
func (g *gateway) receiveScale(from *wirepb.Identity, epoch int64, demand map[string]*wirepb.ServiceDemand) {
	if g.duties.scaling == nil || epoch != g.lease.Epoch() {
		return
	}
	totals := make(map[string]autoscale.Totals, len(demand))
	for name, d := range demand {
		totals[name] = autoscale.Totals{Work: float64(d.GetWork()), Refused: float64(d.GetRefused()), Waiting: float64(d.GetWaiting())}
	}
	g.duties.scaling.observer.Receive(bootclock.Now(), from.GetHost(), from.GetIncarnation(), from.GetDataCentre(), totals)
}

// addScalingVars adds the metrics of the replica counts. They are zero where the settings do not name the duty.
func (g *gateway) addScalingVars(vars map[string]expvar.Var) {
	runner := autoscale.NewRunner(autoscale.RunnerOptions{}) // counts nothing
	if g.duties.scaling != nil {
		runner = g.duties.scaling.runner
	}
	maps.Copy(vars, runner.Vars())
}
