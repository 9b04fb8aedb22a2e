package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/bench/live"
)

// runLatency measures the latency that the system adds to direct calls. scripts/latency starts the processes.
func runLatency(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("pomelo-bench latency", flag.ContinueOnError)
	var opts live.LatencyOptions
	flags.StringVar(&opts.Gateway, "gateway", "", "URL of the gateway, a loopback address")
	flags.StringVar(&opts.Engine, "engine", "", "URL of the model engine behind it, a loopback address")
	flags.StringVar(&opts.Service, "service", "", "URL of the plain service behind it, a loopback address")
	flags.StringVar(&opts.ServiceName, "service-name", "lantern-ledger", "name of the plain service")
	flags.StringVar(&opts.Model, "model", "brush-small", "model of the chat calls")
	flags.StringVar(&opts.Key, "key", "demo-crews-key", "API key of the calls through the gateway")
	flags.Float64Var(&opts.Rate, "rate", 100, "calls a second through the system, and as many direct calls")
	flags.DurationVar(&opts.RunTime, "time", 15*time.Second, "time in which the counted calls are sent, after a warm-up")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the arrival times")
	if err := flags.Parse(args); err != nil {
		return err
	}
	comparisons, err := live.Latency(ctx, opts)
	if err != nil {
		return err
	}
	return live.WriteLatency(os.Stdout, comparisons)
}
