package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// runInit loads a bundle into an empty configuration. A bundle with more entities than one change may hold is split into
// several changes, whose IDs end in the number of the part. A repeat with the same change ID continues where the first run
// stopped.
func runInit(ctx context.Context, inv *invocation) error {
	if len(inv.args) != 1 {
		return usagef("one file is expected")
	}
	source, err := readFile(inv.args[0])
	if err != nil {
		return err
	}
	bundle, err := ParseBundle(source)
	if err != nil {
		return usagef("%s: %v", inv.args[0], err)
	}
	entities, err := bundle.Entities()
	if err != nil {
		return err
	}
	// The whole bundle is validated first, so that no part of an invalid one is written.
	if err := config.Validate(new(config.Snapshot), entities, true); err != nil {
		return err
	}
	if inv.opts.propose {
		return inv.proposeInit(entities)
	}
	if err := inv.prepareChange(); err != nil {
		return err
	}
	version, err := inv.acceptParts(ctx, entities)
	if err != nil {
		return err
	}
	return inv.reportAccepted(ctx, result{Outcome: "accepted", ChangeID: inv.opts.changeID, Version: version})
}

func (inv *invocation) proposeInit(entities []config.Entity) error {
	after, err := new(config.Snapshot).Apply(1, entities)
	if err != nil {
		return err
	}
	impact := ImpactOf(new(config.Snapshot), after, entities)
	inv.out.linef("proposed: %d entities\naffects: %s\nnothing was written", len(entities), impact)
	return inv.out.document(result{Outcome: "proposed", Impact: &impact, After: entities})
}

// acceptParts writes the entities in changes of at most config.MaxEntitiesPerChange and returns the last version.
func (inv *invocation) acceptParts(ctx context.Context, entities []config.Entity) (int64, error) {
	parts := (len(entities) + config.MaxEntitiesPerChange - 1) / config.MaxEntitiesPerChange
	var version int64
	for i := range parts {
		part := entities[i*config.MaxEntitiesPerChange : min((i+1)*config.MaxEntitiesPerChange, len(entities))]
		change := config.Change{
			ID: fmt.Sprintf("%s-%d", inv.opts.changeID, i+1), Version: version,
			Author: inv.opts.author, Reason: inv.opts.reason, At: inv.env.Now().UTC(), Force: true,
			Action:  fmt.Sprintf("load %s, part %d of %d", inv.args[0], i+1, parts),
			Affects: fmt.Sprintf("%d entities of the first configuration", len(part)), Entities: part,
		}
		if err := inv.checkEmpty(ctx, change, version); err != nil {
			return 0, err
		}
		accepted, err := inv.log.Accept(ctx, change)
		if err != nil {
			if i > 0 {
				fmt.Fprintf(inv.env.Stderr, "%d of %d parts are accepted; repeat with -change-id %s to continue\n",
					i, parts, inv.opts.changeID)
			}
			return 0, err
		}
		version = accepted
		inv.out.linef("part %d of %d accepted as version %d", i+1, parts, version)
	}
	return version, nil
}

// checkEmpty returns an error unless the configuration is still at version, that of the part before this one, or an earlier
// run already had this part accepted.
func (inv *invocation) checkEmpty(ctx context.Context, change config.Change, version int64) error {
	head, err := inv.log.Head(ctx)
	if err != nil || head == version {
		return err
	}
	_, err = inv.log.Find(ctx, change.ID)
	if errors.Is(err, tablestore.ErrNotFound) {
		return fmt.Errorf("the configuration is already at version %d; init requires an empty one", head)
	}
	return err
}
