// Command fake-fleet emulates a part of the users' platform for tests: its store, its cloud interface, or one backend server that
// registers in the store's server list.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "fake-fleet:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 || !slices.Contains([]string{"store", "cloud", "replica"}, args[0]) {
		return errors.New("usage: fake-fleet store|cloud|replica -listen ADDRESS [flags]")
	}
	flags := flag.NewFlagSet("fake-fleet "+args[0], flag.ContinueOnError)
	listen := flags.String("listen", "", "`ADDRESS` (IP:port) to listen on")
	if args[0] == "store" {
		if err := flags.Parse(args[1:]); err != nil {
			return err
		}
		store := fleet.NewStore()
		go store.ExpireEntries(ctx)
		return standin.Serve(ctx, *listen, store.Handler(), store.Listener)
	}
	if args[0] == "cloud" {
		if err := flags.Parse(args[1:]); err != nil {
			return err
		}
		return standin.Serve(ctx, *listen, fleet.NewCloud().Handler())
	}
	var o fleet.ReplicaOptions
	store := flags.String("store", "", "`ADDRESS` (IP:port) of the store")
	models := flags.String("models", "", "comma-separated models that the backend server holds at the start")
	flags.StringVar(&o.ID, "id", "", "`ID` of the backend server")
	flags.StringVar(&o.Service, "service", "", "`SERVICE` that the backend server belongs to")
	flags.StringVar(&o.Address, "address", "", "`ADDRESS` in the server list (default: the value of -listen)")
	flags.StringVar(&o.DataCentre, "data-centre", "", "`NAME` of the data centre")
	flags.IntVar(&o.Slots, "slots", 16, "maximum number of concurrent requests")
	flags.IntVar(&o.AdapterSlots, "adapters", 4, "number of adapter slots")
	flags.IntVar(&o.MaxModels, "max-models", 3, "maximum number of models in memory")
	flags.IntVar(&o.Events, "events", 0, "number of events of a stream; 0 for plain responses")
	flags.DurationVar(&o.Pause, "pause", 5*time.Millisecond, "delay before each event")
	flags.DurationVar(&o.Cold, "cold", 0, "time after the start for which the backend server is cold")
	flags.Float64Var(&o.ColdPerSecond, "cold-per-s", 0, "requests per second that a cold backend server can take; 0 for no limit")
	flags.StringVar(&o.Crash.Part, "crash-part", "", "`ID` of the part of a prompt, other than the last, that crashes the backend server")
	flags.IntVar(&o.Crash.Events, "crash-events", 0, "events of the answer that are sent before such a crash")
	flags.BoolVar(&o.Crash.Inside, "crash-inside", false, "crash inside the next event")
	flags.Float64Var(&o.Unframed, "unframed", 0, "fraction of the responses with neither a length nor chunks")
	records := flags.String("records", "", "`FILE` to which the records of /control/runs are written at the end")
	orderTime := flags.Duration("order-time", 0, "duration of a model load or unload")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	if o.Address == "" {
		o.Address = *listen
	}
	if *models != "" {
		o.Models = strings.Split(*models, ",")
	}
	var replica *fleet.Replica
	o.End = func() {
		if *records != "" {
			if err := writeRecords(*records, replica.Records()); err != nil {
				fmt.Fprintln(os.Stderr, "fake-fleet:", err)
			}
		}
		os.Exit(fleet.CrashStatus)
	}
	replica = fleet.NewReplica(o)
	replica.SetFaults(fleet.ReplicaFaults{OrderTime: *orderTime})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return standin.Serve(ctx, *listen, replica.Handler(), replica.Listener) })
	group.Go(func() error { return replica.RenewEntry(ctx, *store) })
	err := group.Wait()
	if *records != "" {
		if err := writeRecords(*records, replica.Records()); err != nil {
			return err
		}
	}
	return err
}

func writeRecords(path string, r fleet.Records) error {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode records: %w", err)
	}
	return os.WriteFile(path, data, 0o600)
}
