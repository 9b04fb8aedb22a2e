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
	changeIDBytes = 8
	maxAffects    = 2000
)

// notFoundError says that an entity does not exist.
type notFoundError struct{ what string }

func (e *notFoundError) Error() string { return e.what + " does not exist" }

func (inv *invocation) randomHex(n int) (string, error) {
	raw := make([]byte, n)
	if _, err := io.ReadFull(inv.env.Random, raw); err != nil {
		return "", fmt.Errorf("read random source: %w", err)
	}
	return hex.EncodeToString(raw), nil
}

// prepare checks the flags of a change and prints its ID before anything is written.
func (inv *invocation) prepare() error {
	if inv.opts.propose {
		return nil
	}
	if strings.TrimSpace(inv.opts.reason) == "" || strings.TrimSpace(inv.opts.author) == "" {
		return usagef("-reason and -author are required to act")
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

// repeated reports the version of the change if its ID was accepted before.
func (inv *invocation) repeated(ctx context.Context) (int64, bool, error) {
	if inv.opts.propose {
		return 0, false, nil
	}
	version, err := inv.log.Find(ctx, inv.opts.changeID)
	switch {
	case errors.Is(err, tablestore.ErrNotFound):
		return 0, false, nil
	case errors.Is(err, tablestore.ErrUnavailable) && inv.idGiven:
		// An earlier run may have been accepted under this ID.
		return 0, false, &config.UnknownError{ChangeID: inv.opts.changeID}
	}
	return version, err == nil, err
}

// planned is a change before it is accepted.
type planned struct {
	entities []config.Entity
	keyID    string
	key      string // secret of a new key
}

// act runs a change from the flags to the report: build returns the entities from the current
// configuration. The action text names the change in the log and identifies a repeat.
func (inv *invocation) act(ctx context.Context, action string, build func(*config.Snapshot) (planned, error)) error {
	if err := inv.prepare(); err != nil {
		return err
	}
	version, done, err := inv.repeated(ctx)
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

// change builds the change with the versions that the operator saw and checks it.
func (inv *invocation) change(
	ctx context.Context, current *config.Snapshot, action string, planned []config.Entity,
) (config.Change, Impact, error) {
	base := current.Version()
	if inv.opts.at >= 0 {
		base = inv.opts.at
	}
	entities := make([]config.Entity, len(planned))
	for i, e := range planned {
		held, _ := current.Entity(e.ID())
		// An entity newer than the version looked at never matches, so the change is refused.
		e.Version = min(held.Version, base)
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
	impact.Sidecars = inv.sidecarsIn(ctx, entities)
	change.Affects = impact.String()
	if len(change.Affects) > maxAffects {
		change.Affects = strings.ToValidUTF8(change.Affects[:maxAffects], "")
	}
	return change, impact, nil
}

func (inv *invocation) reportProposal(current *config.Snapshot, change config.Change, impact Impact) error {
	before := make([]config.Entity, 0, len(change.Entities))
	for _, e := range change.Entities {
		held, ok := current.Entity(e.ID())
		if ok {
			before = append(before, held)
		}
		inv.out.linef("%s %s:", e.Kind, e.Name)
		inv.printFields(held, e)
	}
	inv.out.linef("proposed: %s\naffects: %s", change.Action, impact)
	inv.out.linef("nothing was written. To act on what was shown, repeat with -at %d, -reason and -author.", current.Version())
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
		return fmt.Errorf("%w: version %d, %q", config.ErrIDReused, version, change.Action)
	}
	inv.out.linef("change %s was accepted before: %s", change.ID, changeLine(change))
	return inv.reportAccepted(ctx, result{Outcome: "accepted", ChangeID: change.ID, Version: version})
}

// reportAccepted says that the change is accepted and how far it is in force.
func (inv *invocation) reportAccepted(ctx context.Context, r result) error {
	inv.out.linef("ACCEPTED as version %d", r.Version)
	force, err := inv.inForce(ctx, r.Version)
	switch {
	case err != nil:
		inv.out.linef("not known how far it is in force: %v", err)
	case force == nil:
		inv.out.linef("not checked how far it is in force: no -peers or -hosts given")
	default:
		r.InForce = force
		inv.out.linef("in force on %d of %d processes", force.At, force.Processes)
		if len(force.Behind) > 0 {
			inv.out.linef("still at an older version: %s", listed(force.Behind))
		}
		if len(force.NotHeard) > 0 {
			inv.out.linef("not heard from: %s", listed(force.NotHeard))
		}
	}
	return inv.out.document(r)
}
