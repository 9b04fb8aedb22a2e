// Command fake-platform runs the stand-in for the platform's table service, host list and weight store.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
)

const headerTimeout = 5 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "fake-platform:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("fake-platform", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:8100", "`address` to listen on")
	hostsFile := flags.String("hosts", "", "`file` with the host list: a JSON array of "+
		"{address, host, data_centre, role, state}")
	lag := flags.Duration("lag", 0, "lag of the host list")
	rate := flags.Float64("weight-rate", 0, "loads a second that the weight store allows; 0 for no limit")
	slots := flags.Int("weight-slots", 0, "loads at once that the weight store allows; 0 for no limit")
	loadTime := flags.Duration("weight-time", 0, "time of one load")
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
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	slog.Info("fake platform listens", "address", listener.Addr().String())
	server := &http.Server{Handler: platform.New(opts), ReadHeaderTimeout: headerTimeout}
	return server.Serve(listener)
}
