// Command pomelo-soak runs the fleet's programs as processes on loopback under faults, by seeds, and checks the
// promises to callers and backend servers.
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
	flags.StringVar(&o.Bin, "bin", "bin", "`DIRECTORY` of the programs")
	dir := flags.String("logs", "", "`DIRECTORY` for settings and logs; a new temporary one if empty")
	seed := flags.Uint64("seed", 1, "first `SEED`")
	seeds := flags.Int("seeds", 1, "`NUMBER` of seeds")
	flags.DurationVar(&o.Faults, "faults", 12*time.Second, "time for which faults are injected")
	flags.IntVar(&o.Gateways, "gateways", 3, "gateways")
	flags.IntVar(&o.Engines, "engines", 4, "model engines, each with an agent")
	flags.IntVar(&o.Plain, "plain", 2, "plain servers")
	flags.Float64Var(&o.Rate, "rate", 60, "requests a second")
	flags.IntVar(&o.Base, "base", 10, "second byte of the loopback addresses")
	verbose := flags.Bool("v", false, "list the faults of every seed")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *dir == "" {
		made, err := os.MkdirTemp("", "pomelo-soak-")
		if err != nil {
			return err
		}
		*dir = made
	}
	broken := 0
	for i := range *seeds {
		o.Seed = *seed + uint64(i)
		o.Dir = filepath.Join(*dir, fmt.Sprint(o.Seed))
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return err
		}
		r, err := soak.Run(ctx, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		r.Write(out, *verbose || len(r.Failures) > 0)
		if len(r.Failures) > 0 {
			broken++
			fmt.Fprintf(out, "  logs: %s\n", o.Dir)
			continue
		}
		if err := os.RemoveAll(o.Dir); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d seeds, %d with a broken promise\n", *seeds, broken)
	if broken > 0 {
		return errors.New("promises were broken")
	}
	return nil
}
