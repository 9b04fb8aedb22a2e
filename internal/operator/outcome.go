package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// printer writes results as text or as one JSON document.
type printer struct {
	w       io.Writer
	json    bool
	written bool // the document
}

// linef writes a line of text output. It writes nothing in JSON form.
func (p *printer) linef(format string, args ...any) {
	if !p.json {
		fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// document writes v in JSON form, once. It writes nothing as text.
func (p *printer) document(v any) error {
	if !p.json || p.written {
		return nil
	}
	p.written = true
	encoder := json.NewEncoder(p.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// result is the JSON form of the outcome of an acting command.
type result struct {
	Outcome  string          `json:"outcome"` // accepted, proposed, not_accepted, unknown or unavailable
	ChangeID string          `json:"change_id,omitempty"`
	Version  int64           `json:"version,omitempty"`
	Impact   *Impact         `json:"impact,omitempty"`
	Before   []config.Entity `json:"before,omitempty"`
	After    []config.Entity `json:"after,omitempty"`
	KeyID    string          `json:"key_id,omitempty"`
	Key      string          `json:"key,omitempty"` // shown once
	InForce  *Force          `json:"in_force,omitempty"`
	Error    string          `json:"error,omitempty"`
	Problems []string        `json:"problems,omitempty"`
	Changes  []config.Change `json:"changes,omitempty"` // accepted since the author's view
}

// exitCode maps an error to the exit code and the outcome word.
func exitCode(err error) (int, string) {
	var usage *usageError
	switch {
	case err == nil:
		return ExitAccepted, "accepted"
	case errors.As(err, &usage):
		return ExitUsage, "usage"
	case errors.Is(err, tablestore.ErrUnknown):
		return ExitUnknown, "unknown"
	case errors.Is(err, tablestore.ErrUnavailable):
		return ExitUnavailable, "unavailable"
	default:
		return ExitNotAccepted, "not_accepted"
	}
}

// finish prints the final word on err and returns the exit code.
func (inv *invocation) finish(cmd *command, err error) int {
	code, outcome := exitCode(err)
	if err == nil {
		return code
	}
	if code == ExitUsage {
		fmt.Fprintf(inv.env.Stderr, "pomeloctl: %v\nusage: pomeloctl %s [flags] %s\n", err, cmd.name, cmd.args)
		if err := inv.out.document(result{Outcome: outcome, Error: err.Error()}); err != nil {
			fmt.Fprintln(inv.env.Stderr, "pomeloctl:", err)
		}
		return code
	}
	r := result{Outcome: outcome, ChangeID: inv.opts.changeID, Error: err.Error(), KeyID: inv.keyID, Key: inv.key}
	var conflict *config.ConflictError
	var validation *config.ValidationError
	switch {
	case errors.As(err, &conflict):
		r.Changes = conflict.Changes
		inv.tellConflict(conflict)
	case errors.As(err, &validation):
		r.Problems = validation.Problems
		fmt.Fprintln(inv.env.Stderr, "NOT ACCEPTED: the change is not valid:")
		for _, p := range validation.Problems {
			fmt.Fprintln(inv.env.Stderr, "  "+p)
		}
	case code == ExitUnknown:
		fmt.Fprintf(inv.env.Stderr, "UNKNOWN: the table service did not say whether the change was accepted.\n"+
			"Ask again with the same arguments and -change-id %s; it is accepted at most once.\n", inv.opts.changeID)
	case code == ExitUnavailable && cmd.acts:
		fmt.Fprintf(inv.env.Stderr, "NOT ACCEPTED: the table service is unavailable: %v\n", err)
	case code == ExitUnavailable:
		fmt.Fprintf(inv.env.Stderr, "the table service is unavailable: %v\n", err)
	case cmd.acts:
		fmt.Fprintf(inv.env.Stderr, "NOT ACCEPTED: %v\n", err)
	default:
		fmt.Fprintf(inv.env.Stderr, "pomeloctl: %v\n", err)
	}
	if err := inv.out.document(r); err != nil {
		fmt.Fprintln(inv.env.Stderr, "pomeloctl:", err)
	}
	return code
}

func (inv *invocation) tellConflict(c *config.ConflictError) {
	fmt.Fprintf(inv.env.Stderr, "NOT ACCEPTED: the configuration moved from version %d to %d. Accepted since:\n", c.Base, c.Head)
	for _, change := range c.Changes {
		fmt.Fprintf(inv.env.Stderr, "  %s\n", changeLine(change))
	}
	fmt.Fprintln(inv.env.Stderr, "Look at these changes, then propose the change again.")
}

func changeLine(c config.Change) string {
	return fmt.Sprintf("version %d  %s  %s  %s: %s", c.Version, c.At.UTC().Format("2006-01-02 15:04:05Z"), c.Author, c.Action, c.Reason)
}
