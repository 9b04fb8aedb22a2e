package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/config"
)

// maxReadChanges is the largest number of changes that diff and history read.
const maxReadChanges = 10000

func listCommand(word string, kind config.Kind) command {
	return command{name: word + " list", help: "list every " + word, run: func(ctx context.Context, inv *invocation) error {
		current, err := inv.log.Load(ctx)
		if err != nil {
			return err
		}
		entities := []config.Entity{}
		for _, e := range current.Since(0) {
			if e.Kind == kind && !e.Deleted {
				entities = append(entities, e)
			}
		}
		slices.SortFunc(entities, func(a, b config.Entity) int { return strings.Compare(a.Name, b.Name) })
		for _, e := range entities {
			inv.out.linef("%s  (version %d)  %s", e.Name, e.Version, e.Value)
		}
		return inv.out.document(entities)
	}}
}

func showCommand(word string, kind config.Kind) command {
	return command{name: word + " show", args: "NAME", help: "show one " + word, run: func(
		ctx context.Context, inv *invocation,
	) error {
		if len(inv.args) != 1 {
			return usagef("one name is expected")
		}
		current, err := inv.log.Load(ctx)
		if err != nil {
			return err
		}
		e, ok := current.Entity(config.EntityID{Kind: kind, Name: inv.args[0]})
		if !ok || e.Deleted {
			return &notFoundError{fmt.Sprintf("%s %q", word, inv.args[0])}
		}
		inv.out.linef("%s %s, set by version %d of %d", word, e.Name, e.Version, current.Version())
		inv.printFields(config.Entity{}, e)
		return inv.out.document(e)
	}}
}

// printFields prints the fields of after, preceded by the value in before where it differs.
func (inv *invocation) printFields(before, after config.Entity) {
	old, now := fieldsOf(before), fieldsOf(after)
	all := maps.Clone(old)
	maps.Copy(all, now)
	if after.Deleted {
		inv.out.linef("  (removed)")
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		oldValue, inOld := old[name]
		newValue, inNew := now[name]
		switch {
		case len(old) == 0 || inOld && inNew && oldValue == newValue:
			inv.out.linef("  %s: %s", name, newValue)
		case !inNew:
			inv.out.linef("  %s: %s -> (none)", name, oldValue)
		case !inOld:
			inv.out.linef("  %s: (none) -> %s", name, newValue)
		default:
			inv.out.linef("  %s: %s -> %s", name, oldValue, newValue)
		}
	}
}

// fieldsOf returns the JSON values of the fields of an entity by field name. It is empty for a deleted entity.
func fieldsOf(e config.Entity) map[string]string {
	fields := make(map[string]string)
	var raw map[string]json.RawMessage
	if e.Deleted || json.Unmarshal(e.Value, &raw) != nil {
		return fields
	}
	for name, value := range raw {
		fields[name] = string(value)
	}
	return fields
}

// ungroupedCommands returns the commands whose names have one word.
func ungroupedCommands() []command {
	count := func(flags *flag.FlagSet, o *options) { flags.IntVar(&o.count, "n", 20, "number of changes") }
	logs := func(flags *flag.FlagSet, o *options) { flags.Var(&o.logs, "logs", "log `file`; may be repeated") }
	return []command{
		{"history", "", "list the newest changes", false, count, runHistory},
		{"show-change", "VERSION", "show one change", false, nil, runShowChange},
		{"diff", "A B", "show what changed from version A to version B", false, nil, runDiff},
		{"explain", "REQUEST_ID", "show the logged decisions on a request", false, logs, runExplain},
		{"init", "FILE", "load a YAML or JSON bundle into an empty configuration", true, nil, runInit},
		{"status", "", "show the configuration version of every process", false, nil, runStatus},
	}
}

func runHistory(ctx context.Context, inv *invocation) error {
	if len(inv.args) > 0 || inv.opts.count <= 0 || inv.opts.count > maxReadChanges {
		return usagef("-n must be from 1 to %d, and no argument is expected", maxReadChanges)
	}
	head, err := inv.log.Head(ctx)
	if err != nil {
		return err
	}
	changes, err := inv.changes(ctx, max(0, head-int64(inv.opts.count)), head)
	if err != nil {
		return err
	}
	slices.Reverse(changes)
	for _, c := range changes {
		inv.out.linef("%s", changeLine(c))
	}
	return inv.out.document(changes)
}

// changes returns the changes after version from, up to and including version to.
func (inv *invocation) changes(ctx context.Context, from, to int64) ([]config.Change, error) {
	all := []config.Change{}
	for from < to {
		page, err := inv.log.Since(ctx, from)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			break
		}
		for _, c := range page {
			if c.Version <= to {
				all = append(all, c)
			}
			from = c.Version
		}
	}
	return all, nil
}

func runShowChange(ctx context.Context, inv *invocation) error {
	versions, err := inv.versions(1)
	if err != nil {
		return err
	}
	c, err := inv.log.Change(ctx, versions[0])
	if err != nil {
		return err
	}
	inv.out.linef("%s\nchange ID: %s\naffects: %s", changeLine(c), c.ID, c.Affects)
	if c.Force {
		inv.out.linef("made with -force")
	}
	for i, e := range c.Entities {
		inv.out.linef("%s %s:", e.Kind, e.Name)
		var before config.Entity
		if i < len(c.Before) {
			before = c.Before[i]
		}
		inv.printFields(before, e)
	}
	return inv.out.document(c)
}

// versions parses the arguments, which must be n versions.
func (inv *invocation) versions(n int) ([]int64, error) {
	if len(inv.args) != n {
		return nil, usagef("%d version(s) expected", n)
	}
	found := make([]int64, n)
	for i, a := range inv.args {
		v, err := strconv.ParseInt(a, 10, 64)
		if err != nil || v < 0 {
			return nil, usagef("%q: expected a version", a)
		}
		found[i] = v
	}
	return found, nil
}

// Difference is one entity that differs between two versions.
type Difference struct {
	Before config.Entity `json:"before"`
	After  config.Entity `json:"after"`
}

func runDiff(ctx context.Context, inv *invocation) error {
	versions, err := inv.versions(2)
	if err != nil {
		return err
	}
	from, to := versions[0], versions[1]
	if from > to || to-from > maxReadChanges {
		return usagef("expected A before B, at most %d changes apart", maxReadChanges)
	}
	changes, err := inv.changes(ctx, from, to)
	if err != nil {
		return err
	}
	differences := differencesOf(changes)
	for _, d := range differences {
		inv.out.linef("%s %s:", d.After.Kind, d.After.Name)
		inv.printFields(d.Before, d.After)
	}
	return inv.out.document(differences)
}

// differencesOf returns the first and the last state of every entity in changes, except those whose first and last states
// are equal.
func differencesOf(changes []config.Change) []Difference {
	byID := make(map[config.EntityID]*Difference)
	for _, c := range changes {
		for i, e := range c.Entities {
			d, ok := byID[e.ID()]
			if !ok {
				d = &Difference{}
				if i < len(c.Before) {
					d.Before = c.Before[i]
				}
				byID[e.ID()] = d
			}
			d.After = e
		}
	}
	found := []Difference{}
	for _, d := range byID {
		if d.Before.Deleted != d.After.Deleted || string(d.Before.Value) != string(d.After.Value) {
			found = append(found, *d)
		}
	}
	slices.SortFunc(found, func(a, b Difference) int {
		if c := strings.Compare(string(a.After.Kind), string(b.After.Kind)); c != 0 {
			return c
		}
		return strings.Compare(a.After.Name, b.After.Name)
	})
	return found
}
