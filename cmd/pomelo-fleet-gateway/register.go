package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// memberTable is the store's table of gateway addresses, for a gateway that starts when no seed responds.
	memberTable = "gateways"
	// registerTimeout bounds one attempt to register this gateway.
	registerTimeout = time.Second
	// registerRetryInterval is the pause after a failed attempt to register.
	registerRetryInterval = 500 * time.Millisecond
	// eraCheckInterval is the pause between two checks of whether the store may have lost the row.
	eraCheckInterval = 500 * time.Millisecond
	// registerSpread is the time over which the gateways write their rows again after the store was restored from a copy.
	registerSpread = 3 * time.Second
)

// register writes this gateway's address into the store and connects to the registered gateways, at the start and when the store may
// have lost the row because it was restored from a copy.
func (g *gateway) register(ctx context.Context) error {
	for {
		version, err := g.registerOnce(ctx)
		if err != nil {
			return err
		}
		for g.follower.Era() <= rowversion.Era(version) {
			if err := background.Sleep(ctx, eraCheckInterval); err != nil {
				return err
			}
		}
		if err := background.Sleep(ctx, rand.N(registerSpread)); err != nil {
			return err
		}
	}
}

// registerOnce tries until it succeeds, and returns the version of the row. It returns an error only if ctx ends.
func (g *gateway) registerOnce(ctx context.Context) (version int64, err error) {
	for {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		// The row is written before the list is read, so that of two gateways that start together at least one reads
		// the other's row.
		var registered platform.Page
		version, _, _, err := g.store.Commit(call, nil, []platform.Row{{
			Table: memberTable, Key: g.settings.Host, Value: []byte(g.settings.ControlAddress),
		}})
		if err == nil {
			registered, err = g.store.List(call, memberTable)
		}
		cancel()
		if err == nil {
			for _, r := range registered.Rows {
				g.mesh.AddAddresses([]string{string(r.Value)})
			}
			g.log.Info("registered", "gateways", len(registered.Rows), "version", version)
			return version, nil
		}
		g.log.Warn("gateway not registered in the store; trying again", "error", err)
		if err := background.Sleep(ctx, registerRetryInterval); err != nil {
			return 0, err
		}
	}
}
