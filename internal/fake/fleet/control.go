package fleet

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

// Handler returns the HTTP interface of the backend server, and the paths below /control/ by which tests control it.
func (r *Replica) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/api/report", r.report).Methods(http.MethodGet)
	router.HandleFunc("/api/order", r.order).Methods(http.MethodPost)
	router.HandleFunc("/control/faults", func(w http.ResponseWriter, q *http.Request) {
		var f ReplicaFaults
		if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetFaults(f)
	}).Methods(http.MethodPut)
	router.HandleFunc("/control/restart", func(http.ResponseWriter, *http.Request) { r.Restart() }).Methods(http.MethodPost)
	router.HandleFunc("/control/drain", func(http.ResponseWriter, *http.Request) { r.Drain() }).Methods(http.MethodPost)
	router.HandleFunc("/control/leave", func(http.ResponseWriter, *http.Request) { r.Leave() }).Methods(http.MethodPost)
	router.HandleFunc("/control/end", func(http.ResponseWriter, *http.Request) { r.end(-1) }).Methods(http.MethodPost)
	router.HandleFunc("/control/runs", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, r.Records())
	}).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(r.serve)
	return router
}

// Records are what an emulated backend server recorded since its start. /control/runs returns them as JSON.
type Records struct {
	Runs       []Run       `json:"runs"`
	Rejections []Rejection `json:"rejections"`
	Crashed    string      `json:"crashed"` // reason, if an order or the load crashed the server
	Active     int         `json:"active"`  // requests that it is working on
	Ended      string      `json:"ended"`   // ID of the server if a request crashed it or it was told to end
}

// Records returns what the backend server recorded so far.
func (r *Replica) Records() Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := Records{Runs: slices.Clone(r.runs), Rejections: slices.Clone(r.rejections), Crashed: r.crashed, Active: r.active}
	if r.ended {
		records.Ended = r.opts.ID
	}
	return records
}

// Runs returns the requests that the backend server ran, and the reason if it crashed.
func (r *Replica) Runs() (runs []Run, crashed string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs), r.crashed
}
