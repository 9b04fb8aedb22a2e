// Package operator implements the subcommands of pomeloctl, the command-line tool with which operators read and change the
// configuration. Its binary calls Run; tests call Run with their own environment.
package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// Exit codes of pomeloctl.
const (
	ExitAccepted    = 0 // the command succeeded, or the change was accepted
	ExitNotAccepted = 1 // the change was not accepted, or something was not found
	ExitUsage       = 2 // the arguments are wrong
	ExitUnknown     = 3 // the outcome is unknown; repeat with the same change ID
	ExitUnavailable = 4 // the table service is unavailable; nothing was accepted
)

// defaultWait is the time within which a change comes into force on every process that can reach its peers.
const defaultWait = 10 * time.Second

const exitHelp = `Exit codes:
  0  accepted, or done
  1  not accepted, or not found
  2  wrong arguments
  3  unknown: ask again with this change ID
  4  table service unavailable, nothing was accepted
`

// Env is the environment in which a command runs.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	Now    func() time.Time
	Random io.Reader        // source of keys, key IDs and change IDs; crypto/rand in the binary
	Store  tablestore.Store // used instead of a client of the table service, for tests; may be nil
}

// usageError reports wrong arguments.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// command is one subcommand. Its name has one word, or two, as in "profile change"; the first of two names the group.
type command struct {
	name        string
	args        string
	help        string
	makesChange bool // changes the configuration or proposes a change; has the flags of a change
	flags       func(*flag.FlagSet, *options)
	run         func(context.Context, *invocation) error
}

// options holds the values of all flags.
type options struct {
	endpoint, region, table string
	timeout                 time.Duration
	output                  string
	hosts, peers            string
	tlsCert, tlsKey, tlsCA  string
	tlsAllowed              string

	reason, author, changeID string
	propose, force, withdraw bool
	wait                     time.Duration
	at                       int64
	file                     string
	keyID                    string
	count                    int
	logs                     listFlag
	gateway                  string
}

// listFlag collects the values of a flag that may be repeated and whose values are separated by commas.
type listFlag []string

// String implements flag.Value.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *listFlag) Set(value string) error {
	*l = append(*l, splitList(value)...)
	return nil
}

func splitList(text string) []string {
	var parts []string
	for _, p := range strings.Split(text, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

// invocation is one run of a command.
type invocation struct {
	env  Env
	opts options
	args []string
	log  *config.Log
	out  *printer

	idGiven    bool   // the operator gave the change ID, so an earlier run may have used it
	keyID, key string // created key, shown even if the outcome is unknown, since it may be in force
}

// Run runs the command in args and returns its exit code.
func Run(ctx context.Context, args []string, env Env) int {
	cmd, rest, err := findCommand(args)
	if err != nil {
		printOverview(env.Stderr, args)
		fmt.Fprintln(env.Stderr, "pomeloctl:", err)
		return ExitUsage
	}
	if cmd == nil {
		printOverview(env.Stdout, args)
		return ExitAccepted
	}
	inv := &invocation{env: env}
	flags := inv.flagSet(cmd)
	if inv.args, err = parseArgs(flags, rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitAccepted
		}
		fmt.Fprintln(env.Stderr, "pomeloctl:", err)
		return ExitUsage
	}
	if inv.opts.output != "text" && inv.opts.output != "json" {
		fmt.Fprintln(env.Stderr, "pomeloctl: -o must be text or json")
		return ExitUsage
	}
	inv.out = &printer{w: env.Stdout, json: inv.opts.output == "json"}
	inv.log = config.NewLog(inv.newStore())
	return inv.finish(cmd, cmd.run(ctx, inv))
}

// findCommand returns the command named at the start of args, and the remaining arguments. Both are nil if args ask for help.
func findCommand(args []string) (*command, []string, error) {
	if len(args) == 0 {
		return nil, nil, usagef("a command is missing")
	}
	if isHelp(args[0]) {
		return nil, nil, nil
	}
	group := false
	for _, cmd := range commands() {
		words := strings.Fields(cmd.name)
		if words[0] != args[0] {
			continue
		}
		if len(words) == 1 {
			return &cmd, args[1:], nil
		}
		group = true
		if len(args) > 1 && words[1] == args[1] {
			return &cmd, args[2:], nil
		}
	}
	if group && len(args) > 1 && isHelp(args[1]) {
		return nil, nil, nil
	}
	if group {
		return nil, nil, usagef("%s needs one of: %s", args[0], strings.Join(subcommands(args[0]), ", "))
	}
	return nil, nil, usagef("unknown command %q", args[0])
}

func subcommands(group string) []string {
	var names []string
	for _, cmd := range commands() {
		if words := strings.Fields(cmd.name); len(words) == 2 && words[0] == group {
			names = append(names, words[1])
		}
	}
	return names
}

func isHelp(arg string) bool {
	switch arg {
	case "help", "-h", "-help", "--help":
		return true
	}
	return false
}

// printOverview lists the commands of the group that args name, or all commands if they name none.
func printOverview(w io.Writer, args []string) {
	group := ""
	if len(args) > 0 && len(subcommands(args[0])) > 0 {
		group = args[0] + " "
	}
	fmt.Fprintln(w, "usage: pomeloctl COMMAND [flags] [arguments]")
	fmt.Fprintln(w, "\nCommands (pomeloctl COMMAND -h for details):")
	for _, cmd := range commands() {
		if strings.HasPrefix(cmd.name, group) {
			fmt.Fprintf(w, "  %-43s %s\n", strings.TrimSpace(cmd.name+" "+cmd.args), cmd.help)
		}
	}
	fmt.Fprint(w, "\n", exitHelp)
}

// flagSet returns the flags of cmd, which are stored in inv.opts.
func (inv *invocation) flagSet(cmd *command) *flag.FlagSet {
	flags := flag.NewFlagSet(cmd.name, flag.ContinueOnError)
	flags.SetOutput(inv.env.Stderr)
	flags.Usage = func() {
		fmt.Fprintf(inv.env.Stderr, "usage: pomeloctl %s [flags] %s\n%s\n\nFlags:\n", cmd.name, cmd.args, cmd.help)
		flags.PrintDefaults()
		fmt.Fprint(inv.env.Stderr, "\n", exitHelp)
	}
	o := &inv.opts
	flags.StringVar(&o.endpoint, "endpoint", inv.envOr("POMELO_TABLE_ENDPOINT", "http://127.0.0.1:8100"),
		"`URL` of the table service ($POMELO_TABLE_ENDPOINT)")
	flags.StringVar(&o.region, "region", "local", "region of the table service")
	flags.StringVar(&o.table, "table", "pomelowheel", "name of the table")
	flags.DurationVar(&o.timeout, "timeout", 2*time.Second, "timeout of one call")
	flags.StringVar(&o.output, "o", "text", "output `format`: text or json")
	flags.StringVar(&o.hosts, "hosts", inv.envOr("POMELO_HOST_LIST", ""), "`URL` of the host list ($POMELO_HOST_LIST)")
	flags.StringVar(&o.peers, "peers", "", "`addresses` of gateways and sidecars (IP:port, separated by commas)")
	flags.StringVar(&o.tlsCert, "tls-cert", "", "`file` with the certificate presented to gateways and sidecars")
	flags.StringVar(&o.tlsKey, "tls-key", "", "`file` with the private key of the certificate")
	flags.StringVar(&o.tlsCA, "tls-ca", "", "`file` with the CA certificates of gateways and sidecars")
	flags.StringVar(&o.tlsAllowed, "tls-allowed", "pomelo-gateway,pomelo-sidecar",
		"`names` that certificates of gateways and sidecars may carry")
	if cmd.makesChange {
		flags.StringVar(&o.reason, "reason", "", "reason for the change (required unless it is only proposed)")
		flags.StringVar(&o.author, "author", inv.envOr("POMELO_AUTHOR", ""),
			"author of the change (required unless it is only proposed; $POMELO_AUTHOR)")
		flags.StringVar(&o.changeID, "change-id", "", "`ID` of the change; generated if empty. Repeat it to learn the outcome")
		flags.BoolVar(&o.propose, "propose", false, "only print what would be affected")
		flags.BoolVar(&o.force, "force", false, "allow a region without a data centre in service")
		flags.DurationVar(&o.wait, "wait", defaultWait,
			"`time` to wait until the change is in force on every listed process; 0 to check once")
		flags.Int64Var(&o.at, "at", -1, "configuration `version` that was reviewed; refuse if the entity changed since")
	}
	if cmd.flags != nil {
		cmd.flags(flags, o)
	}
	return flags
}

// envOr returns the value of an environment variable, or fallback if it is empty.
func (inv *invocation) envOr(name, fallback string) string {
	if inv.env.Getenv != nil {
		if v := inv.env.Getenv(name); v != "" {
			return v
		}
	}
	return fallback
}

// parseArgs parses flags before, between and after the arguments, and returns the arguments.
func parseArgs(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func (inv *invocation) newStore() tablestore.Store {
	if inv.env.Store != nil {
		return inv.env.Store
	}
	return tablestore.NewDynamoDB(tablestore.DynamoDBOptions{
		Endpoint: inv.opts.endpoint, Region: inv.opts.region, Table: inv.opts.table, Timeout: inv.opts.timeout,
		AccessKeyID:     inv.envOr("AWS_ACCESS_KEY_ID", ""),
		SecretAccessKey: inv.envOr("AWS_SECRET_ACCESS_KEY", ""),
	})
}
