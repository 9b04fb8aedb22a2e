// Command fake-service runs the stand-in for a plain service.
package main

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/service"
)

const (
	headerTimeout = 5 * time.Second
	shutdownGrace = 5 * time.Second
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9201", "IP address and port to listen on")
	runTime := flag.Duration("run-time", 5*time.Millisecond, "execution time of one booking")
	flag.Parse()
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	handler := service.New(service.Options{Logger: logger, RunTime: *runTime})
	if err := serve(ctx, *listen, handler); err != nil {
		logger.Error("fake-service stopped", "error", err)
		os.Exit(1)
	}
}

// serve answers until ctx ends, and then finishes running requests.
func serve(ctx context.Context, listen string, handler http.Handler) error {
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		stopped <- server.Shutdown(ctx)
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
