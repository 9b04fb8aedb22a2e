// Command fake-engine runs a fake model engine with configurable timing, memory and faults, for tests.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/engine"
	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

func main() {
	listen, opts := parseFlags()
	opts.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := standin.Serve(ctx, listen, engine.New(opts)); err != nil {
		opts.Logger.Error("fake-engine failed", "error", err)
		os.Exit(1)
	}
}

func parseFlags() (listen string, o engine.Options) {
	flag.StringVar(&listen, "listen", "127.0.0.1:9101", "IP address and port to listen on")
	flag.Func("model", "model loaded at start, as NAME=MEBIBYTES; may be repeated", func(text string) error {
		name, size, found := strings.Cut(text, "=")
		memoryMB, err := strconv.ParseInt(size, 10, 64)
		if !found || name == "" || err != nil || memoryMB < 0 {
			return fmt.Errorf("%q is not NAME=MEBIBYTES", text)
		}
		o.Models = append(o.Models, engine.Model{Name: name, MemoryMB: memoryMB})
		return nil
	})
	flag.Int64Var(&o.MemoryTotalMB, "memory-mb", 81920, "accelerator memory in mebibytes; 0 for no limit")
	flag.Int64Var(&o.KVTokenKB, "kv-token-kb", 128, "KV cache size of one token in kibibytes")
	flag.IntVar(&o.Concurrency, "concurrency", 16, "maximum number of running requests; 0 for no limit")
	flag.DurationVar(&o.FirstToken, "first-token", 60*time.Millisecond, "time to the first token")
	flag.DurationVar(&o.BetweenTokens, "between-tokens", 10*time.Millisecond, "time between two tokens")
	flag.Float64Var(&o.BatchSlowdown, "batch-slowdown", 0.03, "share of time added by each further running request")
	flag.Float64Var(&o.ColdFactor, "cold-factor", 3, "factor on token times right after a start")
	flag.DurationVar(&o.WarmUp, "warm-up", 10*time.Second, "time until the server is warm")
	flag.IntVar(&o.OverloadLimitCold, "bears-cold", 4, "concurrent requests above which a cold server crashes; 0 for -bears-warm")
	flag.IntVar(&o.OverloadLimitWarm, "bears-warm", 32, "concurrent requests above which a warm server crashes; 0 for no limit")
	flag.DurationVar(&o.DownTime, "down-time", 2*time.Second, "time without service after a crash")
	flag.IntVar(&o.CacheBlocks, "cache-blocks", 4096, "capacity of the prefix cache in blocks of 16 words; 0 disables it")
	flag.Float64Var(&o.CacheSaving, "cache-saving", 0.8, "share of the first-token time saved by a cached prompt")
	flag.DurationVar(&o.LoadTime, "load-time", 700*time.Millisecond, "time to load a model")
	flag.DurationVar(&o.UnloadTime, "unload-time", 100*time.Millisecond, "time to unload a model")
	flag.DurationVar(&o.AdapterTime, "adapter-time", 5*time.Millisecond, "time to load an adapter")
	flag.IntVar(&o.AdapterSlots, "adapter-slots", 16, "adapter loads in flight at full speed; 0 for no limit")
	flag.Int64Var(&o.AdapterMB, "adapter-mb", 64, "memory of one adapter in mebibytes")
	flag.BoolVar(&o.Fencing, "fencing", false, "reject model orders with a fencing number lower than the highest one seen")
	flag.Parse()
	return listen, o
}
