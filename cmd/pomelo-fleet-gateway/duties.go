package main

import (
	"expvar"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

// duties are the parts of the gateway that use the platform's cloud interface. The fields are nil where the settings do not name
// the duty that needs them.
type duties struct {
	cloud    *platform.Cloud
	client   *duty.Client
	ledger   *usage.Ledger
	metering *duty.Metering
	scaling  *scaling
}

// newDuties sets up the duties that the settings name.
func (g *gateway) newDuties(clock bootclock.Clock) {
	s, d := g.settings, &g.duties
	if s.Cloud.Address == "" {
		return
	}
	d.cloud = platform.NewCloud(s.Cloud.Address, g.reclaimer)
	d.client = duty.NewClient(duty.ClientOptions{
		Cloud: d.cloud, Holder: g.lease, Host: s.Host, Clock: clock, CallsPerSecond: s.Cloud.CallsPerSecond,
	})
	if d.ledger != nil {
		d.metering = duty.NewMetering(duty.MeteringOptions{
			Store: g.store, Epoch: g.lease.Epoch, Era: g.follower.Era, Report: d.client.Report, Ledger: d.ledger, Window: s.Bounds.UsageWindow,
			Late: s.Bounds.UsageLate, Clock: clock, Wall: time.Now, Log: g.log,
		})
	}
	if d.scaling != nil {
		d.scaling.setUp(g, clock)
	}
}

// follow uses the address of the cloud interface in changed settings. Other changes of duties need a start.
func (d *duties) follow(s *platform.Settings) {
	if d.cloud != nil && s.Cloud.Address != "" {
		d.cloud.SetAddress(s.Cloud.Address)
	}
}

// startDuties starts the background tasks of the duties.
func (g *gateway) startDuties(group *background.Group) {
	if g.duties.metering != nil {
		group.Go("usage reports", g.duties.metering.Run)
	}
	if g.duties.scaling != nil {
		group.Go("replica counts", g.duties.scaling.runner.Run)
	}
}

// usageSource sets up the counts of requests if the settings name the duty that needs them, and returns the function by which the
// exchange with the peers reads them, or nil.
func (g *gateway) usageSource(identity *wirepb.Identity) func() (*wirepb.UsageReport, bool) {
	if !g.settings.Cloud.Has(platform.Metering) {
		return nil
	}
	g.duties.ledger = usage.NewLedger(g.settings.Bounds.UsageWindow, identity.GetIncarnation())
	return func() (*wirepb.UsageReport, bool) { return g.duties.ledger.Report(time.Now()), g.lease.Epoch() != 0 }
}

// receiveUsage adds the counts that a peer sent.
func (g *gateway) receiveUsage(incarnation string, report *wirepb.UsageReport) {
	if g.duties.ledger != nil {
		g.duties.ledger.Receive(incarnation, report, time.Now())
	}
}

// countBegun returns the function that counts requests that began to run, or nil if they are not counted.
func (g *gateway) countBegun() func(organisation string) {
	if g.duties.ledger == nil {
		return nil
	}
	return func(organisation string) { g.duties.ledger.Count(organisation, time.Now()) }
}

// addDutyVars adds the metrics of the duties. They are zero where the settings name no duties.
func (g *gateway) addDutyVars(vars map[string]expvar.Var) {
	publish := func(name string, value func() int64) { vars[name] = expvar.Func(func() any { return value() }) }
	publish("duty_token", func() int64 {
		if g.duties.client == nil {
			return 0
		}
		token, _ := g.lease.Token()
		return token
	})
	publish("duty_held_ms", func() int64 {
		if g.duties.client == nil {
			return 0
		}
		return g.lease.HeldFor().Milliseconds()
	})
	cloudCalls := func() (all, failed int64) {
		if g.duties.cloud == nil {
			return 0, 0
		}
		return g.duties.cloud.Calls()
	}
	publish("cloud_calls", func() int64 { all, _ := cloudCalls(); return all })
	publish("cloud_failures", func() int64 { _, failed := cloudCalls(); return failed })
	g.addScalingVars(vars)
	stats := func(value func(duty.MeteringStats) int64) func() int64 {
		return func() int64 {
			if g.duties.metering == nil {
				return 0
			}
			return value(g.duties.metering.Stats())
		}
	}
	publish("usage_settled", stats(func(s duty.MeteringStats) int64 { return s.Settled }))
	publish("usage_acknowledged", stats(func(s duty.MeteringStats) int64 { return s.Acknowledged }))
	publish("usage_overdue", stats(func(s duty.MeteringStats) int64 { return s.Overdue }))
	publish("usage_pending", stats(func(s duty.MeteringStats) int64 { return s.Pending }))
	publish("usage_lateness_ms", stats(func(s duty.MeteringStats) int64 { return s.LastLateness.Milliseconds() }))
	publish("usage_counts_late", func() int64 {
		if g.duties.ledger == nil {
			return 0
		}
		return g.duties.ledger.Late()
	})
}
