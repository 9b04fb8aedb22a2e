package main

import (
	"expvar"
	"io"
	"net/http"

	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/sidecar"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
)

// vars returns the metrics that /debug/vars shows besides those of the Go runtime, under the names documented in
// docs/OPERATIONS.md.
func vars(server *sidecar.Server, store *tablestore.CountingStore, certificates *transport.Certificates,
	refused *refusals.Set) map[string]expvar.Var {
	return map[string]expvar.Var{
		"clients_refused":             refused.Var(),
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
