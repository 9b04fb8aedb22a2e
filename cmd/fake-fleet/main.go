// Command fake-fleet is a stand-in for the users' platform: its store, or one backend server that lists itself there.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
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
	if len(args) == 0 || (args[0] != "store" && args[0] != "replica") {
		return errors.New("usage: fake-fleet store|replica -listen ADDRESS [flags]")
	}
	flags := flag.NewFlagSet("fake-fleet "+args[0], flag.ContinueOnError)
	listen := flags.String("listen", "", "`ADDRESS` to listen on")
	if args[0] == "store" {
		if err := flags.Parse(args[1:]); err != nil {
			return err
		}
		store := fleet.NewStore()
		go store.RunLapse(ctx)
		return standin.Serve(ctx, *listen, store.Handler())
	}
	var o fleet.ReplicaOptions
	store := flags.String("store", "", "`ADDRESS` of the store")
	models := flags.String("models", "", "models that are held, joined by commas")
	flags.StringVar(&o.ID, "id", "", "`ID` of the server")
	flags.StringVar(&o.Service, "service", "", "`SERVICE` of the server")
	flags.StringVar(&o.Address, "address", "", "`ADDRESS` in the list, if it is not -listen")
	flags.StringVar(&o.DataCentre, "data-centre", "", "`NAME` of the data centre")
	flags.IntVar(&o.Slots, "slots", 16, "requests at once")
	flags.IntVar(&o.AdapterSlots, "adapters", 4, "places for adapters")
	flags.IntVar(&o.MaxModels, "max-models", 3, "models that the memory holds")
	flags.IntVar(&o.Events, "events", 0, "events of a stream; 0 gives plain answers")
	flags.DurationVar(&o.Pause, "pause", 5*time.Millisecond, "pause before each event")
	flags.DurationVar(&o.Cold, "cold", 0, "time for which the server is cold")
	flags.Float64Var(&o.ColdPerSec, "cold-per-s", 0, "requests a second that a cold server bears")
	orderTime := flags.Duration("order-time", 0, "duration of a load or unload")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	if o.Address == "" {
		o.Address = *listen
	}
	if *models != "" {
		o.Models = strings.Split(*models, ",")
	}
	replica := fleet.NewReplica(o)
	replica.SetFaults(fleet.ReplicaFaults{OrderTime: *orderTime})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return standin.Serve(ctx, *listen, replica.Handler()) })
	group.Go(func() error { return replica.List(ctx, *store) })
	return group.Wait()
}
