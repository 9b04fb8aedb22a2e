// Command fake-platform runs a fake of the platform's table service, host list and weight store, for tests.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "fake-platform:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("fake-platform", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:8100", "`address` to listen on")
	hostsFile := flags.String("hosts", "", "`file` with the initial host list: a JSON array of "+
		"{address, host, data_centre, role, state}")
	lag := flags.Duration("lag", 0, "delay until a change of the host list becomes visible")
	rate := flags.Float64("weight-rate", 0, "loads per second that the weight store allows; 0 for no limit")
	slots := flags.Int("weight-slots", 0, "concurrent loads that the weight store allows; 0 for no limit")
	loadTime := flags.Duration("weight-time", 0, "duration of one load")
	if err := flags.Parse(args); err != nil {
		return err
	}
	opts := platform.Options{Lag: *lag, WeightRate: *rate, WeightSlots: *slots, WeightTime: *loadTime}
	if *hostsFile != "" {
		source, err := os.ReadFile(*hostsFile)
		if err != nil {
			return fmt.Errorf("read host list: %w", err)
		}
		if err := json.Unmarshal(source, &opts.Hosts); err != nil {
			return fmt.Errorf("decode host list %s: %w", *hostsFile, err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slog.Info("fake platform starting to listen", "address", *listen)
	return standin.Serve(ctx, *listen, platform.New(opts))
}
