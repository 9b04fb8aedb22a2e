// Command pomelo-capacity measures how memory, traffic and processor time grow with the size of the system, and prints
// one table for each slope, from which docs/CAPACITY.md extrapolates. It uses loopback only.
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

	"github.com/pomelowheel/pomelowheel/internal/capacity"
)

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "pomelo-capacity:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var names []string
	for _, s := range capacity.Slopes() {
		names = append(names, s.Name)
	}
	flags := flag.NewFlagSet("pomelo-capacity", flag.ContinueOnError)
	slope := flags.String("slope", "", "`name` of the slope to measure: "+strings.Join(names, ", "))
	all := flags.Bool("all", false, "measure every slope")
	asJSON := flags.Bool("json", false, "print JSON, one table a line, instead of Markdown")
	serve := flags.Int("serve", 0, "run `n` stub sidecars and their host list, print its URL, and wait for SIGINT or SIGTERM")
	hosts := flags.String("hosts", "",
		"`URL` of a host list that -serve printed in another process: measure the memory of a gateway with its sidecars")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *serve > 0 {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return capacity.ServeFleet(ctx, *serve, os.Stdout)
	}
	if *hosts != "" {
		return measure(capacity.GatewayMemory(*hosts), *asJSON)
	}
	found := false
	for _, s := range capacity.Slopes() {
		if !*all && s.Name != *slope {
			continue
		}
		found = true
		if err := measure(s, *asJSON); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	if !found {
		return fmt.Errorf("unknown slope %q: use -all or one of %s", *slope, strings.Join(names, ", "))
	}
	return nil
}

func measure(s capacity.Slope, asJSON bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	start := time.Now()
	table, err := s.Measure(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%s: %.1f s\n", s.Name, time.Since(start).Seconds())
	if asJSON {
		return table.JSON(os.Stdout)
	}
	return table.Markdown(os.Stdout)
}
