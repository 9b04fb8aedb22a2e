package operator

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/pomelowheel/pomelowheel/internal/config"
)

const (
	keySecretBytes = 32
	keyIDBytes     = 6
)

// commands returns every subcommand in the order of the help text.
func commands() []command {
	var all []command
	for _, k := range kindNames {
		all = append(all, listCommand(k.word, k.kind), showCommand(k.word, k.kind))
		if k.kind == config.KindKey {
			all = append(all, keyCommands()...)
			continue
		}
		all = append(all, entityCommands(k.word, k.kind)...)
		if k.kind == config.KindDataCentre {
			all = append(all, dataCentreCommand("out", true), dataCentreCommand("in", false))
		}
	}
	return append(append(all, promptCommands()...), ungroupedCommands()...)
}

// entityCommands returns the subcommands that change entities of a kind other than keys.
func entityCommands(word string, kind config.Kind) []command {
	file := func(flags *flag.FlagSet, o *options) {
		flags.StringVar(&o.file, "file", "", "YAML or JSON `file` with the fields")
	}
	withdraw := func(flags *flag.FlagSet, o *options) {
		file(flags, o)
		flags.BoolVar(&o.withdraw, "withdraw", false, "propose the withdrawal of the entity")
	}
	return []command{
		{word + " propose", "NAME [field=value ...]", "print what a change would affect; write nothing", true, withdraw,
			func(ctx context.Context, inv *invocation) error {
				inv.opts.propose = true
				return inv.edit(ctx, kind, "propose")
			}},
		{word + " approve", "NAME field=value ...", "add one new " + word, true, file,
			func(ctx context.Context, inv *invocation) error { return inv.edit(ctx, kind, "approve") }},
		{word + " set", "NAME field=value ...", "add or replace one " + word + " with all its fields", true, file,
			func(ctx context.Context, inv *invocation) error { return inv.edit(ctx, kind, "set") }},
		{word + " change", "NAME field=value ...", "change fields of one " + word, true, file,
			func(ctx context.Context, inv *invocation) error { return inv.edit(ctx, kind, "change") }},
		{word + " withdraw", "NAME", "remove one " + word, true, nil,
			func(ctx context.Context, inv *invocation) error { return inv.edit(ctx, kind, "withdraw") }},
	}
}

// edit adds, replaces, changes or withdraws one entity.
func (inv *invocation) edit(ctx context.Context, kind config.Kind, action string) error {
	if len(inv.args) == 0 {
		return usagef("a name is missing")
	}
	name, assignments := inv.args[0], inv.args[1:]
	description := strings.Join(append([]string{action, string(kind)}, inv.args...), " ")
	return inv.runChange(ctx, description, func(current *config.Snapshot) (plannedChange, error) {
		existing, ok := current.Entity(config.EntityID{Kind: kind, Name: name})
		exists := ok && !existing.Deleted
		verb := action
		if action == "propose" {
			verb = proposedVerb(exists, inv.opts.withdraw)
		}
		var plan plannedChange
		if !exists && (verb == "change" || verb == "withdraw") {
			return plan, &notFoundError{fmt.Sprintf("%s %q", kind, name)}
		}
		if exists && verb == "approve" {
			return plan, fmt.Errorf("%s %q already exists; use change or set", kind, name)
		}
		if verb == "withdraw" {
			if len(assignments) > 0 {
				return plan, usagef("withdraw takes no fields")
			}
			plan.entities = []config.Entity{{Kind: kind, Name: name, Deleted: true}}
			return plan, nil
		}
		base, err := inv.baseFields(verb, existing)
		if err != nil {
			return plan, err
		}
		e, err := Assign(kind, name, base, assignments)
		plan.entities = []config.Entity{e}
		return plan, err
	})
}

// proposedVerb returns the command that a proposal stands for.
func proposedVerb(exists, withdraw bool) string {
	switch {
	case withdraw:
		return "withdraw"
	case exists:
		return "change"
	default:
		return "approve"
	}
}

// baseFields returns the fields to which assignments are applied: for a change, those of the existing entity, overridden
// by those of the file.
func (inv *invocation) baseFields(verb string, existing config.Entity) (json.RawMessage, error) {
	fields := make(map[string]json.RawMessage)
	if verb == "change" {
		if err := json.Unmarshal(existing.Value, &fields); err != nil {
			return nil, fmt.Errorf("decode %s %q: %w", existing.Kind, existing.Name, err)
		}
	}
	if inv.opts.file != "" {
		source, err := readFile(inv.opts.file)
		if err != nil {
			return nil, err
		}
		raw, err := yaml.YAMLToJSON(source)
		if err == nil {
			err = json.Unmarshal(raw, &fields)
		}
		if err != nil {
			return nil, usagef("%s: %v", inv.opts.file, err)
		}
	}
	return json.Marshal(fields)
}

func keyCommands() []command {
	id := func(flags *flag.FlagSet, o *options) {
		flags.StringVar(&o.keyID, "id", "", "`ID` of the key; generated if empty")
	}
	return []command{
		{"key give", "ORGANISATION", "create a key, print it once and store its digest", true, id, runKeyGive},
		{"key withdraw", "ID", "withdraw a key and end its running requests", true, nil, runKeyWithdraw},
		{"key propose", "ID", "print what withdrawing a key would affect; write nothing", true, nil,
			func(ctx context.Context, inv *invocation) error {
				inv.opts.propose = true
				return runKeyWithdraw(ctx, inv)
			}},
	}
}

func runKeyGive(ctx context.Context, inv *invocation) error {
	if len(inv.args) != 1 {
		return usagef("one organisation is expected")
	}
	return inv.runChange(ctx, "give key to "+inv.args[0], func(current *config.Snapshot) (plannedChange, error) {
		if _, ok := current.Organisation(inv.args[0]); !ok {
			return plannedChange{}, &notFoundError{fmt.Sprintf("organisation %q", inv.args[0])}
		}
		secret := make([]byte, keySecretBytes)
		if _, err := io.ReadFull(inv.env.Random, secret); err != nil {
			return plannedChange{}, fmt.Errorf("read random source: %w", err)
		}
		key := "pomelo_" + base64.RawURLEncoding.EncodeToString(secret)
		id := inv.opts.keyID
		if id == "" {
			random, err := inv.randomHex(keyIDBytes)
			if err != nil {
				return plannedChange{}, err
			}
			id = "k-" + random
		}
		if _, ok := current.Entity(config.EntityID{Kind: config.KindKey, Name: id}); ok {
			return plannedChange{}, fmt.Errorf("key %q already exists", id)
		}
		e, err := config.NewEntity(config.Key{ID: id, Organisation: inv.args[0], Digest: config.Digest(key)})
		plan := plannedChange{entities: []config.Entity{e}}
		if !inv.opts.propose {
			plan.keyID, plan.key = id, key
		}
		return plan, err
	})
}

func runKeyWithdraw(ctx context.Context, inv *invocation) error {
	if len(inv.args) != 1 {
		return usagef("one key ID is expected")
	}
	return inv.runChange(ctx, "withdraw key "+inv.args[0], func(current *config.Snapshot) (plannedChange, error) {
		key, ok := current.Key(inv.args[0])
		if !ok {
			return plannedChange{}, &notFoundError{fmt.Sprintf("key %q", inv.args[0])}
		}
		if key.Withdrawn {
			return plannedChange{}, fmt.Errorf("key %q is already withdrawn", key.ID)
		}
		key.Withdrawn = true
		e, err := config.NewEntity(key)
		return plannedChange{entities: []config.Entity{e}}, err
	})
}

func dataCentreCommand(word string, out bool) command {
	help := map[bool]string{true: "take a data centre out of service", false: "return a data centre to service"}[out]
	return command{"datacentre " + word, "NAME", help, true, nil, func(ctx context.Context, inv *invocation) error {
		if len(inv.args) != 1 {
			return usagef("one data centre is expected")
		}
		return inv.runChange(ctx, "data centre "+inv.args[0]+" "+word, func(current *config.Snapshot) (plannedChange, error) {
			dc, ok := current.DataCentre(inv.args[0])
			if !ok {
				return plannedChange{}, &notFoundError{fmt.Sprintf("data centre %q", inv.args[0])}
			}
			if dc.OutOfService == out {
				return plannedChange{}, fmt.Errorf("data centre %q is already %s", dc.Name, word)
			}
			dc.OutOfService = out
			e, err := config.NewEntity(dc)
			return plannedChange{entities: []config.Entity{e}}, err
		})
	}}
}
