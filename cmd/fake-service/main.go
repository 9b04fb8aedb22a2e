// Command fake-service runs a fake of a plain service whose requests must not be repeated, for tests.
package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/service"
	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9201", "IP address and port to listen on")
	runTime := flag.Duration("run-time", 5*time.Millisecond, "execution time of one booking")
	flag.Parse()
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	handler := service.New(service.Options{Logger: logger, RunTime: *runTime})
	if err := standin.Serve(ctx, *listen, handler); err != nil {
		logger.Error("fake-service failed", "error", err)
		os.Exit(1)
	}
}
