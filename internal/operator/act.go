package operator

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

const (
	changeIDBytes   = 8
	maxAffectsBytes = 2000
)

// notFoundError reports that an entity does not exist.
type notFoundError struct{ entity string }

func (e *notFoundError) Error() string { return e.entity + " does not exist" }

// randomHex returns n random bytes in hexadecimal.
func (inv *invocation) randomHex(n int) (string, error) {
	raw := make([]byte, n)
	if _, err := io.ReadFull(inv.env.Random, raw); err != nil {
		return "", fmt.Errorf("read random source: %w", err)
	}
	return hex.EncodeToString(raw), nil
}

// prepareChange checks the flags of a change, generates its ID unless one is given, and prints the ID before anything
// is written.
func (inv *invocation) prepareChange() error {
	if inv.opts.propose {
		return nil
	}
	if strings.TrimSpace(inv.opts.reason) == "" || strings.TrimSpace(inv.opts.author) == "" {
		return usagef("-reason and -author are required to make a change")
	}
	inv.idGiven = inv.opts.changeID != ""
	if !inv.idGiven {
		id, err := inv.randomHex(changeIDBytes)
		if err != nil {
			return err
		}
		inv.opts.changeID = "c-" + id
	}
	fmt.Fprintln(inv.env.Stderr, "change ID:", inv.opts.changeID)
	return nil
}

// findAccepted returns the version of the change if an earlier run was accepted under the same ID.
func (inv *invocation) findAccepted(ctx context.Context) (int64, bool, error) {
	if inv.opts.propose {
		return 0, false, nil
	}
	version, err := inv.log.Find(ctx, inv.opts.changeID)
	switch {
	case errors.Is(err, tablestore.ErrNotFound):
		return 0, false, nil
	case errors.Is(err, tablestore.ErrUnavailable) && inv.idGiven:
		// An earlier run may have been accepted under this ID.
		return 0, false, &config.OutcomeUnknownError{ChangeID: inv.opts.changeID}
	}
	return version, err == nil, err
}

// plannedChange holds the entities of a change before it is accepted.
type plannedChange struct {
	entities []config.Entity
	keyID    string
	key      string // secret of a new key; empty if none is created
}

// runChange carries out a change, from checking its flags to reporting its outcome. build derives the new entities from
// the current configuration. The action text names the change in the change log; a repeat with the same change ID must
// have the same text.
func (inv *invocation) runChange(ctx context.Context, action string, build func(*config.Snapshot) (plannedChange, error)) error {
	if err := inv.prepareChange(); err != nil {
		return err
	}
	version, done, err := inv.findAccepted(ctx)
	if err != nil {
		return err
	}
	if done {
		return inv.reportRepeat(ctx, action, version)
	}
	current, err := inv.log.Load(ctx)
	if err != nil {
		return err
	}
	plan, err := build(current)
	if err != nil {
		return err
	}
	change, impact, err := inv.change(ctx, current, action, plan.entities)
	if err != nil {
		return err
	}
	if inv.opts.propose {
		return inv.reportProposal(current, change, impact)
	}
	inv.out.linef("%s", action)
	inv.out.linef("affects: %s", impact)
	version, err = inv.log.Accept(ctx, change)
	if plan.key != "" && (err == nil || errors.Is(err, tablestore.ErrUnknown)) {
		inv.keyID, inv.key = plan.keyID, plan.key
		inv.out.linef("key ID: %s\nkey (shown once): %s", plan.keyID, plan.key)
	}
	if err != nil {
		return err
	}
	return inv.reportAccepted(ctx, result{
		Outcome: "accepted", ChangeID: change.ID, Version: version, Impact: &impact, KeyID: plan.keyID, Key: plan.key,
	})
}

// change returns the validated change and its impact. The version of each entity is the one that the operator
// reviewed, so that a later change of the entity is a conflict.
func (inv *invocation) change(
	ctx context.Context, current *config.Snapshot, action string, planned []config.Entity,
) (config.Change, Impact, error) {
	base := current.Version()
	if inv.opts.at >= 0 {
		base = inv.opts.at
	}
	entities := make([]config.Entity, len(planned))
	for i, e := range planned {
		existing, _ := current.Entity(e.ID())
		// The version of an entity that is newer than base does not match, so the change is refused.
		e.Version = min(existing.Version, base)
		entities[i] = e
	}
	change := config.Change{
		Version: base, ID: inv.opts.changeID, Author: inv.opts.author, Reason: inv.opts.reason,
		Action: action, At: inv.env.Now().UTC(), Force: inv.opts.force, Entities: entities,
	}
	after, err := inv.log.Check(ctx, change)
	if err != nil {
		return change, Impact{}, err
	}
	impact := ImpactOf(current, after, entities)
	impact.Sidecars = inv.countSidecars(ctx, entities)
	change.Affects = impact.String()
	if len(change.Affects) > maxAffectsBytes {
		change.Affects = strings.ToValidUTF8(change.Affects[:maxAffectsBytes], "")
	}
	return change, impact, nil
}

func (inv *invocation) reportProposal(current *config.Snapshot, change config.Change, impact Impact) error {
	before := make([]config.Entity, 0, len(change.Entities))
	for _, e := range change.Entities {
		existing, ok := current.Entity(e.ID())
		if ok {
			before = append(before, existing)
		}
		inv.out.linef("%s %s:", e.Kind, e.Name)
		inv.printFields(existing, e)
	}
	inv.out.linef("proposed: %s\naffects: %s", change.Action, impact)
	inv.out.linef("nothing was written. To make the change as shown, repeat with -at %d, -reason and -author.", current.Version())
	return inv.out.document(result{
		Outcome: "proposed", Version: current.Version(), Impact: &impact, Before: before, After: change.Entities,
	})
}

func (inv *invocation) reportRepeat(ctx context.Context, action string, version int64) error {
	change, err := inv.log.Change(ctx, version)
	if err != nil {
		return err
	}
	if change.Action != action {
		return fmt.Errorf("%w: version %d, %q", config.ErrChangeIDReused, version, change.Action)
	}
	inv.out.linef("change %s was accepted before: %s", change.ID, changeLine(change))
	return inv.reportAccepted(ctx, result{Outcome: "accepted", ChangeID: change.ID, Version: version})
}

// reportAccepted reports that the change is accepted and on which processes it is in force.
func (inv *invocation) reportAccepted(ctx context.Context, r result) error {
	inv.out.linef("ACCEPTED as version %d", r.Version)
	rollout, err := inv.waitInForce(ctx, r.Version)
	switch {
	case err != nil:
		inv.out.linef("could not check the processes: %v", err)
	case rollout == nil:
		inv.out.linef("processes not checked: no -peers or -hosts given")
	default:
		r.InForce = rollout
		inv.out.linef("in force on %d of %d processes", rollout.At, rollout.Processes)
		if len(rollout.Behind) > 0 {
			inv.out.linef("still at an older version: %s", joinBounded(rollout.Behind))
		}
		if len(rollout.NotHeard) > 0 {
			inv.out.linef("not heard from: %s", joinBounded(rollout.NotHeard))
		}
	}
	return inv.out.document(r)
}
