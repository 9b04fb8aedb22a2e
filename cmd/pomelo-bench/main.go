// Command pomelo-bench simulates a scenario in virtual time, compares policies, sends a scenario's load to running
// processes, and measures the latency that the system adds.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bench/compare"
	"github.com/pomelowheel/pomelowheel/internal/bench/live"
	"github.com/pomelowheel/pomelowheel/internal/bench/report"
	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/bench/sim"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	run, args := runScenario, os.Args[1:]
	if len(args) > 0 && args[0] == "compare" {
		run, args = comparePolicies, args[1:]
	} else if len(args) > 0 && args[0] == "latency" {
		run, args = runLatency, args[1:]
	}
	if err := run(ctx, args); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "pomelo-bench:", err)
		os.Exit(1)
	}
}

// policyFlags collects the -policy DECISION=VALUE flags, which override the scenario's policies.
type policyFlags []string

func (p *policyFlags) String() string     { return strings.Join(*p, " ") }
func (p *policyFlags) Set(v string) error { *p = append(*p, v); return nil }

// loadScenario loads a scenario file and applies the overrides.
func loadScenario(path string, overrides policyFlags) (*scenario.Scenario, error) {
	if path == "" {
		return nil, errors.New("-scenario is missing")
	}
	s, err := scenario.Load(path)
	if err != nil {
		return nil, err
	}
	for _, text := range overrides {
		decision, value, _ := strings.Cut(text, "=")
		if err := s.SetPolicy(decision, value); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// runScenario simulates a scenario, or sends its load with -live, and writes the report.
func runScenario(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("pomelo-bench", flag.ContinueOnError)
	var overrides policyFlags
	path := flags.String("scenario", "", "scenario file")
	seed := flags.Uint64("seed", 1, "seed of the random sources")
	format := flags.String("format", "text", "format of the report: text, json or svg")
	url := flags.String("live", "", "send the load to this URL, a loopback address, instead of simulating it in virtual time")
	count := flags.Int("count", 1000, "with -live: maximum number of calls")
	duration := flags.Duration("time", 30*time.Second, "with -live: maximum time in which calls are sent")
	flags.Var(&overrides, "policy", "DECISION=VALUE, overrides the scenario's policy; may be repeated")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s, err := loadScenario(*path, overrides)
	if err != nil {
		return err
	}
	var r *report.Report
	if *url != "" {
		r, err = live.Run(ctx, s, live.Options{URL: *url, Seed: *seed, MaxCalls: *count, RunTime: *duration})
		if err != nil {
			return err
		}
	} else {
		r = sim.Run(s, *seed)
	}
	return write(os.Stdout, r, *format)
}

func write(w io.Writer, r *report.Report, format string) error {
	switch format {
	case "text":
		return r.Text(w)
	case "json":
		return r.JSON(w)
	case "svg":
		return r.SVG(w)
	}
	return fmt.Errorf("-format %q: expected text, json or svg", format)
}

// comparePolicies simulates a scenario under each policy of a decision and writes a table.
func comparePolicies(_ context.Context, args []string) error {
	flags := flag.NewFlagSet("pomelo-bench compare", flag.ContinueOnError)
	var overrides policyFlags
	path := flags.String("scenario", "", "scenario file")
	seed := flags.String("seed", "1", "seed, or a range such as 1-5 for the mean over seeds")
	vary := flags.String("vary", "routing", "decision whose policies are compared: "+strings.Join(scenario.Decisions(), ", "))
	flags.Var(&overrides, "policy", "DECISION=VALUE, overrides the scenario's policy; may be repeated")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s, err := loadScenario(*path, overrides)
	if err != nil {
		return err
	}
	first, last, err := parseSeeds(*seed)
	if err != nil {
		return err
	}
	return compare.Table(os.Stdout, s, *vary, first, last)
}

// parseSeeds parses a seed or a range of seeds FIRST-LAST.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(text, "-")
	if first, err = strconv.ParseUint(from, 10, 32); err != nil {
		return 0, 0, fmt.Errorf("-seed: %w", err)
	}
	if !isRange {
		return first, first, nil
	}
	if last, err = strconv.ParseUint(to, 10, 32); err != nil {
		return 0, 0, fmt.Errorf("-seed: %w", err)
	}
	if last < first || last-first >= 100 {
		return 0, 0, fmt.Errorf("-seed %q: expected a range of up to 100 seeds", text)
	}
	return first, last, nil
}
