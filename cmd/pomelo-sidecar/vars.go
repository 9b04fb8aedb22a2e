package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/listener"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/sidecar"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

// vars returns the metrics that /debug/vars shows besides those of the Go runtime, under the names documented in
// docs/OPERATIONS.md.
func vars(server *sidecar.Server, store *tablestore.CountingStore, certificates *transport.Certificates) map[string]expvar.Var {
	return map[string]expvar.Var{
		"sidecar":                     server.Vars(),
		"table_service":               store.Vars(),
		"certificate_reload_failures": process.ReloadFailures(certificates),
	}
}

// debugHandler serves /debug/vars, /healthz and /readyz.
func debugHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "not ready\n")
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}

// serveDebug serves h on listener until ctx ends.
func serveDebug(ctx context.Context, log *slog.Logger, l net.Listener, h http.Handler) error {
	debug := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = debug.Close() })
	defer stop()
	if err := debug.Serve(listener.Persistent(l, listener.Options{Name: "debug", Log: log})); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve debug: %w", err)
	}
	return nil
}
