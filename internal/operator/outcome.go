package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// printer writes results either as text or as one JSON document.
type printer struct {
	w               io.Writer
	json            bool
	documentWritten bool
}

// linef writes one line if the output format is text, and nothing otherwise.
func (p *printer) linef(format string, args ...any) {
	if !p.json {
		fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// document writes v if the output format is JSON and nothing was written before.
func (p *printer) document(v any) error {
	if !p.json || p.documentWritten {
		return nil
	}
	p.documentWritten = true
	encoder := json.NewEncoder(p.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// result is the JSON document about the outcome of a change, or about an error of any command.
type result struct {
	Outcome  string          `json:"outcome"` // accepted, proposed, not_accepted, unknown, unavailable or usage
	ChangeID string          `json:"change_id,omitempty"`
	Version  int64           `json:"version,omitempty"`
	Impact   *Impact         `json:"impact,omitempty"`
	Before   []config.Entity `json:"before,omitempty"`
	After    []config.Entity `json:"after,omitempty"`
	KeyID    string          `json:"key_id,omitempty"`
	Key      string          `json:"key,omitempty"` // secret of a new key; it is not stored and not shown again
	InForce  *Rollout        `json:"in_force,omitempty"`
	Error    string          `json:"error,omitempty"`
	Problems []string        `json:"problems,omitempty"`
	Changes  []config.Change `json:"changes,omitempty"` // on a conflict, the changes accepted since the author's version
}

// exitCode returns the exit code and the outcome for an error.
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

// finish reports err, if there is one, and returns the exit code.
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
		inv.printConflict(conflict)
	case errors.As(err, &validation):
		r.Problems = validation.Problems
		fmt.Fprintln(inv.env.Stderr, "NOT ACCEPTED: the change is not valid:")
		for _, p := range validation.Problems {
			fmt.Fprintln(inv.env.Stderr, "  "+p)
		}
	case code == ExitUnknown:
		fmt.Fprintf(inv.env.Stderr, "UNKNOWN: the table service did not confirm whether the change was accepted.\n"+
			"Repeat the command with the same arguments and -change-id %s; it is accepted at most once.\n", inv.opts.changeID)
	case code == ExitUnavailable && cmd.makesChange:
		fmt.Fprintf(inv.env.Stderr, "NOT ACCEPTED: the table service is unavailable: %v\n", err)
	case code == ExitUnavailable:
		fmt.Fprintf(inv.env.Stderr, "the table service is unavailable: %v\n", err)
	case cmd.makesChange:
		fmt.Fprintf(inv.env.Stderr, "NOT ACCEPTED: %v\n", err)
	default:
		fmt.Fprintf(inv.env.Stderr, "pomeloctl: %v\n", err)
	}
	if err := inv.out.document(r); err != nil {
		fmt.Fprintln(inv.env.Stderr, "pomeloctl:", err)
	}
	return code
}

func (inv *invocation) printConflict(c *config.ConflictError) {
	fmt.Fprintf(inv.env.Stderr, "NOT ACCEPTED: the configuration changed from version %d to %d. Accepted since:\n",
		c.Base, c.Head)
	for _, change := range c.Changes {
		fmt.Fprintf(inv.env.Stderr, "  %s\n", changeLine(change))
	}
	fmt.Fprintln(inv.env.Stderr, "Review these changes, then propose the change again.")
}

// changeLine returns one line of text about an accepted change.
func changeLine(c config.Change) string {
	return fmt.Sprintf("version %d  %s  %s  %s: %s",
		c.Version, c.At.UTC().Format("2006-01-02 15:04:05Z"), c.Author, c.Action, c.Reason)
}
