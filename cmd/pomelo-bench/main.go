// Command pomelo-bench plays a scenario in virtual time, compares policies, and generates load.
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
	run, args := play, os.Args[1:]
	if len(args) > 0 && args[0] == "compare" {
		run, args = comparePolicies, args[1:]
	} else if len(args) > 0 && args[0] == "latency" {
		run, args = latency, args[1:]
	}
	if err := run(ctx, args); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "pomelo-bench:", err)
		os.Exit(1)
	}
}

// policies lets -policy DECISION=VALUE change a scenario.
type policies []string

func (p *policies) String() string     { return strings.Join(*p, " ") }
func (p *policies) Set(v string) error { *p = append(*p, v); return nil }

func load(path string, chosen policies) (*scenario.Scenario, error) {
	if path == "" {
		return nil, errors.New("-scenario is missing")
	}
	s, err := scenario.Load(path)
	if err != nil {
		return nil, err
	}
	for _, text := range chosen {
		decision, value, _ := strings.Cut(text, "=")
		if err := s.SetPolicy(decision, value); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func play(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("pomelo-bench", flag.ContinueOnError)
	var chosen policies
	path := flags.String("scenario", "", "scenario file")
	seed := flags.Uint64("seed", 1, "seed of the random sources")
	format := flags.String("format", "text", "text, json or svg")
	url := flags.String("live", "", "send the load to this URL, a loopback address, instead of playing in virtual time")
	count := flags.Int("count", 1000, "with -live: most calls")
	limit := flags.Duration("time", 30*time.Second, "with -live: longest time of sending")
	flags.Var(&chosen, "policy", "DECISION=VALUE in place of the scenario's; may be repeated")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s, err := load(*path, chosen)
	if err != nil {
		return err
	}
	var r *report.Report
	if *url != "" {
		r, err = live.Run(ctx, s, live.Options{URL: *url, Seed: *seed, MaxCalls: *count, RunTime: *limit})
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

func comparePolicies(_ context.Context, args []string) error {
	flags := flag.NewFlagSet("pomelo-bench compare", flag.ContinueOnError)
	var chosen policies
	path := flags.String("scenario", "", "scenario file")
	seed := flags.String("seed", "1", "seed, or a range such as 1-5 for the mean over seeds")
	vary := flags.String("vary", "routing", "decision whose policies are compared: "+strings.Join(scenario.Decisions(), ", "))
	flags.Var(&chosen, "policy", "DECISION=VALUE in place of the scenario's; may be repeated")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s, err := load(*path, chosen)
	if err != nil {
		return err
	}
	first, last, err := seeds(*seed)
	if err != nil {
		return err
	}
	return compare.Table(os.Stdout, s, *vary, first, last)
}

func seeds(text string) (first, last uint64, err error) {
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
