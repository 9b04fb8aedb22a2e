// Command pomelo-soak runs the fleet's programs as processes on loopback, injects faults by a seeded schedule, and
// checks the guarantees to callers and backend servers. It exits with status 1 if a guarantee is violated.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pomelo-soak:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, out io.Writer) error {
	flags := flag.NewFlagSet("pomelo-soak", flag.ContinueOnError)
	o := soak.Options{}
	flags.StringVar(&o.BinDir, "bin", "bin", "`DIRECTORY` of the program binaries")
	dir := flags.String("logs", "", "`DIRECTORY` for settings and logs; a new temporary one if empty")
	seed := flags.Uint64("seed", 1, "first `SEED`; the others follow it")
	seeds := flags.Int("seeds", 1, "`NUMBER` of seeds to run")
	flags.DurationVar(&o.FaultDuration, "faults", 12*time.Second, "period in which faults are injected")
	flags.IntVar(&o.Gateways, "gateways", 3, "number of gateways")
	flags.IntVar(&o.Engines, "engines", 4, "number of model engines, each with an agent")
	flags.IntVar(&o.PlainServers, "plain", 2, "number of plain servers")
	flags.Float64Var(&o.Rate, "rate", 60, "requests per second")
	flags.IntVar(&o.AddressBase, "base", 10, "second byte of the loopback addresses, 1 to 250")
	flags.Func("plan", fmt.Sprintf("`PLAN` of the faults, one of %v (default %s)", soak.Plans, soak.PlanDisruptions),
		func(name string) error {
			o.Plan = soak.Plan(name)
			if !slices.Contains(soak.Plans, o.Plan) {
				return fmt.Errorf("unknown plan %q", name)
			}
			return nil
		})
	verbose := flags.Bool("v", false, "list the faults of every seed, not only of those that fail")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *dir == "" {
		tempDir, err := os.MkdirTemp("", "pomelo-soak-")
		if err != nil {
			return err
		}
		*dir = tempDir
	}
	failedSeeds := 0
	for i := range *seeds {
		o.Seed = *seed + uint64(i)
		o.WorkDir = filepath.Join(*dir, fmt.Sprint(o.Seed))
		if err := os.MkdirAll(o.WorkDir, 0o755); err != nil {
			return err
		}
		r, err := soak.Run(ctx, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		r.Write(out, *verbose || len(r.Failures) > 0)
		if len(r.Failures) > 0 {
			failedSeeds++
			fmt.Fprintf(out, "  logs: %s\n", o.WorkDir)
			continue
		}
		if err := os.RemoveAll(o.WorkDir); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d seeds, %d with a violated guarantee\n", *seeds, failedSeeds)
	if failedSeeds > 0 {
		return errors.New("guarantees were violated")
	}
	return nil
}
